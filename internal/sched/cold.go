package sched

import "time"

// A worker that got no work for a while, for instance because its data centre was evacuated, is
// slow at first. It gets only tasks that no warm worker can take, one unanswered start at a time,
// so that few starts time out there.

// setCold records from the worker's entry for how long it is cold.
func (wk *workerState) setCold() {
	wk.coldUntil = time.Time{}
	if wk.ColdRemaining > 0 {
		wk.coldUntil = time.Now().Add(wk.ColdRemaining)
	}
}

// isCold reports whether the worker is cold.
func (wk *workerState) isCold() bool {
	return !wk.coldUntil.IsZero() && time.Now().Before(wk.coldUntil)
}

// hasUnansweredStart reports whether the start of an attempt on the worker has no answer yet.
func (wk *workerState) hasUnansweredStart() bool {
	for at := range wk.allAttempts() {
		if at.launchedAt.IsZero() {
			return true
		}
	}
	return false
}
