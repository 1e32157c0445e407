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
	tj *trackedJob
	st *job.Step
	// ready is set once it may start.
	ready bool
}

// restartReservations summarizes the capacity reserved for tasks that are to start again. The
// zero value means that none is.
type restartReservations struct {
	// active is set while there are such tasks, priority is the highest priority of their
	// jobs, which is the lowest number. Jobs of a higher priority ignore the reservations.
	active   bool
	priority int
	// unmet counts the tasks for which no worker has enough capacity.
	unmet int
}

// appliesTo reports whether tasks of the job that never ran must leave the reserved capacity
// free.
func (rr *restartReservations) appliesTo(tj *trackedJob) bool {
	return rr.active && tj.jo.Terms.Priority >= rr.priority
}

// likelyLost reports whether the worker has attempts and is likely to be lost with them.
func (wk *workerState) likelyLost(now time.Time) bool {
	if wk.dead || len(wk.attempts) == 0 {
		return false
	}
	return wk.unlisted && !wk.failingSince.IsZero() || !wk.noContactSince.IsZero() && now.Sub(wk.noContactSince) >= unresponsiveAfter
}

// reserveForRestarts reserves capacity for the long-running tasks that are to start again.
func (ow *Owner) reserveForRestarts(now time.Time) {
	if !ow.enabled(MechReserveCapacity) {
		return
	}
	list := ow.pendingRestarts(now)
	if !ow.reservations.active && len(list) == 0 {
		return
	}
	ow.reservations = restartReservations{active: len(list) > 0}
	workers := ow.reservableWorkers(now)
	slices.SortFunc(list, func(a, b pendingRestart) int {
		return cmp.Or(compareSizes(a.st, b.st), cmp.Compare(a.tj.order, b.tj.order))
	})
	var unmet []pendingRestart
	for i, pr := range list {
		if i == 0 || pr.tj.jo.Terms.Priority < ow.reservations.priority {
			ow.reservations.priority = pr.tj.jo.Terms.Priority
		}
		if !pr.reserve(workers) {
			unmet = append(unmet, pr)
		}
	}
	// A worker that is reserved whole has nothing left for tasks that fit, so these come first.
	for _, pr := range unmet {
		pr.reserveLargest(workers)
	}
	ow.reservations.unmet = len(unmet)
}

// reservableWorkers discards all reservations and returns the workers that may take restarts,
// the most free cores first.
func (ow *Owner) reservableWorkers(now time.Time) []reservableWorker {
	var workers []reservableWorker
	for wk := range ow.allWorkers() {
		wk.restartReserved, wk.restartReady = worker.Resources{}, false
		if wk.available(now) {
			workers = append(workers, reservableWorker{ca: newCandidate(wk), free: wk.Capacity.Sub(wk.reserved).Add(wk.finiteReserved)})
		}
	}
	slices.SortStableFunc(workers, func(a, b reservableWorker) int { return cmp.Compare(b.free.MilliCores, a.free.MilliCores) })
	return workers
}

// compareSizes orders larger steps first.
func compareSizes(a, b *job.Step) int {
	return cmp.Or(cmp.Compare(b.Reserved().MilliCores, a.Reserved().MilliCores), cmp.Compare(b.Reserved().MemMB, a.Reserved().MemMB))
}

// reservableWorker is a worker and its capacity that is neither in use by long-running tasks
// nor reserved for a restart yet.
type reservableWorker struct {
	ca   candidate
	free worker.Resources
	// exhausted is set once all of the worker is reserved for one task that does not fit.
	exhausted bool
}

// reserve reserves capacity on the worker with the least free cores that has enough of
// everything, and reports whether there is one. The workers are sorted by the cores that were
// free before any reservation.
func (pr pendingRestart) reserve(workers []reservableWorker) bool {
	need := pr.st.Reserved()
	var best *reservableWorker
	for i := range workers {
		rw := &workers[i]
		if rw.ca.free.MilliCores+rw.ca.wk.finiteReserved.MilliCores < need.MilliCores {
			break
		}
		if need.Fits(rw.free) && (best == nil || rw.free.MilliCores < best.free.MilliCores) && rw.ca.suitable(pr.tj, pr.st) {
			best = rw
		}
	}
	if best == nil {
		return false
	}
	best.free = best.free.Sub(need)
	best.ca.wk.restartReserved = best.ca.wk.restartReserved.Add(need)
	best.ca.wk.restartReady = best.ca.wk.restartReady || pr.ready
	return true
}

// reserveLargest reserves all of the worker that has the most free cores, as more may become
// free there.
func (pr pendingRestart) reserveLargest(workers []reservableWorker) {
	var largest *reservableWorker
	for i := range workers {
		rw := &workers[i]
		if !rw.exhausted && (largest == nil || rw.free.MilliCores > largest.free.MilliCores) && rw.ca.suitable(pr.tj, pr.st) {
			largest = rw
		}
	}
	if largest != nil {
		largest.exhausted = true
		largest.ca.wk.restartReserved = largest.ca.wk.Capacity
	}
}

// pendingRestarts returns the long-running tasks that are to start again: those on workers
// that are likely lost and those that wait for capacity.
func (ow *Owner) pendingRestarts(now time.Time) []pendingRestart {
	var list []pendingRestart
	for _, wk := range ow.scan.silent {
		if !wk.likelyLost(now) {
			continue
		}
		for at := range wk.allAttempts() {
			if at.step().LongRunning && at.haltSentAt.IsZero() {
				list = append(list, pendingRestart{tj: at.tj, st: at.step()})
			}
		}
	}
	unseen := len(ow.unowned) > 0 && now.Sub(ow.startedAt) >= unresponsiveAfter
	for _, tj := range ow.waitingJobs {
		if tj.jo.LongRunning() {
			list = tj.appendWaitingRestarts(list, now)
		}
	}
	if unseen {
		for tj := range ow.allJobs() {
			list = tj.appendUnownedRestarts(list)
		}
	}
	return list[:min(len(list), maxRestartReservations)]
}

// appendWaitingRestarts appends the job's interrupted tasks that may start now.
func (tj *trackedJob) appendWaitingRestarts(list []pendingRestart, now time.Time) []pendingRestart {
	for step, tasks := range tj.jo.Tasks {
		st := &tj.jo.Spec.Steps[step]
		if !st.LongRunning || !tj.jo.Ready(step) {
			continue
		}
		for index := range tasks {
			ref := job.TaskRef{Step: step, Index: index}
			if tasks[index].State == job.Waiting && tj.interrupted(ref) && !tj.backoffs.Active(ref, now) {
				list = append(list, pendingRestart{tj: tj, st: st, ready: true})
			}
		}
	}
	return list
}

// appendUnownedRestarts appends the job's tasks on workers that were not seen since the
// takeover.
func (tj *trackedJob) appendUnownedRestarts(list []pendingRestart) []pendingRestart {
	for _, key := range tj.unowned {
		if st := &tj.jo.Spec.Steps[key.ref.Step]; st.LongRunning {
			list = append(list, pendingRestart{tj: tj, st: st})
		}
	}
	return list
}
