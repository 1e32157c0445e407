package sched

import (
	"context"
	"errors"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times of orders.
const (
	// launchTimeout is how long a launch may go without an answer before the owner determines
	// its outcome. An order takes under 5 ms in normal operation.
	launchTimeout = 400 * time.Millisecond
	// haltTimeout is the same for a halt, which may last as long as the task takes to stop.
	haltTimeout = 500 * time.Millisecond
	// resolveRetry is the pause between attempts to determine the outcome of an order.
	resolveRetry = 200 * time.Millisecond
)

// launch sends the start order of an attempt whose start is durable, unless its job has ended or
// its worker has become unavailable.
func (ow *Owner) launch(at *attempt) {
	if !at.current() || at.tj.jo.State().Final() {
		ow.abandonLaunch(at, "job ended before the order was sent")
		return
	}
	// The write of the start took time, in which the worker may have left the list.
	if at.wk.refusesStarts() {
		ow.abandonLaunch(at, "its worker drains, left the list or is evacuated before the order was sent")
		return
	}
	if at.wk.leaseRecorded() {
		ow.abandonLaunch(at, "its worker does not answer and gets no lease")
		return
	}
	at.startWritten = true
	if at.queued {
		at.wk.startQueued()
		return
	}
	go ow.sendLaunch(at, at.newLaunch())
}

// newLaunch returns the start order of the attempt, which is to be sent now.
func (at *attempt) newLaunch() worker.Launch {
	now := time.Now()
	at.orderSent = true
	at.orderSentBy = now.Add(launchTimeout)
	return worker.Launch{
		Attempt: at.name(), Payload: at.tj.jo.Spec.Payload, Checkpoint: at.task().Checkpoint,
		LeaseUntilMS: at.wk.nextLeaseEnd(now),
	}
}

// abandonLaunch ends an attempt whose order was never sent.
func (ow *Owner) abandonLaunch(at *attempt, why string) {
	if at.current() {
		ow.recordEnd(at.tj, at.ref, at.number, job.EndNeverRan, "", why)
	}
}

func (ow *Owner) sendLaunch(at *attempt, la worker.Launch) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ow.ctx, launchTimeout)
	pt := at.wk.currentPath()
	la.Fence = pt.fence
	ack, err := ow.Agent.LaunchFunc(ctx, pt.addr, la)
	cancel()
	got := time.Now()
	ow.postTo(looplag.Launches, func() { ow.handleLaunchAnswer(at, ack, sent, got, err) })
}

// handleLaunchAnswer handles the answer to a launch, or its failure.
func (ow *Owner) handleLaunchAnswer(at *attempt, ack worker.Ack, sent, got time.Time, err error) {
	ow.Metrics.Add(telemetry.Launches, 1, "outcome", launchOutcome(err))
	ow.endStart(at)
	if ow.window.RecordAnswer(got.Sub(sent), got) {
		ow.Log.Info("fewer starts at once, as answers are slow", "cell", ow.Cell, "most", ow.window.Limit(), "under_way", ow.window.InFlight(), "took", got.Sub(sent))
	}
	ow.concludeLaunch(at, ack, sent, got, err)
}

// concludeLaunch handles the outcome of an order that was sent to the worker.
func (ow *Owner) concludeLaunch(at *attempt, ack worker.Ack, sent, got time.Time, err error) {
	if !at.wk.isOwnClock(ack.ClockMS, sent, got) {
		err = at.wk.recordForeignClock(ack.ClockMS, got, err)
	} else {
		at.wk.recordClock(ack.ClockMS, got)
	}
	if !at.current() {
		return
	}
	if err == nil || errors.Is(err, worker.ErrStaleAttempt) {
		at.wk.recordAnswered(got)
		at.wk.recordTransit(at, ack)
		at.beginObservation(ack, err)
		at.wk.markStarted(at, got)
		ow.Log.Info("attempt launched", "task", taskID(at), "attempt", at.number, "worker", at.wk.incarnation, "took", got.Sub(sent))
		return
	}
	ow.Log.Info("launch not done", "task", taskID(at), "attempt", at.number, "worker", at.wk.incarnation, "err", err)
	if ie := (*worker.IncarnationError)(nil); errors.As(err, &ie) {
		at.wk.handleOtherAnswer(callLaunch, ie)
		if at.wk.dead {
			return
		}
	}
	if errors.Is(err, worker.ErrOtherIncarnation) {
		// The next process refused the order, so the attempt did not cause the end of this
		// one.
		at.tj.settleOrder(at.ref, at.number)
		ow.recordEnd(at.tj, at.ref, at.number, job.EndNeverRan, "", "refused by another process")
		at.wk.markDead("another process answers at its address", worker.Incarnation{})
		return
	}
	if !at.wk.handleRefusal(err) {
		at.resolvingOrder = true
		at.orderSentBy = got
		at.wk.recordUnanswered(sent)
		go ow.resolveOrder(at.wk, at.name(), func(present bool) { ow.handleLaunchResolved(at, present) })
		return
	}
	at.tj.settleOrder(at.ref, at.number)
	ow.recordEnd(at.tj, at.ref, at.number, job.EndNeverRan, "", "refused by the worker")
}

// handleRefusal quarantines a worker that refused an order, and reports whether the attempt
// certainly will not run.
func (wk *workerState) handleRefusal(err error) bool {
	switch {
	case errors.Is(err, worker.ErrNoCapacity):
		wk.quarantine(capacityQuarantine, "has less capacity than known")
	case errors.Is(err, worker.ErrUnhealthy), errors.Is(err, worker.ErrMalformed):
		wk.quarantine(unfitQuarantine, "refuses orders")
	case errors.Is(err, worker.ErrLeaseExpired):
		wk.quarantine(capacityQuarantine, "refused a lease that had expired by its clock")
	case errors.Is(err, worker.ErrFenced):
		wk.quarantine(unfitQuarantine, "obeys a higher fencing token")
	case errors.Is(err, worker.ErrNoListener):
		// No process got the order, so it does not count as a crash under the task.
		wk.quarantine(unfitQuarantine, "nothing listens there")
	case errors.Is(err, worker.ErrEvacuated):
		// A relay has read the request before this owner.
		wk.quarantine(unfitQuarantine, "its data centre is evacuated")
	case errors.Is(err, worker.ErrNotSent):
		wk.quarantine(unfitQuarantine, "there is no way to it now")
	default:
		return false
	}
	return true
}

// capacityQuarantine is the duration of the quarantine of a worker that had less capacity than
// known or refused an expired lease: the next poll reports its current state and clock.
const capacityQuarantine = 150 * time.Millisecond

func launchOutcome(err error) string {
	for _, known := range []struct {
		err     error
		outcome string
	}{
		{worker.ErrFenced, "fenced"}, {worker.ErrStaleAttempt, "old"}, {worker.ErrLeaseExpired, "late"},
		{worker.ErrNoCapacity, "no-room"}, {worker.ErrUnhealthy, "unfit"}, {worker.ErrOtherIncarnation, "other-life"}, {worker.ErrMalformed, "malformed"},
		{worker.ErrEvacuated, "evacuated"}, {worker.ErrNotSent, "not-sent"},
	} {
		if errors.Is(err, known.err) {
			return known.outcome
		}
	}
	if err != nil {
		return "no-answer"
	}
	return "done"
}

// handleLaunchResolved handles the outcome of a launch without an answer; present is set if the
// worker has the attempt.
func (ow *Owner) handleLaunchResolved(at *attempt, present bool) {
	if !at.current() {
		return
	}
	at.resolvingOrder = false
	if present {
		at.wk.markStarted(at, time.Now())
		return
	}
	ow.recordEnd(at.tj, at.ref, at.number, job.EndNeverRan, "", "its launch had no answer and it was prevented from starting")
}

// resolveOrder determines whether an attempt reached a worker whose answer was lost, and
// otherwise prevents it from ever starting there. It retries until the worker confirms one or
// the other, or the attempt has ended. While the worker has more ends than it lists, neither is
// known; the polls note the listed ones, after which it lists others.
func (ow *Owner) resolveOrder(wk *workerState, wa worker.Attempt, done func(present bool)) {
	started := time.Now()
	for {
		res, err := ow.listAttempts(wk)
		if err == nil && !res.Lists(wa) && ow.sendHalt(wk, wa) {
			res, err = ow.listAttempts(wk)
			whole, ok := res.Whole()
			switch {
			case err != nil:
			case !ok:
				ow.Log.Info("outcome of an order is not known yet", "task", wa.Task, "attempt", wa.Number, "worker", wk.incarnation, "ends", len(res.Ended), "age", time.Since(started))
			case whole.Absent(wa):
				ow.postTo(looplag.Launches, func() { done(false) })
				return
			}
		}
		if err == nil && res.Lists(wa) {
			ow.postTo(looplag.Launches, func() { done(true) })
			return
		}
		abandoned, aerr := callTo(ow.ctx, ow, looplag.Launches, func(answer func(bool)) { answer(wk.dead || wk.findAttempt(wa) == nil) })
		if abandoned || aerr != nil || !clock.Sleep(ow.ctx, resolveRetry) {
			return
		}
	}
}

// listAttempts asks the worker for the attempts that run there or have ended.
func (ow *Owner) listAttempts(wk *workerState) (worker.PollResult, error) {
	ctx, cancel := context.WithTimeout(ow.ctx, pollGrace)
	defer cancel()
	pt := wk.currentPath()
	res, err := ow.Agent.PollFunc(ctx, pt.addr, worker.Poll{Fence: pt.fence})
	if err != nil {
		wk.reportIncarnation(callPoll, err)
		return worker.PollResult{}, err
	}
	answered := time.Now()
	ow.postTo(looplag.Launches, func() { wk.recordAnswered(answered) })
	return res, nil
}

// halt orders the worker to stop an attempt. An order sent less than StopTime ago is not
// repeated.
func (ow *Owner) halt(at *attempt, why string) {
	// Another order helps only if the first was lost.
	if !at.haltSentAt.IsZero() && time.Since(at.haltSentAt) < ow.Limits.StopTime {
		return
	}
	if at.deferral != nil {
		ow.withdrawDeferred(at, why)
		return
	}
	if at.queued {
		ow.abandonQueued(at, why)
		return
	}
	at.haltRepeated, at.moving = !at.haltSentAt.IsZero(), false
	at.recordHalt(time.Now())
	ow.Log.Info("stopping attempt", "task", taskID(at), "attempt", at.number, "worker", at.wk.incarnation, "why", why)
	go ow.sendHalt(at.wk, at.name())
}

// sendHalt sends the order to stop an attempt and reports whether the worker acknowledged it.
func (ow *Owner) sendHalt(wk *workerState, wa worker.Attempt) bool {
	ctx, cancel := context.WithTimeout(ow.ctx, haltTimeout)
	defer cancel()
	pt := wk.currentPath()
	_, err := ow.Agent.HaltFunc(ctx, pt.addr, worker.Halt{Attempt: wa, Fence: pt.fence})
	if err != nil {
		wk.reportIncarnation(callHalt, err)
		ow.Log.Info("halt not done", "task", wa.Task, "attempt", wa.Number, "worker", pt.addr.Incarnation, "err", err)
	}
	return err == nil
}
