package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
)

// crashCost is the cost of tasks that crash their workers.
type crashCost struct {
	// workers is the number of workers that they crashed.
	workers int
	// lost is the number of attempts of tasks of other jobs that ended with these workers,
	// until ten seconds after the last job.
	lost int
	// failedAfter is the time from the submission of the first of their jobs until all of
	// these had failed, or zero if they did not within a minute.
	failedAfter time.Duration
}

// measureCrashCost runs twelve workers for a minute with 24 long-running tasks and a short job
// every 300 ms. It also submits jobs whose tasks crash their workers: the given number of jobs,
// each with the given number of such tasks.
func measureCrashCost(t *testing.T, jobs, tasks int) crashCost {
	t.Helper()
	cr := newCrashLab(t, newLab(t, 12))
	isCrash := func(n int) bool { return n >= 1000 && n < 1000+jobs }
	cr.setCrashingTasks(func(id string, ref job.TaskRef) bool { return isCrash(jobNumber(id)) && ref.Index < tasks })
	ow := cr.replaceOwner()
	defer func() { cr.end() }()
	time.Sleep(time.Second)
	cr.submit(ow, 1, longRunning(24))
	time.Sleep(2 * time.Second)
	began := time.Now()
	var cc crashCost
	for n := range 200 {
		if n%10 == 0 && n/10 < jobs {
			cr.submit(ow, 1000+n/10, batch(1, max(tasks, 6)))
		}
		cr.submit(ow, 2000+n, batch(1, 4))
		time.Sleep(300 * time.Millisecond)
		if cc.failedAfter == 0 && n/10 >= jobs && cr.allFailed(ow, jobs) {
			cc.failedAfter = time.Since(began)
		}
	}
	time.Sleep(10 * time.Second)
	cr.mu.Lock()
	cc.workers = cr.crashed
	cr.mu.Unlock()
	for _, ru := range cr.fleet.Runs() {
		if id, _, _ := job.ParseTaskID(ru.Task); !isCrash(jobNumber(id)) && ru.Outcome == "killed" {
			cc.lost++
		}
	}
	for n := range 200 {
		qt.Check(t, cr.state(ow, 2000+n) == job.Failed, qt.IsFalse, qt.Commentf("healthy job %d", n))
	}
	qt.Check(t, cr.state(ow, 1), qt.Equals, job.Running)
	cr.assertRunsConsistent()
	return cc
}

func (cr *crashLab) allFailed(ow *Owner, jobs int) bool {
	for n := range jobs {
		if cr.state(ow, 1000+n) != job.Failed {
			return false
		}
	}
	return true
}

// TestCostOfCrashingTasks bounds the workers that tasks crash before they are given up: three
// for one task, and for a job with several such tasks not many more than their number, because
// the other ones wait while the worker of an isolated one does not answer.
func TestCostOfCrashingTasks(t *testing.T) {
	for _, tc := range []struct{ jobs, tasks, maxWorkers int }{{1, 1, 3}, {4, 1, 12}, {1, 8, 12}} {
		synctest.Test(t, func(t *testing.T) {
			cc := measureCrashCost(t, tc.jobs, tc.tasks)
			t.Logf("%d jobs, %d tasks each that crash: %d workers, %d attempts of others lost, all failed after %v", tc.jobs, tc.tasks, cc.workers, cc.lost, cc.failedAfter)
			qt.Check(t, cc.workers <= tc.maxWorkers, qt.IsTrue, qt.Commentf("%d workers", cc.workers))
			qt.Check(t, cc.failedAfter > 0, qt.IsTrue)
		})
	}
}

// TestRandomCrashes runs random scripts of jobs, worker crashes with and without a task that
// causes them, and changes of owner. It checks that no task starts more often than users
// accept, that no job fails unless at least two workers crashed under one of its tasks, and
// that all other jobs succeed.
func TestRandomCrashes(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: crashScripts}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			cr := newCrashLab(t, newLab(t, 6))
			crashing := []int{}
			for n := 1; n <= 20; n++ {
				if rapid.IntRange(0, 9).Draw(rt, "crashes") == 0 {
					crashing = append(crashing, n)
				}
			}
			cr.entryTTL = rapid.SampledFrom([]time.Duration{0, crashedEntryTTL, 5 * time.Second}).Draw(rt, "entry TTL")
			cr.setCrashingJobs(crashing...)
			ow := cr.replaceOwner()
			defer func() { cr.end() }()
			time.Sleep(time.Second)
			owners, jobs := 1, 0
			for range rapid.IntRange(5, 40).Draw(rt, "actions") {
				switch rapid.SampledFrom([]string{"job", "job", "job", "crash", "owner", "pause"}).Draw(rt, "action") {
				case "job":
					if jobs < 20 {
						jobs++
						cr.submit(ow, jobs, batch(1+jobs%2, 1+jobs%4))
					}
				case "crash":
					cr.crashAny(rt)
				case "owner":
					owners++
					ow = cr.replaceOwner()
				case "pause":
					time.Sleep(3 * time.Second)
				}
				time.Sleep(time.Duration(rapid.IntRange(1, 1000).Draw(rt, "ms")) * time.Millisecond)
			}
			time.Sleep(80 * time.Second)
			cr.checkRandomCrashes(rt, ow, jobs, owners, crashing)
		})
	})
}

// crashScripts is the number of random scripts; PEPPERHATCH_SEED selects others.
const crashScripts = 60
