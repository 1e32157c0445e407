// Package interfere learns how much tasks that use a worker's idle processors, the fillers,
// interfere with the services on the same worker.
//
// The tail latency of a service grows as the reciprocal of the remaining part of the
// capacity that it shares with its neighbours. Its [Headroom], the target divided by the
// tail, is therefore linear in what they use: it starts at the baseline of the service and
// drops in proportion to the share of the worker's processors that each filler uses. The
// drop depends on the pair of images; it is small for most pairs and large for some. The
// baseline changes with the service's own load, which all replicas of a step share because
// one balancer distributes it; a [Track] follows it.
//
// Each measurement corrects the track, the replica's offset from it and the drops of the
// pairs involved, each in proportion to its uncertainty: a Kalman filter without the
// covariances between them. Fillers are thus distinguished by replicas of one step on
// different workers at the same time as well as by changes on one worker. The zero [Model]
// assumes the same prior for every pair.
//
// The package sees no tasks or workers, only measurements, and makes no decisions.
package interfere

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of learning. Drops are in units of headroom per whole worker.
const (
	// priorDrop is assumed of a pair that has not been measured together, priorVar is its
	// variance. Measured drops were between 0 and 10.
	priorDrop = 4
	priorVar  = 16
	// minVariance keeps the estimates adapting, as programs change.
	minVariance = 0.15
	// minRestoredVariance is the least variance of restored estimates.
	minRestoredVariance = 1
	// maxDrop limits the estimates of drops.
	maxDrop = 15
	// offsetVar is the prior variance of a replica's offset from the track of its step. The
	// offset results from other services on its worker.
	offsetVar = 0.1
	// noiseRatio is the standard deviation of a measured tail, as a fraction of it.
	noiseRatio = 0.15
	// maxDeviations is the number of standard deviations to which the error of a
	// measurement is clipped.
	maxDeviations = 2.5
	// saturatedHeadroom is the measured headroom below which the true headroom may be much
	// lower.
	saturatedHeadroom = 0.35
)

// Headroom returns the target divided by the tail latency, both in milliseconds: 1 at the
// target, more while the tail is below the target, close to 0 far above it, and 0 if there
// is no tail.
func Headroom(tailMS, targetMS int64) float64 {
	if tailMS <= 0 {
		return 0
	}
	return float64(targetMS) / float64(tailMS)
}

// Pair identifies a service and a filler by their images.
type Pair struct {
	// Service and Filler are the names of the images.
	Service string `json:"service"`
	Filler  string `json:"filler"`
}

// estimate is an estimated number and its variance.
type estimate struct {
	mean, variance float64
}

// Model holds the estimates of all pairs.
type Model struct {
	// Fixed disables learning about pairs.
	Fixed bool

	pairs map[Pair]*estimate
}

// Drop returns the decrease of a service's headroom if a filler uses all processors of its
// worker.
func (mo *Model) Drop(pa Pair) float64 {
	if es := mo.pairs[pa]; es != nil {
		return es.mean
	}
	return priorDrop
}

func (mo *Model) pair(pa Pair) *estimate {
	es := mo.pairs[pa]
	if es == nil {
		if mo.pairs == nil {
			mo.pairs = map[Pair]*estimate{}
		}
		es = &estimate{mean: priorDrop, variance: priorVar}
		mo.pairs[pa] = es
	}
	return es
}

// Parameters of [Model.Similarity].
const (
	// minSharedFillers is how many fillers must be known beside both services,
	// maxKnownVariance the largest variance of an estimate that counts as known.
	minSharedFillers = 3
	maxKnownVariance = 2
	// neutralDifference is the mean difference of drops with similarity 0. Drops of
	// harmless pairs differed by up to 2.
	neutralDifference = 2
)

// Similarity returns how similarly fillers interfere with the images of two services: 1 if
// all drops are equal, 0 if they differ by neutralDifference on average, -1 if they differ
// by twice as much or more. It is also -1 if too little is known of the images.
func (mo *Model) Similarity(a, b string) float64 {
	if a == b {
		return 1
	}
	n, sum := 0, 0.0
	for pa, es := range mo.pairs {
		if pa.Service != a || es.variance > maxKnownVariance {
			continue
		}
		if other := mo.pairs[Pair{Service: b, Filler: pa.Filler}]; other != nil && other.variance <= maxKnownVariance {
			n++
			sum += math.Abs(es.mean - other.mean)
		}
	}
	if n < minSharedFillers {
		return -1
	}
	return max(1-sum/float64(n)/neutralDifference, -1)
}

// PairEstimate is the estimate of a pair, to be stored.
type PairEstimate struct {
	Pair

	// Drop is the drop of the pair, see [Model.Drop], and Variance its variance.
	Drop     float64 `json:"drop"`
	Variance float64 `json:"variance"`
}

// Estimates returns at most limit estimates, the most certain first.
func (mo *Model) Estimates(limit int) []PairEstimate {
	list := make([]PairEstimate, 0, len(mo.pairs))
	for pa, es := range mo.pairs {
		list = append(list, PairEstimate{Pair: pa, Drop: es.mean, Variance: es.variance})
	}
	slices.SortFunc(list, func(a, b PairEstimate) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Filler, b.Filler))
	})
	return list[:min(len(list), limit)]
}

// Restore returns a model with stored estimates. Their variance is at least
// minRestoredVariance, as programs may have changed since.
func Restore(list []PairEstimate) Model {
	var mo Model
	for _, pe := range list {
		es := mo.pair(pe.Pair)
		es.mean, es.variance = min(max(pe.Drop, 0), maxDrop), max(pe.Variance, minRestoredVariance)
	}
	return mo
}

// Shares holds the shares of a worker's processors that fillers use, by image, from 0 to
// 1.
type Shares map[string]float64

// PredictedDrop returns the decrease of a service's headroom beside fillers with the given
// shares.
func (mo *Model) PredictedDrop(service string, sh Shares) float64 {
	sum := 0.0
	for filler, share := range sh {
		sum += mo.Drop(Pair{Service: service, Filler: filler}) * share
	}
	return sum
}

// Measurement is one measurement of a replica's tail latency, with the shares of the
// fillers on its worker at that time.
type Measurement struct {
	// At is the time of the measurement.
	At time.Time
	// TailMS and TargetMS are the tail latency and its target, in milliseconds.
	TailMS, TargetMS int64
	// Shares holds the shares of the fillers.
	Shares Shares
}

// variance returns the variance of the measured headroom: the tail is an approximate
// figure, rounded to whole milliseconds.
func (me Measurement) variance() float64 {
	noise := noiseRatio * Headroom(me.TailMS, me.TargetMS)
	rounding := float64(me.TargetMS) / float64(2*me.TailMS*me.TailMS)
	return noise*noise + rounding*rounding
}

// Replica holds the estimates of one replica of a service.
type Replica struct {
	// Track is the track of the replica's step.
	Track *Track

	// offset is the difference between the replica's baseline and the level of the track.
	offset estimate
}

// Baseline returns the expected headroom of the replica at a time without fillers.
func (re *Replica) Baseline(at time.Time) float64 {
	level, _ := re.Track.at(at)
	return level + re.offset.mean
}

// Observe updates the estimates with a measurement of a replica of the service.
// Measurements without a tail or a target are ignored. Of saturated measurements only those
// below the prediction are used.
func (mo *Model) Observe(re *Replica, service string, me Measurement) {
	if me.TailMS <= 0 || me.TargetMS <= 0 {
		return
	}
	if re.offset.variance == 0 {
		re.offset.variance = offsetVar
	}
	re.Track.advance(me.At)
	measured := Headroom(me.TailMS, me.TargetMS)
	residual := measured - (re.Track.level + re.offset.mean - mo.PredictedDrop(service, me.Shares))
	// A saturated headroom is only an upper bound of the true one, so it does not show that
	// the prediction is too low.
	if measured < saturatedHeadroom && residual > 0 {
		return
	}
	residualVar := me.variance() + re.Track.levelVar + re.offset.variance
	for filler, share := range me.Shares {
		residualVar += share * share * mo.pair(Pair{Service: service, Filler: filler}).variance
	}
	bound := maxDeviations * math.Sqrt(residualVar)
	residual = min(max(residual, -bound), bound)
	re.Track.correct(residual, residualVar)
	re.offset.correct(1, residual, residualVar, 0)
	if mo.Fixed {
		return
	}
	for filler, share := range me.Shares {
		es := mo.pair(Pair{Service: service, Filler: filler})
		es.correct(-share, residual, residualVar, minVariance)
		es.mean = min(max(es.mean, 0), maxDrop)
	}
}

// correct updates the estimate with its part of a residual whose variance is residualVar.
// The measurement contains the estimated number multiplied by factor.
func (es *estimate) correct(factor, residual, residualVar, minVar float64) {
	gain := es.variance * factor / residualVar
	es.mean += gain * residual
	es.variance = max(es.variance*(1-gain*factor), minVar)
}
