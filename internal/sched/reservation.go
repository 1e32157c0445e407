package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Long-running tasks of a lost worker can start elsewhere only once its leases have lapsed.
// Tasks that start meanwhile and do not end by themselves would leave them no capacity. So
// capacity is reserved for them as soon as their worker is likely to be lost, and long-running
// tasks that never ran start only on what is left. Tasks that end by themselves may use the
// reserved capacity until the interrupted tasks can start.

// maxRestartReservations bounds the tasks for which capacity is reserved, as each may take a
// search of all workers.
const maxRestartReservations = 500

// pendingRestart is an interrupted task that is expected to start again soon.
type pendingRestart struct {
	en *entry
	st *job.Step
	// ready is set once it may start.
	ready bool
}

// restartReservations summarizes the capacity reserved for tasks that are to start again. The
// zero value means that none is.
type restartReservations struct {
	// active is set while there are such tasks, priority is the highest priority of their
	// jobs. Jobs of a higher one ignore the reservations.
	active   bool
	priority int
	// unmet counts the tasks for which no worker has enough capacity.
	unmet int
}

// appliesTo reports whether tasks of the job that never ran must leave the reserved capacity
// free.
func (pr *restartReservations) appliesTo(en *entry) bool {
	return pr.active && en.jo.Terms.Priority >= pr.priority
}

// likelyLost reports whether the worker has attempts and is likely to be lost with them.
func (ho *workerState) likelyLost(now time.Time) bool {
	if ho.dead || len(ho.attempts) == 0 {
		return false
	}
	return ho.unlisted && !ho.failingSince.IsZero() || !ho.noContactSince.IsZero() && now.Sub(ho.noContactSince) >= unresponsiveAfter
}

// reserveForRestarts reserves capacity for the long-running tasks that are to start again.
func (ow *Owner) reserveForRestarts(now time.Time) {
	if !ow.uses(MechReserveCapacity) {
		return
	}
	list := ow.pendingRestarts(now)
	if !ow.reservations.active && len(list) == 0 {
		return
	}
	ow.reservations = restartReservations{active: len(list) > 0}
	var workers []reservableWorker
	for _, ho := range ow.sortedWorkers() {
		ho.restartReserved, ho.restartReady = worker.Resources{}, false
		if ho.available(now) {
			workers = append(workers, reservableWorker{ca: newCandidate(ho, now), free: ho.Capacity.Sub(ho.reserved).Add(ho.finiteReserved)})
		}
	}
	slices.SortFunc(list, func(a, b pendingRestart) int {
		return cmp.Or(compareSizes(a.st, b.st), cmp.Compare(a.en.order, b.en.order))
	})
	for i, ex := range list {
		if i == 0 || ex.en.jo.Terms.Priority < ow.reservations.priority {
			ow.reservations.priority = ex.en.jo.Terms.Priority
		}
		ho := ex.reserve(workers)
		if ho == nil {
			ow.reservations.unmet++
			continue
		}
		ho.restartReady = ho.restartReady || ex.ready
	}
}

// compareSizes orders larger steps first.
func compareSizes(a, b *job.Step) int {
	return cmp.Or(cmp.Compare(b.Reserved().MilliCores, a.Reserved().MilliCores), cmp.Compare(b.Reserved().MemMB, a.Reserved().MemMB))
}

// reservableWorker is a worker and its capacity that is not reserved and not in use by
// long-running tasks.
type reservableWorker struct {
	ca   *candidate
	free worker.Resources
	// exhausted is set once all of it is reserved.
	exhausted bool
}

// reserve reserves capacity on the worker with the least left that has enough, and returns it.
// If none has enough, it reserves all of the worker that has the most left, as more may become
// free there, and returns nil.
func (ex pendingRestart) reserve(workers []reservableWorker) *workerState {
	need := ex.st.Reserved()
	var best, largest *reservableWorker
	for i := range workers {
		rw := &workers[i]
		if rw.exhausted || !rw.ca.suitable(ex.en, ex.st) {
			continue
		}
		if need.Fits(rw.free) && (best == nil || rw.free.MilliCores < best.free.MilliCores) {
			best = rw
		}
		if largest == nil || rw.free.MilliCores > largest.free.MilliCores {
			largest = rw
		}
	}
	if best != nil {
		best.free = best.free.Sub(need)
		best.ca.ho.restartReserved = best.ca.ho.restartReserved.Add(need)
		return best.ca.ho
	}
	if largest != nil {
		largest.exhausted = true
		largest.ca.ho.restartReserved = largest.ca.ho.Capacity
	}
	return nil
}

// pendingRestarts returns the long-running tasks that are to start again: those on workers
// that are likely lost and those that wait for capacity.
func (ow *Owner) pendingRestarts(now time.Time) []pendingRestart {
	var list []pendingRestart
	for _, ho := range ow.sortedWorkers() {
		if !ho.likelyLost(now) {
			continue
		}
		for at := range ho.attempts {
			if at.step().Endless && at.haltSentAt.IsZero() {
				list = append(list, pendingRestart{en: at.en, st: at.step()})
			}
		}
	}
	unseen := len(ow.unowned) > 0 && now.Sub(ow.startedAt) >= unresponsiveAfter
	for _, en := range ow.active {
		if en.jo.Endless() {
			list = en.appendWaitingRestarts(list, now)
		}
	}
	if unseen {
		for _, en := range ow.entries {
			list = en.appendUnownedRestarts(list)
		}
	}
	return list[:min(len(list), maxRestartReservations)]
}

// appendWaitingRestarts appends the job's interrupted tasks that may start now.
func (en *entry) appendWaitingRestarts(list []pendingRestart, now time.Time) []pendingRestart {
	for step, tasks := range en.jo.Tasks {
		st := &en.jo.Spec.Steps[step]
		if !st.Endless || !en.jo.Ready(step) {
			continue
		}
		for index := range tasks {
			ref := job.TaskRef{Step: step, Index: index}
			if tasks[index].State == job.Waiting && en.interrupted(ref) && !en.backoffs.active(ref, now) {
				list = append(list, pendingRestart{en: en, st: st, ready: true})
			}
		}
	}
	return list
}

// appendUnownedRestarts appends the job's tasks on workers that were not seen since the
// takeover.
func (en *entry) appendUnownedRestarts(list []pendingRestart) []pendingRestart {
	for _, ref := range en.unowned {
		if st := &en.jo.Spec.Steps[ref.Step]; st.Endless {
			list = append(list, pendingRestart{en: en, st: st})
		}
	}
	return list
}
