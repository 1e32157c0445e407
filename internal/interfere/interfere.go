// Package interfere learns how much tasks that fill a worker's idle processors
// disturb the services beside them.
//
// A service's tail latency grows as one over what is left of the capacity that
// it shares with its neighbours, so the reciprocal of the tail falls in
// proportion to what they take. [Strain] is that reciprocal on the scale of
// the target, and a filler adds to it so much per share of the worker's
// processors that it uses. The amount depends on the pair of images: most
// pairs hardly disturb each other and some do badly. The service's own load
// moves the strain too, but slowly, so only the differences between two
// measurements shortly after each other are learnt from. The zero [Model]
// knows nothing and assumes a little of every pair.
package interfere

// The numbers of learning.
const (
	// prior is assumed of a pair never seen together: a filler on a tenth of
	// the processors then takes a tenth of the way from no load to the target.
	prior = 5
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
	// takes an idle service over its target.
	most = 60
	// saturated is the strain from which on a tail tells only that it is bad.
	saturated = -0.35
	// blur is the strain that a tail's rounding to whole milliseconds may hide
	// before the measurement counts half.
	blur = 0.3
)

// Strain rates a tail latency: -1 at the target, under it lower, and close to
// 0 far over it.
func Strain(tailMS, targetMS int64) float64 {
	if tailMS <= 0 {
		return 0
	}
	return -float64(targetMS) / float64(tailMS)
}

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

// Rise returns by how much a service's strain rises if a filler takes all
// processors of its worker.
func (mo *Model) Rise(pa Pair) float64 {
	if le := mo.pairs[pa]; le != nil {
		return le.rise
	}
	return prior
}

// Shares are the shares of a worker's processors that fillers use, by image.
type Shares map[string]float64

// Load returns by how much the shares of fillers raise a service's strain.
func (mo *Model) Load(service string, sh Shares) float64 {
	sum := 0.0
	for filler, share := range sh {
		sum += mo.Rise(Pair{Service: service, Filler: filler}) * share
	}
	return sum
}

// Measurement is one of a service's tail, with the shares of the fillers
// beside it over the same time.
type Measurement struct {
	// TailMS and TargetMS are the tail and the target in milliseconds.
	TailMS, TargetMS int64
	// Shares are the fillers'.
	Shares Shares
}

func (me Measurement) strain() float64 { return Strain(me.TailMS, me.TargetMS) }

// weight is lower the more the tail's rounding may hide.
func (me Measurement) weight() float64 {
	hidden := float64(me.TargetMS) / float64(me.TailMS*me.TailMS)
	return 1 / (1 + (hidden/blur)*(hidden/blur))
}

// Learn takes two measurements of one service, shortly after each other.
func (mo *Model) Learn(service string, before, after Measurement) {
	if before.TailMS <= 0 || after.TailMS <= 0 {
		return
	}
	diffs, norm := differences(before.Shares, after.Shares)
	if norm == 0 {
		return
	}
	miss := after.strain() - before.strain()
	for filler, diff := range diffs {
		miss -= mo.Rise(Pair{Service: service, Filler: filler}) * diff
	}
	// A saturated tail hides how much more it would have moved.
	if (after.strain() > saturated && miss < 0) || (before.strain() > saturated && miss > 0) {
		return
	}
	if mo.pairs == nil {
		mo.pairs = map[Pair]*learnt{}
	}
	miss *= min(before.weight(), after.weight()) / (norm + floor)
	for filler, diff := range diffs {
		mo.correct(Pair{Service: service, Filler: filler}, miss*diff)
	}
}

func (mo *Model) correct(pa Pair, by float64) {
	le := mo.pairs[pa]
	if le == nil {
		le = &learnt{rise: prior}
		mo.pairs[pa] = le
	}
	le.rise = min(max(le.rise+le.rate()*by, 0), most)
	le.times++
}

// differences returns the shares that differ, and the sum of their squares.
func differences(before, after Shares) (Shares, float64) {
	diffs := Shares{}
	norm := 0.0
	note := func(filler string) {
		if _, seen := diffs[filler]; seen {
			return
		}
		diff := after[filler] - before[filler]
		if diff != 0 {
			diffs[filler] = diff
			norm += diff * diff
		}
	}
	for filler := range before {
		note(filler)
	}
	for filler := range after {
		note(filler)
	}
	return diffs, norm
}
