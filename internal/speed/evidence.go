package speed

import "math"

// levels are the logarithms of the slowdowns that are compared with a healthy worker, from 2.1
// to 7.4.
var levels = [...]float64{0.75, 1, 1.25, 1.5, 1.75, 2}

// gains has a value for each of the levels: the logarithm of the likelihood ratio of a worker
// with that slowdown to a healthy one.
type gains [len(levels)]float64

// Limits on what one attempt can say. The sum of an attempt or job stays below slowEvidence, so
// that no single one makes a worker count as slow.
const (
	// maxGain is the largest gain of one attempt, and of all attempts of a job together: their
	// estimates may be off alike. maxLoss is the most that one attempt speaks for a healthy
	// worker.
	maxGain = 4
	maxLoss = 4
	// maxChangeGain is the largest gain of an attempt whose own speed fell. Those of one job add
	// up, as the estimate does not matter.
	maxChangeGain = 3.5
	// maxFillerGain is the largest gain of a filler: the processor time that it gets is a
	// rough figure, and a busy worker slows all fillers alike.
	maxFillerGain = 2
	// minChange is by how much the logarithm of an attempt's ratio must have risen before it is
	// compared with itself, changeSpread the standard deviation that whole per cents and short
	// intervals cause, and changeBackground the weight of changes for other reasons.
	minChange        = 0.6
	changeSpread     = 0.25
	changeBackground = 0.02
)

// runningGains returns the gains for an attempt that is seen running. It is found with a
// probability in proportion to its duration, so that the density of its ratio is that of all
// ends times the ratio.
func (ks *kindStats) runningGains(logRatio float64) gains {
	ga := ks.endGains(logRatio)
	for i, level := range levels {
		ga[i] -= level
	}
	return ga
}

// endGains returns the gains for an attempt that ended.
func (ks *kindStats) endGains(logRatio float64) gains {
	var ga gains
	healthy := ks.ends.at(logRatio)
	for i, level := range levels {
		ga[i] = ks.ends.at(logRatio-level) - healthy
	}
	return ga
}

// changeGains returns the gains for an attempt whose logarithm of the ratio has risen.
func changeGains(change float64) gains {
	var ga gains
	healthy := changeLikelihood(change)
	for i, level := range levels {
		ga[i] = math.Log(changeLikelihood(change-level) / healthy)
	}
	return ga.limited(maxChangeGain)
}

func changeLikelihood(deviation float64) float64 {
	z := deviation / changeSpread
	return math.Exp(-z*z/2) + changeBackground
}

// limited returns the gains with an upper limit, and a lower one of -maxLoss.
func (ga gains) limited(most float64) gains {
	for i := range ga {
		ga[i] = min(max(ga[i], -maxLoss), most)
	}
	return ga
}

func (ga *gains) add(other gains, weight float64) {
	for i := range ga {
		ga[i] += weight * other[i]
	}
}

// best returns the largest gain.
func (ga gains) best() float64 {
	best := ga[0]
	for _, gain := range ga[1:] {
		best = max(best, gain)
	}
	return best
}

// slowdown returns the mean slowdown, weighted by likelihood.
func (ga gains) slowdown() float64 {
	best, sum, weights := ga.best(), 0.0, 0.0
	for i, gain := range ga {
		weight := math.Exp(gain - best)
		sum += weight * levels[i]
		weights += weight
	}
	return math.Exp(sum / weights)
}
