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

// workersPerLoss is how many workers crash with each owner of [TestLastingTasksOutliveTheirOwners].
const workersPerLoss = 3

// TestLastingTasksOutliveTheirOwners is the story of healthy jobs that were ended for good.
//
// Users see a job of tasks that last end as failed, with nothing wrong with it. Order of
// events: its tasks are at work for 20 s; their owner's host stands still, and 0.2 s later
// workers crash. The next owner reads the rows, finds another process at the workers'
// addresses, or no entry of theirs, and ends each attempt there as a certain crash. The same
// twice more, 24 s apart each, and the task is given up: "task given up .. why=crashes
// crashes=3 losses=0", after lines "attempt ended .. end=crashed .. ran_at_least=0s" of
// attempts that had been launched 18, 23 and 23 s before.
//
// Cause: for how long an attempt had run only the owner knew that looked at it, and wrote it
// nowhere; what it took back of a task's crashes once an attempt had lasted it did not write
// either. The next one took what it had not seen run for what had just begun. Evidence: with
// the row saying so, and nothing else changed, the same losses end as lost or lapsed.
//
// [TestTaskThatCrashesItsWorkers] is the other side: a task that does crash its workers is
// given up also if its owners end with them.
func TestLastingTasksOutliveTheirOwners(t *testing.T) {
	for _, tc := range []struct {
		name string
		// forGood has workers not come back.
		forGood bool
	}{{"workers that are back", false}, {"workers that are gone for good", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cr, ow := startCrashLab(t, newLab(t, 5*workersPerLoss))
				cr.noRestart = tc.forGood
				cr.submit(ow, 1, longRunning(12))
				for range 4 {
					time.Sleep(20 * time.Second)
					cr.assertRunning(12)
					ow = cr.loseOwnerAnd(workersPerLoss)
				}
				time.Sleep(20 * time.Second)
				qt.Check(t, cr.state(ow, 1), qt.Equals, job.Running)
				cr.assertRunning(12)
				cr.assertNothingTwice()
			})
		})
	}
}

// loseOwnerAnd ends the owner, crashes the busiest workers just after that, and returns the
// next owner.
func (cr *crashLab) loseOwnerAnd(workers int) *Owner {
	cr.end()
	time.Sleep(200 * time.Millisecond)
	for range workers {
		fw, _ := cr.busiest()
		cr.crash(fw)
	}
	time.Sleep(2 * time.Second)
	return cr.own()
}

// TestLostWorkersAreTold has the ends of a lost worker's attempts told in one line, also by
// an owner that never saw it.
func TestLostWorkersAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 2)
		cr, ow := startCrashLab(t, la)
		cr.noRestart = true
		cr.submit(ow, 1, longRunning(12))
		time.Sleep(20 * time.Second)
		cr.loseOwnerAnd(1)
		time.Sleep(20 * time.Second)
		told := li.matching(`msg="attempts of a lost worker ended"`, "attempts=12", "lasting=12", "ends=lapsed:12")
		qt.Assert(t, told, qt.HasLen, 1)
	})
}

// row returns the row of a job's progress as it is written.
func (la *lab) row(ow *Owner, n int) job.ProgressRow {
	var row job.ProgressRow
	_, err := la.table.Client().Get(context.Background(), ow.progressKey(jobID(n)), &row)
	qt.Assert(la.t, err, qt.IsNil)
	return row
}

// TestProofsAreWritten checks that the row of a job whose tasks last says that they got over
// their start, and later that they last, with few writes more, and that short tasks cost
// none.
func TestProofsAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 10)
		la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
			if id, _, _ := job.ParseTaskID(at.Task); id == jobID(1) {
				return -1, ""
			}
			return 3 * time.Second, "done"
		}
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(40))
		la.submit(ow, 2, batch(1, 1))
		time.Sleep(100 * time.Millisecond)
		started := la.row(ow, 1).Rev
		short := la.row(ow, 2).Rev
		time.Sleep(2400 * time.Millisecond)
		qt.Check(t, la.row(ow, 1).Steps[0].Proofs, qt.Equals, "1")
		qt.Check(t, la.row(ow, 2).Rev, qt.Equals, short)
		time.Sleep(12 * time.Second)
		qt.Check(t, la.row(ow, 1).Steps[0].Proofs, qt.Equals, "2")
		time.Sleep(time.Minute)
		qt.Check(t, la.row(ow, 1).Rev-started <= 2*proofWritesMost, qt.IsTrue, qt.Commentf("%d writes", la.row(ow, 1).Rev-started))
	})
}

// proofWritesMost is how many writes a job may cost for each degree of proof of tasks that
// began together: their looks come within a second, and a proof waits for half of one.
const proofWritesMost = 3

// TestHealthyTasksOverTakeovers plays random losses of workers together with their owners,
// each of them after the tasks were at work for some seconds, and checks that no task is
// given up.
func TestHealthyTasksOverTakeovers(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: takeoverScripts}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			cr := newCrashLab(t, newLab(t, 12))
			cr.setCrashingJobs()
			cr.newAddress = rapid.Bool().Draw(rt, "elsewhere")
			cr.entryTTL = rapid.SampledFrom([]time.Duration{0, crashedEntryTTL, 5 * time.Second}).Draw(rt, "entry stays")
			ow := cr.own()
			defer func() { cr.end() }()
			time.Sleep(time.Second)
			cr.submit(ow, 1, longRunning(8))
			for range rapid.IntRange(3, 9).Draw(rt, "losses") {
				// Until what was lost runs again, and its proof is written.
				time.Sleep(22 * time.Second)
				for range rapid.IntRange(1, 4).Draw(rt, "workers") {
					fw, _ := cr.busiest()
					cr.crash(fw)
					time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(rt, "between ms")) * time.Millisecond)
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "owner after ms")) * time.Millisecond)
				ow = cr.own()
			}
			time.Sleep(22 * time.Second)
			if state := cr.state(ow, 1); state != job.Running {
				rt.Errorf("the job is %s", state)
			}
			for _, problem := range cr.problems() {
				rt.Error(problem)
			}
		})
	})
}

// takeoverScripts is the number of scripts; PEPPERHATCH_SEED plays others.
const takeoverScripts = 60
