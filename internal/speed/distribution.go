package speed

import "math"

// Form of a distribution.
const (
	// bins is the number of bins, binWidth the width of each in the logarithm of the ratio, and
	// origin the lower edge of the first: ratios from 1/55 to 55.
	bins     = 64
	binWidth = 0.125
	origin   = -4.0
	// memory is after how many observations the weight of one has fallen to 1/e.
	memory = 512
	// maxIncrement is the weight of a new observation at which all weights are scaled down.
	maxIncrement = 1e6
	// priorWeight and priorSpread are the weight and the standard deviation of a normal
	// distribution around the median that is mixed in, and backgroundWeight that of an equal
	// weight of all bins, so that what was never seen has a small probability.
	priorWeight      = 8
	priorSpread      = 0.6
	backgroundWeight = 0.5
	// refreshAfter is after how many observations the densities are computed again.
	refreshAfter = 16
	// storedCount is the sum of stored weights, except for rounding.
	storedCount = 200
)

// distribution is a histogram of the logarithms of ratios, in which old observations fade.
type distribution struct {
	weights [bins]float64
	total   float64
	// increment is the weight of the next observation, which grows so that the others fade.
	increment float64
	// logDensity has the logarithm of the smoothed density of each bin, center the median, stale
	// the observations since they were computed, and fresh is set once they were.
	logDensity [bins]float64
	center     float64
	stale      int
	fresh      bool
}

// count returns the total weight in units of a new observation.
func (di *distribution) count() float64 {
	if di.increment == 0 {
		return 0
	}
	return di.total / di.increment
}

// add adds an observation, divided between the two nearest bins.
func (di *distribution) add(logRatio, weight float64) {
	if di.increment == 0 {
		di.increment = 1
	}
	di.increment *= 1 + weight/memory
	if di.increment > maxIncrement {
		for i := range di.weights {
			di.weights[i] /= di.increment
		}
		di.total, di.increment = di.total/di.increment, 1
	}
	weight *= di.increment
	pos := min(max((logRatio-origin)/binWidth-0.5, 0), bins-1)
	lower := min(int(pos), bins-2)
	upperPart := pos - float64(lower)
	di.weights[lower] += weight * (1 - upperPart)
	di.weights[lower+1] += weight * upperPart
	di.total += weight
	di.stale++
}

// median returns the median. It may lack the last few observations.
func (di *distribution) median() float64 {
	di.refreshIfStale()
	return di.center
}

// computeMedian returns the median, interpolated within its bin.
func (di *distribution) computeMedian() float64 {
	below := 0.0
	for i, we := range di.weights {
		if we > 0 && below+we >= di.total/2 {
			return origin + binWidth*(float64(i)+(di.total/2-below)/we)
		}
		below += we
	}
	return 0
}

// at returns the logarithm of the density at a logarithm of a ratio.
func (di *distribution) at(logRatio float64) float64 {
	di.refreshIfStale()
	i := int((min(max(logRatio, origin), origin+bins*binWidth) - origin) / binWidth)
	return di.logDensity[min(i, bins-1)]
}

func (di *distribution) refreshIfStale() {
	if !di.fresh || di.stale >= refreshAfter {
		di.refresh()
	}
}

// refresh computes the densities and the median.
func (di *distribution) refresh() {
	di.stale, di.fresh, di.center = 0, true, di.computeMedian()
	kernel := [...]float64{1, 2, 3, 2, 1}
	const kernelSum, half = 9, len(kernel) / 2
	unit := max(di.increment, 1)
	for i := range di.weights {
		smooth := 0.0
		for k, part := range kernel {
			smooth += part / kernelSum * di.weights[min(max(i+k-half, 0), bins-1)]
		}
		z := (origin + binWidth*(float64(i)+0.5) - di.center) / priorSpread
		normal := binWidth / (priorSpread * math.Sqrt(2*math.Pi)) * math.Exp(-z*z/2)
		di.logDensity[i] = math.Log(smooth/unit + priorWeight*normal + backgroundWeight/bins)
	}
}

// export returns the first bin with a weight, and the weights from there to the last, rounded.
func (di *distribution) export() (first int, weights []int) {
	scale := storedCount / di.total
	first, last := bins, -1
	var rounded [bins]int
	for i, we := range di.weights {
		if rounded[i] = int(math.Round(we * scale)); rounded[i] > 0 {
			first, last = min(first, i), i
		}
	}
	if last < 0 {
		return 0, nil
	}
	return first, append(weights, rounded[first:last+1]...)
}

// restore sets the weights to those that export returned.
func (di *distribution) restore(first int, weights []int) {
	*di = distribution{increment: 1}
	for i, we := range weights {
		if bin := first + i; bin >= 0 && bin < bins && we > 0 {
			di.weights[bin] = float64(min(we, storedCount))
			di.total += di.weights[bin]
		}
	}
}
