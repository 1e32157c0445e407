package sched

import (
	"math"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/copies"
	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/outstanding"
	"github.com/pepperhatch/pepperhatch/internal/restart"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// trackedJob is a job together with the state that the owner keeps for it.
type trackedJob struct {
	ow *Owner
	jo *job.Job
	// order is the order of arrival; it breaks ties between jobs.
	order int64
	// work is the work of all its tasks; see [job.Job.Work].
	work int64
	// targetMS is the target time to completion in milliseconds, feasibility whether the job
	// can still meet it, and cost the remaining work for its value.
	targetMS    int64
	feasibility feasibility
	cost        float64
	// outcomeKnown is set once it is known whether the job is served.
	outcomeKnown bool
	// sortKey orders jobs of equal priority and feasibility; rank is the position in one
	// order, by size or by age, from which sortKey is computed.
	sortKey, rank int
	// progressVersion is the version of the job's progress row, 0 before the first write.
	progressVersion int64
	// imported is set if an entry host has stored the job in the intake.
	imported bool
	// specStored is set while the store has the job's spec row.
	specStored bool
	// writtenState is the job's state as last written, empty before the first write.
	writtenState job.State
	// dirty is set while a change waits to be written, writing while a write is in flight.
	dirty, writing bool
	// changedAt is when the first of the changes that wait to be written was made, restartsTask
	// is set if one of them is the start of an interrupted task.
	changedAt    time.Time
	restartsTask bool
	// writeAlone is set once the store has refused a write with the job among others, until it is
	// written; unwritable is set once it can't be written even alone.
	writeAlone, unwritable bool
	// rowFull is set once the row had no space for a start, until an attempt ends. omitted is
	// what the last row lacks.
	rowFull bool
	omitted job.Omitted
	// proofDue is when the row has to be written for acknowledgements or its proofs that attempts
	// ran, or zero.
	proofDue time.Time
	// removing is set once the rows are to be removed.
	removing bool
	// onWritten are called once the current state is written.
	onWritten []func()
	// waiters are the callers that submitted the job and wait for its first write.
	waiters []func(Verdict)
	// waitingTasks counts the tasks that may start now.
	waitingTasks int
	// waitingSince is since when there have been such tasks without interruption.
	waitingSince time.Time
	// attempts has the attempts that run, or may run.
	attempts map[attemptKey]*attempt
	// unowned are attempts of former owners on workers that this owner has not seen yet.
	unowned []attemptKey
	// orders has the outstanding start orders of tasks.
	orders map[job.TaskRef]*outstanding.Orders
	// failedOn has the workers on which a task of the job failed.
	failedOn map[worker.Incarnation]bool
	// tracks has the load history of the steps that run services, by index.
	tracks map[int]*interfere.Track
	// endedAt is when the owner found the job in a final state.
	endedAt time.Time
	// acceptedAt is when the job was submitted to this owner, or loaded by it.
	acceptedAt time.Time
	// endedTimes has the run times of tasks that are done, by step, for steps that allow copies.
	endedTimes map[int]copies.Ended
	// waitedBefore is how long before that its caller first tried, if it was refused.
	waitedBefore time.Duration
	// stallCounts counts the stalled attempts of each task.
	stallCounts map[job.TaskRef]int
	// backoffs holds the restart delays of long-running tasks that failed repeatedly.
	backoffs restart.Backoffs
	// isolatedTrialAt is when a worker was last chosen to run a suspect task of the job in
	// isolation.
	isolatedTrialAt time.Time
	// waitCause is why the last round of placement left a task waiting.
	waitCause Cause
	// orderSince is since when no task of the job was considered, as too many starts were in
	// flight; zero if one was by the last round.
	orderSince time.Time
	// demandSteps has a bit for each step that was added to the demand of short work.
	demandSteps uint64
	// timeBreakdown accounts for the job's elapsed time by cause.
	timeBreakdown timeBreakdown
}

// track returns the load history of a step, which it creates if needed.
func (tj *trackedJob) track(step int) *interfere.Track {
	tr := tj.tracks[step]
	if tr == nil {
		if tj.tracks == nil {
			tj.tracks = map[int]*interfere.Track{}
		}
		tr = &interfere.Track{}
		tj.tracks[step] = tr
	}
	return tr
}

// markDirty records that a job has changed: it will be written, and its waiting tasks are
// counted again.
func (ow *Owner) markDirty(tj *trackedJob) {
	if !tj.dirty {
		tj.dirty, tj.changedAt = true, time.Now()
		ow.dirtyJobs = append(ow.dirtyJobs, tj)
	}
	ow.recountWaiting(tj)
	ow.observeArrivals(tj)
	ow.placementDue = true
}

// recountWaiting counts the tasks that may start now and updates the list of jobs that have
// any.
func (ow *Owner) recountWaiting(tj *trackedJob) {
	before := tj.waitingTasks
	tj.waitingTasks = 0
	if !tj.removing && !tj.rowFull && !tj.unwritable {
		for i := range tj.jo.Spec.Steps {
			tj.waitingTasks += tj.waitingIn(i)
		}
	}
	if before == 0 && tj.waitingTasks > 0 {
		tj.waitingSince, tj.timeBreakdown.nextWaitLog = time.Now(), 0
	}
	at, found := slices.BinarySearchFunc(ow.waitingJobs, tj, compareJobs)
	switch {
	case tj.waitingTasks > 0 && !found:
		ow.waitingJobs = slices.Insert(ow.waitingJobs, at, tj)
	case tj.waitingTasks == 0 && found:
		tj.orderSince = time.Time{}
		ow.waitingJobs = slices.Delete(ow.waitingJobs, at, at+1)
	}
}

// waitingIn counts the tasks of a step that may start now.
func (tj *trackedJob) waitingIn(step int) int {
	return tj.countWaiting(step, func(job.TaskRef) bool { return true })
}

// waitingInterrupted counts those of them that ran before and were interrupted.
func (tj *trackedJob) waitingInterrupted(step int) int { return tj.countWaiting(step, tj.interrupted) }

func (tj *trackedJob) countWaiting(step int, count func(job.TaskRef) bool) int {
	if !tj.jo.Ready(step) {
		return 0
	}
	n := 0
	for index := range tj.jo.Tasks[step] {
		if ref := (job.TaskRef{Step: step, Index: index}); tj.jo.Tasks[step][index].State == job.Waiting && count(ref) {
			n++
		}
	}
	return n
}

// addJob adds a job to the owner's state.
func (ow *Owner) addJob(jo *job.Job) *trackedJob {
	ow.seq++
	tj := &trackedJob{ow: ow, jo: jo, order: ow.seq, targetMS: jo.TargetDurationMS(), work: jo.Work(), sortKey: math.MaxInt, attempts: map[attemptKey]*attempt{}, acceptedAt: time.Now()}
	ow.jobs[jo.ID] = tj
	if !jo.LongRunning() {
		ow.finiteJobs[tj] = true
	}
	if !jo.LongRunning() && tj.work > 0 {
		ow.statsOf(jo.Terms.Queue).Add(tj.work)
	}
	return tj
}

// recordEnd records the end of an attempt. It reports false if the end was already known.
func (ow *Owner) recordEnd(tj *trackedJob, ref job.TaskRef, number int, end job.End, checkpoint, reason string) bool {
	over := tj.isDone(ref)
	if !tj.jo.End(ref, number, end, checkpoint) {
		return false
	}
	tj.rowFull = false
	var incarnation worker.Incarnation
	var seen observation
	if at := tj.attempts[attemptKey{ref, number}]; at != nil {
		incarnation, seen = at.wk.incarnation, at.observed()
		if end == job.EndDone {
			ow.observeDuration(at, time.Now())
			at.observeEnd(time.Now())
		}
		at.wk.removeAttempt(at)
		delete(tj.attempts, at.key())
		tj.keepOrder(at)
		ow.countEnd(at, over, time.Now())
	}
	if end == job.EndDone && !over {
		ow.recordThroughput(tj, ref.Step)
	}
	if end == job.EndFailed {
		tj.timeBreakdown.failed++
		if tj.failedOn == nil {
			tj.failedOn = map[worker.Incarnation]bool{}
		}
		tj.failedOn[incarnation] = true
		if tj.jo.Spec.Steps[ref.Step].LongRunning {
			tj.backoffs.RecordFailure(ref, time.Now())
		}
	}
	ow.Metrics.Add(telemetry.AttemptEnds, 1, "end", string(end))
	ow.Log.Info("attempt ended", "job", tj.jo.ID, "task", tj.jo.TaskID(ref), "attempt", number, "worker", incarnation, "end", end, "why", reason, "state", tj.jo.State(),
		"acked", seen.acked, "ran_at_least", seen.ran, "crashes", tj.jo.Task(ref).Crashes, "presumed", tj.jo.Task(ref).PresumedCrashes, "losses", tj.jo.Task(ref).Losses)
	tj.logOutstanding(ref, time.Now())
	ow.logGivenUp(tj, ref, end)
	ow.stopSuperseded(tj, ref)
	ow.stopFinished(tj)
	ow.markDirty(tj)
	return true
}

// recordLateEnd records the end of an attempt that had been given up.
func (ow *Owner) recordLateEnd(tj *trackedJob, ref job.TaskRef, number int, end job.End, incarnation worker.Incarnation) {
	switch end {
	case job.EndDone:
		ow.recordLateSuccess(tj, ref, number, incarnation)
	case job.EndFailed:
		ow.recordLateFailure(tj, ref, number, incarnation)
	}
}

// recordLateFailure records that an attempt which had been given up had failed. If this
// failure exhausts the task's limit, the next attempt is withdrawn unless an order for it was
// sent.
func (ow *Owner) recordLateFailure(tj *trackedJob, ref job.TaskRef, number int, incarnation worker.Incarnation) {
	if !tj.jo.RecordLateFailure(ref, number) {
		return
	}
	ow.Metrics.Add(telemetry.AttemptEnds, 1, "end", "failed-late")
	ow.Log.Info("abandoned attempt had failed", "job", tj.jo.ID, "task", tj.jo.TaskID(ref), "attempt", number, "worker", incarnation,
		"failures", tj.jo.Task(ref).Failures, "state", tj.jo.State())
	if !tj.jo.Exhausted(ref) || !ow.withdrawUnsent(tj, ref, number, "an earlier attempt had failed") {
		ow.logGivenUp(tj, ref, job.EndFailed)
	}
	ow.stopFinished(tj)
	ow.markDirty(tj)
}

// recordLateSuccess records that an attempt which had been given up had succeeded. The next
// attempt is withdrawn if no order for it was sent, and stopped otherwise.
func (ow *Owner) recordLateSuccess(tj *trackedJob, ref job.TaskRef, number int, incarnation worker.Incarnation) {
	ow.withdrawUnsent(tj, ref, number, "an earlier attempt had succeeded")
	if !tj.jo.RecordLateCompletion(ref, number) {
		return
	}
	ow.Metrics.Add(telemetry.AttemptEnds, 1, "end", "done-late")
	ow.Log.Info("abandoned attempt had succeeded", "job", tj.jo.ID, "task", tj.jo.TaskID(ref), "attempt", number, "worker", incarnation, "state", tj.jo.State())
	for _, at := range tj.attemptsOf(ref) {
		tj.onWritten = append(tj.onWritten, func() { ow.halt(at, "an earlier attempt had succeeded") })
	}
	ow.stopFinished(tj)
	ow.markDirty(tj)
}

// stopFinished stops the remaining attempts of a job in a final state.
func (ow *Owner) stopFinished(tj *trackedJob) {
	if !tj.jo.State().Final() {
		return
	}
	if tj.endedAt.IsZero() {
		ow.recordJobEnd(tj, time.Now())
		if tj.jo.State() == job.Succeeded {
			tj.recordOutcome((tj.endedAt.Sub(tj.acceptedAt) + tj.waitedBefore).Milliseconds() <= maxLateFactor*tj.targetMS)
		}
		ow.logJobTime(tj, tj.endedAt)
	}
	for _, at := range tj.attempts {
		tj.onWritten = append(tj.onWritten, func() { ow.halt(at, "job "+string(tj.jo.State())) })
	}
}
