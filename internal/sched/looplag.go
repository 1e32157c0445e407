package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Limits on the reports of an owner that falls behind.
const (
	// eventsBehindAfter is the wait of an event for the loop from which the owner counts as
	// behind, changesBehindAfter the wait of a job's change until it is durable.
	eventsBehindAfter  = 25 * time.Millisecond
	changesBehindAfter = 100 * time.Millisecond
	// lagLogInterval is the least time between two log lines about an owner that is behind.
	lagLogInterval = time.Second
)

// event is a call that is queued for the loop.
type event struct {
	fn       func()
	queuedAt time.Time
}

// workload counts the loop's work, and holds the longest waits, over some time.
type workload struct {
	// eventWait is the longest wait of an event for the loop, changeWait the longest time from
	// a job's change to the end of the write that includes it.
	eventWait, changeWait time.Duration
	// events, rounds and rated count events, placement rounds, and the workers rated in them.
	events, rounds, rated int64
	// writes counts completed writes, written the jobs in them.
	writes, written int64
}

func (wl workload) plus(other workload) workload {
	return workload{
		eventWait: max(wl.eventWait, other.eventWait), changeWait: max(wl.changeWait, other.changeWait),
		events: wl.events + other.events, rounds: wl.rounds + other.rounds, rated: wl.rated + other.rated,
		writes: wl.writes + other.writes, written: wl.written + other.written,
	}
}

func (wl workload) behind() bool {
	return wl.eventWait >= eventsBehindAfter || wl.changeWait >= changesBehindAfter
}

// loopLag measures how far the owner is behind. The zero value is ready to use.
type loopLag struct {
	// tick is the workload since the last tick, sinceLog that of the ticks since loggedAt.
	tick, sinceLog workload
	loggedAt       time.Time
	// behindSince is when the owner was first logged as behind, or zero once it keeps up.
	behindSince time.Time
}

// recordEvent records that an event waited until now.
func (ll *loopLag) recordEvent(ev event, now time.Time) {
	ll.tick.events++
	ll.tick.eventWait = max(ll.tick.eventWait, now.Sub(ev.queuedAt))
}

// recordWrite records that a write has ended.
func (ll *loopLag) recordWrite(wr *write, now time.Time) {
	ll.tick.writes++
	ll.tick.written += int64(len(wr.jobs))
	for _, jw := range wr.jobs {
		ll.tick.changeWait = max(ll.tick.changeWait, now.Sub(jw.changedAt))
	}
}

// reportLag passes the workload since the last tick to the metrics, and logs an owner that is
// behind.
func (ow *Owner) reportLag(now time.Time) {
	ll := &ow.lag
	wl := ll.tick
	ll.tick, ll.sinceLog = workload{}, ll.sinceLog.plus(wl)
	ow.Metrics.Observe(telemetry.EventWait, wl.eventWait)
	ow.Metrics.Observe(telemetry.ChangeWait, wl.changeWait)
	ow.Metrics.Add(telemetry.OwnerEvents, wl.events)
	ow.Metrics.Add(telemetry.WorkersRated, wl.rated)
	ow.Metrics.Add(telemetry.JobsWritten, wl.written)
	if now.Sub(ll.loggedAt) < lagLogInterval {
		return
	}
	switch sum := ll.sinceLog; {
	case sum.behind():
		if ll.behindSince.IsZero() {
			ll.behindSince = now
		}
		ow.Log.Warn("owner is behind", "cell", ow.Cell, "over", elapsedSince(now, ll.loggedAt), "event_wait", sum.eventWait, "change_wait", sum.changeWait,
			"events", sum.events, "rounds", sum.rounds, "rated", sum.rated, "writes", sum.writes, "written", sum.written, "changed_jobs", len(ow.dirtyJobs),
			"waiting_jobs", len(ow.waitingJobs), "starts_in_flight", ow.window.InFlight(), "store_down", ow.storeDown())
	case !ll.behindSince.IsZero():
		ow.Log.Info("owner keeps up again", "cell", ow.Cell, "after", now.Sub(ll.behindSince))
		ll.behindSince = time.Time{}
	}
	ll.loggedAt, ll.sinceLog = now, workload{}
}
