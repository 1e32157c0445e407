package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/transit"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

const (
	// promptAnswer is the time within which a poll, which may pass through a relay, counts as
	// answered at once, so that the end that it lists happened before it arrived.
	promptAnswer = 30 * time.Millisecond
	// maxTransitSpan bounds the time to which the transit that was added up is related, as it
	// is logged only while interrupted tasks start.
	maxTransitSpan = 2 * visibleCapacityLogInterval
)

// recordFreed records the end of an attempt that a poll listed, for the measurement of
// capacity in transit.
func (wk *workerState) recordFreed(ea worker.EndedAttempt, clockMS int64, unpolled time.Duration) {
	if at := wk.findAttempt(ea.Attempt); at != nil && clockMS != 0 {
		wk.freed = wk.freed.With(transit.End{ClockMS: clockMS, Unpolled: unpolled, Resources: at.step().Reserved()})
	}
}

// unpolledTime returns the average time by which attempts ended before a poll listed them: half
// of the time between the answers to the previous poll and to this one, which was sent and
// answered at the given times, if it was answered at once.
func (wk *workerState) unpolledTime(sent, got time.Time) time.Duration {
	if wk.lastAnsweredAt.IsZero() || got.Sub(sent) > promptAnswer {
		return 0
	}
	return got.Sub(wk.lastAnsweredAt) / 2
}

// recordTransit records for how long the capacity that an interrupted task has started in was in
// transit. The worker confirmed the start by ack, or in the answer to a poll.
func (wk *workerState) recordTransit(at *attempt, ack worker.Ack) {
	known := !at.launchedAt.IsZero() && ack.FreedMS == 0
	if known || at.inherited || at.number <= 1 || !at.step().LongRunning || ack.ClockMS == 0 {
		return
	}
	en, ok := transit.End{ClockMS: ack.FreedMS}, ack.FreedMS != 0
	// The answer to a deferred order carries the time.
	if !ok && at.deferral == nil {
		en, ok = wk.enablingEnd(at)
	}
	if !ok || ack.ClockMS-en.ClockMS > transit.Retention.Milliseconds() {
		return
	}
	listed := time.Duration(max(ack.ClockMS-en.ClockMS, 0)) * time.Millisecond
	wk.ow.Metrics.Observe(telemetry.CapacityTransit, listed+en.Unpolled)
	wk.ow.visibleCapacity.transit.Add(listed, en.Unpolled)
}

// enablingEnd returns the end since which the worker has had the capacity for an attempt whose
// start it has just confirmed.
func (wk *workerState) enablingEnd(at *attempt) (transit.End, bool) {
	free := wk.Capacity
	for other := range wk.allAttempts() {
		if other != at && !other.launchedAt.IsZero() {
			free = free.Sub(other.step().Reserved())
		}
	}
	return wk.freed.Enabling(at.step().Reserved(), free)
}
