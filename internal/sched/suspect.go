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
	// trialWait is how long a trial may wait for the others on its worker to get over
	// their start, of which none begins any more.
	trialWait = 2 * provenAfter
	// trialGap is the time between the choices of workers for the trials of a job: a
	// process that ends breaks off its connections within some 10 ms.
	trialGap = 300 * time.Millisecond
	// trialDoubt is how long the next trial of a job waits while the worker of another one
	// does not answer: one that crashed is back after some 3.2 s.
	trialDoubt = 4 * time.Second
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

// fresh reports whether the attempt may still be at its start: its worker's looks would
// have broken off since, had that crashed.
func (at *attempt) fresh(now time.Time) bool {
	if !at.ho.failing.IsZero() {
		return true
	}
	return at.inheritedRunTime < provenAfter && (at.launchedAt.IsZero() || now.Sub(at.launchedAt) < provenAfter)
}

// endTrial lets others begin beside an attempt that was tried alone.
func (ho *host) endTrial(at *attempt) {
	if ho.trial != nil && ho.trial.at == at {
		ho.trial = nil
		ho.ow.placementDue = true
	}
}

// tickTrial frees a worker whose trial got over its start, or will not begin.
func (ho *host) tickTrial(now time.Time) {
	tr := ho.trial
	switch {
	case tr == nil:
		return
	case tr.at != nil && tr.at.fresh(now), tr.at == nil && tr.waits(ho, now):
		return
	}
	ho.trial = nil
	ho.ow.placementDue = true
}

// waits reports whether a trial that has not begun will.
func (tr *trial) waits(ho *host, now time.Time) bool {
	waiting := tr.en.jo.Task(tr.ref).State == job.Waiting && tr.en.jo.Ready(tr.ref.Step)
	return waiting && ho.well(now) && now.Sub(tr.since) < 2*trialWait
}

// trialOf returns the worker that was chosen to try a task on, or nil.
func (ow *Owner) trialOf(en *entry, ref job.TaskRef) *host {
	for _, ho := range ow.hosts {
		if ho.trial != nil && ho.trial.en == en && ho.trial.ref == ref {
			return ho
		}
	}
	return nil
}

// inDoubt reports whether a worker on which a task of the job was tried alone does not
// answer. Of several that crash their workers the first ends the job, if the others wait
// for what becomes of it.
func (en *entry) inDoubt(now time.Time) bool {
	for _, at := range en.attempts {
		if at.task().Isolated() && !at.ho.failing.IsZero() && now.Sub(at.ho.failing) < trialDoubt {
			return true
		}
	}
	return false
}

// placeSuspect starts a task under which workers ended, where it does least harm if it
// ends another.
func (pl *placer) placeSuspect(en *entry, ref job.TaskRef) {
	if en.jo.Task(ref).Isolated() {
		pl.placeAlone(en, ref)
		return
	}
	if ca := pl.loneliest(en, ref); ca != nil {
		pl.try(en, ref, ca, "apart")
		return
	}
	en.waitCause = CauseRoom
	pl.earmark(en, ref)
}

// placeAlone starts a task alone, once the turn of its job has come and its worker is ready
// for it.
func (pl *placer) placeAlone(en *entry, ref job.TaskRef) {
	en.waitCause = CausePlace
	if en.inDoubt(pl.now) {
		return
	}
	ho := pl.ow.trialOf(en, ref)
	if ho == nil {
		ho = pl.chooseTrial(en, ref)
	}
	if ho == nil || !ho.well(pl.now) {
		return
	}
	ca := newCandidate(ho, pl.now)
	if !ca.fits(en, ref, &en.jo.Spec.Steps[ref.Step]) {
		return
	}
	if ho.crowdedness(pl.now).fresh == 0 || pl.now.Sub(ho.trial.since) > trialWait {
		pl.try(en, ref, ca, "alone")
	}
}

// chooseTrial chooses a worker to try a task on, or returns nil.
func (pl *placer) chooseTrial(en *entry, ref job.TaskRef) *host {
	if pl.now.Sub(en.isolatedTrialAt) < trialGap {
		return nil
	}
	ca := pl.loneliest(en, ref)
	if ca == nil {
		en.waitCause = CauseRoom
		pl.earmark(en, ref)
		return nil
	}
	en.isolatedTrialAt, ca.isolated = pl.now, true
	ca.ho.trial = &trial{en: en, ref: ref, since: pl.now}
	return ca.ho
}

// try starts a task under which workers ended.
func (pl *placer) try(en *entry, ref job.TaskRef, ca *candidate, how string) {
	cr := ca.ho.crowdedness(pl.now)
	pl.ow.Metrics.Add(telemetry.SuspectStarts, 1, "how", how)
	pl.ow.Log.Info("trying a task under which workers ended", "job", en.jo.ID, "task", en.jo.TaskID(ref), "worker", ca.ho.incarnation,
		"crashes", en.jo.Task(ref).Crashes, "losses", en.jo.Task(ref).Losses, "how", how, "beside", cr.attempts, "fresh", cr.fresh)
	pl.start(en, ref, ca)
	en.waitCause = CauseOrder
}

// loneliest returns the worker with room for the task on which fewest attempts are fresh,
// then fewest serve within a target, then fewest stand, or nil.
func (pl *placer) loneliest(en *entry, ref job.TaskRef) *candidate {
	st := &en.jo.Spec.Steps[ref.Step]
	var best *candidate
	var least crowdedness
	for _, ca := range pl.hosts {
		if !ca.fits(en, ref, st) {
			continue
		}
		if cr := ca.ho.crowdedness(pl.now); best == nil || cr.compare(least) < 0 {
			best, least = ca, cr
		}
	}
	return best
}

// crowdedness is what a worker's end would cost.
type crowdedness struct{ fresh, services, attempts int }

func (ho *host) crowdedness(now time.Time) crowdedness {
	cr := crowdedness{services: len(ho.services), attempts: len(ho.attempts)}
	for at := range ho.attempts {
		if at.fresh(now) {
			cr.fresh++
		}
	}
	return cr
}

func (cr crowdedness) compare(other crowdedness) int {
	return cmp.Or(cmp.Compare(cr.fresh, other.fresh), cmp.Compare(cr.services, other.services), cmp.Compare(cr.attempts, other.attempts))
}

// tellGivenUp tells of a task that is not tried again, and why.
func (ow *Owner) tellGivenUp(en *entry, ref job.TaskRef, end job.End) {
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
