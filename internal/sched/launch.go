package sched

import (
	"context"
	"errors"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times of orders.
const (
	// launchTimeout is how long a launch may go without an answer before the owner finds out
	// what became of it. An order takes under 5 ms in normal operation.
	launchTimeout = 400 * time.Millisecond
	// haltTimeout is the same for a halt, which may last as long as the task takes to stop.
	haltTimeout = 500 * time.Millisecond
	// resolveRetry is the pause between tries to find out what became of an order.
	resolveRetry = 200 * time.Millisecond
)

// launch sends the order of an attempt whose start is durable.
func (ow *Owner) launch(at *attempt) {
	if at.en.attempts[at.ref] != at || at.en.jo.State().Final() {
		ow.abandonLaunch(at, "job ended before the order was sent")
		return
	}
	// The write of the start took time, in which the worker may have left the list.
	if at.ho.unlisted || at.ho.Draining {
		ow.abandonLaunch(at, "its worker drains or left the list before the order was sent")
		return
	}
	if at.ho.leaseRecorded() {
		ow.abandonLaunch(at, "its worker does not answer and gets no lease")
		return
	}
	at.orderSent = true
	ta := at.en.jo.Task(at.ref)
	la := worker.Launch{
		Attempt: at.name(), Payload: at.en.jo.Spec.Payload, Checkpoint: ta.Checkpoint,
		LeaseUntilMS: at.ho.nextLeaseEnd(time.Now()),
	}
	go ow.sendLaunch(at, la)
}

// abandonLaunch ends an attempt whose order was never sent.
func (ow *Owner) abandonLaunch(at *attempt, why string) {
	if at.en.attempts[at.ref] == at {
		ow.recordEnd(at.en, at.ref, at.number, job.EndNeverRan, "", why)
	}
}

func (at *attempt) name() worker.Attempt {
	return worker.Attempt{Task: at.en.jo.TaskID(at.ref), Number: at.number}
}

func (ow *Owner) sendLaunch(at *attempt, la worker.Launch) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ow.ctx, launchTimeout)
	wa := at.ho.currentPath()
	la.Fence = wa.fence
	ack, err := ow.Agent.LaunchFunc(ctx, wa.addr, la)
	cancel()
	got := time.Now()
	ow.post(func() { ow.handleLaunchAnswer(at, ack, sent, got, err) })
}

// handleLaunchAnswer handles the answer to a launch, or its failure.
func (ow *Owner) handleLaunchAnswer(at *attempt, ack worker.Ack, sent, got time.Time, err error) {
	ow.Metrics.Add(telemetry.Launches, 1, "outcome", launchOutcome(err))
	ow.endStart(at)
	if ow.window.recordAnswer(got.Sub(sent), got) {
		ow.Log.Info("fewer starts at once, as answers are slow", "cell", ow.Cell, "most", ow.window.limit(), "under_way", ow.window.inFlight, "took", got.Sub(sent))
	}
	at.ho.recordClock(ack.ClockMS, got)
	if at.en.attempts[at.ref] != at {
		return
	}
	if err == nil || errors.Is(err, worker.ErrStaleAttempt) {
		at.ho.markStarted(at, got)
		ow.Log.Info("attempt launched", "task", taskID(at), "attempt", at.number, "worker", at.ho.incarnation, "took", got.Sub(sent))
		return
	}
	ow.Log.Info("launch not done", "task", taskID(at), "attempt", at.number, "worker", at.ho.incarnation, "err", err)
	if le := (*worker.IncarnationError)(nil); errors.As(err, &le) {
		at.ho.handleOtherIncarnation(le.Answered)
		if at.ho.dead {
			return
		}
	}
	if errors.Is(err, worker.ErrOtherIncarnation) {
		// The next process refused the order, so the attempt did not cause the end of this
		// one.
		ow.recordEnd(at.en, at.ref, at.number, job.EndNeverRan, "", "refused by another process")
		at.ho.markDead("another process answers at its address", worker.Incarnation{})
		return
	}
	if !at.ho.handleRefusal(err) {
		at.resolvingOrder = true
		go ow.resolveOrder(at.ho, at.name(), func(present bool) { ow.handleLaunchResolved(at, present) })
		return
	}
	ow.recordEnd(at.en, at.ref, at.number, job.EndNeverRan, "", "refused by the worker")
}

func taskID(at *attempt) string { return at.en.jo.TaskID(at.ref) }

// handleRefusal quarantines a worker that refused an order, and reports whether the attempt
// certainly will not run.
func (ho *workerState) handleRefusal(err error) bool {
	switch {
	case errors.Is(err, worker.ErrNoCapacity):
		ho.quarantine(capacityQuarantine, "has less capacity than known")
	case errors.Is(err, worker.ErrUnhealthy), errors.Is(err, worker.ErrMalformed):
		ho.quarantine(unfitQuarantine, "refuses orders")
	case errors.Is(err, worker.ErrLeaseExpired):
		ho.quarantine(capacityQuarantine, "refused a lease that was late by its clock")
	case errors.Is(err, worker.ErrFenced):
		ho.quarantine(unfitQuarantine, "obeys a higher fencing token")
	case errors.Is(err, worker.ErrNoListener):
		// No process got the order, so it does not count as a crash under the task.
		ho.quarantine(unfitQuarantine, "nothing listens there")
	case errors.Is(err, worker.ErrNotSent):
		ho.quarantine(unfitQuarantine, "there is no way to it now")
	default:
		return false
	}
	return true
}

// capacityQuarantine is the quarantine of a worker that had less capacity than known: the next
// poll reports the current state.
const capacityQuarantine = 150 * time.Millisecond

func launchOutcome(err error) string {
	for _, known := range []struct {
		err     error
		outcome string
	}{
		{worker.ErrFenced, "fenced"}, {worker.ErrStaleAttempt, "old"}, {worker.ErrLeaseExpired, "late"},
		{worker.ErrNoCapacity, "no-room"}, {worker.ErrUnhealthy, "unfit"}, {worker.ErrOtherIncarnation, "other-life"}, {worker.ErrMalformed, "malformed"},
		{worker.ErrNotSent, "not-sent"},
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

// handleLaunchResolved handles what became of a launch without an answer.
func (ow *Owner) handleLaunchResolved(at *attempt, present bool) {
	if at.en.attempts[at.ref] != at {
		return
	}
	at.resolvingOrder = false
	if present {
		at.ho.markStarted(at, time.Now())
		return
	}
	ow.recordEnd(at.en, at.ref, at.number, job.EndNeverRan, "", "its launch had no answer and it was prevented from starting")
}

// resolveOrder finds out whether an attempt reached a worker whose answer was lost, and
// otherwise prevents that it ever starts there. It retries until the worker confirms one or
// the other, or the attempt has ended.
func (ow *Owner) resolveOrder(ho *workerState, wa worker.Attempt, done func(present bool)) {
	for {
		present, err := ow.listsAttempt(ho, wa)
		if err == nil && present {
			ow.post(func() { done(true) })
			return
		}
		if err == nil && ow.sendHalt(ho, wa) {
			present, err = ow.listsAttempt(ho, wa)
			if err == nil {
				ow.post(func() { done(present) })
				return
			}
		}
		abandoned, aerr := call(ow.ctx, ow, func(answer func(bool)) { answer(ho.dead || ho.findAttempt(wa) == nil) })
		if abandoned || aerr != nil || !clock.Sleep(ow.ctx, resolveRetry) {
			return
		}
	}
}

// listsAttempt asks the worker whether it lists an attempt as running or ended.
func (ow *Owner) listsAttempt(ho *workerState, wa worker.Attempt) (bool, error) {
	ctx, cancel := context.WithTimeout(ow.ctx, pollGrace)
	defer cancel()
	way := ho.currentPath()
	si, err := ow.Agent.PollFunc(ctx, way.addr, worker.Poll{Fence: way.fence})
	if err != nil {
		ho.reportIncarnation(err)
		return false, err
	}
	for _, ra := range si.Running {
		if ra.Attempt == wa {
			return true, nil
		}
	}
	for _, ea := range si.Ended {
		if ea.Attempt == wa {
			return true, nil
		}
	}
	return false, nil
}

// halt orders the worker to stop an attempt. An order sent less than StopTime ago is not
// repeated.
func (ow *Owner) halt(at *attempt, why string) {
	// Another order helps only if the first was lost.
	if !at.haltSentAt.IsZero() && time.Since(at.haltSentAt) < ow.Limits.StopTime {
		return
	}
	at.haltSentAt = time.Now()
	ow.Log.Info("stopping attempt", "task", taskID(at), "attempt", at.number, "worker", at.ho.incarnation, "why", why)
	go ow.sendHalt(at.ho, at.name())
}

// sendHalt sends the order to stop an attempt and reports whether the worker acknowledged it.
func (ow *Owner) sendHalt(ho *workerState, wa worker.Attempt) bool {
	ctx, cancel := context.WithTimeout(ow.ctx, haltTimeout)
	defer cancel()
	way := ho.currentPath()
	_, err := ow.Agent.HaltFunc(ctx, way.addr, worker.Halt{Attempt: wa, Fence: way.fence})
	if err != nil {
		ho.reportIncarnation(err)
		ow.Log.Info("halt not done", "task", wa.Task, "attempt", wa.Number, "worker", way.addr.Incarnation, "err", err)
	}
	return err == nil
}
