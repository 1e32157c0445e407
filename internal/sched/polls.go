package sched

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times and limits of polls.
const (
	// pollWait is how long a worker with attempts may wait for one to end before it answers a
	// poll. Where fillers run beside services with latency targets it waits mixedPollWait, as
	// the reported usage covers only half a second, and without attempts idlePollWait.
	pollWait      = time.Second
	mixedPollWait = 600 * time.Millisecond
	idlePollWait  = 2 * time.Second
	// confirmPollWait is the same for a worker that has just become slow, as tasks are moved
	// only once that is confirmed.
	confirmPollWait = 300 * time.Millisecond
	// pollGrace is the extra time for an answer before the connection counts as dead.
	pollGrace = 600 * time.Millisecond
	// pollRetry is the longest pause after a failed poll.
	pollRetry = 250 * time.Millisecond
	// maxDurableWait is how long the next poll waits for listed ends to become durable. Then
	// it is sent anyway, as it extends leases.
	maxDurableWait = 500 * time.Millisecond
	// unresponsiveAfter is the time without a successful poll after which a worker is likely
	// lost: capacity is reserved for its long-running tasks, and its attempts end once its
	// leases have lapsed.
	unresponsiveAfter = 2500 * time.Millisecond
	// extendUnresponsive is how long polls that fail still extend leases. An order in flight
	// may take effect without an answer, so if all of them extended leases, these would never
	// lapse.
	extendUnresponsive = time.Second
	// ackWithin is how long after an answer ends may be acknowledged. A process that replaced
	// the one that answered would take the acknowledged numbers for its own.
	ackWithin = 300 * time.Millisecond
)

// pollLoop polls the worker until ctx ends.
func (wk *workerState) pollLoop(ctx context.Context) {
	po, err := wk.requestPoll(ctx)
	for err == nil && ctx.Err() == nil {
		sent := time.Now()
		lctx, cancel := context.WithTimeout(ctx, po.Wait+pollGrace)
		clearWake(wk.pathChanged)
		pt := wk.currentPath()
		po.Fence = pt.fence
		res, perr := wk.ow.Agent.PollFunc(lctx, pt.addr, po)
		cancel()
		if ctx.Err() != nil {
			return
		}
		got := time.Now()
		if !wk.ow.postTo(looplag.Polls, func() { wk.handlePoll(sent, got, pt.fence, res, perr) }) {
			return
		}
		po, err = wk.waitForNextPoll(ctx, perr)
	}
}

// requestPoll asks the loop for the next poll.
func (wk *workerState) requestPoll(ctx context.Context) (worker.Poll, error) {
	return callTo(ctx, wk.ow, looplag.Polls, func(answer func(worker.Poll)) {
		wk.pollAwaited, wk.pollSoon = false, false
		select {
		case po := <-wk.nextPolls:
			answer(po)
		default:
			answer(wk.nextPoll())
		}
	})
}

// waitForNextPoll waits until the ends just listed are durable or, after a poll that failed with
// err, until there is another path, for a limited time. It returns the next poll.
func (wk *workerState) waitForNextPoll(ctx context.Context, err error) (worker.Poll, error) {
	limit := maxDurableWait
	var changed <-chan struct{}
	if err != nil {
		changed, limit = wk.pathChanged, pollRetry
	}
	ti := time.NewTimer(limit)
	defer ti.Stop()
	select {
	case po := <-wk.nextPolls:
		return po, nil
	case <-changed:
	case <-ti.C:
	case <-ctx.Done():
	}
	return wk.requestPoll(ctx)
}

// sendPoll hands the next poll to the poll loop if that waits for it.
func (wk *workerState) sendPoll() {
	if wk.pollAwaited {
		wk.pollAwaited, wk.pollSoon = false, false
		// The loop must never block here, so a poll that was not fetched is replaced.
		select {
		case <-wk.nextPolls:
		default:
		}
		wk.nextPolls <- wk.nextPoll()
	}
}

// wake signals a channel of capacity one: its receiver wakes now, or at its next receive.
func wake(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// clearWake discards a pending signal.
func clearWake(ch <-chan struct{}) {
	select {
	case <-ch:
	default:
	}
}

// nextPoll returns the next request. It acknowledges ends only right after a poll that listed
// some, as later another process may answer.
func (wk *workerState) nextPoll() worker.Poll {
	now := time.Now()
	po := worker.Poll{}
	wk.ackWithheld = wk.lastPollHadEnds && !wk.mayAcknowledge(now)
	if wk.lastPollHadEnds && !wk.ackWithheld {
		po.AckedEnd = wk.endsAcked
	}
	if wk.failingSince.IsZero() || now.Sub(wk.failingSince) < extendUnresponsive {
		po.LeaseUntilMS = wk.nextLeaseEnd(now)
	}
	switch {
	case wk.leaseRecorded() && wk.failingSince.IsZero():
		po.Wait = recordedPollWait
	case !wk.settled || wk.ackWithheld || wk.clockAt.IsZero() || wk.undurableEnds > 0 || !wk.failingSince.IsZero():
	case wk.speed.awaitsConfirmation(now):
		po.Wait = confirmPollWait
	case wk.hasFillersBesideServices():
		po.Wait = mixedPollWait
	case len(wk.attempts) > 0:
		po.Wait = pollWait
	default:
		po.Wait = idlePollWait
	}
	return po
}

// mayAcknowledge reports whether the next poll may acknowledge ends: soon after an answer, or
// if the last poll already withheld the acknowledgement. Otherwise a busy owner would withhold
// it forever.
func (wk *workerState) mayAcknowledge(now time.Time) bool {
	return wk.failingSince.IsZero() && (wk.ackWithheld || now.Sub(wk.lastAnsweredAt) <= ackWithin)
}

// hasFillersBesideServices reports whether fillers run on the worker together with services
// that have latency targets.
func (wk *workerState) hasFillersBesideServices() bool {
	return wk.fillerCount > 0 && slices.ContainsFunc(wk.services, (*attempt).isMeasuredService)
}

// handlePoll handles the result of a poll that was sent with the given fencing token.
func (wk *workerState) handlePoll(sent, got time.Time, fence int64, res worker.PollResult, err error) {
	if wk.dead {
		return
	}
	if err != nil {
		wk.handlePollError(err)
		return
	}
	if !wk.failingSince.IsZero() {
		wk.ow.Log.Info("worker answers again", "worker", wk.incarnation, "after", got.Sub(wk.failingSince))
		wk.failingSince, wk.unresponsive = time.Time{}, false
	}
	wk.ow.clearUnresponsive(wk)
	if wk.leaseRecorded() {
		wk.ow.recordLeases(got)
	}
	wk.supersedeOthers(sent)
	unpolled := wk.unpolledTime(sent, got)
	wk.lastAnsweredAt, wk.restartSeenAt = got, time.Time{}
	wk.recordAnswered(got)
	wk.recordClock(res.ClockMS, got)
	taken := wk.fillers.dateUsage(res, sent, got)
	wk.lastPollHadEnds, wk.pollAwaited = len(res.Ended) > 0, true
	wk.pollsHandled++
	wk.speed.recordPoll(res.ClockMS, unpolled, got)
	wk.handleEnds(res, unpolled)
	wk.handleRunning(res, got)
	wk.judgeSpeed(got)
	if whole, ok := res.Whole(); ok {
		settles := !wk.settled && fence >= wk.settleFence
		wk.endMissing(sent, whole, settles)
		wk.settleAbsentOrders(sent, whole)
		if settles {
			wk.markSettled()
			wk.ow.Log.Info("worker settled", "worker", wk.incarnation, "running", len(res.Running), "ended", len(res.Ended))
			// Only now can the leases be extended. That must not wait for a write, as a
			// takeover has used up most of their time.
			wk.sendPoll()
		}
	}
	wk.startQueued()
	wk.measure(taken, got)
	wk.acknowledge()
	if wk.pollSoon {
		wk.sendPoll()
	}
}

// handlePollError handles a failed poll.
func (wk *workerState) handlePollError(err error) {
	wk.ow.Metrics.Add(telemetry.PollFailures, 1, "outcome", "failed")
	ie := (*worker.IncarnationError)(nil)
	switch {
	case errors.As(err, &ie):
		wk.handleOtherAnswer(callPoll, ie)
	case errors.Is(err, worker.ErrOtherIncarnation):
		wk.markDead("another process answers at its address", worker.Incarnation{})
	case errors.Is(err, worker.ErrFenced):
		wk.ow.Log.Warn("worker obeys a higher fencing token", "worker", wk.incarnation, "epoch", wk.ow.Tenure.Epoch, "fence", wk.currentPath().fence)
		wk.failingSince = time.Now()
		// The higher token may be this owner's own, sent on a path that was given up. If it is
		// that of a next owner, it stays higher than any token of this one.
		wk.raiseFence()
	case wk.failingSince.IsZero():
		wk.failingSince, wk.unresponsive = time.Now(), !errors.Is(err, worker.ErrConnectionLost)
		wk.ow.Log.Warn("worker does not answer", "worker", wk.incarnation, "attempts", len(wk.attempts), "err", err)
	}
}

// handleEnds handles the ends that are new. They happened the given time before the poll was
// answered.
func (wk *workerState) handleEnds(res worker.PollResult, unpolled time.Duration) {
	for _, ea := range res.Ended {
		if ea.EndNumber <= wk.endsHandled {
			wk.logSkippedEnd(ea)
			continue
		}
		wk.endsHandled = ea.EndNumber
		wk.recordFreed(ea, res.ClockMS, unpolled)
		wk.handleEnd(ea)
	}
}

// logSkippedEnd logs an end that is skipped because its number counts as handled, though its
// attempt still counts as running.
func (wk *workerState) logSkippedEnd(ea worker.EndedAttempt) {
	if wk.findAttempt(ea.Attempt) != nil {
		wk.ow.Log.Warn("end skipped as known", "task", ea.Task, "attempt", ea.Number, "worker", wk.incarnation, "end", ea.Outcome,
			"number", ea.EndNumber, "handled", wk.endsHandled, "acked", wk.endsAcked)
	}
}

// handleEnd records a listed end, and delays its acknowledgement until it is durable.
func (wk *workerState) handleEnd(ea worker.EndedAttempt) {
	id, ref, ok := job.ParseTaskID(ea.Task)
	tj := wk.ow.jobs[id]
	if !ok || tj == nil {
		wk.ow.Log.Info("worker lists the end of an unknown task", "task", ea.Task, "attempt", ea.Number, "worker", wk.incarnation, "end", ea.Outcome)
		return
	}
	wk.recordOutcome(tj, ea.Outcome)
	tj.settleOrder(ref, ea.Number)
	tj.jo.MarkBegun()
	end := parseEnd(ea.Outcome)
	if !wk.ow.recordEnd(tj, ref, ea.Number, end, ea.Checkpoint, "listed by the worker") {
		wk.ow.recordLateEnd(tj, ref, ea.Number, end, wk.incarnation)
	}
	wk.awaitDurableEnd(tj)
}

// awaitDurableEnd delays the acknowledgement of the ends just listed until the job's current
// state is written. This holds also for an end that changes nothing, as the attempt may have
// been given up in a state that is not written yet: the next owner would read that the attempt
// runs and find it neither running nor ended.
func (wk *workerState) awaitDurableEnd(tj *trackedJob) {
	if !tj.dirty && !tj.writing {
		return
	}
	wk.undurableEnds++
	tj.onWritten = append(tj.onWritten, wk.endBecameDurable)
	wk.ow.markDirty(tj)
}

// parseEnd converts a worker's report of how an attempt ended. Anything but done, failed and
// stopped counts as lapsed: the task is retried and no failure is counted.
func parseEnd(how string) job.End {
	switch how {
	case "done":
		return job.EndDone
	case "failed":
		return job.EndFailed
	case "stopped":
		return job.EndStopped
	}
	return job.EndLapsed
}

// endBecameDurable records that a listed end was written.
func (wk *workerState) endBecameDurable() {
	wk.undurableEnds--
	wk.acknowledge()
}

// acknowledge starts the next poll, which acknowledges the ends, once all of them are durable.
func (wk *workerState) acknowledge() {
	if wk.undurableEnds > 0 {
		return
	}
	wk.endsAcked = wk.endsHandled
	wk.sendPoll()
}

// handleRunning updates the attempts that are listed as running, and stops those that should
// not run.
func (wk *workerState) handleRunning(res worker.PollResult, got time.Time) {
	wk.listedCount = 0
	for _, ra := range res.Running {
		at := wk.findAttempt(ra.Attempt)
		if at == nil {
			wk.recordStray(ra.Attempt, got)
			wk.stopUnknownAttempt(ra)
			continue
		}
		if at.listedInPoll != wk.pollsHandled {
			at.listedInPoll = wk.pollsHandled
			wk.listedCount++
		}
		if at.endIfNotRun != "" {
			wk.confirmRunning(at)
		}
		wk.recordTransit(at, worker.Ack{ClockMS: res.ClockMS})
		wk.markStarted(at, got)
		at.recordObservation(got)
		at.usage = ra.Usage
		at.recordProgress(ra.Percent, got)
		at.observeProgress(got)
		if ra.Checkpoint != "" {
			at.tj.jo.Task(at.ref).Checkpoint = ra.Checkpoint
		}
		switch {
		case at.superseded:
			wk.ow.halt(at, supersededReason)
		case at.tj.jo.State().Final() && !at.tj.isDone(at.ref):
			wk.ow.halt(at, "still running after the end of its job")
		}
		switch {
		case at.haltSentAt.IsZero() || (at.moving && at.stopping(got)):
		case at.moving:
			// The order is lost, so the attempt serves again.
			at.haltSentAt, at.moving = time.Time{}, false
			delete(wk.ow.halted, at)
		default:
			wk.ow.halt(at, "still running after it was ordered to stop")
		}
		if at.stalled(got) {
			wk.stopStalled(at, got)
		}
	}
}

// stopUnknownAttempt stops an attempt that the cell has no record of.
func (wk *workerState) stopUnknownAttempt(ra worker.RunningAttempt) {
	if id, _, ok := job.ParseTaskID(ra.Task); ok && wk.ow.unreadable[id] {
		return
	}
	wk.ow.Log.Warn("stopping an attempt that the cell has no record of", "task", ra.Task, "attempt", ra.Number, "worker", wk.incarnation)
	go wk.ow.sendHalt(wk, ra.Attempt)
}

// markStarted records that the worker is known to have the attempt.
func (wk *workerState) markStarted(at *attempt, now time.Time) {
	if !at.launchedAt.IsZero() {
		return
	}
	at.launchedAt = now
	at.tj.settleOrder(at.ref, at.number)
	if at.tj.jo.MarkAcknowledged(at.ref, at.number) && at.needsEarlyProof() {
		at.tj.scheduleAckWrite(now)
	}
	delete(wk.ow.unconfirmedRestarts, at)
	wk.endDeferral(at)
	wk.holdIfStarted(at, now)
}

// findAttempt returns the attempt of that name if it is recorded on this worker, or nil.
func (wk *workerState) findAttempt(wa worker.Attempt) *attempt { return wk.attemptsByName[wa] }

// endMissing ends the attempts that a poll should have listed and did not.
func (wk *workerState) endMissing(sent time.Time, whole worker.WholeList, settles bool) {
	if wk.listedCount == len(wk.attempts) {
		return
	}
	for at := range wk.allAttempts() {
		if at.listedInPoll == wk.pollsHandled {
			continue
		}
		if end, why := at.endIfMissing(sent, settles); end != "" && whole.Absent(at.name()) {
			wk.ow.recordEnd(at.tj, at.ref, at.number, end, "", why)
		}
	}
}

// endIfMissing returns how an attempt has ended if a poll does not list it, and why, or "" if that
// shows nothing: it does if the order was acknowledged before the poll was sent or, if the poll
// settles the worker, for attempts ordered by former owners or from earlier incarnations.
func (at *attempt) endIfMissing(sent time.Time, settles bool) (end job.End, why string) {
	switch {
	case !at.launchedAt.IsZero() && at.launchedAt.Before(sent):
		return job.EndLapsed, "no longer listed by the worker"
	case !settles:
	case at.endIfNotRun != "":
		return at.endIfNotRun, "another incarnation of its worker answers"
	case at.inherited:
		return job.EndNeverRan, "ordered by a former owner and not listed"
	}
	return "", ""
}
