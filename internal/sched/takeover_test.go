package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// workersPerCrash is how many workers crash with each owner of
// [TestLongRunningTasksNotGivenUpAfterOwnerLosses].
const workersPerCrash = 3

// TestLongRunningTasksNotGivenUpAfterOwnerLosses guards against healthy long-running jobs that
// end as failed. Their tasks run for 20 s; then their owner's host freezes, and 0.2 s later
// workers crash. The next owner finds another process at the workers' addresses, or no entry
// of them. Unless the job's row says how long an attempt had run, that owner classifies each
// attempt there as a certain cause of the crash, and gives the task up after three such
// losses.
//
// [TestTaskThatCrashesItsWorkers] checks the opposite case: a task that does crash its
// workers is given up also if its owners are lost with them.
func TestLongRunningTasksNotGivenUpAfterOwnerLosses(t *testing.T) {
	for _, tc := range []struct {
		name string
		// forGood is set if the workers do not come back.
		forGood bool
	}{{"workers that come back", false}, {"workers that are lost for good", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cr, ow := startCrashLab(t, newLab(t, 5*workersPerCrash))
				cr.noRestart = tc.forGood
				cr.submit(ow, 1, longRunning(12))
				for range 4 {
					time.Sleep(20 * time.Second)
					cr.assertRunning(12)
					ow = cr.loseOwnerAndCrash(workersPerCrash)
				}
				time.Sleep(20 * time.Second)
				qt.Check(t, cr.state(ow, 1), qt.Equals, job.Running)
				cr.assertRunning(12)
				cr.assertRunsConsistent()
			})
		})
	}
}

// loseOwnerAndCrash ends the owner, crashes the busiest workers shortly after, and returns
// the next owner.
func (cr *crashLab) loseOwnerAndCrash(workers int) *Owner {
	cr.end()
	time.Sleep(200 * time.Millisecond)
	for range workers {
		fw := cr.busiest()
		cr.crash(fw)
	}
	time.Sleep(2 * time.Second)
	return cr.replaceOwner()
}

// TestLostWorkersAreLogged checks that the ends of a lost worker's attempts are logged in one
// line, also by an owner that never saw the worker.
func TestLostWorkersAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 2)
		cr, ow := startCrashLab(t, la)
		cr.noRestart = true
		cr.submit(ow, 1, longRunning(12))
		time.Sleep(20 * time.Second)
		cr.loseOwnerAndCrash(1)
		time.Sleep(20 * time.Second)
		lines := ll.matching(`msg="attempts of a lost worker ended"`, "attempts=12", "lasting=12", "ends=lapsed:12")
		qt.Assert(t, lines, qt.HasLen, 1)
	})
}

// progressRow returns the stored progress row of a job.
func (la *lab) progressRow(ow *Owner, n int) job.ProgressRow {
	var row job.ProgressRow
	_, err := la.table.Client().Get(context.Background(), ow.progressKey(jobID(n)), &row)
	qt.Assert(la.t, err, qt.IsNil)
	return row
}

// TestProofsAreWritten checks that the row of a job with long-running tasks says that they
// are past their startup, and later that they have run for crashBlameLimit, at the cost of a
// few extra writes. Short tasks must cost no extra write.
func TestProofsAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 10)
		la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
			if id, _, _ := job.ParseTaskID(at.Task); id == jobID(1) {
				return -1, ""
			}
			return 3 * time.Second, "done"
		}
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(40))
		la.submit(ow, 2, batch(1, 1))
		time.Sleep(100 * time.Millisecond)
		started := la.progressRow(ow, 1).Rev
		short := la.progressRow(ow, 2).Rev
		time.Sleep(2400 * time.Millisecond)
		qt.Check(t, la.progressRow(ow, 1).Steps[0].Phases, qt.Equals, "1")
		qt.Check(t, la.progressRow(ow, 2).Rev, qt.Equals, short)
		time.Sleep(12 * time.Second)
		qt.Check(t, la.progressRow(ow, 1).Steps[0].Phases, qt.Equals, "2")
		time.Sleep(time.Minute)
		qt.Check(t, la.progressRow(ow, 1).Rev-started <= 2*maxProofWrites, qt.IsTrue, qt.Commentf("%d writes", la.progressRow(ow, 1).Rev-started))
	})
}

// maxProofWrites is how many writes a job may cost for each level of proof of tasks that
// started together: their polls return within a second, and a proof waits for half a second.
const maxProofWrites = 3

// TestHealthyTasksNotGivenUpOverTakeovers runs random sequences of losses of workers together
// with their owners, each after the tasks ran for some seconds, and checks that no task is
// given up.
func TestHealthyTasksNotGivenUpOverTakeovers(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: takeoverRuns}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			cr := newCrashLab(t, newLab(t, 12))
			cr.setCrashingJobs()
			cr.newAddress = rapid.Bool().Draw(rt, "elsewhere")
			cr.entryTTL = rapid.SampledFrom([]time.Duration{0, crashedEntryTTL, 5 * time.Second}).Draw(rt, "entry stays")
			ow := cr.replaceOwner()
			defer func() { cr.end() }()
			time.Sleep(time.Second)
			cr.submit(ow, 1, longRunning(8))
			for range rapid.IntRange(3, 9).Draw(rt, "losses") {
				// Time for the lost tasks to run again and for their proofs to be written.
				time.Sleep(22 * time.Second)
				for range rapid.IntRange(1, 4).Draw(rt, "workers") {
					fw := cr.busiest()
					cr.crash(fw)
					time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(rt, "between ms")) * time.Millisecond)
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "owner after ms")) * time.Millisecond)
				ow = cr.replaceOwner()
			}
			time.Sleep(22 * time.Second)
			if state := cr.state(ow, 1); state != job.Running {
				rt.Errorf("the job is %s", state)
			}
			for _, problem := range cr.runProblems() {
				rt.Error(problem)
			}
		})
	})
}

// takeoverRuns is the number of random sequences; PEPPERHATCH_SEED selects others.
const takeoverRuns = 60
