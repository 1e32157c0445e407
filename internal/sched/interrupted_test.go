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
