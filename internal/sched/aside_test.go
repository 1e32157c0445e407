package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// firstFailing is the number of the first job whose tasks fail at once.
const firstFailing = 100

// failingJobs has the tasks of jobs from firstFailing on fail at once.
func failingJobs(la *lab, healthy func(worker.Attempt) (time.Duration, string)) {
	la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		if at.Task >= jobID(firstFailing) {
			return 10 * time.Millisecond, "failed"
		}
		return healthy(at)
	}
}

// TestFailingJobsLeaveWorkersToOthers is the story of healthy jobs that ran nothing while
// workers stood empty.
//
// Users saw a job run nothing for 8 s beside four empty workers. Order of events: forty
// jobs are handed in whose tasks fail wherever they run; each worker fails tasks of
// several jobs and is set aside, for twice as long each time; a healthy job comes. Cause:
// failures counted against each worker by itself, also where all of them had some.
//
// Evidence: sixteen lines "worker set aside", four of them for 12 s, and a first
// "attempt placed" of the healthy job 8.2 s after it was handed in.
func TestFailingJobsLeaveWorkersToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 4)
		failingJobs(la, func(worker.Attempt) (time.Duration, string) { return time.Second, "done" })
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		for n := range 40 {
			la.submit(ow, firstFailing+n, batch(1, 4))
			time.Sleep(100 * time.Millisecond)
		}
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(time.Second)
		qt.Assert(t, li.matching(`msg="attempt placed"`, jobID(1)), qt.HasLen, 1)
	})
}

// TestLastingTaskGoesToFailingWorker is the story of a service that ran nowhere while a
// worker stood empty.
//
// Users saw a service run nowhere for 12 s. Order of events: tasks of two jobs fail on a
// worker, which is set aside again and again; all others are full; a task that lasts
// waits until the time aside is over. Cause: to run where others failed was held worse
// than not to run.
//
// Evidence: lines "lasting tasks wait .. for=room .. barred=aside:1" on a day of the
// users', in 17 of 42 lines.
func TestLastingTaskGoesToFailingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		ow := la.withLasting(2*16 - 1)
		ow.post(func() {
			for _, ho := range ow.hosts {
				ho.failures, ho.failureQuarantines = asideFailures, asideDoublings
				ho.failedJobs["other"] = true
			}
			for _, ho := range ow.hosts {
				if len(ho.attempts) < 16 {
					ho.judge(&entry{jo: ow.entries[jobID(1)].jo}, "failed")
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

// TestFailingWorkerIsSparedAmongOthers has one worker of four fail whatever it gets: it is
// set aside, and the others do the work.
func TestFailingWorkerIsSparedAmongOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 4)
		sick := la.crew[0].Addr.Incarnation
		la.crew[0].RunFunc = func(worker.Attempt) (time.Duration, string) { return 10 * time.Millisecond, "failed" }
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		for n := range 20 {
			la.submit(ow, 1+n, batch(1, 16))
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		told := li.matching(`msg="worker set aside"`)
		qt.Assert(t, len(told) > 0, qt.IsTrue)
		qt.Assert(t, li.matching(`msg="worker set aside"`, "worker="+sick.String()), qt.HasLen, len(told))
		qt.Assert(t, li.matching(`msg="job time"`, "state=succeeded"), qt.HasLen, 20)
	})
}
