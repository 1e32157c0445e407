package sched

import (
	"cmp"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// A worker that ends takes along up to twenty attempts, of which one may have ended it.
// Placed by the usual rules they would stand together again on the best worker, and go down
// with it again. So those that are suspected go where fewest others stand, which parts
// them from each other and from the rest. One that is given up at the next crash is tried
// alone: on a worker where all others have got over their start, and nothing begins
// beside it until it has too. Then that crash is put down to nobody else.

// Times of trials.
const (
	// maxTrialWait is how long a trial may wait for the others on its worker to get over
	// their start, of which none begins any more.
	maxTrialWait = 2 * startupDuration
	// trialInterval is the time between the choices of workers for the trials of a job: a
	// process that ends breaks off its connections within some 10 ms.
	trialInterval = 300 * time.Millisecond
	// trialCrashWait is how long the next trial of a job waits while the worker of another one
	// does not answer: one that crashed is back after some 3.2 s.
	trialCrashWait = 4 * time.Second
)

// trial is a task that is tried alone on a worker, or is to be once others there have got
// over their start.
type trial struct {
	en  *entry
	ref job.TaskRef
	// at is nil until it begins, since is when the worker was chosen.
	at    *attempt
	since time.Time
}

func (at *attempt) task() *job.Task { return at.en.jo.Task(at.ref) }

// starting reports whether the attempt may still be at its start: its worker's looks would
// have broken off since, had that crashed.
func (at *attempt) starting(now time.Time) bool {
	if !at.ho.failingSince.IsZero() {
		return true
	}
	return at.inheritedRunTime < startupDuration && (at.launchedAt.IsZero() || now.Sub(at.launchedAt) < startupDuration)
}

// endTrial lets others begin beside an attempt that was tried alone.
func (ho *workerState) endTrial(at *attempt) {
	if ho.trial != nil && ho.trial.at == at {
		ho.trial = nil
		ho.ow.placementDue = true
	}
}

// tickTrial frees a worker whose trial got over its start, or will not begin.
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

// pending reports whether a trial that has not begun will.
func (tr *trial) pending(ho *workerState, now time.Time) bool {
	waiting := tr.en.jo.Task(tr.ref).State == job.Waiting && tr.en.jo.Ready(tr.ref.Step)
	return waiting && ho.available(now) && now.Sub(tr.since) < 2*maxTrialWait
}

// trialWorker returns the worker that was chosen to try a task on, or nil.
func (ow *Owner) trialWorker(en *entry, ref job.TaskRef) *workerState {
	for _, ho := range ow.hosts {
		if ho.trial != nil && ho.trial.en == en && ho.trial.ref == ref {
			return ho
		}
	}
	return nil
}

// trialUnresolved reports whether a worker on which a task of the job was tried alone does not
// answer. Of several that crash their workers the first ends the job, if the others wait
// for what becomes of it.
func (en *entry) trialUnresolved(now time.Time) bool {
	for _, at := range en.attempts {
		if at.task().Isolated() && !at.ho.failingSince.IsZero() && now.Sub(at.ho.failingSince) < trialCrashWait {
			return true
		}
	}
	return false
}

// placeSuspect starts a task under which workers ended, where it does least harm if it
// ends another.
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

// placeIsolated starts a task alone, once the turn of its job has come and its worker is ready
// for it.
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

// chooseTrialWorker chooses a worker to try a task on, or returns nil.
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

// startSuspect starts a task under which workers ended.
func (pl *placer) startSuspect(en *entry, ref job.TaskRef, ca *candidate, how string) {
	cr := ca.ho.occupancy(pl.now)
	pl.ow.Metrics.Add(telemetry.SuspectStarts, 1, "how", how)
	pl.ow.Log.Info("trying a task under which workers ended", "job", en.jo.ID, "task", en.jo.TaskID(ref), "worker", ca.ho.incarnation,
		"crashes", en.jo.Task(ref).Crashes, "losses", en.jo.Task(ref).Losses, "how", how, "beside", cr.attempts, "fresh", cr.starting)
	pl.start(en, ref, ca)
	en.waitCause = CauseOrder
}

// leastOccupied returns the worker with room for the task on which fewest attempts are fresh,
// then fewest serve within a target, then fewest stand, or nil.
func (pl *placer) leastOccupied(en *entry, ref job.TaskRef) *candidate {
	st := &en.jo.Spec.Steps[ref.Step]
	var best *candidate
	var least occupancy
	for _, ca := range pl.hosts {
		if !ca.fits(en, ref, st) {
			continue
		}
		if cr := ca.ho.occupancy(pl.now); best == nil || cr.compare(least) < 0 {
			best, least = ca, cr
		}
	}
	return best
}

// occupancy is what a worker's end would cost.
type occupancy struct{ starting, services, attempts int }

func (ho *workerState) occupancy(now time.Time) occupancy {
	cr := occupancy{services: len(ho.services), attempts: len(ho.attempts)}
	for at := range ho.attempts {
		if at.starting(now) {
			cr.starting++
		}
	}
	return cr
}

func (cr occupancy) compare(other occupancy) int {
	return cmp.Or(cmp.Compare(cr.starting, other.starting), cmp.Compare(cr.services, other.services), cmp.Compare(cr.attempts, other.attempts))
}

// logGivenUp tells of a task that is not tried again, and why.
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
