package sched

import (
	"context"
	"errors"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// The start order of a queued attempt is sent before the worker has the capacity, as a deferred
// launch: the client that polls the worker, which may be a relay, sends it on as soon as a poll
// lists enough ends. From then on the attempt may run, like that of any order without an answer,
// until the client confirms that the order was not and will not be sent, or the worker that it
// will not start the attempt.

// deferredLaunch is a start order that waits for capacity.
type deferredLaunch struct {
	// capacity is that of the worker, and fence the fencing token of the path to it, when the
	// order was sent.
	capacity worker.Resources
	fence    int64
	// cancel ends the wait for the answer, which leaves open whether the attempt starts.
	cancel context.CancelFunc
}

// deferLaunch sends the start order of a queued attempt, for which the worker does not have the
// capacity yet.
func (ow *Owner) deferLaunch(at *attempt, now time.Time) {
	wait := at.queuedUntil().Sub(now)
	if wait <= 0 {
		return
	}
	la := at.newLaunch()
	at.orderSentBy = now.Add(wait + launchTimeout)
	la.Deferral = at.wk.newDeferral(at, wait)
	ctx, cancel := context.WithTimeout(ow.ctx, wait+launchTimeout)
	at.deferral = &deferredLaunch{capacity: at.wk.Capacity, fence: at.wk.currentPath().fence, cancel: cancel}
	ow.Log.Info("launch deferred", "task", taskID(at), "attempt", at.number, "worker", at.wk.incarnation,
		"need_millicores", la.Deferral.Need.MilliCores, "free_millicores", la.Deferral.Free.MilliCores, "ahead", len(la.Deferral.Ahead), "wait", wait)
	go func() {
		defer cancel()
		ow.sendDeferred(ctx, at, la)
	}()
}

// newDeferral describes the capacity for which a queued attempt waits.
func (wk *workerState) newDeferral(at *attempt, wait time.Duration) *worker.Deferral {
	wk.launchesDeferred++
	de := &worker.Deferral{Number: wk.launchesDeferred, Need: at.step().Reserved(), Free: wk.freeBeforeQueued(), Wait: wait, Timeout: launchTimeout}
	for other := range wk.allAttempts() {
		switch {
		case !other.queued:
			de.Running = append(de.Running, worker.Usage{Attempt: other.name(), Resources: other.step().Reserved()})
		case other.deferral != nil:
			de.Ahead = append(de.Ahead, other.name())
		}
	}
	return de
}

func (ow *Owner) sendDeferred(ctx context.Context, at *attempt, la worker.Launch) {
	sent := time.Now()
	pt := at.wk.currentPath()
	la.Fence = pt.fence
	ack, err := ow.Agent.LaunchFunc(ctx, pt.addr, la)
	got := time.Now()
	ow.postTo(looplag.Launches, func() { ow.handleDeferredAnswer(at, ack, sent, got, err) })
}

// handleDeferredAnswer handles the answer to a deferred launch, or its failure.
func (ow *Owner) handleDeferredAnswer(at *attempt, ack worker.Ack, sent, got time.Time, err error) {
	at.wk.endDeferral(at)
	notSent := errors.Is(err, worker.ErrNotFreed) || errors.Is(err, worker.ErrWithdrawn) || errors.Is(err, worker.ErrEvacuated)
	if !notSent {
		ow.Metrics.Add(telemetry.Launches, 1, "outcome", launchOutcome(err))
		ow.Metrics.Add(telemetry.QueuedStarts, 1, "outcome", "started")
		ow.concludeLaunch(at, ack, sent, got, err)
		return
	}
	ow.Metrics.Add(telemetry.QueuedStarts, 1, "outcome", "abandoned")
	if at.current() && at.launchedAt.IsZero() {
		at.tj.settleOrder(at.ref, at.number)
		ow.recordEnd(at.tj, at.ref, at.number, job.EndNeverRan, "", err.Error())
	}
}

// endDeferral removes an attempt from those that are queued, as its order is not deferred any more.
// The answer to the order may still be on its way.
func (wk *workerState) endDeferral(at *attempt) {
	at.deferral = nil
	wk.unqueue(at)
}

// checkDeferral withdraws a deferred launch that must not be sent any more.
func (ow *Owner) checkDeferral(at *attempt, now time.Time) {
	wk := at.wk
	switch {
	case at.deferral.fence != wk.currentPath().fence:
		// The former path does not poll the worker any more.
		at.deferral.cancel()
	case wk.refusesStarts() || !wk.mayStartQueued(now):
		ow.withdrawDeferred(at, abandonedWorker)
	case wk.Capacity != at.deferral.capacity:
		ow.withdrawDeferred(at, "the capacity of its worker has changed")
	}
}

// withdrawDeferred stops an attempt whose launch is deferred. Its order is dropped unless it was sent.
func (ow *Owner) withdrawDeferred(at *attempt, why string) {
	if !at.haltSentAt.IsZero() {
		return
	}
	at.recordHalt(time.Now())
	ow.Log.Info("withdrawing deferred launch", "task", taskID(at), "attempt", at.number, "worker", at.wk.incarnation, "why", why)
	go ow.sendHalt(at.wk, at.name())
}
