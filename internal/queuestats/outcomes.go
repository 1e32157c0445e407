package queuestats

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of outcomes.
const (
	// outcomesKept is how many of a queue's last jobs are remembered, leastOutcomes from how many
	// on they are judged: the largest tenth of fewer is one or two jobs.
	outcomesKept  = 200
	leastOutcomes = 30
	// largestPart and largePart are the parts of a queue's jobs whose service is compared with
	// that of all, the largest and those beneath them; the users specify them.
	largestPart = 0.1
	largePart   = 0.2
	// neglectedRatio is the share of jobs served, as a part of that of all jobs, below which a
	// part counts as neglected. The users allow half; the rest is a margin for the jobs that
	// wait until the order takes effect.
	neglectedRatio = 0.7
)

// Outcome is the work of a job, in thousandths of a core times milliseconds, and whether it was
// served: that it ended while it was of value to its caller.
type Outcome struct {
	Work   int64
	Served bool
}

// outcomes remembers which of the last jobs of a queue were served. Where capacity is short, the
// order by cost serves most jobs, at the expense of the largest; these must not be served less than
// half as often as all. The zero value remembers none.
type outcomes struct {
	list []Outcome
	next int
}

// add remembers an outcome in place of the oldest.
func (ou *outcomes) add(oc Outcome) {
	if len(ou.list) < outcomesKept {
		ou.list = append(ou.list, oc)
		return
	}
	ou.list[ou.next] = oc
	ou.next = (ou.next + 1) % outcomesKept
}

// neglectsLargest reports whether large jobs are served much less often than all.
func (ou *outcomes) neglectsLargest() bool {
	n := len(ou.list)
	if n < leastOutcomes {
		return false
	}
	list := slices.Clone(ou.list)
	slices.SortFunc(list, func(a, b Outcome) int { return cmp.Compare(b.Work, a.Work) })
	largest := int(math.Ceil(largestPart * float64(n)))
	large := largest + int(math.Ceil(largePart*float64(n)))
	least := neglectedRatio * ServedShare(list)
	return ServedShare(list[:largest]) < least || ServedShare(list[largest:large]) < least
}

// ServedShare returns the share of jobs that were served.
func ServedShare(list []Outcome) float64 {
	n := 0
	for _, oc := range list {
		if oc.Served {
			n++
		}
	}
	return float64(n) / float64(len(list))
}
