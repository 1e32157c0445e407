package standin

import (
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// maxOrderTransit is how long after the acknowledgement of an end a start that was
// ordered before it may still arrive.
const maxOrderTransit = time.Second

// runHistory holds the runs and the ends of tasks by task id.
type runHistory struct {
	byTask map[string][]FleetRun
	// doneAt is when a task was first done, counting only ends that the owner
	// acknowledged before the worker's leases expired. ackedAt is when the owner first
	// acknowledged that the task was done, even after the leases expired.
	doneAt, ackedAt map[string]time.Time
}

func newRunHistory(runs []FleetRun) runHistory {
	rh := runHistory{byTask: map[string][]FleetRun{}, doneAt: map[string]time.Time{}, ackedAt: map[string]time.Time{}}
	for _, ru := range runs {
		rh.byTask[ru.Task] = append(rh.byTask[ru.Task], ru)
		if ru.Outcome != "done" {
			continue
		}
		// The owner can't know of an end that was lost with its worker.
		if ru.AckedInLease {
			setEarliest(rh.doneAt, ru.Task, ru.Until)
		}
		if !ru.AckedAt.IsZero() {
			setEarliest(rh.ackedAt, ru.Task, ru.AckedAt)
		}
	}
	return rh
}

// setEarliest records a time for a task unless an earlier one is recorded.
func setEarliest(times map[string]time.Time, task string, at time.Time) {
	if was, ok := times[task]; !ok || at.Before(was) {
		times[task] = at
	}
}

// RunViolations lists tasks that ran in two places at once, or started again after their
// owner had acknowledged that they were done. The runs are those of [Fleet.Runs], in
// order.
func RunViolations(runs []FleetRun) []string { return RunRules{}.Violations(runs) }

// RunRules say what is allowed beside what [RunViolations] allows.
type RunRules struct {
	// CopiesFunc reports whether a task may have two attempts at once, on different workers;
	// nil if none may.
	CopiesFunc func(task string) bool
	// OrderedFunc returns when the order to start an attempt was sent. The order for a copy
	// may be sent before the first attempt ends and be carried out later.
	OrderedFunc func(at worker.Attempt) time.Time
}

// Violations lists the violations of the rules by runs, which are those of [Fleet.Runs], in
// order.
func (rr RunRules) Violations(runs []FleetRun) []string {
	var violations []string
	rh := newRunHistory(runs)
	for task, runs := range rh.byTask {
		if rr.CopiesFunc != nil && rr.CopiesFunc(task) {
			violations = append(violations, rr.copyViolations(rh, runs)...)
			continue
		}
		for i, ru := range runs {
			if i > 0 && (runs[i-1].Until.IsZero() || runs[i-1].Until.After(ru.From)) {
				violations = append(violations, fmt.Sprintf("task %s: attempt %d at %s started while attempt %d ran at %s", task, ru.Number, ru.Worker, runs[i-1].Number, runs[i-1].Worker))
			}
			violations = append(violations, rh.startedAfterEnd(ru)...)
		}
	}
	return violations
}

// copyViolations lists the violations by the runs of a task that may have two attempts: more
// than two at once, two on one worker, a number that is used twice, and a start that was
// ordered after the owner had acknowledged that the task was done.
func (rr RunRules) copyViolations(rh runHistory, runs []FleetRun) []string {
	var list []string
	for i, ru := range runs {
		beside := 0
		for _, other := range runs[:i] {
			if other.Number == ru.Number {
				list = append(list, fmt.Sprintf("task %s: attempt %d started at %s and %s", ru.Task, ru.Number, other.Worker, ru.Worker))
			}
			if !other.Until.IsZero() && !other.Until.After(ru.From) {
				continue
			}
			beside++
			if other.Worker.ID == ru.Worker.ID {
				list = append(list, fmt.Sprintf("task %s: attempts %d and %d ran at %s", ru.Task, other.Number, ru.Number, ru.Worker))
			}
		}
		if beside > 1 {
			list = append(list, fmt.Sprintf("task %s: attempt %d started while %d others ran", ru.Task, ru.Number, beside))
		}
		if at, ok := rh.ackedAt[ru.Task]; ok && rr.OrderedFunc(ru.Attempt).After(at) {
			list = append(list, fmt.Sprintf("task %s: attempt %d was ordered after the end of the task was acknowledged", ru.Task, ru.Number))
		}
	}
	return list
}

// startedAfterEnd lists a run that started after its task was done or after the owner
// had acknowledged that it was done.
func (rh runHistory) startedAfterEnd(ru FleetRun) []string {
	var list []string
	if at, ok := rh.doneAt[ru.Task]; ok && ru.From.After(at) {
		list = append(list, fmt.Sprintf("task %s: attempt %d started after the task was done", ru.Task, ru.Number))
	}
	if at, ok := rh.ackedAt[ru.Task]; ok && ru.From.Sub(at) > maxOrderTransit {
		list = append(list, fmt.Sprintf("task %s: attempt %d started %v after the end of the task was acknowledged", ru.Task, ru.Number, ru.From.Sub(at)))
	}
	return list
}
