package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
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
				cr, ow := startCrashes(t, newLab(t, 5*workersPerLoss))
				cr.forGood = tc.forGood
				cr.submit(ow, 1, lasting(12))
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
func (cr *crashes) loseOwnerAnd(workers int) *Owner {
	cr.end()
	time.Sleep(200 * time.Millisecond)
	for range workers {
		fw, _ := cr.busiest()
		cr.crash(fw)
	}
	time.Sleep(2 * time.Second)
	return cr.own()
}
