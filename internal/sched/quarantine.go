package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// recordOutcome records how an attempt on the worker ended, and quarantines the worker if it
// fails tasks of several jobs in a row.
func (wk *workerState) recordOutcome(tj *trackedJob, outcome string) {
	switch outcome {
	case "done":
		wk.failures, wk.failureQuarantines = 0, 0
		clear(wk.failedJobs)
	case "failed":
		wk.failures++
		wk.failedJobs[tj.jo.ID] = true
	}
	if wk.failures < quarantineFailures || len(wk.failedJobs) < quarantineJobs || !wk.ow.mayQuarantine(wk) {
		return
	}
	d := initialQuarantine << min(wk.failureQuarantines, maxQuarantineDoublings)
	wk.failureQuarantineUntil = time.Now().Add(d)
	wk.logQuarantine(d, "fails tasks of several jobs")
	wk.failureQuarantines++
	wk.failures = quarantineFailures - 1
}

// mayQuarantine reports whether one more worker of a service may be quarantined for failures,
// see quarantineShare. If more of them fail tasks of several jobs, the tasks are at fault and not
// the workers. Workers of evacuated data centres do not count, as they get no tasks.
func (ow *Owner) mayQuarantine(wk *workerState) bool {
	now, all, quarantined := time.Now(), 0, 0
	for other := range ow.allWorkers() {
		if other.Service != wk.Service || other.dead || other.unlisted || other.isEvacuated() {
			continue
		}
		all++
		if other != wk && other.quarantinedForFailures(now) {
			quarantined++
		}
	}
	return all > 1 && quarantined < max(all/quarantineShare, 1)
}

// quarantinedForFailures reports whether the worker is quarantined because tasks failed
// there.
func (wk *workerState) quarantinedForFailures(now time.Time) bool {
	return !now.After(wk.failureQuarantineUntil)
}

// Rules of the quarantine.
const (
	// quarantineFailures is how many attempts in a row must fail on a worker, and
	// quarantineJobs of how many jobs: one attempt in 30 fails without a fault of its worker.
	quarantineFailures = 2
	quarantineJobs     = 2
	// initialQuarantine is the duration of the first quarantine; it doubles up to
	// maxQuarantineDoublings times.
	initialQuarantine      = 1500 * time.Millisecond
	maxQuarantineDoublings = 3
	// quarantineShare bounds the workers of a service that are quarantined for failures at
	// once: one in quarantineShare, and at least one if there are others. Users count idle
	// workers as free capacity, and report a job that waits while less than half of the
	// capacity is used.
	quarantineShare = 4
	// lastResortAfter is how long a long-running task waits before it is started on a worker
	// that is quarantined for failures, if no other has capacity. Users report a long-running
	// task that has not run for 6 s.
	lastResortAfter = time.Second
	// unfitQuarantine is the duration of the quarantine after a worker refused an order.
	unfitQuarantine = 700 * time.Millisecond
)

// quarantine keeps new tasks away from the worker for d.
func (wk *workerState) quarantine(d time.Duration, why string) {
	until := time.Now().Add(d)
	if until.Before(wk.quarantinedUntil) {
		return
	}
	wk.quarantinedUntil = until
	wk.logQuarantine(d, why)
}

func (wk *workerState) logQuarantine(d time.Duration, why string) {
	wk.ow.Log.Warn("worker set aside", "worker", wk.incarnation, "for", d, "failures", wk.failures, "why", why)
}

// startAsLastResort starts a long-running task on a worker that is quarantined for failures,
// once the task has waited for another worker, and reports whether it did. Long-running tasks
// have no limit of failures, and the task may well run there.
func (pl *placer) startAsLastResort(tj *trackedJob, ref job.TaskRef) bool {
	if !tj.jo.Spec.Steps[ref.Step].LongRunning || pl.now.Sub(tj.waitingSince) < lastResortAfter {
		return false
	}
	var best *candidate
	st := &tj.jo.Spec.Steps[ref.Step]
	for _, ca := range pl.failing {
		if ca.fits(tj, ref, st) && (best == nil || ca.score(tj, st) > best.score(tj, st)) {
			best = ca
		}
	}
	if best == nil {
		return false
	}
	pl.start(tj, ref, best)
	tj.waitCause = CauseOrder
	return true
}
