package sched

import "time"

// demandLogInterval is the time between log lines on endless tasks that wait for capacity.
// The lines of single jobs tell neither how many such tasks there are nor the total free
// capacity.
const demandLogInterval = time.Second

// endlessDemand sums up the endless tasks that wait and the capacity that there is for
// them.
type endlessDemand struct {
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

// logEndlessDemand logs how many endless tasks wait for capacity, and what capacity there
// is.
func (ow *Owner) logEndlessDemand(now time.Time) {
	if now.Sub(ow.scarcityLoggedAt) < demandLogInterval {
		return
	}
	ed := ow.endlessDemand(now)
	if ed.tasks == 0 {
		return
	}
	ow.scarcityLoggedAt = now
	ow.Log.Info("room for lasting tasks", "jobs", ed.jobs, "tasks", ed.tasks, "again", ed.interrupted, "need_millicores", ed.needMilliCores, "longest", ed.longestWait,
		"workers", ed.workers, "kept", ed.earmarked, "free_millicores", ed.free, "most_millicores", ed.mostFree, "passing_millicores", ed.finite,
		"promised_millicores", ed.reserved, "promises_lacking", ow.reservations.unmet)
}

// endlessDemand sums up the endless jobs that have waited for capacity for at least
// firstWait, and the capacity of all workers.
func (ow *Owner) endlessDemand(now time.Time) endlessDemand {
	var ed endlessDemand
	for _, en := range ow.active {
		if en.jo.Endless() && en.waitCause == CauseRoom && now.Sub(en.waitingSince) >= firstWaitLog {
			ed.add(en, now)
		}
	}
	if ed.tasks == 0 {
		return ed
	}
	for _, ho := range ow.hosts {
		if ho.unavailableReason(now) != "" {
			continue
		}
		free := max(ho.Capacity.MilliCores-ho.reserved.MilliCores, 0)
		ed.workers++
		ed.free += free
		ed.mostFree = max(ed.mostFree, free)
		ed.finite += ho.finiteReserved.MilliCores
		ed.reserved += ho.restartReserved.MilliCores
		if ho.isEarmarked() {
			ed.earmarked++
		}
	}
	return ed
}

// add adds the waiting tasks of a job.
func (ed *endlessDemand) add(en *entry, now time.Time) {
	ed.jobs++
	ed.longestWait = max(ed.longestWait, now.Sub(en.waitingSince))
	for step := range en.jo.Spec.Steps {
		n := en.waitingIn(step)
		ed.tasks += n
		ed.needMilliCores += int64(n) * en.jo.Spec.Steps[step].Reserved().MilliCores
		ed.interrupted += en.waitingInterrupted(step)
	}
}
