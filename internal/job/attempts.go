package job

import "github.com/pepperhatch/pepperhatch/internal/worker"

// Attempt is an attempt of a task that runs, or may run.
type Attempt struct {
	// Number is its number, Worker the incarnation of its worker, and Phase how far it was
	// seen to get.
	Number int
	Worker worker.Incarnation
	Phase  Phase
	// Acknowledged is set if the worker is known to have it.
	Acknowledged bool
}

// A task of a step with [Step.Copies] may have a second attempt, the copy, while the first
// one runs. The fields of [Task] for the last attempt then describe the copy, as the next
// attempt needs a higher number than both; the first one moves to Task.Other. Each of the
// two ends by itself: a task waits again only once neither runs, and the first that is done
// completes it. The other attempt of a task that is done stays in Task.Other until it has
// ended, so that the next owner knows the capacity that it takes and stops it.

// Running returns the attempts of the task that run, or may run; two at most.
func (ta *Task) Running() []Attempt {
	var list []Attempt
	if ta.lastRuns() {
		list = append(list, ta.last())
	}
	if ta.Other.Number > 0 {
		list = append(list, ta.Other)
	}
	return list
}

// Running returns the attempts of a task that run, or may run; none if the job has no such
// task.
func (jo *Job) Running(ref TaskRef) []Attempt {
	if ta := jo.Task(ref); ta != nil {
		return ta.Running()
	}
	return nil
}

// last returns the last attempt.
func (ta *Task) last() Attempt {
	return Attempt{Number: ta.Attempt, Worker: ta.Worker, Phase: ta.Phase, Acknowledged: ta.Acknowledged || ta.Phase > PhaseStarting}
}

// lastRuns reports whether the last attempt may run.
func (ta *Task) lastRuns() bool { return ta.State == Started && !ta.LastEnded }

// runs reports whether the attempt may run.
func (ta *Task) runs(number int) bool {
	return number > 0 && (ta.Other.Number == number || (ta.lastRuns() && ta.Attempt == number))
}

// MayCopy reports whether a second attempt of the task may start beside the first one. It
// may not if the two together could exceed the failures that the queue allows, counting the
// attempts that were given up and may still be reported as failed, nor if workers have ended
// under the task.
func (jo *Job) MayCopy(ref TaskRef) bool {
	ta := jo.Task(ref)
	if ta == nil || ta.State != Started || ta.lastRuns() == (ta.Other.Number > 0) || ta.EarlierDone || ta.Suspect() {
		return false
	}
	st := &jo.Spec.Steps[ref.Step]
	return st.Copies && !st.LongRunning && jo.Ready(ref.Step) && ta.Failures+len(ta.GivenUp)+2 <= jo.Terms.MaxFailures
}

// StartCopy begins a second attempt of a running task at another worker and returns its
// number, or 0 if the task must not have one there.
func (jo *Job) StartCopy(ref TaskRef, inc worker.Incarnation) int {
	if !jo.MayCopy(ref) {
		return 0
	}
	ta := jo.Task(ref)
	first := ta.Running()[0]
	if first.Worker.ID == inc.ID {
		return 0
	}
	ta.Other, ta.LastEnded = first, false
	ta.Attempt++
	ta.Worker, ta.Phase, ta.Base = inc, PhaseStarting, ta.Checkpoint
	return ta.Attempt
}

// removeAttempt removes a running attempt. The task waits if no other runs.
func (ta *Task) removeAttempt(number int) {
	switch {
	case ta.Other.Number == number:
		ta.Other = Attempt{}
		if ta.LastEnded {
			ta.State, ta.LastEnded = Waiting, false
		}
	case ta.Other.Number > 0:
		// Rows name the worker of the last attempt, on which former versions of the program
		// look for it.
		ta.LastEnded, ta.Worker, ta.Phase = true, ta.Other.Worker, ta.Other.Phase
	default:
		ta.State = Waiting
	}
}

// SetWorker records that another incarnation of its worker runs an attempt.
func (jo *Job) SetWorker(ref TaskRef, attempt int, inc worker.Incarnation) {
	ta := jo.Task(ref)
	switch {
	case ta.Other.Number == attempt:
		ta.Other.Worker = inc
		if ta.LastEnded {
			ta.Worker = inc
		}
	case ta.Attempt == attempt:
		ta.Worker = inc
	}
}

// phaseOf returns the phase of a running attempt of a task that is not over, or nil.
func (ta *Task) phaseOf(number int) *Phase {
	switch {
	case ta.State != Started:
		return nil
	case ta.Other.Number == number:
		return &ta.Other.Phase
	case ta.lastRuns() && ta.Attempt == number:
		return &ta.Phase
	}
	return nil
}
