package sched

import (
	"context"
	"errors"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times of looks.
const (
	// pollWait is how long a worker with work may wait for an end before it
	// answers; without work it waits idleWait, and beside services with
	// targets, whose figures are of half a second, serveWait.
	pollWait      = time.Second
	mixedPollWait = 600 * time.Millisecond
	idlePollWait  = 2 * time.Second
	// pollGrace is how much longer an answer may take before the connection
	// counts as dead.
	pollGrace = 600 * time.Millisecond
	// pollRetry is the pause after a look that failed.
	pollRetry = 250 * time.Millisecond
	// maxDurableWait is how long a look waits for ends to become durable before
	// it extends leases all the same.
	maxDurableWait = 500 * time.Millisecond
	// unresponsiveAfter is the time without a successful look after which a worker
	// gets nothing new.
	unresponsiveAfter = 2500 * time.Millisecond
	// extendUnresponsive is how long the leases of a worker that does not answer are
	// extended: each order on its way may be obeyed, so they would never lapse.
	extendUnresponsive = time.Second
	// ackWithin is how long after an answer ends are acknowledged: a process that took
	// the place of the one that answered would take their numbers for its own.
	ackWithin = 300 * time.Millisecond
	// maxEnds is the most ends that one answer lists.
	maxEnds = 500
)

// pollLoop looks at the worker again and again until ctx ends.
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

// waitForNextPoll waits until the next look is due: until the ends just seen are
// durable, or until there is another way after one that failed, but not for long.
func (ho *workerState) waitForNextPoll(ctx context.Context, err error) {
	due, most := ho.pollWake, maxDurableWait
	if err != nil {
		due, most = ho.pathChanged, pollRetry
	}
	ti := time.NewTimer(most)
	defer ti.Stop()
	select {
	case <-due:
	case <-ti.C:
	case <-ctx.Done():
	}
}

// wake wakes who waits for a channel, now or next.
func wake(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// clearWake takes a nudge back.
func clearWake(ch <-chan struct{}) {
	select {
	case <-ch:
	default:
	}
}

// nextPoll is what to ask now. Ends are acknowledged only right after a look listed some, as
// the process that answers may be another by now.
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

// mayAcknowledge reports whether the next look may acknowledge ends: soon after an answer, or
// if the look before was for that, so that a busy owner does not put it off for ever.
func (ho *workerState) mayAcknowledge(now time.Time) bool {
	return ho.failingSince.IsZero() && (ho.ackWithheld || now.Sub(ho.lastPoll) <= ackWithin)
}

// hasFillersBesideServices reports whether fillers run beside services with targets.
func (ho *workerState) hasFillersBesideServices() bool {
	filled, served := false, false
	for at := range ho.attempts {
		filled = filled || at.step().Filler
		served = served || at.serves()
	}
	return filled && served
}

// handlePoll takes in what a look saw that was sent with a fencing token.
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
			// Only now can its leases be extended, which a write may not hold up: a
			// takeover has used most of what is left of them.
			wake(ho.pollWake)
		}
	}
	ho.measure(got)
	ho.acknowledge()
}

func (ho *workerState) handlePollError(err error) {
	ho.ow.Metrics.Add(telemetry.Looks, 1, "outcome", "failed")
	le := (*worker.IncarnationError)(nil)
	switch {
	case errors.As(err, &le):
		ho.handleOtherIncarnation(le.Answered)
	case errors.Is(err, worker.ErrOtherIncarnation):
		ho.markDead("another process answers at its address", worker.Incarnation{})
	case errors.Is(err, worker.ErrFenced):
		ho.ow.Log.Warn("worker obeys a higher fencing token", "worker", ho.incarnation, "epoch", ho.ow.Tenure.Epoch, "fence", ho.currentPath().fence)
		ho.failingSince = time.Now()
		// It may be of this owner, from a way that was given up; those of the next are
		// higher than all that follow.
		ho.raiseFence()
	case ho.failingSince.IsZero():
		ho.failingSince, ho.unresponsive = time.Now(), !errors.Is(err, worker.ErrConnectionLost)
		ho.ow.Log.Warn("worker does not answer", "worker", ho.incarnation, "attempts", len(ho.attempts), "err", err)
	}
}

// handleEnds takes in ends that are new, and returns all that are listed.
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

// logSkippedEnd tells of an end that counts as known though its attempt counts as running.
func (ho *workerState) logSkippedEnd(ea worker.EndedAttempt) {
	if ho.findAttempt(ea.Attempt) != nil {
		ho.ow.Log.Warn("end skipped as known", "task", ea.Task, "attempt", ea.Number, "worker", ho.incarnation, "end", ea.Outcome,
			"number", ea.EndNumber, "handled", ho.endsHandled, "acked", ho.endsAcked)
	}
}

func (ho *workerState) handleEnd(ea worker.EndedAttempt) {
	id, ref, ok := job.ParseTaskID(ea.Task)
	en := ho.ow.entries[id]
	if !ok || en == nil {
		ho.ow.Log.Info("end of an unknown task", "task", ea.Task, "attempt", ea.Number, "worker", ho.incarnation, "end", ea.Outcome)
		return
	}
	ho.recordOutcome(en, ea.Outcome)
	end := parseEnd(ea.Outcome)
	if !ho.ow.recordEnd(en, ref, ea.Number, end, ea.Checkpoint, "listed by the worker") {
		ho.ow.recordLateEnd(en, ref, ea.Number, end, ho.incarnation)
	}
	ho.awaitDurableEnd(en)
}

// awaitDurableEnd keeps the ends just listed from being acknowledged until the job is
// written as it is now. Also an end that is no news may rest on what is not
// written yet: that its attempt was given up. The next owner would read of an
// attempt that runs, and find it neither running nor ended.
func (ho *workerState) awaitDurableEnd(en *entry) {
	if !en.dirty && !en.writing {
		return
	}
	ho.undurableEnds++
	en.onWritten = append(en.onWritten, ho.endBecameDurable)
	ho.ow.markDirty(en)
}

// parseEnd translates a worker's word for how an attempt ended. What is neither
// done nor failed can be tried again at no one's expense.
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

// endBecameDurable notes that an end became durable.
func (ho *workerState) endBecameDurable() {
	ho.undurableEnds--
	ho.acknowledge()
}

// acknowledge lets the next look go ahead once all ends are durable.
func (ho *workerState) acknowledge() {
	if ho.undurableEnds > 0 {
		return
	}
	ho.endsAcked = ho.endsHandled
	wake(ho.pollWake)
}

// handleRunning takes in what runs. What should not is stopped.
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
			ho.ow.halt(at, "still running after it was to stop")
		}
		if at.stalled(got) {
			ho.stopStalled(at, got)
		}
	}
}

// stopUnknownAttempt stops an attempt that the cell's rows do not have.
func (ho *workerState) stopUnknownAttempt(ra worker.RunningAttempt) {
	ho.ow.Log.Warn("stopping an attempt that is not ours", "task", ra.Task, "attempt", ra.Number, "worker", ho.incarnation)
	go ho.ow.sendHalt(ho, ra.Attempt)
}

// markStarted notes that an attempt is known to be at the worker.
func (ho *workerState) markStarted(at *attempt, now time.Time) {
	if !at.launchedAt.IsZero() {
		return
	}
	at.launchedAt = now
	ho.setInitialPace(at, now)
}

// findAttempt returns the attempt that the worker names, if it runs here.
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

// endMissing notes the end of attempts that a look should have listed and did
// not: those that were acknowledged before it was sent and, if it settles the worker, all
// that was ordered by former owners or from lives before.
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
			ho.ow.recordEnd(at.en, at.ref, at.number, at.endIfNotRun, "", "another life of its worker answers")
		case at.inherited:
			ho.ow.recordEnd(at.en, at.ref, at.number, job.EndNeverRan, "", "ordered by a former owner and not listed")
		}
	}
}
