package job

import "slices"

// The ends of workers under the attempts of a task are counted, until one of them is seen
// to last. That a worker crashed just after it began the task is certain for some, and for
// others not: it ended later, was silent before, or had not answered to the order. The
// users bear five starts of a task that crashes each worker, and that a task is given up
// under which two workers have crashed.
const (
	// crashesMost is how many certain crashes a task is given up for. By then it has cost
	// three workers, and all that stood on them.
	crashesMost = 3
	// lossesMost is for how many ends of workers a task is given up of which
	// crashesLeast, but not crashesMost, are certain.
	lossesMost   = 5
	crashesLeast = 2
	// lossesEnd is for how many ends it is given up if hardly any is certain. One task in
	// a thousand would get there by chance if half of all attempts lost their worker.
	lossesEnd = 10
)

// givenUpMost bounds the attempts that are remembered as given up, the newest first to be
// kept: queues allow two to four failures.
const givenUpMost = 4

// countLoss notes that an attempt ended in a way that the worker did not tell.
func (jo *Job) countLoss(ta *Task, end End) {
	switch end {
	case EndCrashed:
		ta.Crashes++
	case EndLost:
		ta.Losses++
	}
	if end != EndCrashed {
		ta.GivenUp = append(ta.GivenUp, ta.Attempt)
		ta.GivenUp = ta.GivenUp[max(0, len(ta.GivenUp)-givenUpMost):]
	}
	if ta.hopeless() {
		jo.giveUp(ta)
	}
}

// hopeless reports whether too many workers have ended under the task.
func (ta *Task) hopeless() bool {
	ends := ta.Crashes + ta.Losses
	return ta.Crashes >= crashesMost || (ta.Crashes >= crashesLeast && ends >= lossesMost) || ends >= lossesEnd
}

// giveUp ends a task that is not tried again.
func (jo *Job) giveUp(ta *Task) {
	ta.State = Abandoned
	jo.failed++
}

// Suspect reports whether workers have ended under the task of late, so that it is
// better tried where few others stand.
func (ta *Task) Suspect() bool { return ta.Crashes+ta.Losses > 0 }

// Isolated reports whether the task is to be tried with nothing new beside it, as one crash
// more may give it up.
func (ta *Task) Isolated() bool {
	return ta.Crashes >= crashesMost-1 || ta.Crashes+ta.Losses >= lossesMost-1
}

// RecordLateFailure notes that an attempt which had been given up without the worker's word had
// failed, and reports whether that was news. The failure counts; an attempt that has
// begun since may still be done.
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

// Exhausted reports whether the task has failed as often as its queue allows. Tasks that
// last have no such limit.
func (jo *Job) Exhausted(ref TaskRef) bool {
	ta := jo.Task(ref)
	return ta.Failures > 0 && ta.Failures >= jo.Terms.MaxFailures && !jo.Spec.Steps[ref.Step].Endless
}
