package sched

import (
	"cmp"
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Thresholds and times of the control of fillers, which lowers their pace, or holds them,
// beside services whose tail latency is over its target or close to it.
const (
	// nearTargetPart is the part of its target above which a service may be over it, as its
	// reported tail latency is inexact. clearAfter is how long the tail latency must stay
	// below that before the service counts as under its target again.
	nearTargetPart = 0.9
	clearAfter     = time.Second
	// predictAhead is how far ahead the load of services is predicted: an order takes 0.1 s to
	// take effect, and the next poll follows 0.6 s later.
	predictAhead = 600 * time.Millisecond
	// These are parts of a service's target, compared with its predicted tail latency.
	// Above slowAbovePart fillers beside the service are slowed, and below speedUpBelowPart
	// they are sped up again. A filler is placed there only if the tail latency stays below
	// placeBelowPart, which is the lowest of them, as a rise of the service's own load shows
	// in its tail latency only later.
	slowAbovePart    = 0.88
	speedUpBelowPart = 0.8
	placeBelowPart   = 0.72
	// holdAfterPart is the part of Limits.HarmAfter for which a service may be over its
	// target. After that time every filler beside it is held, which means a pace of 0.
	holdAfterPart = 0.4
	// paceTimeout is the timeout of one pace order.
	paceTimeout = 400 * time.Millisecond
)

// adjustPaces slows the fillers beside services whose tail latency is predicted to exceed
// slowAbovePart of the target, holds them beside services that are over the target for too
// long, and otherwise speeds them up again.
func (wk *workerState) adjustPaces(now time.Time) {
	wk.trackOverTarget(now)
	fillers := wk.pacedFillers()
	if len(fillers) == 0 {
		return
	}
	over := false
	for _, at := range wk.services {
		if !at.isMeasuredService() {
			continue
		}
		excess := wk.excess(at, slowAbovePart)
		over = over || excess > 0
		switch {
		case at.overTargetTooLong(now):
			wk.holdAll(fillers, now)
		case excess > 0 && wk.ow.enabled(MechPace):
			wk.slowFillers(fillers, at, excess, now)
		}
	}
	if !over {
		wk.speedUp(fillers, now)
	}
}

// overTargetTooLong reports whether the service has been over its target for so long that
// all fillers beside it must be held.
func (at *attempt) overTargetTooLong(now time.Time) bool {
	most := time.Duration(holdAfterPart * float64(at.wk.ow.Limits.HarmAfter))
	return at.wk.ow.enabled(MechHold) && !at.overTargetSince.IsZero() && now.Sub(at.overTargetSince) > most
}

// anyOverTargetTooLong reports whether any service on the worker has been over its target
// for too long.
func (wk *workerState) anyOverTargetTooLong(now time.Time) bool {
	return slices.ContainsFunc(wk.services, func(at *attempt) bool { return at.overTargetTooLong(now) })
}

// trackOverTarget records since when each service has been over its target, or close to it:
// the reported tail latency is inexact and may fall below the target by chance.
func (wk *workerState) trackOverTarget(now time.Time) {
	for _, at := range wk.services {
		switch {
		case !at.isMeasuredService():
			at.overTargetSince = time.Time{}
		case float64(at.usage) <= nearTargetPart*float64(at.step().TargetMS):
			if now.Sub(at.lastOverTarget) > clearAfter {
				at.overTargetSince = time.Time{}
			}
		case at.overTargetSince.IsZero():
			at.overTargetSince, at.lastOverTarget = now, now
		default:
			at.lastOverTarget = now
		}
	}
}

// pacedFillers returns the launched fillers, whose pace can be set.
func (wk *workerState) pacedFillers() []*attempt {
	var list []*attempt
	for at := range wk.attempts {
		if at.step().Filler && !at.launchedAt.IsZero() {
			list = append(list, at)
		}
	}
	return list
}

// interference returns by how much a filler at full speed lowers a service's headroom, the
// ratio of its target to its tail latency.
func (wk *workerState) interference(filler, service *attempt) float64 {
	return wk.ow.model.Drop(interfere.Pair{Service: service.step().Image, Filler: filler.step().Image}) * filler.fullShare()
}

// slowFillers slows the fillers that interfere most with a service, until the given excess,
// see [workerState.excess], is predicted to be removed. It slows none if that could remove
// only a small part of the excess.
func (wk *workerState) slowFillers(fillers []*attempt, service *attempt, excess float64, now time.Time) {
	slices.SortFunc(fillers, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(wk.interference(b, service), wk.interference(a, service)), strings.Compare(taskID(a), taskID(b)))
	})
	removable := 0.0
	for _, at := range fillers {
		removable += wk.interference(at, service) * float64(at.effectivePace()) / fullPace
	}
	if removable < minRemovablePart*excess {
		return
	}
	for _, at := range fillers {
		drop := wk.interference(at, service)
		if excess <= 0 || drop < minPacingDrop {
			return
		}
		less := min(float64(at.effectivePace())/fullPace, excess/drop)
		excess -= less * drop
		wk.setPace(at, at.effectivePace()-int(math.Ceil(less*fullPace)), now, "service over its target")
	}
}

// holdAll sets the pace of every filler to 0, as slowing some did not suffice.
func (wk *workerState) holdAll(fillers []*attempt, now time.Time) {
	for _, at := range fillers {
		wk.setPace(at, 0, now, "service over its target for long")
	}
}

// minRemovablePart is the part of an excess that slowing fillers must be able to remove;
// below that the service's own load is the cause.
const minRemovablePart = 0.6

// minPlacementDrop is the drop of headroom by one filler above which placement checks the
// service's target. It is lower than minPacingDrop, as many fillers together may cause it.
const minPlacementDrop = 0.02

// minPacingDrop is the drop of headroom below which slowing a filler is not worthwhile.
const minPacingDrop = 0.12

// speedUp speeds up fillers that were slowed, those that interfere least first, as far as
// the predicted tail latency of every service stays below speedUpBelowPart of its target.
func (wk *workerState) speedUp(fillers []*attempt, now time.Time) {
	spare := map[*attempt]float64{}
	for _, at := range wk.services {
		if at.isMeasuredService() {
			spare[at] = -wk.excess(at, speedUpBelowPart)
		}
	}
	worst := func(at *attempt) float64 {
		most := 0.0
		for service := range spare {
			most = max(most, wk.interference(at, service))
		}
		return most
	}
	slices.SortFunc(fillers, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(worst(a), worst(b)), strings.Compare(taskID(a), taskID(b)))
	})
	for _, at := range fillers {
		more := float64(fullPace-at.effectivePace()) / fullPace
		for service, left := range spare {
			if drop := wk.interference(at, service); drop > 0 {
				more = min(more, max(left, 0)/drop)
			}
		}
		for service := range spare {
			spare[service] -= more * wk.interference(at, service)
		}
		wk.setPace(at, at.effectivePace()+int(more*fullPace), now, "services have room")
	}
}

// setInitialPace limits the pace of a filler that has just started to what the services
// beside it tolerate, as its effect shows in their reported tail latencies only half a second
// later.
func (wk *workerState) setInitialPace(at *attempt, now time.Time) {
	if !at.step().Filler || !wk.ow.enabled(MechPace) {
		return
	}
	least := float64(fullPace)
	if wk.anyOverTargetTooLong(now) {
		least = 0
	}
	for _, service := range wk.services {
		if !service.isMeasuredService() {
			continue
		}
		// The excess already includes the filler at full speed.
		drop, excess := wk.interference(at, service), wk.excess(service, slowAbovePart)
		if drop > minPacingDrop && excess > 0 {
			least = min(least, fullPace*max(1-excess/drop, 0))
		}
	}
	if least < fullPace {
		wk.setPace(at, int(least), now, "started beside services with little room")
	}
}

// setPace orders a pace in per cent, if it differs enough from the last one ordered.
func (wk *workerState) setPace(at *attempt, percent int, now time.Time, why string) {
	percent = max(percent, 0)
	if at.pace == percent || (percent > 0 && percent < fullPace && abs(percent-at.pace) < minPaceChange) {
		return
	}
	wk.ow.Log.Info("pacing attempt", "task", taskID(at), "attempt", at.number, "worker", wk.incarnation, "percent", percent, "was", at.pace, "why", why)
	at.pace = percent
	switch {
	case percent > heldMaxPace:
		at.throttledSince = time.Time{}
	case at.throttledSince.IsZero():
		at.throttledSince = now
	}
	at.pacedAt = now
	wk.fillers.invalidate()
	wk.ow.orderPace(at)
}

// orderPace sends the wanted pace of an attempt, one order at a time: concurrent orders
// could arrive in the wrong order, and the worker would keep the older one.
func (ow *Owner) orderPace(at *attempt) {
	if at.paceInFlight {
		return
	}
	at.paceInFlight = true
	go ow.sendPace(at, worker.Pace{Attempt: at.name(), Percent: at.pace})
}

// handlePaceResult handles the result of an order, and sends another if the wanted pace has
// changed since. After an order without an answer the pace is unknown.
func (ow *Owner) handlePaceResult(at *attempt, percent int, err error) {
	at.paceInFlight = false
	switch {
	case at.tj.attempts[at.ref] != at:
	case at.pace != percent && at.pace != unknownPace:
		ow.orderPace(at)
	case err != nil:
		at.pace = unknownPace
	}
}

// minPaceChange is the smallest change of pace in per cent for which an order is sent,
// except for changes to 0 or to full speed.
const minPaceChange = 10

func abs(n int) int { return max(n, -n) }

func (ow *Owner) sendPace(at *attempt, pa worker.Pace) {
	ctx, cancel := context.WithTimeout(ow.ctx, paceTimeout)
	defer cancel()
	pt := at.wk.currentPath()
	pa.Fence = pt.fence
	_, err := ow.Agent.PaceFunc(ctx, pt.addr, pa)
	if err != nil {
		at.wk.reportIncarnation(err)
		ow.Log.Info("pace order failed", "task", pa.Task, "attempt", pa.Number, "worker", pt.addr.Incarnation, "err", err)
	}
	ow.post(func() { ow.handlePaceResult(at, pa.Percent, err) })
}
