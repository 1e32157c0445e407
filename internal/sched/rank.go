package sched

import (
	"container/heap"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/nofit"
)

// ranking orders the workers that can take a task of one step, the best first. The tasks of
// a step are identical, and placing one changes only the worker that it goes to; so all
// workers are rated once per step, and that worker again after each placement.
//
// Fillers may run beside services nearly everywhere, and what they would do to these is the most
// expensive rating. So only as many workers are rated for them as give a good choice, and further
// ones once these are used up; each ranking goes on where the last one stopped.
type ranking struct {
	pl   *placer
	tj   *trackedJob
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
	// first is the index of the candidate with which the rating begins, looked counts those that
	// were looked at, and enough is how many are to be accepted before no more are looked at.
	first, looked, enough int
	// headroom has the workers to leave out as they are kept for short work, nil if none.
	headroom *headroomPlan
	// cause is why no worker can take a task.
	cause Cause
}

// rank rates the workers for a step, either for its interrupted tasks or for the others.
func (pl *placer) rank(tj *trackedJob, step int, interrupted bool) *ranking {
	st := &tj.jo.Spec.Steps[step]
	rk := &ranking{pl: pl, tj: tj, step: step, st: st, selective: st.Filler && pl.selective(tj), interrupted: interrupted, cause: CauseRoom}
	rk.respectsReservations = st.LongRunning && !interrupted && pl.ow.reservations.appliesTo(tj)
	sh := nofit.Shape{Step: st, Service: tj.jo.Terms.Service, Selective: rk.selective, Interrupted: interrupted, RespectsReservations: rk.respectsReservations}
	if st.MaxPerWorker > 0 {
		rk.counts = tj.countBy(step)
	}
	rk.leaveHeadroom()
	if rk.headroom != nil {
		sh.Headroom = rk.headroom.Need
	}
	if pl.ow.noFit.Has(sh) {
		if st.Filler {
			rk.cause = CausePlace
		}
		return rk
	}
	rk.first, rk.enough = pl.ow.rateFrom, len(pl.candidates)
	if st.Filler {
		rk.enough = max(minFillerChoice, fillerChoice*tj.waitingIn(step))
	}
	if sh.LacksCapacity = !rk.look(); len(rk.heap) == 0 {
		pl.ow.noFit.Add(sh)
	}
	return rk
}

// Limits on the workers that are rated for fillers.
const (
	// minFillerChoice is the least number of workers that are to be found for the fillers of a
	// step, fillerChoice the number for each of them.
	minFillerChoice = 128
	fillerChoice    = 4
)

// look looks at further candidates until enough are accepted, and reports whether any had the
// capacity.
func (rk *ranking) look() bool {
	pl, before, capable := rk.pl, rk.looked, false
	for ; rk.looked < len(pl.candidates) && len(rk.heap) < rk.enough; rk.looked++ {
		ca := pl.candidates[(rk.first+rk.looked)%len(pl.candidates)]
		if !ca.hasCapacity(rk.st, rk.interrupted) {
			continue
		}
		capable = true
		if rk.accepts(ca) {
			rk.heap = append(rk.heap, rating{ca: ca, score: ca.score(rk.tj, rk.st)})
		}
	}
	heap.Init(&rk.heap)
	pl.ow.lag.RecordRated(rk.looked - before)
	pl.ow.lag.RecordVisits(rk.looked - before)
	pl.ow.rateFrom = rk.first + rk.looked
	return capable
}

// accepts reports whether a worker with enough capacity can take a task of the step now, and
// records the cause if not.
func (rk *ranking) accepts(ca *candidate) bool {
	if !rk.suits(ca) || !rk.leavesReservations(ca) || !rk.headroom.allows(ca, rk.st) {
		return false
	}
	if rk.selective && !ca.acceptsFiller(rk.st) {
		rk.cause = CausePlace
		return false
	}
	return true
}

// suits reports whether a task of the step may run on the worker, regardless of free capacity.
func (rk *ranking) suits(ca *candidate) bool {
	return ca.suitable(rk.tj, rk.st) && (rk.counts == nil || rk.counts[ca.wk] < rk.st.MaxPerWorker)
}

// leavesReservations reports whether a task on the worker would leave free what is reserved there
// for interrupted tasks, if it has to.
func (rk *ranking) leavesReservations(ca *candidate) bool {
	return !rk.respectsReservations || rk.st.Reserved().Fits(ca.free.Sub(ca.wk.restartReserved))
}

// best returns the worker with the highest score, or nil if none can take a task. If there
// is one, the task waits only for its launch order, so the cause becomes CauseOrder.
func (rk *ranking) best() *candidate {
	if len(rk.heap) == 0 && rk.looked > 0 {
		rk.look()
	}
	if len(rk.heap) == 0 {
		if rk.waitsForHeadroom() {
			rk.cause = CauseHeadroom
		}
		return nil
	}
	rk.cause = CauseOrder
	return rk.heap[0].ca
}

// update rates the best worker again after a task was placed there, and removes it if it can
// take no more.
func (rk *ranking) update(ca *candidate) {
	if rk.counts != nil {
		rk.counts[ca.wk]++
	}
	rk.cause = CauseRoom
	if !ca.hasCapacity(rk.st, rk.interrupted) || !rk.accepts(ca) {
		heap.Pop(&rk.heap)
		return
	}
	rk.heap[0].score = ca.score(rk.tj, rk.st)
	heap.Fix(&rk.heap, 0)
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
func (rh ratingHeap) Len() int { return len(rh) }

// Less implements heap.Interface.
func (rh ratingHeap) Less(i, j int) bool {
	if rh[i].score != rh[j].score {
		return rh[i].score > rh[j].score
	}
	return rh[i].ca.index < rh[j].ca.index
}

// Swap implements heap.Interface.
func (rh ratingHeap) Swap(i, j int) { rh[i], rh[j] = rh[j], rh[i] }

// Push implements heap.Interface.
func (rh *ratingHeap) Push(x any) { *rh = append(*rh, x.(rating)) }

// Pop implements heap.Interface.
func (rh *ratingHeap) Pop() any {
	last := (*rh)[len(*rh)-1]
	*rh = (*rh)[:len(*rh)-1]
	return last
}

// countBy counts the attempts of a step by worker.
func (tj *trackedJob) countBy(step int) map[*workerState]int {
	counts := map[*workerState]int{}
	for key, at := range tj.attempts {
		if key.ref.Step == step {
			counts[at.wk]++
		}
	}
	return counts
}
