// Package speed learns how long tasks really take, and which workers are slow now.
//
// For each [Kind] of work, the [Model] keeps the distribution of the ratio of true time to
// estimated time, from the ends of tasks on healthy workers. The progress of an attempt between
// two polls, and the end of one, give a ratio too. Their likelihood under that distribution is
// compared with their likelihood if the worker is slower by one of several factors, and the
// logarithms are added up over the attempts that a worker runs or has just ended. Attempts that
// are seen running are more often long ones, which the comparison allows for. If an attempt's
// own speed falls, it is compared with itself, which does not depend on the distribution.
//
// The zero [Model], [Worker] and [Attempt] know nothing. The package sees no jobs and no network,
// takes times as arguments, and decides nothing about tasks except [Escape.Worthwhile].
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind identifies tasks whose estimates are off alike.
type Kind struct {
	// Queue is the queue of their jobs, Image the name of the program.
	Queue string `json:"queue"`
	Image string `json:"image,omitempty"`
}

// Limits of what is learnt.
const (
	// maxKinds bounds the kinds in memory; the one without ends for longest is forgotten.
	maxKinds = 1024
	// minEnds is how many ends of a kind must be known before its distribution is used. The
	// first ends after the start of an owner are those of short tasks; with 16 up to 0.9% of
	// healthy worker time counted as slow in simulated days, with 50 up to 0.4%.
	minEnds = 50
	// slowWorkerWeight is the weight of ends on workers that may be slow. It is not 0, as
	// otherwise a kind that becomes slower on all workers would never be learnt again.
	slowWorkerWeight = 0.1
)

// Model holds the distributions of all kinds.
type Model struct {
	kinds map[Kind]*kindStats
	// ends counts the ends that were learnt from.
	ends int64
}

// Ends returns how many ends the model has learnt from.
func (mo *Model) Ends() int64 { return mo.ends }

// kindStats is what is known of a kind.
type kindStats struct {
	kind Kind
	ends distribution
	// observedAt is the time of the last observation.
	observedAt time.Time
}

// known reports whether the distribution may be used.
func (ks *kindStats) known() bool { return ks.ends.count() >= minEnds }

// Ratio returns the median ratio of true time on a healthy worker to estimated time, or 1 while
// it is unknown.
func (mo *Model) Ratio(ki Kind) float64 {
	if ks := mo.kinds[ki]; ks != nil && ks.known() {
		return math.Exp(ks.ends.median())
	}
	return 1
}

// statsOf returns the statistics of a kind, which it creates if needed.
func (mo *Model) statsOf(ki Kind, now time.Time) *kindStats {
	ks := mo.kinds[ki]
	if ks != nil {
		return ks
	}
	if mo.kinds == nil {
		mo.kinds = map[Kind]*kindStats{}
	}
	if len(mo.kinds) >= maxKinds {
		mo.forgetOldest()
	}
	ks = &kindStats{kind: ki, observedAt: now}
	mo.kinds[ki] = ks
	return ks
}

func (mo *Model) forgetOldest() {
	var oldest *kindStats
	for _, ks := range mo.kinds {
		if oldest == nil || ks.observedAt.Before(oldest.observedAt) {
			oldest = ks
		}
	}
	delete(mo.kinds, oldest.kind)
}

// KindEstimate is what is known of a kind, to be stored.
type KindEstimate struct {
	Kind

	// First is the index of the first bin with a weight, Weights are the weights from there on.
	First   int   `json:"first"`
	Weights []int `json:"weights"`
}

// maxStoredName is the longest queue and image, together, of a kind that is stored.
const maxStoredName = 120

// Estimates returns at most limit estimates of known kinds, those with the most ends first.
func (mo *Model) Estimates(limit int) []KindEstimate {
	var known []*kindStats
	for _, ks := range mo.kinds {
		if ks.known() && len(ks.kind.Queue)+len(ks.kind.Image) <= maxStoredName {
			known = append(known, ks)
		}
	}
	slices.SortFunc(known, func(a, b *kindStats) int {
		return cmp.Or(cmp.Compare(b.ends.count(), a.ends.count()), cmp.Compare(a.kind.Queue, b.kind.Queue), cmp.Compare(a.kind.Image, b.kind.Image))
	})
	list := make([]KindEstimate, 0, min(len(known), limit))
	for _, ks := range known[:min(len(known), limit)] {
		first, weights := ks.ends.export()
		list = append(list, KindEstimate{Kind: ks.kind, First: first, Weights: weights})
	}
	return list
}

// Restore returns a model with stored estimates. Weights outside the range are ignored.
func Restore(list []KindEstimate, now time.Time) Model {
	var mo Model
	for _, ke := range list {
		mo.statsOf(ke.Kind, now).ends.restore(ke.First, ke.Weights)
	}
	return mo
}
