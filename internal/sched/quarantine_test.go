package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/evacuation"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// firstFailingJob is the number of the first job whose tasks fail at once.
const firstFailingJob = 100

// failTasksOfJobs makes the tasks of jobs from firstFailingJob on fail at once.
func failTasksOfJobs(la *lab, healthy func(worker.Attempt) (time.Duration, string)) {
	la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		if at.Task >= jobID(firstFailingJob) {
			return 10 * time.Millisecond, "failed"
		}
		return healthy(at)
	}
}

// TestFailingJobsDoNotQuarantineAllWorkers guards against a healthy job that does not run for
// 8 s while workers are idle. Forty jobs are submitted whose tasks fail wherever they run. If
// failures count against each worker alone, all workers are quarantined, for twice as long
// each time, and a healthy job submitted then has to wait.
func TestFailingJobsDoNotQuarantineAllWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 4)
		failTasksOfJobs(la, func(worker.Attempt) (time.Duration, string) { return time.Second, "done" })
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		for n := range 40 {
			la.submit(ow, firstFailingJob+n, batch(1, 4))
			time.Sleep(100 * time.Millisecond)
		}
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(time.Second)
		qt.Assert(t, ll.matching(`msg="attempt placed"`, jobID(1)), qt.HasLen, 1)
	})
}

// TestQuarantineLeavesWorkersDuringEvacuation guards against more than the share of workers that
// may be quarantined for failures, because the workers of an evacuated data centre count too.
func TestQuarantineLeavesWorkersDuringEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 8)
		failTasksOfJobs(la, runUntilStopped)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.evacuate(ow, evacuation.Set{}.With("d0"))
		most := 0
		for n := range 40 {
			la.submit(ow, firstFailingJob+n, batch(1, 4))
			time.Sleep(100 * time.Millisecond)
			quarantined := make(chan int, 1)
			ow.post(func() {
				count := 0
				for _, wk := range ow.workers {
					if wk.quarantinedForFailures(time.Now()) {
						count++
					}
				}
				quarantined <- count
			})
			most = max(most, <-quarantined)
		}
		qt.Check(t, most, qt.Equals, 1)
	})
}

// TestLongRunningTaskStartsOnQuarantinedWorker guards against a service that does not run for
// 12 s while a worker has capacity. That worker is quarantined because tasks of two jobs failed
// there, and all other workers are full. The task must not wait for the end of the quarantine:
// running where others failed is better than not running.
func TestLongRunningTaskStartsOnQuarantinedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		ow := la.startLongRunning(2*16 - 1)
		ow.post(func() {
			for _, wk := range ow.workers {
				wk.failures, wk.failureQuarantines = quarantineFailures, maxQuarantineDoublings
				wk.failedJobs["other"] = true
			}
			for _, wk := range ow.workers {
				if len(wk.attempts) < 16 {
					wk.recordOutcome(&trackedJob{jo: ow.jobs[jobID(1)].jo}, "failed")
				}
			}
		})
		la.submit(ow, 2, longRunning(1))
		time.Sleep(lastResortAfter / 2)
		la.assertRunning(2*16 - 1)
		time.Sleep(lastResortAfter)
		la.assertRunning(2 * 16)
	})
}

// TestOnlyFailingWorkerIsQuarantined has all tasks fail on one worker of four: that worker is
// quarantined, and the others do the work.
func TestOnlyFailingWorkerIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 4)
		faulty := la.fleetWorkers[0].Addr.Incarnation
		la.fleetWorkers[0].RunFunc = func(worker.Attempt) (time.Duration, string) { return 10 * time.Millisecond, "failed" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		for n := range 20 {
			la.submit(ow, 1+n, batch(1, 16))
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		lines := ll.matching(`msg="worker set aside"`)
		qt.Assert(t, len(lines) > 0, qt.IsTrue)
		qt.Assert(t, ll.matching(`msg="worker set aside"`, "worker="+faulty.String()), qt.HasLen, len(lines))
		qt.Assert(t, ll.matching(`msg="job time"`, "state=succeeded"), qt.HasLen, 20)
	})
}

// TestSuspectTaskWaitsForEndOfQuarantine guards against suspect tasks kept from quarantined workers.
func TestSuspectTaskWaitsForEndOfQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 8)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		for n := range 16 {
			la.submit(ow, 10+n, longRunningOf(1, 16))
		}
		time.Sleep(time.Second)
		la.addWorker(8)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunningOf(1, 16))
		time.Sleep(time.Second)
		lost := la.fleetWorkers[8]
		qt.Assert(t, la.running()[lost.Addr.Incarnation], qt.Equals, 1)
		la.fleet.Kill(lost)
		ow.SetWorkers(nil, []string{lost.Addr.Incarnation.ID}, false)
		time.Sleep(10 * time.Second)
		cancelled := map[string]time.Time{}
		for _, ru := range la.fleet.Runs() {
			id, _, _ := job.ParseTaskID(ru.Task)
			if ru.Worker == la.fleetWorkers[0].Addr.Incarnation || ru.Worker == la.fleetWorkers[1].Addr.Incarnation {
				cancelled[id] = time.Now()
			}
		}
		qt.Assert(t, cancelled, qt.HasLen, 4)
		ow.post(func() {
			for _, fw := range la.fleetWorkers[:2] {
				wk := ow.workers[fw.Addr.Incarnation]
				wk.failures, wk.failureQuarantines = quarantineFailures, maxQuarantineDoublings
				wk.failedJobs["other"] = true
				wk.recordOutcome(ow.jobs[jobID(1)], "failed")
			}
		})
		for id := range cancelled {
			_, err := ow.Cancel(context.Background(), id)
			qt.Assert(t, err, qt.IsNil)
		}
		time.Sleep(15 * time.Second)
		waits := la.visibleWaits(cancelled)
		qt.Assert(t, waits, qt.HasLen, 1)
		qt.Check(t, longest(waits[0].onTwo) < reportPeriod, qt.IsTrue, qt.Commentf("two workers had the capacity for %v", longest(waits[0].onTwo)))
	})
}
