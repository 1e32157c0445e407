package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

const (
	// ownerBehind is how late a tick may be, maxAnswerTime how long a worker may take to answer
	// an order.
	ownerBehind   = 200 * time.Millisecond
	maxAnswerTime = 100 * time.Millisecond
	// lostPaces is how many orders in a row may get no answer in addition.
	lostPaces = 1
	// holdLead is how long before Limits.HarmAfter fillers are ordered to be held, beside
	// Limits.PaceTime.
	holdLead = tickInterval + ownerBehind + lostPaces*paceTimeout + maxAnswerTime
)

// holdDue reports whether the fillers on the worker must be held now. A service may have been over
// its target since it was last known to be below, whatever figures say since when. Where that is
// not known, as after a takeover, there may be no time left.
func (wk *workerState) holdDue(now time.Time) bool {
	return wk.overTarget && !now.Before(wk.holdDueAt) && wk.ow.enabled(MechHold)
}

// updateHoldDue updates from when the fillers on the worker must be held.
func (wk *workerState) updateHoldDue() {
	li := &wk.ow.Limits
	wk.overTarget, wk.holdDueAt = false, time.Time{}
	for _, at := range wk.services {
		if !at.overTarget.Over() {
			continue
		}
		due := at.overTarget.Below().Add(li.HarmAfter - li.PaceTime - holdLead)
		if !wk.overTarget || due.Before(wk.holdDueAt) {
			wk.overTarget, wk.holdDueAt = true, due
		}
	}
}

// tickHold holds the fillers as soon as that is due, as the next answer of the worker may come too
// late, and orders it again where it may not be in effect. Silent workers get no more orders.
func (wk *workerState) tickHold(now time.Time) {
	if now.Sub(wk.lastAnsweredAt) < unresponsiveAfter && wk.holdDue(now) {
		wk.holdAll(wk.pacedFillers(), now)
	}
}

// holdAll sets the pace of every filler to 0: which of them cause the excess is an estimate, and
// there is no time left to try.
func (wk *workerState) holdAll(fillers []*attempt, now time.Time) {
	wk.beginHold(now)
	for _, at := range fillers {
		wk.setPace(at, 0, now, "service over its target for long")
	}
}

// hold is a hold of all fillers on a worker, because a service there has been over its target for
// long. The zero value is none.
type hold struct {
	// orderedAt is when it was first ordered.
	orderedAt time.Time
	// service is the one that was last known to be below its target the longest ago, at below,
	// which is zero if that is not known. figureAge is the age of the latest figure.
	service   *attempt
	below     time.Time
	figureAge time.Duration
	// unanswered counts the orders without an answer. reported is set once it is known to be in
	// effect.
	unanswered int
	reported   bool
}

// recordOverTarget records the tail latencies that were reported by a poll, as of some time after
// taken.
func (wk *workerState) recordOverTarget(taken time.Time) {
	for _, at := range wk.services {
		if !at.isMeasuredService() {
			at.overTarget.RecordBelow(taken)
			continue
		}
		was := at.overTarget
		at.overTarget.RecordFigure(taken, float64(at.usage)/float64(at.step().TargetMS))
		if was.Over() && !at.overTarget.Over() && !was.Below().IsZero() && wk.hasRunningFillers() {
			wk.ow.Metrics.Observe(telemetry.OverTargetTime, at.overTarget.Below().Sub(was.Below()), "outcome", "below")
		}
	}
	wk.updateHoldDue()
}

// hasRunningFillers reports whether any filler on the worker may be working.
func (wk *workerState) hasRunningFillers() bool {
	return slices.ContainsFunc(wk.pacedFillers(), func(at *attempt) bool { return at.effectivePace() > 0 || at.paceInFlight })
}

// beginHold records that the fillers on the worker are ordered to be held, if any is working.
func (wk *workerState) beginHold(now time.Time) {
	ho := &wk.fillers.hold
	if !ho.orderedAt.IsZero() || !wk.hasRunningFillers() {
		return
	}
	*ho = hold{orderedAt: now, figureAge: now.Sub(wk.fillers.figuresAt)}
	for _, at := range wk.services {
		if at.overTarget.Over() && (ho.service == nil || at.overTarget.Below().Before(ho.below)) {
			ho.service, ho.below = at, at.overTarget.Below()
		}
	}
}

// reportHold logs once that all fillers on the worker are held, and records for how long the
// service may have been over its target by then.
func (wk *workerState) reportHold(now time.Time) {
	ho := &wk.fillers.hold
	if ho.service == nil || ho.reported || wk.hasRunningFillers() {
		return
	}
	ho.reported = true
	over := time.Duration(-1)
	if !ho.below.IsZero() {
		over = now.Add(wk.ow.Limits.PaceTime).Sub(ho.below)
		wk.ow.Metrics.Observe(telemetry.OverTargetTime, over, "outcome", "held")
	}
	wk.ow.Log.Info("fillers held", "worker", wk.incarnation, "service", taskID(ho.service), "over", over, "figure_age", ho.figureAge,
		"answered_after", now.Sub(ho.orderedAt), "unanswered", ho.unanswered)
}
