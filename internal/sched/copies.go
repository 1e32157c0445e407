package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/congestion"
	"github.com/pepperhatch/pepperhatch/internal/copies"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Package copies decides which tasks get a second attempt, package job keeps the state of both
// attempts. The owner starts a copy only on capacity that no waiting task needs, and stops the
// other attempt once it is durable that one of them is done.

// copiesInterval is the time between two decisions. Each compares all attempts, while a worker
// lists new progress only when an attempt ends there, or after 0.3 to 1 s.
const copiesInterval = 200 * time.Millisecond

// copiesCost is how many times as long as it took the next decision follows, so that decisions take
// at most a fiftieth of the owner's time where there are many attempts.
const copiesCost = 50

// startCopies starts second attempts of tasks that are late.
func (ow *Owner) startCopies(now time.Time) {
	if now.Sub(ow.copiesDecidedAt) < max(copiesInterval, copiesCost*ow.copiesTook) || !ow.enabled(MechCopies) || ow.storeDown() || ow.window.Full(congestion.Start{}) {
		return
	}
	ow.copiesDecidedAt = now
	began := time.Now()
	defer func() { ow.copiesTook = time.Since(began) }()
	if !ow.anyMayCopy() {
		return
	}
	attempts, list := ow.copyInputs(now)
	if len(list) == 0 {
		return
	}
	jobs := map[string]copies.Job{}
	for i := range attempts {
		id := attempts[i].Job
		if _, ok := jobs[id]; !ok {
			jobs[id] = ow.jobs[id].copyJob(now)
		}
	}
	plan := copies.Decide(attempts, jobs)
	if len(plan.Choices) == 0 {
		return
	}
	pl := ow.newPlacer()
	for _, ch := range plan.Choices {
		if ow.window.Full(congestion.Start{Priority: jobs[ch.Attempt.Job].Priority}) {
			return
		}
		key := attemptRef{ch.Attempt.Job, job.TaskRef{Step: ch.Attempt.Step, Index: ch.Attempt.Index}}
		pl.startCopy(list[key], &plan, ch)
	}
}

// anyMayCopy reports whether any running task may get a copy.
func (ow *Owner) anyMayCopy() bool {
	if ow.copyable == 0 {
		return false
	}
	for wk := range ow.allWorkers() {
		for at := range wk.allAttempts() {
			if at.mayCopy() {
				return true
			}
		}
	}
	return false
}

// mayCopy reports whether the task of the attempt may get a copy beside it.
func (at *attempt) mayCopy() bool {
	return at.step().Copies && !at.step().Filler && !at.launchedAt.IsZero() && at.haltSentAt.IsZero() && at.wk.settled && at.tj.jo.MayCopy(at.ref)
}

// attemptRef identifies a task in the inputs of a decision.
type attemptRef struct {
	job string
	ref job.TaskRef
}

// copyInputs returns what is known of the running attempts of all tasks that end by themselves
// and use reserved processors, and those of them that may get a copy. Fillers are left out, as
// the owner itself slows them down.
func (ow *Owner) copyInputs(now time.Time) ([]copies.Attempt, map[attemptRef]*attempt) {
	var inputs []copies.Attempt
	may := map[attemptRef]*attempt{}
	for wk := range ow.allWorkers() {
		id := wk.incarnation.String()
		for at := range wk.allAttempts() {
			st := at.step()
			if st.LongRunning || st.Filler || at.launchedAt.IsZero() || at.superseded {
				continue
			}
			ca := at.copyInput(id, now)
			if ca.MayCopy {
				may[attemptRef{ca.Job, at.ref}] = at
			}
			inputs = append(inputs, ca)
		}
	}
	return inputs, may
}

// copyInput returns what is known of an attempt on the worker with the given name.
func (at *attempt) copyInput(on string, now time.Time) copies.Attempt {
	st := at.step()
	ca := copies.Attempt{
		Job: at.tj.jo.ID, Step: at.ref.Step, Index: at.ref.Index, Worker: on,
		Expected: at.tj.expected(st), Left: 100 - at.progress,
		MayCopy: at.mayCopy(),
	}
	ca.Worked, ca.Done = at.worked()
	ca.SinceSeen = elapsedSince(now, at.lastSeenAt)
	if !at.wk.failingSince.IsZero() {
		ca.SilentFor = max(now.Sub(at.wk.failingSince), 1)
		ca.Lapses = time.Duration(at.wk.leaseRemainingMS(now)) * time.Millisecond
		// A task that crashes its worker does so at its start, and would crash another one.
		ca.MayCopy = ca.MayCopy && at.observed().ran >= startupDuration
	}
	return ca
}

// worked returns for how long the attempt was seen to work, and its progress in that time. The
// worker's clock is used, as answers may be delayed on their way.
func (at *attempt) worked() (time.Duration, int) {
	began, from := at.beganClock, 0
	if began.IsZero() {
		began, from = at.workingClock, at.initialProgress
	}
	if !at.seenClock.After(began) {
		return 0, 0
	}
	return at.seenClock.Sub(began), at.progress - from
}

// expected returns how long a task of the step is expected to take on a healthy worker.
func (tj *trackedJob) expected(st *job.Step) time.Duration {
	return time.Duration(tj.expectedMS(st)) * time.Millisecond
}

// copyJob returns what the decision needs to know of the job.
func (tj *trackedJob) copyJob(now time.Time) copies.Job {
	jo := copies.Job{
		Priority: tj.jo.Terms.Priority, Age: now.Sub(tj.acceptedAt) + tj.waitedBefore, Ended: tj.endedTimes,
		Target: time.Duration(tj.targetMS) * time.Millisecond, Limit: maxLateFactor * time.Duration(tj.targetMS) * time.Millisecond,
	}
	var current int64
	for i := range tj.jo.Spec.Steps {
		st := &tj.jo.Spec.Steps[i]
		if st.Copies {
			jo.Tasks += st.Tasks
		}
	}
	for key := range tj.attempts {
		ta := tj.jo.Task(key.ref)
		if ta.State == job.Started {
			current = max(current, tj.expectedMS(&tj.jo.Spec.Steps[key.ref.Step]))
		}
		if key.number == ta.Attempt && len(ta.Running()) == 2 {
			jo.Copies++
		}
	}
	jo.After = time.Duration(max(tj.jo.RemainingMS(tj.expectedMS)-current, 0)) * time.Millisecond
	return jo
}

// startCopy places a second attempt of a task on a healthy worker, if one has capacity that no
// waiting task needs. Workers that are cold, or slow by package speed, get none.
func (pl *placer) startCopy(first *attempt, plan *copies.Plan, ch copies.Choice) {
	tj, ref := first.tj, first.ref
	st := &tj.jo.Spec.Steps[ref.Step]
	var best *candidate
	var bestScore float64
	for _, ca := range pl.candidates {
		if ca.wk.incarnation.ID == first.wk.incarnation.ID || ca.cold || ca.slowdown > 0 || !ca.fits(tj, ref, st) || !plan.Healthy(ca.wk.incarnation.String()) {
			continue
		}
		if score := ca.score(tj, st); (best == nil || score > bestScore) && !pl.neededByWaiting(ca, tj.jo.Terms.Priority) {
			best, bestScore = ca, score
		}
	}
	if best == nil {
		return
	}
	number := tj.jo.StartCopy(ref, best.wk.incarnation)
	if number == 0 {
		return
	}
	pl.ow.Metrics.Add(telemetry.CopiesStarted, 1, "for", ch.Class.String())
	pl.ow.Log.Info("copy of a late task", "task", taskID(first), "attempt", number, "worker", best.wk.incarnation, "first", first.number, "first_worker", first.wk.incarnation,
		"percent", first.progress, "worked", ch.Attempt.Worked, "seen", ch.Attempt.SinceSeen, "expected", ch.Attempt.Expected, "remaining", ch.Remaining, "fresh", ch.Fresh,
		"slowdown", ch.Slowdown, "silent", ch.Attempt.SilentFor, "for", ch.Class.String(), "age", time.Since(tj.acceptedAt), "target_ms", tj.targetMS)
	pl.begin(tj, ref, number, best, false)
}

// neededByWaiting reports whether a waiting task of the given priority or a higher one could
// start on the worker.
func (pl *placer) neededByWaiting(ca *candidate, priority int) bool {
	for _, tj := range pl.ow.waitingJobs {
		if tj.jo.Terms.Priority > priority {
			return false
		}
		for step := range tj.jo.Spec.Steps {
			st, ref := &tj.jo.Spec.Steps[step], job.TaskRef{Step: step}
			if !st.Reserved().Fits(ca.free) || !ca.allowed(tj, ref, st) {
				continue
			}
			if tj.countWaiting(step, func(ref job.TaskRef) bool { return !tj.backoffs.Active(ref, pl.now) }) > 0 {
				return true
			}
		}
	}
	return false
}

// supersededReason is why the other attempt of a task that is done is stopped.
const supersededReason = "another attempt has completed the task"

// stopSuperseded stops the other attempt of a task that is done, once that is durable. If no
// order for it was sent, it is withdrawn at once.
func (ow *Owner) stopSuperseded(tj *trackedJob, ref job.TaskRef) {
	if !tj.isDone(ref) {
		return
	}
	ow.withdrawUnsent(tj, ref, 0, supersededReason)
	for _, at := range tj.attemptsOf(ref) {
		ow.supersede(at)
	}
}

// supersede stops an attempt of a task that is done, once that is durable.
func (ow *Owner) supersede(at *attempt) {
	tj, key := at.tj, at.key()
	tj.onWritten = append(tj.onWritten, func() {
		// Its worker may have restarted since.
		if at := tj.attempts[key]; at != nil {
			at.superseded = true
			ow.halt(at, supersededReason)
		}
	})
	ow.markDirty(tj)
}

// adoptSuperseded marks an attempt of a former owner that is to be stopped once its worker lists
// it, as another one has completed the task.
func (ow *Owner) adoptSuperseded(at *attempt) {
	switch {
	case !at.tj.isDone(at.ref):
	case at.tj.dirty || at.tj.writing:
		ow.supersede(at)
	default:
		at.superseded = true
	}
}

// withdrawUnsent ends the attempts of a task after a given one for which no order was sent, and
// reports whether there were any.
func (ow *Owner) withdrawUnsent(tj *trackedJob, ref job.TaskRef, after int, why string) bool {
	withdrawn := false
	for _, at := range tj.attemptsOf(ref) {
		if at.number > after && !at.orderSent && !at.inherited {
			ow.recordEnd(tj, ref, at.number, job.EndNeverRan, "", why)
			withdrawn = true
		}
	}
	return withdrawn
}

// isDone reports whether a task is done.
func (tj *trackedJob) isDone(ref job.TaskRef) bool {
	ta := tj.jo.Task(ref)
	return ta != nil && ta.State == job.Done
}

// isCopy reports whether the attempt runs beside the first one of its task.
func (at *attempt) isCopy() bool {
	other := at.task().Other.Number
	return other != 0 && other != at.number
}

// attemptsOf returns the attempts of a task.
func (tj *trackedJob) attemptsOf(ref job.TaskRef) []*attempt {
	var list []*attempt
	for _, ra := range tj.jo.Running(ref) {
		if at := tj.attempts[attemptKey{ref, ra.Number}]; at != nil {
			list = append(list, at)
		}
	}
	return list
}

// runningAttempt returns an attempt as its job records it; ok is false if it has ended.
func (tj *trackedJob) runningAttempt(key attemptKey) (ra job.Attempt, ok bool) {
	for _, ra := range tj.jo.Running(key.ref) {
		if ra.Number == key.number {
			return ra, true
		}
	}
	return job.Attempt{}, false
}

// countEnd records what the end of an attempt tells of copies: the run time of a task that is
// done, which attempt of two was first, and the processor time that the other one took. over
// is set if the task was done before.
func (ow *Owner) countEnd(at *attempt, over bool, now time.Time) {
	tj, ta, st, ran := at.tj, at.task(), at.step(), elapsedSince(now, at.launchedAt)
	switch {
	case over:
		ow.Metrics.Add(telemetry.CopyWaste, ran.Milliseconds()*st.Each.MilliCores/1000)
	case ta.State == job.Done && st.Copies:
		if !at.inherited {
			if tj.endedTimes == nil {
				tj.endedTimes = map[int]copies.Ended{}
			}
			tj.endedTimes[at.ref.Step] = tj.endedTimes[at.ref.Step].With(ran, tj.expected(st))
		}
		for _, other := range ta.Running() {
			names := [...]string{"original", "copy"}
			if at.number > other.Number {
				names = [...]string{"copy", "original"}
			}
			ow.Metrics.Add(telemetry.CopyFirstEnds, 1, "attempt", names[0])
			ow.Metrics.Add(telemetry.CopiesStopped, 1, "attempt", names[1])
		}
	}
}
