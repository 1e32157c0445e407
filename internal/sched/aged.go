package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/congestion"
)

// maxOrderWait is how long a job's tasks may wait because too many starts are in flight, before they
// start beside those of more urgent jobs. An owner that is short of processor time would otherwise
// never start what it has accepted for as long as more urgent jobs arrive.
const maxOrderWait = 5 * time.Second

// mayStart reports whether any waiting job may start a task.
func (ow *Owner) mayStart() bool {
	if len(ow.waitingJobs) == 0 {
		return false
	}
	first := congestion.Start{Priority: ow.waitingJobs[0].jo.Terms.Priority}
	return !ow.window.Full(first) || (len(ow.agedJobs) > 0 && !ow.window.Full(congestion.Start{Aged: true}))
}

// windowFull reports whether too many starts are in flight for one of the job.
func (pl *placer) windowFull(tj *trackedJob) bool {
	return pl.ow.window.Full(congestion.Start{Priority: tj.jo.Terms.Priority, Aged: pl.aged})
}

// findAgedJobs finds the jobs that have waited for maxOrderWait while too many starts were in flight.
func (ow *Owner) findAgedJobs(now time.Time) {
	ow.agedJobs = ow.agedJobs[:0]
	for _, tj := range ow.waitingJobs {
		switch {
		case tj.waitCause != CauseOrder:
			tj.orderSince = time.Time{}
		case tj.orderSince.IsZero():
			tj.orderSince = now
		case now.Sub(tj.orderSince) >= maxOrderWait:
			ow.agedJobs = append(ow.agedJobs, tj)
		}
	}
	slices.SortStableFunc(ow.agedJobs, func(a, b *trackedJob) int { return a.orderSince.Compare(b.orderSince) })
}

// placeAged starts tasks of jobs that have waited for long, within the part of the window that is for
// them.
func (pl *placer) placeAged() {
	pl.aged = true
	for _, tj := range pl.ow.agedJobs {
		if pl.windowFull(tj) {
			break
		}
		if tj.waitingTasks > 0 {
			pl.placeJob(tj)
		}
	}
	pl.aged = false
}
