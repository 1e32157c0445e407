package sched

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestNewTasksLeaveCapacityToInterruptedOnes guards against long-running tasks that never ran
// and take the remaining capacity before the leases of a lost worker lapse, so that its
// interrupted tasks find none.
func TestNewTasksLeaveCapacityToInterruptedOnes(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 4)
			ow := la.startLongRunning(40)
			lost, n := la.busiest()
			qt.Assert(t, n, qt.Equals, 16)
			la.fleet.Kill(lost)
			if takeover {
				var end func()
				ow, end = la.startOwner()
				defer end()
			}
			time.Sleep(time.Second)
			ow.SetWorkers(nil, []string{lost.Addr.Incarnation.ID}, false)
			time.Sleep(2 * time.Second)
			la.submit(ow, 2, longRunning(30))
			time.Sleep(15 * time.Second)
			qt.Check(t, []int{la.runningOfJob(1), la.runningOfJob(2)}, qt.DeepEquals, []int{40, 8})
		})
	}
}

// TestOrderOfInterruptedTasks guards against small interrupted tasks that take a part of the
// only capacity in which a large one fits, though they fit elsewhere, and against a large one
// that starts first where only the small ones or the large one fit.
func TestOrderOfInterruptedTasks(t *testing.T) {
	for _, tc := range []struct {
		name string
		// others are the cores that a task uses on each of the other workers.
		others []int64
		// want is how many tasks of 4 and of 24 cores run again.
		want []int
	}{
		{"capacity for all", []int64{6, 12}, []int{2, 1}},
		{"capacity for some", []int64{6}, []int{2, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				la := newLab(t, 1)
				la.fleet.RunFunc = runUntilStopped
				ow, end := la.startOwner()
				defer end()
				time.Sleep(time.Second)
				large, small := 1, 2
				if len(tc.others) > 1 {
					large, small = small, large
				}
				la.submit(ow, large, longRunningOf(1, 24))
				la.submit(ow, small, longRunningOf(2, 4))
				time.Sleep(time.Second)
				lost := la.fleetWorkers[0]
				for i, cores := range tc.others {
					la.addWorker(2 + i)
					ow.SetWorkers(la.workerEntries(), nil, true)
					la.submit(ow, 3+i, longRunningOf(1, cores))
					time.Sleep(time.Second)
				}
				la.fleet.Kill(lost)
				ow.SetWorkers(nil, []string{lost.Addr.Incarnation.ID}, false)
				time.Sleep(15 * time.Second)
				qt.Check(t, []int{la.runningOfJob(small), la.runningOfJob(large)}, qt.DeepEquals, tc.want)
			})
		})
	}
}

// TestCapacityIsNotWithheldFromInterruptedTasks guards against capacity that is reserved for a
// large interrupted task, never becomes enough for it, and is withheld from smaller
// interrupted ones.
func TestCapacityIsNotWithheldFromInterruptedTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunningOf(1, 24))
		la.submit(ow, 2, longRunningOf(2, 4))
		time.Sleep(time.Second)
		lost := la.fleetWorkers[0]
		la.addWorker(2)
		ow.SetWorkers(la.workerEntries(), nil, true)
		la.submit(ow, 3, longRunningOf(1, 6))
		// These tasks are not marked as long-running, but do not end.
		la.submit(ow, 4, batch(1, 2))
		time.Sleep(time.Second)
		qt.Assert(t, []int{la.runningOfJob(1), la.runningOfJob(2), la.runningOfJob(3), la.runningOfJob(4)}, qt.DeepEquals, []int{1, 2, 1, 2})
		la.fleet.Kill(lost)
		ow.SetWorkers(nil, []string{lost.Addr.Incarnation.ID}, false)
		time.Sleep(9 * time.Second)
		qt.Check(t, []int{la.runningOfJob(1), la.runningOfJob(2)}, qt.DeepEquals, []int{0, 2})
	})
}

// TestTaskThatFitsNowhereTakesReservationOfSmallerOne guards against reservations that serve no task.
func TestTaskThatFitsNowhereTakesReservationOfSmallerOne(t *testing.T) {
	for _, larger := range []int64{0, 24} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 1)
			lost := la.fleetWorkers[0]
			lost.Capacity.MilliCores = (16 + larger) * 1000
			var starts atomic.Int64
			la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
				id, ref, _ := job.ParseTaskID(at.Task)
				if la.spec(id).Steps[ref.Step].LongRunning {
					return -1, ""
				}
				return time.Duration(600+starts.Add(1)*137%800) * time.Millisecond, "done"
			}
			ow, end := la.startOwner()
			defer end()
			time.Sleep(time.Second)
			la.submit(ow, 1, longRunningOf(1, 16))
			if larger > 0 {
				la.submit(ow, 2, longRunningOf(1, larger))
			}
			time.Sleep(time.Second)
			la.addWorker(1)
			ow.SetWorkers(la.workerEntries(), nil, true)
			time.Sleep(time.Second)
			la.submit(ow, 3, longRunningOf(1, 12))
			time.Sleep(time.Second)
			la.fleet.Kill(lost)
			ow.SetWorkers(nil, []string{lost.Addr.Incarnation.ID}, false)
			for n := range 30 {
				la.submit(ow, 10+n, batch(1, 12))
				time.Sleep(time.Second)
			}
			qt.Check(t, la.runningOfJob(3), qt.Equals, 1)
			qt.Check(t, la.runningOfJob(1), qt.Equals, 1, qt.Commentf("larger task of %d cores", larger))
		})
	}
}
