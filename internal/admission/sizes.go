package admission

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of sizeRecord.
const (
	// decisionsKept is how many of a queue's last decisions are remembered, leastDecisions from
	// how many on they are judged: the largest tenth of fewer is one or two jobs.
	decisionsKept  = 200
	leastDecisions = 30
	// largestPart and largePart are the parts of a queue's jobs whose admission is compared with
	// that of all, the largest and those beneath them; the users specify them.
	largestPart = 0.1
	largePart   = 0.2
	// neglectedRatio is the share of jobs admitted, as a part of that of all jobs, below which a
	// part is admitted regardless of the forecast. The users allow half; the rest is a margin
	// for large jobs that end too late more often than others.
	neglectedRatio = 0.8
)

// sizedDecision is a decision about a job of some work.
type sizedDecision struct {
	work     int64
	admitted bool
}

// sizeRecord remembers the last decisions about the jobs of a queue. Large jobs need more
// capacity and have more work ahead of them, so they are refused first, but they must not be
// served less than half as often as all.
type sizeRecord struct {
	list []sizedDecision
	next int
}

// recordSize remembers the decision about a job.
func (co *Controller) recordSize(re Request, admitted bool) {
	if co.sizes == nil {
		co.sizes = map[string]*sizeRecord{}
	}
	sr := co.sizes[re.Queue]
	if sr == nil {
		sr = &sizeRecord{}
		co.sizes[re.Queue] = sr
	}
	sd := sizedDecision{work: re.Work, admitted: admitted}
	if len(sr.list) < decisionsKept {
		sr.list = append(sr.list, sd)
		return
	}
	sr.list[sr.next] = sd
	sr.next = (sr.next + 1) % decisionsKept
}

// neglects reports whether the job belongs to the largest of its queue, and these are admitted
// much less often than all.
func (co *Controller) neglects(re Request) bool {
	sr := co.sizes[re.Queue]
	if sr == nil || len(sr.list) < leastDecisions {
		return false
	}
	list := slices.Clone(sr.list)
	slices.SortFunc(list, func(a, b sizedDecision) int { return cmp.Compare(b.work, a.work) })
	largest := int(math.Ceil(largestPart * float64(len(list))))
	large := largest + int(math.Ceil(largePart*float64(len(list))))
	least := neglectedRatio * admittedShare(list)
	switch {
	case re.Work <= list[len(list)/2].work:
		return false
	case re.Work >= list[largest-1].work:
		return admittedShare(list[:largest]) < least
	case re.Work >= list[large-1].work:
		return admittedShare(list[largest:large]) < least
	}
	return false
}

// admittedShare returns the share of admitted jobs.
func admittedShare(list []sizedDecision) float64 {
	n := 0
	for _, sd := range list {
		if sd.admitted {
			n++
		}
	}
	return float64(n) / float64(len(list))
}
