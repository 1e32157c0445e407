package sched

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Thresholds and times of the control of fillers. A filler works at full speed until a service
// beside it has been over its target for so long that it may not stay there, and is then held.
// Slowing fillers beside services that are merely close to their targets costs more than it saves:
// a job ends with its slowest task, so that one slow filler of forty makes the whole job late.
const (
	// predictAhead is how far ahead the load of services is predicted: an order takes 0.1 s to
	// take effect, and the next poll follows 0.6 s later.
	predictAhead = 600 * time.Millisecond
	// These are parts of a service's target, compared with its predicted tail latency. Held
	// fillers resume as far as it stays below resumeBelowPart. A filler is placed only where it
	// stays below placeBelowPart, which is lower, as a rise of the service's own load shows in
	// its tail latency only later.
	resumeBelowPart = 0.8
	placeBelowPart  = 0.72
	// paceTimeout is the timeout of a pace order. It doubles with each order without an answer
	// after the second, up to maxPaceTimeout, so that a slow worker gets few.
	paceTimeout    = 200 * time.Millisecond
	maxPaceTimeout = 800 * time.Millisecond
)

// adjustPaces holds the fillers beside services that have been over their target for too long,
// and otherwise lets held ones resume.
func (wk *workerState) adjustPaces(now time.Time) {
	fillers := wk.pacedFillers()
	switch {
	case len(fillers) == 0:
	case wk.holdDue(now):
		wk.holdAll(fillers, now)
	default:
		wk.fillers.hold = hold{}
		wk.resume(fillers, now)
	}
}

// pacedFillers returns the launched fillers, whose pace can be set.
func (wk *workerState) pacedFillers() []*attempt {
	if wk.fillerCount == 0 {
		return nil
	}
	list := make([]*attempt, 0, wk.fillerCount)
	for at := range wk.allAttempts() {
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

// minPlacementDrop is the drop of headroom by one filler above which placement checks the
// service's target. It is low, as many fillers together may cause an excess.
const minPlacementDrop = 0.02

// resume speeds up held fillers, those that interfere least first, as far as the predicted tail
// latency of every service stays below resumeBelowPart of its target.
func (wk *workerState) resume(fillers []*attempt, now time.Time) {
	spare := map[*attempt]float64{}
	for _, at := range wk.services {
		if at.isMeasuredService() {
			spare[at] = -wk.excess(at, resumeBelowPart)
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

// holdIfStarted holds a filler that has just started if the fillers beside it are held.
func (wk *workerState) holdIfStarted(at *attempt, now time.Time) {
	if at.step().Filler && wk.holdDue(now) {
		wk.setPace(at, 0, now, "started beside a service over its target for long")
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
		delete(wk.ow.throttled, at)
	case at.throttledSince.IsZero():
		at.throttledSince = now
		wk.ow.throttled[at] = true
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
	timeout := min(paceTimeout<<max(at.pacesUnanswered-1, 0), maxPaceTimeout)
	go ow.sendPace(at, worker.Pace{Attempt: at.name(), Percent: at.pace}, timeout)
}

// handlePaceResult handles the result of an order, and sends another if the wanted pace has
// changed since. After an order without an answer the pace is unknown; if timedOut is set, a hold
// that is due is ordered again at once, and else by the next tick.
func (ow *Owner) handlePaceResult(at *attempt, percent int, timedOut bool, err error) {
	at.paceInFlight = false
	at.pacesUnanswered++
	if err == nil {
		at.pacesUnanswered, at.paceAckedAt = 0, time.Now()
	}
	switch {
	case !at.current():
	case at.pace != percent && at.pace != unknownPace:
		ow.orderPace(at)
	case err != nil:
		at.pace = unknownPace
		at.wk.fillers.hold.unanswered++
		if timedOut {
			at.wk.tickHold(time.Now())
		}
	default:
		at.wk.reportHold(time.Now())
	}
}

// heldUse is the part of its declared processor time above which a filler is not held.
const heldUse = 0.1

// contradictsPace reports whether the filler's usage rules out that it works at the ordered pace.
func (at *attempt) contradictsPace() bool {
	if at.pace == 0 {
		return float64(at.usage) > heldUse*float64(at.step().Each.MilliCores)
	}
	return at.pace > 0 && at.usage == 0
}

// checkPaces makes the paces unknown that the usage contradicts, which the worker has reported as of
// some time after taken: an order without an answer may be carried out after later ones.
func (wk *workerState) checkPaces(taken time.Time) {
	for _, at := range wk.pacedFillers() {
		if at.paceInFlight || at.paceAckedAt.IsZero() || taken.Sub(at.paceAckedAt) < wk.ow.Limits.PaceTime+usageWindow {
			continue
		}
		if !at.contradictsPace() {
			continue
		}
		wk.ow.Log.Info("pace differs from the ordered one", "task", taskID(at), "attempt", at.number, "worker", wk.incarnation, "percent", at.pace, "usage", at.usage)
		at.pace = unknownPace
	}
}

// minPaceChange is the smallest change of pace in per cent for which an order is sent,
// except for changes to 0 or to full speed.
const minPaceChange = 10

func abs(n int) int { return max(n, -n) }

func (ow *Owner) sendPace(at *attempt, pa worker.Pace, timeout time.Duration) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ow.ctx, timeout)
	defer cancel()
	pt := at.wk.currentPath()
	pa.Fence = pt.fence
	_, err := ow.Agent.PaceFunc(ctx, pt.addr, pa)
	if err != nil {
		at.wk.reportIncarnation(callPace, err)
		ow.Log.Info("pace order failed", "task", pa.Task, "attempt", pa.Number, "worker", pt.addr.Incarnation, "err", err)
	}
	timedOut := time.Since(sent) >= timeout
	ow.post(func() { ow.handlePaceResult(at, pa.Percent, timedOut, err) })
}
