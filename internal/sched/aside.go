package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// judge keeps how a worker does, and sets it aside if it fails the tasks of
// several jobs in a row.
func (ho *workerState) judge(en *entry, how string) {
	switch how {
	case "done":
		ho.failures, ho.failureQuarantines = 0, 0
		clear(ho.failedJobs)
	case "failed":
		ho.failures++
		ho.failedJobs[en.jo.ID] = true
	}
	if ho.failures < asideFailures || len(ho.failedJobs) < asideJobs || !ho.ow.maySpare(ho) {
		return
	}
	d := asideFirst << min(ho.failureQuarantines, asideDoublings)
	ho.failureQuarantineUntil = time.Now().Add(d)
	ho.tellAside(d, "fails tasks of several jobs")
	ho.failureQuarantines++
	ho.failures = asideFailures - 1
}

// maySpare reports whether one more worker of a service may be set aside for failures.
// Where more than a part of them fail the tasks of several jobs, it is the tasks that
// fail.
func (ow *Owner) maySpare(ho *workerState) bool {
	now, all, spared := time.Now(), 0, 0
	for _, other := range ow.hosts {
		if other.Service != ho.Service || other.dead || other.unlisted {
			continue
		}
		all++
		if other != ho && other.fails(now) {
			spared++
		}
	}
	return all > 1 && spared < max(all/asideShare, 1)
}

// fails reports whether the worker is set aside as it fails tasks.
func (ho *workerState) fails(now time.Time) bool { return !now.After(ho.failureQuarantineUntil) }

// Setting workers aside.
const (
	// asideFailures and asideJobs are how many attempts, of how many jobs,
	// must fail in a row: one attempt in 30 fails by itself.
	asideFailures = 2
	asideJobs     = 2
	// asideFirst is the first time aside; it doubles so often.
	asideFirst     = 1500 * time.Millisecond
	asideDoublings = 3
	// asideShare bounds the workers of a service that are set aside for failures at once:
	// one of so many, and one at least where there are others. Users take what stands
	// empty for free, and miss a job beside it where under half is used.
	asideShare = 4
	// lastResortAfter is how long a task that lasts waits before it goes to a worker that
	// is set aside for failures, if no other has room: users miss it from 6 s on.
	lastResortAfter = time.Second
	// asideUnfit is the time aside after a refused order.
	asideUnfit = 700 * time.Millisecond
)

// setAside keeps new work from the worker for a while.
func (ho *workerState) setAside(d time.Duration, why string) {
	until := time.Now().Add(d)
	if until.Before(ho.quarantinedUntil) {
		return
	}
	ho.quarantinedUntil = until
	ho.tellAside(d, why)
}

func (ho *workerState) tellAside(d time.Duration, why string) {
	ho.ow.Log.Warn("worker set aside", "worker", ho.incarnation, "for", d, "failures", ho.failures, "why", why)
}

// lastResort starts a task that lasts on a worker that is set aside for failures, once it
// has waited for another, and reports whether it did. Such a task may fail as often as it
// likes, and where it stands it may last.
func (pl *placer) lastResort(en *entry, ref job.TaskRef) bool {
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
	en.lack = CauseOrder
	return true
}
