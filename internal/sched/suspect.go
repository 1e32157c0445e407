package sched

import (
	"cmp"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// When a worker crashes, up to twenty attempts end with it, of which one may have caused the
// crash. Placed by the usual rules they would all start again on the best worker and crash it
// together. So suspect tasks, under which workers crashed, are spread: they go to the workers
// where the fewest other attempts are starting, apart from each other and from other tasks. A
// task that would be given up at the next crash runs isolated, on a worker where all other
// attempts are past their startup, and nothing else starts there until it is past its own. A
// crash in that time can only be caused by that task.

// Times of trials.
const (
	// maxTrialWait is how long a trial may wait until the other attempts on its worker are
	// past their startup. No new ones start there meanwhile.
	maxTrialWait = 2 * startupDuration
	// trialInterval is the time between the choices of workers for the trials of a job. When a
	// process ends, its connections break off within some 10 ms.
	trialInterval = 300 * time.Millisecond
	// trialCrashWait is how long the next trial of a job waits while the worker of another one
	// does not answer: a crashed worker is back after some 3.2 s.
	trialCrashWait = 4 * time.Second
)

// trial is a suspect task that runs isolated on a worker, or waits there until the other
// attempts are past their startup.
type trial struct {
	en  *entry
	ref job.TaskRef
	// at is nil until the task starts. since is when the worker was chosen.
	at    *attempt
	since time.Time
}

func (at *attempt) task() *job.Task { return at.en.jo.Task(at.ref) }

// starting reports whether the attempt may still be in its startup. If the worker had crashed
// since, its polls would fail.
func (at *attempt) starting(now time.Time) bool {
	if !at.ho.failingSince.IsZero() {
		return true
	}
	return at.inheritedRunTime < startupDuration && (at.launchedAt.IsZero() || now.Sub(at.launchedAt) < startupDuration)
}

// endTrial allows other attempts to start again on the worker after the isolated one.
func (ho *workerState) endTrial(at *attempt) {
	if ho.trial != nil && ho.trial.at == at {
		ho.trial = nil
		ho.ow.placementDue = true
	}
}

// tickTrial ends a trial whose attempt is past its startup, or that will not start.
func (ho *workerState) tickTrial(now time.Time) {
	tr := ho.trial
	switch {
	case tr == nil:
		return
	case tr.at != nil && tr.at.starting(now), tr.at == nil && tr.pending(ho, now):
		return
	}
	ho.trial = nil
	ho.ow.placementDue = true
}

// pending reports whether a trial that has not started still can.
func (tr *trial) pending(ho *workerState, now time.Time) bool {
	waiting := tr.en.jo.Task(tr.ref).State == job.Waiting && tr.en.jo.Ready(tr.ref.Step)
	return waiting && ho.available(now) && now.Sub(tr.since) < 2*maxTrialWait
}

// trialWorker returns the worker that was chosen for the trial of a task, or nil.
func (ow *Owner) trialWorker(en *entry, ref job.TaskRef) *workerState {
	for _, ho := range ow.hosts {
		if ho.trial != nil && ho.trial.en == en && ho.trial.ref == ref {
			return ho
		}
	}
	return nil
}

// trialUnresolved reports whether a worker on which a task of the job runs isolated does not
// answer. Where several tasks of a job crash their workers, the first of them ends the job if
// the others wait for its outcome.
func (en *entry) trialUnresolved(now time.Time) bool {
	for _, at := range en.attempts {
		if at.task().Isolated() && !at.ho.failingSince.IsZero() && now.Sub(at.ho.failingSince) < trialCrashWait {
			return true
		}
	}
	return false
}

// placeSuspect starts a suspect task on the worker where another crash would cost least.
func (pl *placer) placeSuspect(en *entry, ref job.TaskRef) {
	if en.jo.Task(ref).Isolated() {
		pl.placeIsolated(en, ref)
		return
	}
	if ca := pl.leastOccupied(en, ref); ca != nil {
		pl.startSuspect(en, ref, ca, "apart")
		return
	}
	en.waitCause = CauseRoom
	pl.earmark(en, ref)
}

// placeIsolated starts a task isolated once no other trial of its job is unresolved and its
// worker is ready.
func (pl *placer) placeIsolated(en *entry, ref job.TaskRef) {
	en.waitCause = CausePlace
	if en.trialUnresolved(pl.now) {
		return
	}
	ho := pl.ow.trialWorker(en, ref)
	if ho == nil {
		ho = pl.chooseTrialWorker(en, ref)
	}
	if ho == nil || !ho.available(pl.now) {
		return
	}
	ca := newCandidate(ho, pl.now)
	if !ca.fits(en, ref, &en.jo.Spec.Steps[ref.Step]) {
		return
	}
	if ho.occupancy(pl.now).starting == 0 || pl.now.Sub(ho.trial.since) > maxTrialWait {
		pl.startSuspect(en, ref, ca, "alone")
	}
}

// chooseTrialWorker chooses a worker for the trial of a task. It returns nil if the last
// choice for the job was too recent, or no worker has the capacity.
func (pl *placer) chooseTrialWorker(en *entry, ref job.TaskRef) *workerState {
	if pl.now.Sub(en.isolatedTrialAt) < trialInterval {
		return nil
	}
	ca := pl.leastOccupied(en, ref)
	if ca == nil {
		en.waitCause = CauseRoom
		pl.earmark(en, ref)
		return nil
	}
	en.isolatedTrialAt, ca.isolated = pl.now, true
	ca.ho.trial = &trial{en: en, ref: ref, since: pl.now}
	return ca.ho
}

// startSuspect starts a suspect task and logs the conditions.
func (pl *placer) startSuspect(en *entry, ref job.TaskRef, ca *candidate, how string) {
	oc := ca.ho.occupancy(pl.now)
	pl.ow.Metrics.Add(telemetry.SuspectStarts, 1, "how", how)
	pl.ow.Log.Info("trying a task under which workers ended", "job", en.jo.ID, "task", en.jo.TaskID(ref), "worker", ca.ho.incarnation,
		"crashes", en.jo.Task(ref).Crashes, "losses", en.jo.Task(ref).Losses, "how", how, "beside", oc.attempts, "fresh", oc.starting)
	pl.start(en, ref, ca)
	en.waitCause = CauseOrder
}

// leastOccupied returns the worker with capacity for the task that has the fewest starting
// attempts, then the fewest with a latency target, then the fewest at all. It returns nil if
// there is none.
func (pl *placer) leastOccupied(en *entry, ref job.TaskRef) *candidate {
	st := &en.jo.Spec.Steps[ref.Step]
	var best *candidate
	var least occupancy
	for _, ca := range pl.hosts {
		if !ca.fits(en, ref, st) {
			continue
		}
		if oc := ca.ho.occupancy(pl.now); best == nil || oc.compare(least) < 0 {
			best, least = ca, oc
		}
	}
	return best
}

// occupancy counts the attempts that a crash of a worker would end.
type occupancy struct{ starting, services, attempts int }

func (ho *workerState) occupancy(now time.Time) occupancy {
	oc := occupancy{services: len(ho.services), attempts: len(ho.attempts)}
	for at := range ho.attempts {
		if at.starting(now) {
			oc.starting++
		}
	}
	return oc
}

func (oc occupancy) compare(other occupancy) int {
	return cmp.Or(cmp.Compare(oc.starting, other.starting), cmp.Compare(oc.services, other.services), cmp.Compare(oc.attempts, other.attempts))
}

// logGivenUp logs and counts a task that is not retried any more.
func (ow *Owner) logGivenUp(en *entry, ref job.TaskRef, end job.End) {
	ta := en.jo.Task(ref)
	if ta.State != job.Abandoned {
		return
	}
	why := "failures"
	if end == job.EndCrashed || end == job.EndLost {
		why = "crashes"
	}
	ow.Metrics.Add(telemetry.TasksGivenUp, 1, "why", why)
	ow.Log.Warn("task given up", "job", en.jo.ID, "task", en.jo.TaskID(ref), "why", why, "attempt", ta.Attempt,
		"failures", ta.Failures, "failures_most", en.jo.Terms.MaxFailures, "crashes", ta.Crashes, "losses", ta.Losses)
}
