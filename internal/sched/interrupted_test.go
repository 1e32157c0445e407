package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// longRunningOf returns a job of one step of long-running tasks with the given number of cores
// each.
func longRunningOf(tasks int, cores int64) job.Spec {
	sp := longRunning(tasks)
	sp.Steps[0].Each = worker.Resources{MilliCores: cores * 1000, MemMB: 1000}
	return sp
}

// runningOfJob counts the running attempts of a job.
func (la *lab) runningOfJob(n int) int {
	count := 0
	for _, ru := range la.fleet.Runs() {
		if id, _, _ := job.ParseTaskID(ru.Task); id == jobID(n) && ru.Until.IsZero() {
			count++
		}
	}
	return count
}

// TestInterruptedTasksGoFirst guards against interrupted long-running tasks that wait for 8 s
// and more although the free capacity would hold them twice. The owner freezes and 20 workers
// with 177 such tasks are lost. Where capacity is short and in pieces, each piece goes to the
// first task placed after it becomes free, and interrupted tasks shared one order with short
// tasks and with long-running tasks that never ran.
func TestInterruptedTasksGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr, ow := startCrashLab(t, newLab(t, 4))
		cr.noRestart = true
		cr.submit(ow, 5, longRunningOf(4, 16))
		cr.submit(ow, 7, longRunningOf(2, 32))
		time.Sleep(time.Second)
		cr.submit(ow, 1, longRunningOf(4, 32))
		time.Sleep(20 * time.Second)
		qt.Assert(t, []int{cr.runningOfJob(5), cr.runningOfJob(7), cr.runningOfJob(1)}, qt.DeepEquals, []int{4, 2, 0})
		// The busiest worker has two tasks of job 5.
		ow = cr.loseOwnerAndCrash(1)
		time.Sleep(20 * time.Second)
		_, err := ow.Cancel(context.Background(), jobID(7))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * time.Second)
		qt.Check(t, []int{cr.runningOfJob(5), cr.runningOfJob(7), cr.runningOfJob(1)}, qt.DeepEquals, []int{4, 0, 1})
	})
}

// TestTrialsKeepWorkersFromInterruptedTasks guards against isolated tasks that bar all workers in turn.
func TestTrialsKeepWorkersFromInterruptedTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.fleetWorkers[0].Capacity.MilliCores = 64_000
		la.fleet.RunFunc = runUntilStopped
		cr := newCrashLab(t, la)
		ow := cr.replaceOwner()
		defer func() { cr.end() }()
		add := func() {
			la.addWorker(len(la.fleetWorkers))
			fw := la.fleetWorkers[len(la.fleetWorkers)-1]
			fw.Capacity.MilliCores = 40_000
			list := la.workerEntries()
			cr.setEntry(list[len(list)-1], false)
		}
		time.Sleep(time.Second)
		cr.submit(ow, 1, longRunningOf(4, 16))
		time.Sleep(crashBlameLimit + 2*time.Second)
		for n := range 10 {
			cr.submitLater(ow, 10+n, urgentTerms, longRunningOf(4, 1))
		}
		add()
		for i := range 2 {
			time.Sleep(300 * time.Millisecond)
			cr.noRestart = i > 0
			fw := cr.workers()[1]
			qt.Assert(t, cr.running()[fw.Addr.Incarnation], qt.Equals, 40)
			cr.crash(fw)
			time.Sleep(crashRestartAfter)
		}
		time.Sleep(5 * time.Second)
		cr.crash(cr.workers()[0])
		time.Sleep(12 * time.Second)
		for range 4 {
			add()
		}
		time.Sleep(10 * time.Second)
		for _, vw := range cr.visibleWaits(nil) {
			if id, _, _ := job.ParseTaskID(vw.task); id == jobID(1) {
				qt.Check(t, longest(vw.onTwo) < reportPeriod, qt.IsTrue, qt.Commentf("two workers had the capacity for task %s for %v", vw.task, longest(vw.onTwo)))
			}
		}
		qt.Check(t, cr.runningOfJob(1), qt.Equals, 4)
	})
}
