package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/queuestats"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// neglectLargest records outcomes of a queue in which the small half of the jobs was served.
func neglectLargest(ow *Owner, queue string) {
	for n := range 100 {
		ow.statsOf(queue).RecordOutcome(int64(n), n < 50)
	}
}

// mostTasks is the number of tasks of the largest jobs of an overload, largeTasks that from which on
// a job counts as one of the largest tenth.
const mostTasks, largeTasks = 24, 22

// overload plays a queue that gets more work than its workers can do, with jobs of 1 to mostTasks
// tasks, and returns the owner at the end.
func overload(t *testing.T, without Mechanism) *Owner {
	t.Helper()
	la := newLab(t, 4)
	la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return time.Second, "done" }
	ow, end := la.startOwner()
	ow.post(func() { ow.Without = without })
	time.Sleep(time.Second)
	te := job.Terms{Queue: "bulk", Service: testService, MaxFailures: 3, Stretch: 2, AllowanceMS: 2000}
	for n := range 400 {
		sp := batch(1, 1+n*7%mostTasks)
		la.submitLater(ow, n, te, sp)
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	end()
	<-ow.ended
	return ow
}

// TestLargestJobsAreNotNeglected guards against large jobs that are never served in overload
// because smaller ones go first.
func TestLargestJobsAreNotNeglected(t *testing.T) {
	shares := func(t *testing.T, without Mechanism) (largest, all float64) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			ow := overload(t, without)
			var list, large []queuestats.Outcome
			for _, oc := range ow.statsOf("bulk").Outcomes() {
				list = append(list, oc)
				if each := batch(1, largeTasks).Steps[0]; oc.Work >= largeTasks*each.EstimateMS*each.Each.MilliCores {
					large = append(large, oc)
				}
			}
			largest, all = queuestats.ServedShare(large), queuestats.ServedShare(list)
		})
		return largest, all
	}
	largest, all := shares(t, 0)
	t.Logf("served: largest %.2f, all %.2f", largest, all)
	qt.Check(t, largest >= all/2, qt.IsTrue)
	largest, all = shares(t, MechTurnsOfLargest)
	t.Logf("without turns of the largest: largest %.2f, all %.2f", largest, all)
	qt.Check(t, largest < all/2, qt.IsTrue)
}

// TestHalfDoneLargeJobGoesFirst guards against large jobs that never end as small ones always go
// first.
func TestHalfDoneLargeJobGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := ownerWithoutLoop(t)
		step := func(tasks int) job.Step {
			return job.Step{Tasks: tasks, Each: worker.Resources{MilliCores: 1000}, EstimateMS: 1000}
		}
		ow.markDirty(addJob(ow, 1, step(10)))
		large := addJob(ow, 2, step(40))
		for index := range 24 {
			ref := job.TaskRef{Index: index}
			number := large.jo.Start(ref, worker.Incarnation{ID: "i-1"})
			qt.Assert(t, large.jo.End(ref, number, job.EndDone, ""), qt.IsTrue)
		}
		ow.markDirty(large)
		ow.sortWaitingJobs(time.Now())
		qt.Assert(t, ow.waitingJobs[0], qt.Equals, large)
	})
}
