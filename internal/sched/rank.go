package sched

import (
	"container/heap"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// ranking has the workers on which tasks of one step find room, the best first.
// The tasks of a step are alike, and placing one changes nothing but the worker it
// goes to; so all workers are rated once a step, and that one again.
type ranking struct {
	pl   *placer
	en   *entry
	step int
	st   *job.Step
	// patient is set if fillers still wait for a good place.
	selective bool
	// interrupted is set for tasks that were, yields if the tasks leave room for those.
	interrupted, respectsReservations bool
	// counts are the attempts of the step by worker, if their number is bounded.
	counts map[*host]int
	heap   ratingHeap
	// lack is what lacks if there is no worker.
	cause Cause
}

// rank rates all workers for a step, for its tasks that were interrupted or the others.
func (pl *placer) rank(en *entry, step int, interrupted bool) *ranking {
	st := &en.jo.Spec.Steps[step]
	ra := &ranking{pl: pl, en: en, step: step, st: st, selective: st.Filler && pl.selective(en), interrupted: interrupted, cause: CauseRoom}
	ra.respectsReservations = st.Endless && !interrupted && pl.ow.reservations.binds(en)
	sh := shape{st: st, service: en.jo.Terms.Service, selective: ra.selective, interrupted: interrupted, respectsReservations: ra.respectsReservations}
	if pl.ow.noPlace.has(sh) {
		if st.Filler {
			ra.cause = CausePlace
		}
		return ra
	}
	if st.MaxPerWorker > 0 {
		ra.counts = en.countBy(step)
	}
	for _, ca := range pl.hosts {
		if ra.fits(ca) {
			ra.heap = append(ra.heap, rating{ca: ca, score: ca.score(en, st)})
		}
	}
	if len(ra.heap) == 0 {
		pl.ow.noPlace.add(sh)
	}
	heap.Init(&ra.heap)
	return ra
}

// fits reports whether the worker may get a task of the step now, and notes what
// lacks if not.
func (ra *ranking) fits(ca *candidate) bool {
	if !ca.hasRoom(ra.st, ra.interrupted) || !ca.suitable(ra.en, ra.st) || (ra.counts != nil && ra.counts[ca.ho] >= ra.st.MaxPerWorker) {
		return false
	}
	if ra.respectsReservations && !ra.st.Reserved().Fits(ca.free.Sub(ca.ho.promised)) {
		return false
	}
	if ra.selective && !ca.acceptsFiller(ra.st) {
		ra.cause = CausePlace
		return false
	}
	return true
}

// best returns the best worker, or nil.
func (ra *ranking) best() *candidate {
	if len(ra.heap) == 0 {
		return nil
	}
	ra.cause = CauseOrder
	return ra.heap[0].ca
}

// changed rates the best worker anew, after a task went there.
func (ra *ranking) update(ca *candidate) {
	if ra.counts != nil {
		ra.counts[ca.ho]++
	}
	ra.cause = CauseRoom
	if !ra.fits(ca) {
		heap.Pop(&ra.heap)
		return
	}
	ra.heap[0].score = ca.score(ra.en, ra.st)
	heap.Fix(&ra.heap, 0)
}

// rating is a worker with its score.
type rating struct {
	ca    *candidate
	score float64
}

// rated are workers as a heap, the best first.
type ratingHeap []rating

// Len implements heap.Interface.
func (ra ratingHeap) Len() int { return len(ra) }

// Less implements heap.Interface.
func (ra ratingHeap) Less(i, j int) bool {
	if ra[i].score != ra[j].score {
		return ra[i].score > ra[j].score
	}
	return ra[i].ca.index < ra[j].ca.index
}

// Swap implements heap.Interface.
func (ra ratingHeap) Swap(i, j int) { ra[i], ra[j] = ra[j], ra[i] }

// Push implements heap.Interface.
func (ra *ratingHeap) Push(x any) { *ra = append(*ra, x.(rating)) }

// Pop implements heap.Interface.
func (ra *ratingHeap) Pop() any {
	last := (*ra)[len(*ra)-1]
	*ra = (*ra)[:len(*ra)-1]
	return last
}

// countBy counts the attempts of a step by worker.
func (en *entry) countBy(step int) map[*host]int {
	counts := map[*host]int{}
	for ref, at := range en.attempts {
		if ref.Step == step {
			counts[at.ho]++
		}
	}
	return counts
}
