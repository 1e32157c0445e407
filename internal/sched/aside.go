package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// judge keeps how a worker does, and sets it aside if it fails the tasks of
// several jobs in a row.
func (ho *host) recordOutcome(en *entry, how string) {
	switch how {
	case "done":
		ho.failures, ho.asides = 0, 0
		clear(ho.failedJobs)
	case "failed":
		ho.failures++
		ho.failedJobs[en.jo.ID] = true
	}
	if ho.failures < quarantineFailures || len(ho.failedJobs) < quarantineJobs || !ho.ow.mayQuarantine(ho) {
		return
	}
	d := initialQuarantine << min(ho.asides, maxQuarantineDoublings)
	ho.failingUntil = time.Now().Add(d)
	ho.logQuarantine(d, "fails tasks of several jobs")
	ho.asides++
	ho.failures = quarantineFailures - 1
}

// maySpare reports whether one more worker of a service may be set aside for failures.
// Where more than a part of them fail the tasks of several jobs, it is the tasks that
// fail.
func (ow *Owner) mayQuarantine(ho *host) bool {
	now, all, spared := time.Now(), 0, 0
	for _, other := range ow.hosts {
		if other.Service != ho.Service || other.dead || other.gone {
			continue
		}
		all++
		if other != ho && other.quarantinedForFailures(now) {
			spared++
		}
	}
	return all > 1 && spared < max(all/quarantineShare, 1)
}

// fails reports whether the worker is set aside as it fails tasks.
func (ho *host) quarantinedForFailures(now time.Time) bool { return !now.After(ho.failingUntil) }

// Setting workers aside.
const (
	// asideFailures and asideJobs are how many attempts, of how many jobs,
	// must fail in a row: one attempt in 30 fails by itself.
	quarantineFailures = 2
	quarantineJobs     = 2
	// asideFirst is the first time aside; it doubles so often.
	initialQuarantine      = 1500 * time.Millisecond
	maxQuarantineDoublings = 3
	// asideShare bounds the workers of a service that are set aside for failures at once:
	// one of so many, and one at least where there are others. Users take what stands
	// empty for free, and miss a job beside it where under half is used.
	quarantineShare = 4
	// lastResortAfter is how long a task that lasts waits before it goes to a worker that
	// is set aside for failures, if no other has room: users miss it from 6 s on.
	lastResortAfter = time.Second
	// asideUnfit is the time aside after a refused order.
	unfitQuarantine = 700 * time.Millisecond
)

// setAside keeps new work from the worker for a while.
func (ho *host) quarantine(d time.Duration, why string) {
	until := time.Now().Add(d)
	if until.Before(ho.asideUntil) {
		return
	}
	ho.asideUntil = until
	ho.logQuarantine(d, why)
}

func (ho *host) logQuarantine(d time.Duration, why string) {
	ho.ow.Log.Warn("worker set aside", "worker", ho.incarnation, "for", d, "failures", ho.failures, "why", why)
}

// lastResort starts a task that lasts on a worker that is set aside for failures, once it
// has waited for another, and reports whether it did. Such a task may fail as often as it
// likes, and where it stands it may last.
func (pl *placer) startAsLastResort(en *entry, ref job.TaskRef) bool {
	if !en.jo.Spec.Steps[ref.Step].Endless || pl.now.Sub(en.waitingSince) < lastResortAfter {
		return false
	}
	var best *candidate
	st := &en.jo.Spec.Steps[ref.Step]
	for _, ca := range pl.failing {
		if ca.fits(en, ref, st) && (best == nil || ca.score(en, st) > best.score(en, st)) {
			best = ca
		}
	}
	if best == nil {
		return false
	}
	pl.start(en, ref, best)
	en.waitCause = CauseOrder
	return true
}
