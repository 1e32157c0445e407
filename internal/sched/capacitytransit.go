package sched

import (
	"log/slog"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Capacity is in transit from the end of an attempt until the next one starts there: it is free
// for the worker, and by the time that the owner learns of the end, the next start may be on its
// way already. The owner's reservations therefore show little of that time. The worker's clock does,
// as the answers to polls and to orders carry it.

const (
	// transitRetention is how long ends are kept, by the worker's clock. Capacity that has been
	// free for longer was not passed on.
	transitRetention = 3 * time.Second
	// promptAnswer is the time within which a poll, which may pass through a relay, counts as
	// answered at once, so that the end that it lists happened before it arrived.
	promptAnswer = 30 * time.Millisecond
	// maxTransitSpan bounds the time to which the transit that was added up is related, as it
	// is logged only while interrupted tasks start.
	maxTransitSpan = 2 * visibleCapacityLogInterval
)

// freedCapacity is the end of an attempt at a worker.
type freedCapacity struct {
	// clockMS is the worker's clock, in milliseconds, when it listed the end. unpolled is how
	// long before that the attempt ended, if no poll was waiting.
	clockMS   int64
	unpolled  time.Duration
	resources worker.Resources
}

// freedList has the latest ends of a worker, oldest first.
type freedList []freedCapacity

// add adds an end and removes those that are too old.
func (fl freedList) add(fc freedCapacity) freedList {
	for len(fl) > 0 && fc.clockMS-fl[0].clockMS > transitRetention.Milliseconds() {
		fl = fl[1:]
	}
	return append(fl, fc)
}

// enabling returns the end since which a worker has had the needed resources, if it now has free
// ones. It is false if the worker had them before the ends.
func (fl freedList) enabling(need, free worker.Resources) (freedCapacity, bool) {
	for i := len(fl) - 1; i >= 0; i-- {
		if free = free.Sub(fl[i].resources); !need.Fits(free) {
			return fl[i], true
		}
	}
	return freedCapacity{}, false
}

// recordFreed records the end of an attempt that a poll listed, for the measurement of
// capacity in transit.
func (wk *workerState) recordFreed(ea worker.EndedAttempt, clockMS int64, unpolled time.Duration) {
	if at := wk.findAttempt(ea.Attempt); at != nil && clockMS != 0 {
		wk.freed = wk.freed.add(freedCapacity{clockMS: clockMS, unpolled: unpolled, resources: at.step().Reserved()})
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
	fc, ok := freedCapacity{clockMS: ack.FreedMS}, ack.FreedMS != 0
	// The answer to a deferred order carries the time.
	if !ok && at.deferral == nil {
		fc, ok = wk.enablingEnd(at)
	}
	if !ok || ack.ClockMS-fc.clockMS > transitRetention.Milliseconds() {
		return
	}
	listed := time.Duration(max(ack.ClockMS-fc.clockMS, 0)) * time.Millisecond
	wk.ow.Metrics.Observe(telemetry.CapacityTransit, listed+fc.unpolled)
	wk.ow.visibleCapacity.transit.add(listed, fc.unpolled)
}

// enablingEnd returns the end since which the worker has had the capacity for an attempt whose
// start it has just confirmed.
func (wk *workerState) enablingEnd(at *attempt) (freedCapacity, bool) {
	free := wk.Capacity
	for other := range wk.attempts {
		if other != at && !other.launchedAt.IsZero() {
			free = free.Sub(other.step().Reserved())
		}
	}
	return wk.freed.enabling(at.step().Reserved(), free)
}

// transitSum adds up the transit of capacity over some time.
type transitSum struct {
	starts           int
	listed, unpolled time.Duration
	longest          time.Duration
}

func (ts *transitSum) add(listed, unpolled time.Duration) {
	ts.starts++
	ts.listed += listed
	ts.unpolled += unpolled
	ts.longest = max(ts.longest, listed+unpolled)
}

// attrs returns the sums as attributes of a log line. The sum of all transit divided by the
// time over which it was added up is how much capacity was in transit on average at any time, in
// tasks.
func (ts *transitSum) attrs(over time.Duration) []slog.Attr {
	if ts.starts == 0 {
		return nil
	}
	sum := ts.listed + ts.unpolled
	return []slog.Attr{
		slog.Int("starts", ts.starts), slog.Duration("transit", sum/time.Duration(ts.starts)),
		slog.Duration("unpolled", ts.unpolled/time.Duration(ts.starts)), slog.Duration("longest_transit", ts.longest),
		slog.Float64("in_transit", float64((100*sum/over))/100),
	}
}
