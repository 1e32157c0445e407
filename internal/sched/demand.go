package sched

import "time"

// demandLogInterval is the time between log lines on long-running tasks that wait for
// capacity. The lines of single jobs contain neither the number of such tasks nor the total
// free capacity.
const demandLogInterval = time.Second

// longRunningDemand sums up the long-running tasks that wait for capacity, and the capacity of
// the workers that may take them.
type longRunningDemand struct {
	// jobs and tasks count what waits for capacity; interrupted counts the tasks among them
	// that ran before. headroom counts the jobs for which workers have the capacity but keep it
	// for short work.
	jobs, tasks, interrupted, headroom int
	// needMilliCores is the CPU that the tasks reserve, in thousandths of a core, longestWait
	// the longest time that one of the jobs has waited.
	needMilliCores int64
	longestWait    time.Duration
	// workers counts those that accept new tasks, earmarked those of them that are earmarked
	// for a long-running task. The other fields are in thousandths of a core: free is the total
	// free capacity, mostFree the largest free capacity of one worker, finite the capacity used
	// by tasks that end by themselves, and reserved the capacity reserved for interrupted
	// tasks.
	workers, earmarked     int
	reserved               int64
	free, mostFree, finite int64
}

// logLongRunningDemand logs how many long-running tasks wait for capacity, and what capacity
// there is.
func (ow *Owner) logLongRunningDemand(now time.Time) {
	lrd := ow.longRunningDemand(now)
	if lrd.tasks == 0 {
		return
	}
	ow.Log.Info("room for lasting tasks", "jobs", lrd.jobs, "tasks", lrd.tasks, "again", lrd.interrupted, "for_headroom", lrd.headroom, "need_millicores", lrd.needMilliCores, "longest", lrd.longestWait,
		"workers", lrd.workers, "kept", lrd.earmarked, "free_millicores", lrd.free, "most_millicores", lrd.mostFree, "passing_millicores", lrd.finite,
		"promised_millicores", lrd.reserved, "promises_lacking", ow.reservations.unmet)
}

// longRunningDemand sums up the long-running jobs that have waited for capacity for at least
// firstWaitLog, and the capacity of all workers that accept new tasks.
func (ow *Owner) longRunningDemand(now time.Time) longRunningDemand {
	var lrd longRunningDemand
	for _, tj := range ow.waitingJobs {
		if tj.jo.LongRunning() && (tj.waitCause == CauseRoom || tj.waitCause == CauseHeadroom) && now.Sub(tj.waitingSince) >= firstWaitLog {
			lrd.add(tj, now)
		}
	}
	if lrd.tasks == 0 {
		return lrd
	}
	for wk := range ow.allWorkers() {
		if wk.unavailableReason(now) != "" {
			continue
		}
		free := max(wk.Capacity.MilliCores-wk.reserved.MilliCores, 0)
		lrd.workers++
		lrd.free += free
		lrd.mostFree = max(lrd.mostFree, free)
		lrd.finite += wk.finiteReserved.MilliCores
		lrd.reserved += wk.restartReserved.MilliCores
		if wk.isEarmarked() {
			lrd.earmarked++
		}
	}
	return lrd
}

// add adds the waiting tasks of a long-running job.
func (lrd *longRunningDemand) add(tj *trackedJob, now time.Time) {
	lrd.jobs++
	if tj.waitCause == CauseHeadroom {
		lrd.headroom++
	}
	lrd.longestWait = max(lrd.longestWait, now.Sub(tj.waitingSince))
	for step := range tj.jo.Spec.Steps {
		n := tj.waitingIn(step)
		lrd.tasks += n
		lrd.needMilliCores += int64(n) * tj.jo.Spec.Steps[step].Reserved().MilliCores
		lrd.interrupted += tj.waitingInterrupted(step)
	}
}
