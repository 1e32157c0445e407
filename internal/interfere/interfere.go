// Package interfere learns how much tasks that fill a worker's idle processors
// disturb the services beside them.
//
// A service's tail latency grows as one over what is left of the capacity that
// it shares with its neighbours. Its [Headroom], the target over the tail, is
// therefore linear in what they take: it starts from what the service has by
// itself and drops by so much per share of the worker's processors that each
// filler uses. The drop depends on the pair of images, for most pairs it is
// small and for some large. What the service has by itself moves with its own
// load, which all replicas of a step share as one balancer feeds them; a [Track]
// follows it.
//
// Each measurement corrects the track, the replica's offset from it and the
// drops of the pairs beside it, each in proportion to how uncertain it is: a
// Kalman filter that leaves out the covariances between them. So fillers are
// told apart by replicas of one step on different workers at the same time as
// well as by changes on one worker. The zero [Model] assumes something of every
// pair.
package interfere

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The numbers of learning. Drops are of headroom per whole worker.
const (
	// priorDrop is assumed of a pair never seen together, priorVar is its
	// variance: pairs were seen to have 0 to 10.
	priorDrop = 4
	priorVar  = 16
	// leastVar keeps learning going, as programs change.
	leastVar = 0.15
	// keptVar is the least variance of what was kept from before.
	keptVar = 1
	// mostDrop bounds what is learnt.
	mostDrop = 15
	// offsetVar is the variance of a replica's offset from its step, which
	// comes of the other services beside it.
	offsetVar = 0.1
	// noisePart is the part of a tail by which its rough figure is off.
	noisePart = 0.15
	// clipAt is the error, in standard deviations, beyond which a measurement
	// counts no more.
	clipAt = 2.5
	// saturated is the headroom under which a tail tells only that it is bad.
	saturated = 0.35
)

// Headroom rates a tail latency: 1 at the target, above it while the tail is
// under the target, and close to 0 far over it.
func Headroom(tailMS, targetMS int64) float64 {
	if tailMS <= 0 {
		return 0
	}
	return float64(targetMS) / float64(tailMS)
}

// Pair is a service's image and a filler's.
type Pair struct {
	// Service and Filler are the images.
	Service string `json:"service"`
	Filler  string `json:"filler"`
}

// estimate is a number and its variance.
type estimate struct {
	mean, variance float64
}

// Model holds what was learnt of pairs.
type Model struct {
	// Fixed keeps the model from learning anything of pairs.
	Fixed bool

	pairs map[Pair]*estimate
}

// Drop returns by how much a service's headroom drops if a filler takes all
// processors of its worker.
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

// The numbers of likeness.
const (
	// alikePairs is how many fillers must be known beside both services, and
	// alikeVar the most variance of a drop that is known.
	alikePairs = 3
	alikeVar   = 2
	// alikeDrop is the mean difference of drops at which images are neither alike
	// nor unlike: harmless pairs were seen to differ by up to 2.
	alikeDrop = 2
)

// Similarity rates how alike the images of two services suffer from fillers: 1 if all
// drops are the same, 0 if they differ by alikeDrop, -1 if by far more. Too little
// known of either counts as unlike.
func (mo *Model) Similarity(a, b string) float64 {
	if a == b {
		return 1
	}
	n, sum := 0, 0.0
	for pa, es := range mo.pairs {
		if pa.Service != a || es.variance > alikeVar {
			continue
		}
		if other := mo.pairs[Pair{Service: b, Filler: pa.Filler}]; other != nil && other.variance <= alikeVar {
			n++
			sum += math.Abs(es.mean - other.mean)
		}
	}
	if n < alikePairs {
		return -1
	}
	return max(1-sum/float64(n)/alikeDrop, -1)
}

// PairEstimate is what was learnt of a pair, to be kept.
type PairEstimate struct {
	Pair

	// Drop is the pair's, see [Model.Drop], and Variance its uncertainty.
	Drop     float64 `json:"drop"`
	Variance float64 `json:"variance"`
}

// Estimates returns what was learnt, up to a number of pairs, the most certain first.
func (mo *Model) Estimates(most int) []PairEstimate {
	list := make([]PairEstimate, 0, len(mo.pairs))
	for pa, es := range mo.pairs {
		list = append(list, PairEstimate{Pair: pa, Drop: es.mean, Variance: es.variance})
	}
	slices.SortFunc(list, func(a, b PairEstimate) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Filler, b.Filler))
	})
	return list[:min(len(list), most)]
}

// Restore returns a model that begins with what was kept. It is less certain
// of it than it was, as programs may have changed since.
func Restore(list []PairEstimate) Model {
	var mo Model
	for _, le := range list {
		es := mo.pair(le.Pair)
		es.mean, es.variance = min(max(le.Drop, 0), mostDrop), max(le.Variance, keptVar)
	}
	return mo
}

// Shares are the shares of a worker's processors that fillers use, by image.
type Shares map[string]float64

// PredictedDrop returns by how much the shares of fillers lower a service's headroom.
func (mo *Model) PredictedDrop(service string, sh Shares) float64 {
	sum := 0.0
	for filler, share := range sh {
		sum += mo.Drop(Pair{Service: service, Filler: filler}) * share
	}
	return sum
}

// Measurement is one of a replica's tail, with the shares of the fillers
// beside it over the same time.
type Measurement struct {
	// At is when it was taken.
	At time.Time
	// TailMS and TargetMS are the tail and the target in milliseconds.
	TailMS, TargetMS int64
	// Shares are the fillers'.
	Shares Shares
}

// variance is that of the measured headroom: the tail is a rough figure, and
// rounded to whole milliseconds.
func (me Measurement) variance() float64 {
	noise := noisePart * Headroom(me.TailMS, me.TargetMS)
	rounding := float64(me.TargetMS) / float64(2*me.TailMS*me.TailMS)
	return noise*noise + rounding*rounding
}

// Replica is what was learnt of one replica of a service.
type Replica struct {
	// Track is that of its step.
	Track *Track

	offset estimate
}

// Baseline returns the headroom that the replica is expected to have at a moment
// without fillers.
func (re *Replica) Baseline(at time.Time) float64 {
	level, _ := re.Track.at(at)
	return level + re.offset.mean
}

// Observe takes a measurement of a replica of the service.
func (mo *Model) Observe(re *Replica, service string, me Measurement) {
	if me.TailMS <= 0 || me.TargetMS <= 0 {
		return
	}
	if re.offset.variance == 0 {
		re.offset.variance = offsetVar
	}
	re.Track.advance(me.At)
	measured := Headroom(me.TailMS, me.TargetMS)
	miss := measured - (re.Track.level + re.offset.mean - mo.PredictedDrop(service, me.Shares))
	// A saturated tail hides how much lower the headroom would be.
	if measured < saturated && miss > 0 {
		return
	}
	sum := me.variance() + re.Track.levelVar + re.offset.variance
	for filler, share := range me.Shares {
		sum += share * share * mo.pair(Pair{Service: service, Filler: filler}).variance
	}
	bound := clipAt * math.Sqrt(sum)
	miss = min(max(miss, -bound), bound)
	re.Track.correct(miss, sum)
	re.offset.correct(1, miss, sum, 0)
	if mo.Fixed {
		return
	}
	for filler, share := range me.Shares {
		es := mo.pair(Pair{Service: service, Filler: filler})
		es.correct(-share, miss, sum, leastVar)
		es.mean = min(max(es.mean, 0), mostDrop)
	}
}

// correct moves the estimate by its part of a miss whose variance is sum, where
// the measurement has factor times the estimated number in it.
func (es *estimate) correct(factor, miss, sum, least float64) {
	gain := es.variance * factor / sum
	es.mean += gain * miss
	es.variance = max(es.variance*(1-gain*factor), least)
}
