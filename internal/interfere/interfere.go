// Package interfere learns how much tasks that fill a worker's idle processors
// disturb the services beside them.
//
// The logarithm of a service's tail latency rises by so much per share of the
// worker's processors that a filler uses, and the amount depends on the pair
// of images; most pairs hardly disturb each other and some do badly. What else
// moves the tail, the service's own load above all, drifts slowly, so only the
// differences between two measurements shortly after each other are learnt
// from. The zero [Model] knows nothing and assumes a little of every pair.
package interfere

import "math"

// The numbers of learning.
const (
	// prior is assumed of a pair never seen together: a filler on a tenth of
	// the processors raises the tail by a third.
	prior = 3
	// rateFirst is the part of a prediction's error that is corrected at the
	// first measurement of a pair; it falls to half of that within halving
	// more, and never under rateLast, as programs change.
	rateFirst = 0.7
	halving   = 8
	rateLast  = 0.1
	// floor is added to the squared difference of shares, so that small
	// differences, which noise drowns, teach little: a fifteenth of the
	// processors, squared.
	floor = 0.005
	// most bounds what is learnt: a filler on a tenth of the processors then
	// raises the tail twentyfold.
	most = 30
)

// Pair is a service's image and a filler's.
type Pair struct {
	// Service and Filler are the images.
	Service, Filler string
}

// Model holds what was learnt.
type Model struct {
	pairs map[Pair]*learnt
}

// learnt is what is known of a pair: the rise, from so many measurements.
type learnt struct {
	rise  float64
	times int
}

// rate is the part of the next error that is corrected.
func (le *learnt) rate() float64 {
	return max(rateFirst/(1+float64(le.times)/halving), rateLast)
}

// Rise returns by how much the logarithm of a service's tail rises if a filler
// takes all processors of its worker.
func (mo *Model) Rise(pa Pair) float64 {
	if le := mo.pairs[pa]; le != nil {
		return le.rise
	}
	return prior
}

// Shares are the shares of a worker's processors that fillers use, by image.
type Shares map[string]float64

// Load returns by how much the logarithm of a service's tail is raised by the
// shares of fillers.
func (mo *Model) Load(service string, sh Shares) float64 {
	sum := 0.0
	for filler, share := range sh {
		sum += mo.Rise(Pair{Service: service, Filler: filler}) * share
	}
	return sum
}

// Learn takes two measurements of a service's tail in milliseconds, with the
// shares of the fillers beside it over the time of each.
func (mo *Model) Learn(service string, tail0, tail1 float64, sh0, sh1 Shares) {
	if tail0 <= 0 || tail1 <= 0 {
		return
	}
	diffs, norm := differences(sh0, sh1)
	if norm == 0 {
		return
	}
	miss := math.Log(tail1 / tail0)
	for filler, diff := range diffs {
		miss -= mo.Rise(Pair{Service: service, Filler: filler}) * diff
	}
	if mo.pairs == nil {
		mo.pairs = map[Pair]*learnt{}
	}
	for filler, diff := range diffs {
		pa := Pair{Service: service, Filler: filler}
		le := mo.pairs[pa]
		if le == nil {
			le = &learnt{rise: prior}
			mo.pairs[pa] = le
		}
		le.rise = min(max(le.rise+le.rate()*miss*diff/(norm+floor), 0), most)
		le.times++
	}
}

// differences returns the shares that differ, and the sum of their squares.
func differences(sh0, sh1 Shares) (Shares, float64) {
	diffs := Shares{}
	norm := 0.0
	note := func(filler string) {
		if _, seen := diffs[filler]; seen {
			return
		}
		diff := sh1[filler] - sh0[filler]
		if diff != 0 {
			diffs[filler] = diff
			norm += diff * diff
		}
	}
	for filler := range sh0 {
		note(filler)
	}
	for filler := range sh1 {
		note(filler)
	}
	return diffs, norm
}
