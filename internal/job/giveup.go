package job

import "slices"

// The number of workers that ended while they ran a task is counted until an attempt of
// the task is seen to be stable. For some it is certain that the worker crashed just after
// it began the task. For others it is not: the worker ended later, had not answered
// before, or had not acknowledged the start. If the owner changed since the start, a crash
// is only presumed: presumed crashes bound the starts of a task that crashes its workers
// together with their owners, but are no proof. Users accept five starts of a task that
// crashes every worker, and accept that a task is given up once two workers have crashed
// while they ran it.
const (
	// maxCrashes is the number of certain crashes after which a task is given up. By then
	// it has cost three workers and everything that ran on them.
	maxCrashes = 3
	// maxEndsWithCrashes is the number of ended workers after which a task is given up if
	// at least minCrashes are certain or presumed crashes.
	maxEndsWithCrashes = 5
	minCrashes         = 2
	// maxEnds is the number of ended workers after which a task is given up if fewer than
	// minCrashes are certain or presumed crashes. If half of all attempts lost their worker for reasons
	// other than the task, one task in a thousand would reach this number by chance.
	maxEnds = 10
)

// maxGivenUp is how many attempts that were given up are remembered, the newest ones.
// Queues allow two to four failures.
const maxGivenUp = 4

// recordLoss records the end of an attempt that the worker did not report as ended.
func (ta *Task) recordLoss(attempt int, end End) {
	switch end {
	case EndCrashed:
		ta.Crashes++
	case EndPresumedCrash:
		ta.Crashes++
		ta.PresumedCrashes++
	case EndLost:
		ta.Losses++
	}
	if end != EndCrashed {
		ta.GivenUp = append(ta.GivenUp, attempt)
		ta.GivenUp = ta.GivenUp[max(0, len(ta.GivenUp)-maxGivenUp):]
	}
}

// exceedsEndLimits reports whether too many workers have ended while they ran the task.
func (ta *Task) exceedsEndLimits() bool {
	ends := ta.Crashes + ta.Losses
	return ta.Crashes-ta.PresumedCrashes >= maxCrashes || (ta.Crashes >= minCrashes && ends >= maxEndsWithCrashes) || ends >= maxEnds
}

// giveUp ends a task that is not started again.
func (jo *Job) giveUp(ta *Task) {
	ta.State = Abandoned
	jo.abandoned++
}

// Suspect reports whether workers have recently ended while they ran the task, so that it
// is better started on a worker with few other tasks.
func (ta *Task) Suspect() bool { return ta.Crashes+ta.Losses > 0 }

// Isolated reports whether nothing else may be started on the task's worker, as one more
// crash may cause the task to be given up.
func (ta *Task) Isolated() bool {
	return ta.Crashes >= maxCrashes-1 || ta.Crashes+ta.Losses >= maxEndsWithCrashes-1
}

// RecordLateFailure records that an attempt which had been given up without a report of
// the worker had failed, and reports whether that was new. The failure counts; an attempt
// that has started since may still complete the task.
func (jo *Job) RecordLateFailure(ref TaskRef, attempt int) bool {
	ta := jo.Task(ref)
	if ta == nil || ta.State == Done || ta.State == Abandoned || jo.State().Final() {
		return false
	}
	at := slices.Index(ta.GivenUp, attempt)
	if at < 0 {
		return false
	}
	ta.GivenUp = slices.Delete(ta.GivenUp, at, at+1)
	ta.Failures++
	if ta.State == Waiting && jo.Exhausted(ref) {
		jo.giveUp(ta)
	}
	return true
}

// Exhausted reports whether the task has failed as often as its queue allows. Long-running
// tasks have no such limit.
func (jo *Job) Exhausted(ref TaskRef) bool {
	ta := jo.Task(ref)
	return ta.Failures > 0 && ta.Failures >= jo.Terms.MaxFailures && !jo.Spec.Steps[ref.Step].LongRunning
}
