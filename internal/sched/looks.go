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
	// lookWait is how long a worker with work may wait for an end before it
	// answers; without work it waits idleWait, and beside services with
	// targets, whose figures are of half a second, serveWait.
	lookWait  = time.Second
	serveWait = 600 * time.Millisecond
	idleWait  = 2 * time.Second
	// lookGrace is how much longer an answer may take before the connection
	// counts as dead.
	lookGrace = 600 * time.Millisecond
	// lookRetry is the pause after a look that failed.
	lookRetry = 250 * time.Millisecond
	// undurableWait is how long a look waits for ends to become durable before
	// it extends leases all the same.
	undurableWait = 500 * time.Millisecond
	// silentAfter is the time without a successful look after which a worker
	// gets nothing new.
	silentAfter = 2500 * time.Millisecond
	// extendSilent is how long the leases of a worker that does not answer are
	// extended: each order on its way may be obeyed, so they would never lapse.
	extendSilent = time.Second
	// ackWithin is how long after an answer ends are acknowledged: a process that took
	// the place of the one that answered would take their numbers for its own.
	ackWithin = 300 * time.Millisecond
	// maxEnds is the most ends that one answer lists.
	maxEnds = 500
)

// looks looks at the worker again and again until ctx ends.
func (ho *host) looks(ctx context.Context) {
	for ctx.Err() == nil {
		lo, err := call(ctx, ho.ow, func(answer func(worker.Poll)) { answer(ho.nextLook()) })
		if err != nil {
			return
		}
		sent := time.Now()
		lctx, cancel := context.WithTimeout(ctx, lo.Wait+lookGrace)
		forget(ho.rerouted)
		wa := ho.currentPath()
		lo.Fence = wa.fence
		si, err := ho.ow.Agent.PollFunc(lctx, wa.addr, lo)
		cancel()
		if ctx.Err() != nil {
			return
		}
		got := time.Now()
		if !ho.ow.post(func() { ho.looked(sent, got, wa.fence, si, err) }) {
			return
		}
		ho.pause(ctx, err)
	}
}

// pause waits until the next look is due: until the ends just seen are
// durable, or until there is another way after one that failed, but not for long.
func (ho *host) pause(ctx context.Context, err error) {
	due, most := ho.release, undurableWait
	if err != nil {
		due, most = ho.rerouted, lookRetry
	}
	ti := time.NewTimer(most)
	defer ti.Stop()
	select {
	case <-due:
	case <-ti.C:
	case <-ctx.Done():
	}
}

// nudge wakes who waits for a channel, now or next.
func nudge(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// forget takes a nudge back.
func forget(ch <-chan struct{}) {
	select {
	case <-ch:
	default:
	}
}

// nextLook is what to ask now. Ends are acknowledged only right after a look listed some, as
// the process that answers may be another by now.
func (ho *host) nextLook() worker.Poll {
	now := time.Now()
	lo := worker.Poll{}
	ho.withheld = ho.endsListed && !ho.mayAcknowledge(now)
	if ho.endsListed && !ho.withheld {
		lo.AckedEnd = ho.acked
	}
	if ho.failing.IsZero() || now.Sub(ho.failing) < extendSilent {
		lo.LeaseUntilMS = ho.leaseNow(now)
	}
	switch {
	case ho.leaseRecorded() && ho.failing.IsZero():
		lo.Wait = recordedPollWait
	case !ho.settled || ho.withheld || ho.clockAt.IsZero() || ho.undurable > 0 || !ho.failing.IsZero():
	case ho.mixed():
		lo.Wait = serveWait
	case len(ho.attempts) > 0:
		lo.Wait = lookWait
	default:
		lo.Wait = idleWait
	}
	return lo
}

// mayAcknowledge reports whether the next look may acknowledge ends: soon after an answer, or
// if the look before was for that, so that a busy owner does not put it off for ever.
func (ho *host) mayAcknowledge(now time.Time) bool {
	return ho.failing.IsZero() && (ho.withheld || now.Sub(ho.seen) <= ackWithin)
}

// mixed reports whether fillers run beside services with targets.
func (ho *host) mixed() bool {
	filled, served := false, false
	for at := range ho.attempts {
		filled = filled || at.step().Filler
		served = served || at.serves()
	}
	return filled && served
}

// looked takes in what a look saw that was sent with a fencing token.
func (ho *host) looked(sent, got time.Time, fence int64, si worker.PollResult, err error) {
	if ho.dead {
		return
	}
	if err != nil {
		ho.lookFailed(err)
		return
	}
	if !ho.failing.IsZero() {
		ho.ow.Log.Info("worker answers again", "worker", ho.incarnation, "after", got.Sub(ho.failing))
		ho.failing, ho.silent = time.Time{}, false
	}
	ho.ow.clearUnresponsive(ho)
	if ho.leaseRecorded() {
		ho.ow.recordLeases(got)
	}
	ho.outlive(sent)
	ho.seen = got
	ho.read(si.ClockMS, got)
	ho.endsListed = len(si.Ended) > 0
	ended := ho.takeEnds(si)
	ho.takeRunning(si, got)
	if len(si.Ended) < maxEnds {
		settles := !ho.settled && fence >= ho.settleFence
		ho.takeMissing(si, sent, ended, settles)
		if settles {
			ho.settle()
			ho.ow.Log.Info("worker settled", "worker", ho.incarnation, "running", len(si.Running), "ended", len(si.Ended))
			// Only now can its leases be extended, which a write may not hold up: a
			// takeover has used most of what is left of them.
			nudge(ho.release)
		}
	}
	ho.measure(got)
	ho.acknowledge()
}

func (ho *host) lookFailed(err error) {
	ho.ow.Metrics.Add(telemetry.Looks, 1, "outcome", "failed")
	le := (*worker.IncarnationError)(nil)
	switch {
	case errors.As(err, &le):
		ho.answeredBy(le.Answered)
	case errors.Is(err, worker.ErrOtherIncarnation):
		ho.die("another process answers at its address", worker.Incarnation{})
	case errors.Is(err, worker.ErrFenced):
		ho.ow.Log.Warn("worker obeys a higher fencing token", "worker", ho.incarnation, "epoch", ho.ow.Tenure.Epoch, "fence", ho.currentPath().fence)
		ho.failing = time.Now()
		// It may be of this owner, from a way that was given up; those of the next are
		// higher than all that follow.
		ho.raiseFence()
	case ho.failing.IsZero():
		ho.failing, ho.silent = time.Now(), !errors.Is(err, worker.ErrConnectionLost)
		ho.ow.Log.Warn("worker does not answer", "worker", ho.incarnation, "attempts", len(ho.attempts), "err", err)
	}
}

// takeEnds takes in ends that are new, and returns all that are listed.
func (ho *host) takeEnds(si worker.PollResult) map[worker.Attempt]bool {
	ended := map[worker.Attempt]bool{}
	for _, ea := range si.Ended {
		ended[ea.Attempt] = true
		if ea.EndNumber <= ho.handled {
			ho.tellSkipped(ea)
			continue
		}
		ho.handled = ea.EndNumber
		ho.takeEnd(ea)
	}
	return ended
}

// tellSkipped tells of an end that counts as known though its attempt counts as running.
func (ho *host) tellSkipped(ea worker.EndedAttempt) {
	if ho.find(ea.Attempt) != nil {
		ho.ow.Log.Warn("end skipped as known", "task", ea.Task, "attempt", ea.Number, "worker", ho.incarnation, "end", ea.Outcome,
			"number", ea.EndNumber, "handled", ho.handled, "acked", ho.acked)
	}
}

func (ho *host) takeEnd(ea worker.EndedAttempt) {
	id, ref, ok := job.ParseTaskID(ea.Task)
	en := ho.ow.entries[id]
	if !ok || en == nil {
		ho.ow.Log.Info("end of an unknown task", "task", ea.Task, "attempt", ea.Number, "worker", ho.incarnation, "end", ea.Outcome)
		return
	}
	ho.recordOutcome(en, ea.Outcome)
	end := endOf(ea.Outcome)
	if !ho.ow.recordEnd(en, ref, ea.Number, end, ea.Checkpoint, "listed by the worker") {
		ho.ow.recordLateEnd(en, ref, ea.Number, end, ho.incarnation)
	}
	ho.awaitWrite(en)
}

// awaitWrite keeps the ends just listed from being acknowledged until the job is
// written as it is now. Also an end that is no news may rest on what is not
// written yet: that its attempt was given up. The next owner would read of an
// attempt that runs, and find it neither running nor ended.
func (ho *host) awaitWrite(en *entry) {
	if !en.dirty && !en.writing {
		return
	}
	ho.undurable++
	en.onWritten = append(en.onWritten, ho.durable)
	ho.ow.markDirty(en)
}

// endOf translates a worker's word for how an attempt ended. What is neither
// done nor failed can be tried again at no one's expense.
func endOf(how string) job.End {
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

// durable notes that an end became durable.
func (ho *host) durable() {
	ho.undurable--
	ho.acknowledge()
}

// acknowledge lets the next look go ahead once all ends are durable.
func (ho *host) acknowledge() {
	if ho.undurable > 0 {
		return
	}
	ho.acked = ho.handled
	nudge(ho.release)
}

// takeRunning takes in what runs. What should not is stopped.
func (ho *host) takeRunning(si worker.PollResult, got time.Time) {
	for _, ra := range si.Running {
		at := ho.find(ra.Attempt)
		if at == nil {
			ho.stray(ra)
			continue
		}
		if at.endIfNotRun != "" {
			ho.runsHere(at)
		}
		ho.started(at, got)
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

// stray stops an attempt that the cell's rows do not have.
func (ho *host) stray(ra worker.RunningAttempt) {
	ho.ow.Log.Warn("stopping an attempt that is not ours", "task", ra.Task, "attempt", ra.Number, "worker", ho.incarnation)
	go ho.ow.sendHalt(ho, ra.Attempt)
}

// started notes that an attempt is known to be at the worker.
func (ho *host) started(at *attempt, now time.Time) {
	if !at.launchedAt.IsZero() {
		return
	}
	at.launchedAt = now
	ho.setInitialPace(at, now)
}

// find returns the attempt that the worker names, if it runs here.
func (ho *host) find(wa worker.Attempt) *attempt {
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

// takeMissing notes the end of attempts that a look should have listed and did
// not: those that were acknowledged before it was sent and, if it settles the worker, all
// that was ordered by former owners or from lives before.
func (ho *host) takeMissing(si worker.PollResult, sent time.Time, ended map[worker.Attempt]bool, settles bool) {
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
