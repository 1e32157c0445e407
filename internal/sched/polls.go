package sched

import (
	"context"
	"errors"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times and limits of polls.
const (
	// pollWait is how long a worker with attempts may wait for one to end before it answers a
	// poll. Where fillers run beside services with latency targets, whose figures cover half a
	// second, it waits mixedPollWait, and without attempts idlePollWait.
	pollWait      = time.Second
	mixedPollWait = 600 * time.Millisecond
	idlePollWait  = 2 * time.Second
	// pollGrace is the extra time for an answer before the connection counts as dead.
	pollGrace = 600 * time.Millisecond
	// pollRetry is the longest pause after a failed poll.
	pollRetry = 250 * time.Millisecond
	// maxDurableWait is how long a poll waits for ends to become durable. Then it is sent
	// anyway, as it extends leases.
	maxDurableWait = 500 * time.Millisecond
	// unresponsiveAfter is the time without a successful poll after which a worker is likely
	// lost: capacity is reserved for its long-running tasks, and its attempts end once its
	// leases have lapsed.
	unresponsiveAfter = 2500 * time.Millisecond
	// extendUnresponsive is how long polls that fail still extend leases. An order under way
	// may take effect without an answer, so if all of them extended leases, these would never
	// lapse.
	extendUnresponsive = time.Second
	// ackWithin is how long after an answer ends may be acknowledged. A process that replaced
	// the one that answered would take the acknowledged numbers for its own.
	ackWithin = 300 * time.Millisecond
	// maxEnds is the largest number of ends that an answer lists.
	maxEnds = 500
)

// pollLoop polls the worker until ctx ends.
func (ho *workerState) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		lo, err := call(ctx, ho.ow, func(answer func(worker.Poll)) { answer(ho.nextPoll()) })
		if err != nil {
			return
		}
		sent := time.Now()
		lctx, cancel := context.WithTimeout(ctx, lo.Wait+pollGrace)
		clearWake(ho.pathChanged)
		wa := ho.currentPath()
		lo.Fence = wa.fence
		si, err := ho.ow.Agent.PollFunc(lctx, wa.addr, lo)
		cancel()
		if ctx.Err() != nil {
			return
		}
		got := time.Now()
		if !ho.ow.post(func() { ho.handlePoll(sent, got, wa.fence, si, err) }) {
			return
		}
		ho.waitForNextPoll(ctx, err)
	}
}

// waitForNextPoll waits until the ends just listed are durable or, after a failed poll, until
// there is another path, for a limited time.
func (ho *workerState) waitForNextPoll(ctx context.Context, err error) {
	due, limit := ho.pollWake, maxDurableWait
	if err != nil {
		due, limit = ho.pathChanged, pollRetry
	}
	ti := time.NewTimer(limit)
	defer ti.Stop()
	select {
	case <-due:
	case <-ti.C:
	case <-ctx.Done():
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

// nextPoll returns the next request. It acknowledges ends only right after a poll listed some,
// as by now another process may answer.
func (ho *workerState) nextPoll() worker.Poll {
	now := time.Now()
	lo := worker.Poll{}
	ho.ackWithheld = ho.lastPollHadEnds && !ho.mayAcknowledge(now)
	if ho.lastPollHadEnds && !ho.ackWithheld {
		lo.AckedEnd = ho.endsAcked
	}
	if ho.failingSince.IsZero() || now.Sub(ho.failingSince) < extendUnresponsive {
		lo.LeaseUntilMS = ho.nextLeaseEnd(now)
	}
	switch {
	case ho.leaseRecorded() && ho.failingSince.IsZero():
		lo.Wait = recordedPollWait
	case !ho.settled || ho.ackWithheld || ho.clockAt.IsZero() || ho.undurableEnds > 0 || !ho.failingSince.IsZero():
	case ho.hasFillersBesideServices():
		lo.Wait = mixedPollWait
	case len(ho.attempts) > 0:
		lo.Wait = pollWait
	default:
		lo.Wait = idlePollWait
	}
	return lo
}

// mayAcknowledge reports whether the next poll may acknowledge ends: soon after an answer, or
// if the last poll already withheld the acknowledgement. Otherwise a busy owner would withhold
// it forever.
func (ho *workerState) mayAcknowledge(now time.Time) bool {
	return ho.failingSince.IsZero() && (ho.ackWithheld || now.Sub(ho.lastPoll) <= ackWithin)
}

// hasFillersBesideServices reports whether fillers run on the worker together with services
// that have latency targets.
func (ho *workerState) hasFillersBesideServices() bool {
	fillers, services := false, false
	for at := range ho.attempts {
		fillers = fillers || at.step().Filler
		services = services || at.serves()
	}
	return fillers && services
}

// handlePoll handles the result of a poll that was sent with the given fencing token.
func (ho *workerState) handlePoll(sent, got time.Time, fence int64, si worker.PollResult, err error) {
	if ho.dead {
		return
	}
	if err != nil {
		ho.handlePollError(err)
		return
	}
	if !ho.failingSince.IsZero() {
		ho.ow.Log.Info("worker answers again", "worker", ho.incarnation, "after", got.Sub(ho.failingSince))
		ho.failingSince, ho.unresponsive = time.Time{}, false
	}
	ho.ow.clearUnresponsive(ho)
	if ho.leaseRecorded() {
		ho.ow.recordLeases(got)
	}
	ho.supersedeOthers(sent)
	ho.lastPoll = got
	ho.recordClock(si.ClockMS, got)
	ho.lastPollHadEnds = len(si.Ended) > 0
	ended := ho.handleEnds(si)
	ho.handleRunning(si, got)
	if len(si.Ended) < maxEnds {
		settles := !ho.settled && fence >= ho.settleFence
		ho.endMissing(si, sent, ended, settles)
		if settles {
			ho.markSettled()
			ho.ow.Log.Info("worker settled", "worker", ho.incarnation, "running", len(si.Running), "ended", len(si.Ended))
			// Only now can the leases be extended. That must not wait for a write, as a
			// takeover has used up most of their time.
			wake(ho.pollWake)
		}
	}
	ho.measure(got)
	ho.acknowledge()
}

// handlePollError handles a failed poll.
func (ho *workerState) handlePollError(err error) {
	ho.ow.Metrics.Add(telemetry.PollFailures, 1, "outcome", "failed")
	le := (*worker.IncarnationError)(nil)
	switch {
	case errors.As(err, &le):
		ho.handleOtherIncarnation(le.Answered)
	case errors.Is(err, worker.ErrOtherIncarnation):
		ho.markDead("another process answers at its address", worker.Incarnation{})
	case errors.Is(err, worker.ErrFenced):
		ho.ow.Log.Warn("worker obeys a higher fencing token", "worker", ho.incarnation, "epoch", ho.ow.Tenure.Epoch, "fence", ho.currentPath().fence)
		ho.failingSince = time.Now()
		// The higher token may be this owner's own, sent on a path that was given up. If it is
		// that of a next owner, it stays higher than any token of this one.
		ho.raiseFence()
	case ho.failingSince.IsZero():
		ho.failingSince, ho.unresponsive = time.Now(), !errors.Is(err, worker.ErrConnectionLost)
		ho.ow.Log.Warn("worker does not answer", "worker", ho.incarnation, "attempts", len(ho.attempts), "err", err)
	}
}

// handleEnds handles the ends that are new and returns all that are listed.
func (ho *workerState) handleEnds(si worker.PollResult) map[worker.Attempt]bool {
	ended := map[worker.Attempt]bool{}
	for _, ea := range si.Ended {
		ended[ea.Attempt] = true
		if ea.EndNumber <= ho.endsHandled {
			ho.logSkippedEnd(ea)
			continue
		}
		ho.endsHandled = ea.EndNumber
		ho.handleEnd(ea)
	}
	return ended
}

// logSkippedEnd logs an end that counts as handled though its attempt counts as running.
func (ho *workerState) logSkippedEnd(ea worker.EndedAttempt) {
	if ho.findAttempt(ea.Attempt) != nil {
		ho.ow.Log.Warn("end skipped as known", "task", ea.Task, "attempt", ea.Number, "worker", ho.incarnation, "end", ea.Outcome,
			"number", ea.EndNumber, "handled", ho.endsHandled, "acked", ho.endsAcked)
	}
}

// handleEnd ends the attempt of a listed end.
func (ho *workerState) handleEnd(ea worker.EndedAttempt) {
	id, ref, ok := job.ParseTaskID(ea.Task)
	en := ho.ow.entries[id]
	if !ok || en == nil {
		ho.ow.Log.Info("worker lists the end of an unknown task", "task", ea.Task, "attempt", ea.Number, "worker", ho.incarnation, "end", ea.Outcome)
		return
	}
	ho.recordOutcome(en, ea.Outcome)
	end := parseEnd(ea.Outcome)
	if !ho.ow.recordEnd(en, ref, ea.Number, end, ea.Checkpoint, "listed by the worker") {
		ho.ow.recordLateEnd(en, ref, ea.Number, end, ho.incarnation)
	}
	ho.awaitDurableEnd(en)
}

// awaitDurableEnd delays the acknowledgement of the ends just listed until the job's current
// state is written. This holds also for an end that changes nothing, as the attempt may have
// been given up in a state that is not written yet: the next owner would read that the attempt
// runs and find it neither running nor ended.
func (ho *workerState) awaitDurableEnd(en *entry) {
	if !en.dirty && !en.writing {
		return
	}
	ho.undurableEnds++
	en.onWritten = append(en.onWritten, ho.endBecameDurable)
	ho.ow.markDirty(en)
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
func (ho *workerState) endBecameDurable() {
	ho.undurableEnds--
	ho.acknowledge()
}

// acknowledge starts the next poll, which acknowledges the ends, once all of them are durable.
func (ho *workerState) acknowledge() {
	if ho.undurableEnds > 0 {
		return
	}
	ho.endsAcked = ho.endsHandled
	wake(ho.pollWake)
}

// handleRunning updates the attempts that run and stops those that should not.
func (ho *workerState) handleRunning(si worker.PollResult, got time.Time) {
	for _, ra := range si.Running {
		at := ho.findAttempt(ra.Attempt)
		if at == nil {
			ho.stopUnknownAttempt(ra)
			continue
		}
		if at.endIfNotRun != "" {
			ho.confirmRunning(at)
		}
		ho.markStarted(at, got)
		at.recordSighting(got)
		at.usage = ra.Usage
		at.recordProgress(ra.Percent, got)
		if ra.Checkpoint != "" {
			at.en.jo.Task(at.ref).Checkpoint = ra.Checkpoint
		}
		if at.en.jo.State().Final() {
			ho.ow.halt(at, "still running after the end of its job")
		}
		if !at.haltSentAt.IsZero() {
			ho.ow.halt(at, "still running after it was ordered to stop")
		}
		if at.stalled(got) {
			ho.stopStalled(at, got)
		}
	}
}

// stopUnknownAttempt stops an attempt that the cell has no record of.
func (ho *workerState) stopUnknownAttempt(ra worker.RunningAttempt) {
	ho.ow.Log.Warn("stopping an attempt that the cell has no record of", "task", ra.Task, "attempt", ra.Number, "worker", ho.incarnation)
	go ho.ow.sendHalt(ho, ra.Attempt)
}

// markStarted records that the worker has the attempt.
func (ho *workerState) markStarted(at *attempt, now time.Time) {
	if !at.launchedAt.IsZero() {
		return
	}
	at.launchedAt = now
	ho.setInitialPace(at, now)
}

// findAttempt returns the attempt of that name if it is recorded on this worker, or nil.
func (ho *workerState) findAttempt(wa worker.Attempt) *attempt {
	id, ref, ok := job.ParseTaskID(wa.Task)
	en := ho.ow.entries[id]
	if !ok || en == nil {
		return nil
	}
	at := en.attempts[ref]
	if at == nil || at.ho != ho || at.number != wa.Number {
		return nil
	}
	return at
}

// endMissing ends the attempts that a poll should have listed and did not: those whose order
// was acknowledged before the poll was sent and, if the poll settles the worker, those ordered
// by former owners or from earlier incarnations.
func (ho *workerState) endMissing(si worker.PollResult, sent time.Time, ended map[worker.Attempt]bool, settles bool) {
	running := map[worker.Attempt]bool{}
	for _, ra := range si.Running {
		running[ra.Attempt] = true
	}
	for at := range ho.attempts {
		wa := worker.Attempt{Task: at.en.jo.TaskID(at.ref), Number: at.number}
		if running[wa] || ended[wa] {
			continue
		}
		if !at.launchedAt.IsZero() && at.launchedAt.Before(sent) {
			ho.ow.recordEnd(at.en, at.ref, at.number, job.EndLapsed, "", "no longer listed by the worker")
			continue
		}
		switch {
		case !settles:
		case at.endIfNotRun != "":
			ho.ow.recordEnd(at.en, at.ref, at.number, at.endIfNotRun, "", "another incarnation of its worker answers")
		case at.inherited:
			ho.ow.recordEnd(at.en, at.ref, at.number, job.EndNeverRan, "", "ordered by a former owner and not listed")
		}
	}
}
