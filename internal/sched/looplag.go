package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// event is a call that is queued for the loop, and the part of the loop's work that it belongs to.
type event struct {
	part     looplag.Part
	fn       func()
	queuedAt time.Time
}

// recordWrite records in the measurement of the loop that a write has ended.
func (ow *Owner) recordWrite(wr *write, now time.Time) {
	ow.lag.RecordWrite(len(wr.jobs), now.Sub(wr.sent), wr.startDelay)
	for _, jw := range wr.jobs {
		ow.lag.RecordChange(now.Sub(jw.changedAt))
	}
}

// reportLag passes the workload since the last tick to the metrics, and logs an owner that is
// behind.
func (ow *Owner) reportLag(now time.Time) {
	wl, re := ow.lag.Tick(now)
	ow.Metrics.Observe(telemetry.EventWait, wl.EventWait)
	ow.Metrics.Observe(telemetry.ChangeWait, wl.ChangeWait)
	ow.Metrics.Add(telemetry.OwnerEvents, wl.Events)
	ow.Metrics.Add(telemetry.WorkersRated, wl.Rated)
	ow.Metrics.Add(telemetry.LoopVisits, wl.Visits)
	ow.Metrics.Add(telemetry.JobsWritten, wl.Written)
	for pa, took := range wl.Times {
		ow.Metrics.Add(telemetry.LoopTime, took.Microseconds(), "part", looplag.Part(pa).String())
	}
	if lag := max(wl.EventWait, wl.StartDelay); ow.window.RecordLag(lag, now) {
		ow.Log.Info("fewer starts at once, as the owner is behind", "cell", ow.Cell, "most", ow.window.Limit(), "under_way", ow.window.InFlight(), "lag", lag)
	}
	switch sum := re.Workload; re.State {
	case looplag.Behind:
		lateWork, lateBy := ow.background.Delay(now)
		ow.Log.Warn("owner is behind", "cell", ow.Cell, "over", re.Over, "event_wait", sum.EventWait, "change_wait", sum.ChangeWait,
			"write_time", sum.WriteTime, "start_delay", sum.StartDelay, "busy", sum.Times.Busy(), "times_ms", sum.Times.String(),
			"events", sum.Events, "rounds", sum.Rounds, "rated", sum.Rated, "visits", sum.Visits, "writes", sum.Writes, "written", sum.Written, "changed_jobs", len(ow.dirtyJobs), "late_work", lateWork, "late_by", lateBy,
			"waiting_jobs", len(ow.waitingJobs), "starts_in_flight", ow.window.InFlight(), "store_down", ow.storeDown())
	case looplag.CaughtUp:
		ow.Log.Info("owner keeps up again", "cell", ow.Cell, "after", re.BehindFor)
	case looplag.Unchanged:
	}
}
