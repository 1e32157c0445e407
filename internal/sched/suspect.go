package sched

import (
	"cmp"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// When a worker crashes, up to twenty attempts end with it, of which one may have caused the
// crash. Placed by the usual rules they would all start again on the best worker and crash it
// together. So suspect tasks, under which workers crashed, are spread: each goes to the worker
// where the fewest other attempts are starting, away from each other and from other tasks that
// start. A task that would be given up at the next crash runs isolated, on a worker where all
// other attempts are past their startup, and nothing else starts there until it is past its
// own. This is its trial. A crash in that time can only be caused by that task.

// Times of trials.
const (
	// maxTrialWait is how long a trial may wait until the other attempts on its worker are
	// past their startup. No new ones start there meanwhile.
	maxTrialWait = 2 * startupDuration
	// trialInterval is the time between the choices of workers for the trials of a job. It
	// leaves time to notice a crash before the next choice: when a process ends, its
	// connections break off within some 10 ms.
	trialInterval = 300 * time.Millisecond
	// trialCrashWait is how long the next trial of a job waits while the worker of another one
	// does not answer: a crashed worker is back after some 3.2 s.
	trialCrashWait = 4 * time.Second
)

// trial is a suspect task that runs isolated on a worker, or waits there until the other
// attempts are past their startup.
type trial struct {
	tj  *trackedJob
	ref job.TaskRef
	// at is nil until the task starts. since is when the worker was chosen.
	at    *attempt
	since time.Time
}

func (at *attempt) task() *job.Task { return at.tj.jo.Task(at.ref) }

// starting reports whether the attempt may still be in its startup. While polls of its worker
// fail it may be: only a successful poll shows that the worker did not crash in that time.
func (at *attempt) starting(now time.Time) bool {
	if !at.wk.failingSince.IsZero() {
		return true
	}
	return at.inheritedRunTime < startupDuration && (at.launchedAt.IsZero() || now.Sub(at.launchedAt) < startupDuration)
}

// inTrial reports whether a suspect task runs isolated on the worker, or is about to start.
func (wk *workerState) inTrial() bool { return wk.trial != nil && wk.trial.at != nil }

// endTrial ends the trial of an attempt on the worker, so that others may start there again.
func (wk *workerState) endTrial(at *attempt) {
	if wk.trial != nil && wk.trial.at == at {
		wk.trial = nil
		wk.ow.placementDue = true
	}
}

// tickTrial ends a trial whose attempt is past its startup, or that cannot start any more.
func (wk *workerState) tickTrial(now time.Time) {
	tr := wk.trial
	switch {
	case tr == nil:
		return
	case tr.at != nil && tr.at.starting(now), tr.at == nil && tr.pending(wk, now):
		return
	}
	wk.trial = nil
	wk.ow.placementDue = true
}

// pending reports whether a trial that has not started still can.
func (tr *trial) pending(wk *workerState, now time.Time) bool {
	waiting := tr.tj.jo.Task(tr.ref).State == job.Waiting && tr.tj.jo.Ready(tr.ref.Step)
	return waiting && wk.available(now) && now.Sub(tr.since) < 2*maxTrialWait
}

// trialWorker returns the worker that was chosen for the trial of a task, or nil.
func (ow *Owner) trialWorker(tj *trackedJob, ref job.TaskRef) *workerState {
	for wk := range ow.allWorkers() {
		if wk.trial != nil && wk.trial.tj == tj && wk.trial.ref == ref {
			return wk
		}
	}
	return nil
}

// trialUnresolved reports whether a worker on which a task of the job runs isolated does not
// answer. Where several tasks of a job crash their workers, the first of them ends the job if
// the others wait for its outcome.
func (tj *trackedJob) trialUnresolved(now time.Time) bool {
	for _, at := range tj.attempts {
		if at.task().Isolated() && !at.wk.failingSince.IsZero() && now.Sub(at.wk.failingSince) < trialCrashWait {
			return true
		}
	}
	return false
}

// placeSuspect starts a suspect task on the worker where the fewest other attempts would be
// affected by another crash, see [placer.leastOccupied], or isolated if the next crash would
// make the task be given up.
func (pl *placer) placeSuspect(tj *trackedJob, ref job.TaskRef) {
	if tj.jo.Task(ref).Isolated() {
		pl.placeIsolated(tj, ref)
		return
	}
	if ca := pl.leastOccupied(tj, ref); ca != nil {
		pl.startSuspect(tj, ref, ca, "apart")
		return
	}
	if pl.placeWithoutFreeCapacity(tj, ref) {
		return
	}
	tj.waitCause = CauseRoom
	pl.earmark(tj, ref, nil)
}

// placeIsolated starts a task isolated once no other trial of its job is unresolved and its
// worker is ready.
func (pl *placer) placeIsolated(tj *trackedJob, ref job.TaskRef) {
	tj.waitCause = CausePlace
	if tj.trialUnresolved(pl.now) {
		return
	}
	wk := pl.ow.trialWorker(tj, ref)
	if wk == nil {
		wk = pl.chooseTrialWorker(tj, ref)
	}
	if wk == nil || !wk.available(pl.now) {
		return
	}
	ca := newCandidate(wk)
	if !ca.fits(tj, ref, &tj.jo.Spec.Steps[ref.Step]) {
		return
	}
	if wk.occupancy(pl.now).starting == 0 || pl.now.Sub(wk.trial.since) > maxTrialWait {
		pl.startSuspect(tj, ref, &ca, "alone")
	}
}

// chooseTrialWorker chooses a worker for the trial of a task. It returns nil if the last
// choice for the job was too recent, or no worker has the capacity.
func (pl *placer) chooseTrialWorker(tj *trackedJob, ref job.TaskRef) *workerState {
	if pl.now.Sub(tj.isolatedTrialAt) < trialInterval {
		return nil
	}
	ca := pl.leastOccupied(tj, ref)
	if ca == nil {
		tj.waitCause = CauseRoom
		pl.earmark(tj, ref, nil)
		return nil
	}
	tj.isolatedTrialAt, ca.isolated = pl.now, true
	ca.wk.trial = &trial{tj: tj, ref: ref, since: pl.now}
	return ca.wk
}

// startSuspect starts a suspect task, and logs what else runs on the worker. how is "apart"
// for a task that is spread and "alone" for one that is isolated.
func (pl *placer) startSuspect(tj *trackedJob, ref job.TaskRef, ca *candidate, how string) {
	oc := ca.wk.occupancy(pl.now)
	pl.ow.Metrics.Add(telemetry.SuspectStarts, 1, "how", how)
	pl.ow.Log.Info("trying a task under which workers ended", "job", tj.jo.ID, "task", tj.jo.TaskID(ref), "worker", ca.wk.incarnation,
		"crashes", tj.jo.Task(ref).Crashes, "presumed", tj.jo.Task(ref).PresumedCrashes, "losses", tj.jo.Task(ref).Losses, "how", how, "beside", oc.attempts, "fresh", oc.starting)
	pl.start(tj, ref, ca)
	tj.waitCause = CauseOrder
}

// leastOccupied returns the worker with capacity for the task that has the fewest starting
// attempts, then the fewest with a latency target, then the fewest at all. Slow workers come after
// all others, and cold workers after those. It returns nil if there is none.
func (pl *placer) leastOccupied(tj *trackedJob, ref job.TaskRef) *candidate {
	st := &tj.jo.Spec.Steps[ref.Step]
	var best *candidate
	var least occupancy
	for _, ca := range pl.candidates {
		if !ca.fits(tj, ref, st) {
			continue
		}
		if best != nil && ca.cold && !best.cold {
			continue
		}
		oc := ca.wk.occupancy(pl.now)
		oc.slowdown = ca.slowdown
		if best == nil || (best.cold && !ca.cold) || oc.compare(least) < 0 {
			best, least = ca, oc
		}
	}
	return best
}

// occupancy counts the attempts that a crash of a worker would end. slowdown is that of a slow
// worker, 0 for any other.
type occupancy struct {
	starting, services, attempts int
	slowdown                     float64
}

// occupancy counts the worker's attempts.
func (wk *workerState) occupancy(now time.Time) occupancy {
	oc := occupancy{services: len(wk.services), attempts: len(wk.attempts)}
	for at := range wk.allAttempts() {
		if at.starting(now) {
			oc.starting++
		}
	}
	return oc
}

// compare orders workers by their slowdown, then by the attempts that a crash would end: first by
// those in their startup, then by those with a latency target, then by all.
func (oc occupancy) compare(other occupancy) int {
	return cmp.Or(cmp.Compare(oc.slowdown, other.slowdown), cmp.Compare(oc.starting, other.starting), cmp.Compare(oc.services, other.services), cmp.Compare(oc.attempts, other.attempts))
}

// logGivenUp logs and counts a task that is not retried any more.
func (ow *Owner) logGivenUp(tj *trackedJob, ref job.TaskRef, end job.End) {
	ta := tj.jo.Task(ref)
	if ta.State != job.Abandoned {
		return
	}
	why := "failures"
	if end == job.EndCrashed || end == job.EndPresumedCrash || end == job.EndLost {
		why = "crashes"
	}
	ow.Metrics.Add(telemetry.TasksGivenUp, 1, "why", why)
	ow.Log.Warn("task given up", "job", tj.jo.ID, "task", tj.jo.TaskID(ref), "why", why, "attempt", ta.Attempt,
		"failures", ta.Failures, "failures_most", tj.jo.Terms.MaxFailures, "crashes", ta.Crashes, "presumed", ta.PresumedCrashes, "losses", ta.Losses)
}
