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
	// launchTimeout is how long the answer to a launch may take before it is
	// looked into: one order takes under 5 ms where nothing is wrong.
	launchTimeout = 400 * time.Millisecond
	// haltTimeout is the same for a halt, which may take the time to stop.
	haltTimeout = 500 * time.Millisecond
	// resolveRetry is the pause between attempts to find out what became of an
	// order.
	resolveRetry = 200 * time.Millisecond
)

// launch sends the order of an attempt that is durable.
func (ow *Owner) launch(at *attempt) {
	if at.en.attempts[at.ref] != at || at.en.jo.State().Final() {
		ow.abandonLaunch(at, "job ended before the order was sent")
		return
	}
	// Its start took a write, and the worker may have left the list meanwhile.
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

// handleLaunchAnswer takes in the answer to a launch.
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
		// It was refused by the next process, so it had no part in the end of this one.
		ow.recordEnd(at.en, at.ref, at.number, job.EndNeverRan, "", "refused by another process")
		at.ho.markDead("another process answers at its address", worker.Incarnation{})
		return
	}
	if !at.ho.handleRefusal(err) {
		at.resolvingOrder = true
		go ow.resolveOrder(at.ho, at.name(), func(there bool) { ow.handleLaunchResolved(at, there) })
		return
	}
	ow.recordEnd(at.en, at.ref, at.number, job.EndNeverRan, "", "refused by the worker")
}

func taskID(at *attempt) string { return at.en.jo.TaskID(at.ref) }

// handleRefusal draws the conclusions of a refusal and reports whether the
// attempt certainly will not run.
func (ho *workerState) handleRefusal(err error) bool {
	switch {
	case errors.Is(err, worker.ErrNoCapacity):
		ho.quarantine(capacityQuarantine, "has less room than known")
	case errors.Is(err, worker.ErrUnhealthy), errors.Is(err, worker.ErrMalformed):
		ho.quarantine(unfitQuarantine, "refuses orders")
	case errors.Is(err, worker.ErrLeaseExpired):
		ho.quarantine(capacityQuarantine, "its clock is not known well")
	case errors.Is(err, worker.ErrFenced):
		ho.quarantine(unfitQuarantine, "obeys a later owner")
	case errors.Is(err, worker.ErrNoListener):
		// Nobody had the order, so it is no sign of a crash under the task.
		ho.quarantine(unfitQuarantine, "nothing listens there")
	case errors.Is(err, worker.ErrNotSent):
		ho.quarantine(unfitQuarantine, "there is no way to it now")
	default:
		return false
	}
	return true
}

// capacityQuarantine is the time aside of a worker that had less room than known: the
// next look tells more.
const capacityQuarantine = 150 * time.Millisecond

func launchOutcome(err error) string {
	for _, known := range []struct {
		err  error
		word string
	}{
		{worker.ErrFenced, "fenced"}, {worker.ErrStaleAttempt, "old"}, {worker.ErrLeaseExpired, "late"},
		{worker.ErrNoCapacity, "no-room"}, {worker.ErrUnhealthy, "unfit"}, {worker.ErrOtherIncarnation, "other-life"}, {worker.ErrMalformed, "malformed"},
		{worker.ErrNotSent, "not-sent"},
	} {
		if errors.Is(err, known.err) {
			return known.word
		}
	}
	if err != nil {
		return "no-answer"
	}
	return "done"
}

// handleLaunchResolved takes in what became of a launch without an answer.
func (ow *Owner) handleLaunchResolved(at *attempt, there bool) {
	if at.en.attempts[at.ref] != at {
		return
	}
	at.resolvingOrder = false
	if there {
		at.ho.markStarted(at, time.Now())
		return
	}
	ow.recordEnd(at.en, at.ref, at.number, job.EndNeverRan, "", "its launch had no answer and it was kept from starting")
}

// resolveOrder finds out whether an attempt got to a worker whose answer was lost,
// and else keeps it from ever starting there. It goes on until the worker says
// so, or is given up.
func (ow *Owner) resolveOrder(ho *workerState, wa worker.Attempt, done func(there bool)) {
	for {
		there, err := ow.listsAttempt(ho, wa)
		if err == nil && there {
			ow.post(func() { done(true) })
			return
		}
		if err == nil && ow.sendHalt(ho, wa) {
			there, err = ow.listsAttempt(ho, wa)
			if err == nil {
				ow.post(func() { done(there) })
				return
			}
		}
		given, aerr := call(ow.ctx, ow, func(answer func(bool)) { answer(ho.dead || ho.findAttempt(wa) == nil) })
		if given || aerr != nil || !clock.Sleep(ow.ctx, resolveRetry) {
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

// halt orders the end of an attempt.
func (ow *Owner) halt(at *attempt, why string) {
	// Another order helps only if the first was lost.
	if !at.haltSentAt.IsZero() && time.Since(at.haltSentAt) < ow.Limits.StopTime {
		return
	}
	at.haltSentAt = time.Now()
	ow.Log.Info("stopping attempt", "task", taskID(at), "attempt", at.number, "worker", at.ho.incarnation, "why", why)
	go ow.sendHalt(at.ho, at.name())
}

// sendHalt sends the order and reports whether the worker took it.
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
