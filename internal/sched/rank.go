package sched

import (
	"container/heap"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// ranking orders the workers that can take a task of one step, the best first. The tasks of
// a step are identical, and placing one changes only the worker that it goes to; so all
// workers are rated once per step, and that worker again after each placement.
type ranking struct {
	pl   *placer
	en   *entry
	step int
	st   *job.Step
	// selective is set if fillers still wait for a worker that accepts them.
	selective bool
	// interrupted is set if the ranking is for tasks that were interrupted,
	// respectsReservations if the tasks must not use capacity that is reserved for such
	// tasks.
	interrupted, respectsReservations bool
	// counts has the attempts of the step by worker; nil if their number per worker is not
	// limited.
	counts map[*workerState]int
	heap   ratingHeap
	// cause is why no worker can take a task.
	cause Cause
}

// rank rates all workers for a step, either for its interrupted tasks or for the others.
func (pl *placer) rank(en *entry, step int, interrupted bool) *ranking {
	st := &en.jo.Spec.Steps[step]
	ra := &ranking{pl: pl, en: en, step: step, st: st, selective: st.Filler && pl.selective(en), interrupted: interrupted, cause: CauseRoom}
	ra.respectsReservations = st.Endless && !interrupted && pl.ow.reservations.appliesTo(en)
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

// fits reports whether the worker can take a task of the step now, and records the cause if
// not.
func (ra *ranking) fits(ca *candidate) bool {
	if !ca.hasCapacity(ra.st, ra.interrupted) || !ca.suitable(ra.en, ra.st) || (ra.counts != nil && ra.counts[ca.ho] >= ra.st.MaxPerWorker) {
		return false
	}
	if ra.respectsReservations && !ra.st.Reserved().Fits(ca.free.Sub(ca.ho.restartReserved)) {
		return false
	}
	if ra.selective && !ca.acceptsFiller(ra.st) {
		ra.cause = CausePlace
		return false
	}
	return true
}

// best returns the worker with the highest score, or nil if none can take a task. If there
// is one, the task waits only for its launch order, so the cause becomes CauseOrder.
func (ra *ranking) best() *candidate {
	if len(ra.heap) == 0 {
		return nil
	}
	ra.cause = CauseOrder
	return ra.heap[0].ca
}

// update rates the best worker again after a task was placed there.
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

// ratingHeap is a heap of workers, the highest score first and the lowest index among
// equals.
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
func (en *entry) countBy(step int) map[*workerState]int {
	counts := map[*workerState]int{}
	for ref, at := range en.attempts {
		if ref.Step == step {
			counts[at.ho]++
		}
	}
	return counts
}
