package sched

import "time"

// demandLogInterval is the time between log lines on endless tasks that wait for capacity.
// The lines of single jobs tell neither how many such tasks there are nor the total free
// capacity.
const demandLogInterval = time.Second

// longRunningDemand sums up the endless tasks that wait and the capacity that there is for
// them.
type longRunningDemand struct {
	// jobs and tasks count what waits for capacity; interrupted counts the tasks among them
	// that ran before.
	jobs, tasks, interrupted int
	// needMilliCores is the processor time that the tasks need, in thousandths of a core,
	// longestWait the longest time that a job has waited.
	needMilliCores int64
	longestWait    time.Duration
	// workers counts those that accept new tasks, earmarked those of them whose free
	// capacity is set aside for an endless task. The rest is in thousandths of a core: free
	// is the sum of what is free, mostFree the largest free part of one worker, finite what
	// is taken by tasks that end by themselves, and reserved what is reserved for
	// interrupted tasks.
	workers, earmarked     int
	reserved               int64
	free, mostFree, finite int64
}

// logLongRunningDemand logs how many endless tasks wait for capacity, and what capacity there
// is.
func (ow *Owner) logLongRunningDemand(now time.Time) {
	if now.Sub(ow.scarcityLoggedAt) < demandLogInterval {
		return
	}
	ed := ow.longRunningDemand(now)
	if ed.tasks == 0 {
		return
	}
	ow.scarcityLoggedAt = now
	ow.Log.Info("room for lasting tasks", "jobs", ed.jobs, "tasks", ed.tasks, "again", ed.interrupted, "need_millicores", ed.needMilliCores, "longest", ed.longestWait,
		"workers", ed.workers, "kept", ed.earmarked, "free_millicores", ed.free, "most_millicores", ed.mostFree, "passing_millicores", ed.finite,
		"promised_millicores", ed.reserved, "promises_lacking", ow.reservations.unmet)
}

// longRunningDemand sums up the endless jobs that have waited for capacity for at least
// firstWait, and the capacity of all workers.
func (ow *Owner) longRunningDemand(now time.Time) longRunningDemand {
	var ed longRunningDemand
	for _, tj := range ow.waitingJobs {
		if tj.jo.LongRunning() && tj.waitCause == CauseRoom && now.Sub(tj.waitingSince) >= firstWaitLog {
			ed.add(tj, now)
		}
	}
	if ed.tasks == 0 {
		return ed
	}
	for _, wk := range ow.workers {
		if wk.unavailableReason(now) != "" {
			continue
		}
		free := max(wk.Capacity.MilliCores-wk.reserved.MilliCores, 0)
		ed.workers++
		ed.free += free
		ed.mostFree = max(ed.mostFree, free)
		ed.finite += wk.finiteReserved.MilliCores
		ed.reserved += wk.restartReserved.MilliCores
		if wk.isEarmarked() {
			ed.earmarked++
		}
	}
	return ed
}

// add adds the waiting tasks of a job.
func (ed *longRunningDemand) add(tj *trackedJob, now time.Time) {
	ed.jobs++
	ed.longestWait = max(ed.longestWait, now.Sub(tj.waitingSince))
	for step := range tj.jo.Spec.Steps {
		n := tj.waitingIn(step)
		ed.tasks += n
		ed.needMilliCores += int64(n) * tj.jo.Spec.Steps[step].Reserved().MilliCores
		ed.interrupted += tj.waitingInterrupted(step)
	}
}
