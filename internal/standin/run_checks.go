package standin

import (
	"fmt"
	"time"
)

// knownFor is how long after an end was acknowledged a start may still be on its
// way that was ordered before.
const knownFor = time.Second

// runHistory is what is known of the ends of tasks, by their names.
type runHistory struct {
	byTask map[string][]FleetRun
	// notedAt is when a task was first done, if its owner acknowledged that before leases
	// lapsed, and knownAt when its owner first acknowledged it, whatever became of leases.
	notedAt, knownAt map[string]time.Time
}

func newRunHistory(runs []FleetRun) runHistory {
	rh := runHistory{byTask: map[string][]FleetRun{}, notedAt: map[string]time.Time{}, knownAt: map[string]time.Time{}}
	for _, ru := range runs {
		rh.byTask[ru.Task] = append(rh.byTask[ru.Task], ru)
		if ru.Outcome != "done" {
			continue
		}
		// An end that was lost with its worker is not known to anybody.
		if ru.AckedInLease {
			earliest(rh.notedAt, ru.Task, ru.Until)
		}
		if !ru.AckedAt.IsZero() {
			earliest(rh.knownAt, ru.Task, ru.AckedAt)
		}
	}
	return rh
}

// earliest enters a moment of a task unless there is an earlier one.
func earliest(moments map[string]time.Time, task string, at time.Time) {
	if was, ok := moments[task]; !ok || at.Before(was) {
		moments[task] = at
	}
}

// RunViolations lists tasks that ran in two places at once, or began again once their
// owner knew that they were done. The runs are those of a [Fleet], in order.
func RunViolations(runs []FleetRun) []string {
	var list []string
	rh := newRunHistory(runs)
	for task, runs := range rh.byTask {
		for i, ru := range runs {
			if i > 0 && (runs[i-1].Until.IsZero() || runs[i-1].Until.After(ru.From)) {
				list = append(list, fmt.Sprintf("task %s: attempt %d at %s began while attempt %d ran at %s", task, ru.Number, ru.Worker, runs[i-1].Number, runs[i-1].Worker))
			}
			list = append(list, rh.afterItsEnd(ru)...)
		}
	}
	return list
}

// afterItsEnd lists a run that began after its task was known to be done.
func (rh runHistory) afterItsEnd(ru FleetRun) []string {
	var list []string
	if at, ok := rh.notedAt[ru.Task]; ok && ru.From.After(at) {
		list = append(list, fmt.Sprintf("task %s: attempt %d began after it was done", ru.Task, ru.Number))
	}
	if at, ok := rh.knownAt[ru.Task]; ok && ru.From.Sub(at) > knownFor {
		list = append(list, fmt.Sprintf("task %s: attempt %d began %v after its end was acknowledged", ru.Task, ru.Number, ru.From.Sub(at)))
	}
	return list
}
