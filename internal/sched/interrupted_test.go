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

// longRunningOf is a job of tasks that last, each with so many cores.
func longRunningOf(tasks int, cores int64) job.Spec {
	sp := longRunning(tasks)
	sp.Steps[0].Each = worker.Resources{MilliCores: cores * 1000, MemMB: 1000}
	return sp
}

// runningOfJob counts the runs of a job that go on.
func (la *lab) runningOfJob(n int) int {
	count := 0
	for _, ru := range la.fleet.Runs() {
		if id, _, _ := job.ParseTaskID(ru.Task); id == jobID(n) && ru.Until.IsZero() {
			count++
		}
	}
	return count
}

// TestInterruptedTasksGoFirst is the story of services that did not run again for 8 s and
// more, while there was room for them.
//
// Users see tasks that last run nowhere after their workers were lost, though what is free
// would hold them twice. Order of events: the owner's host stands still and 20 workers are
// lost with 177 such tasks; ten seconds later these are free, and wait "for room" until
// 29 to 33 s; meanwhile tasks begin that never ran before. Cause: where room is short and
// in pieces, what decides is who looks first when a piece gets free, and tasks that were
// interrupted stood in one line with tasks of other jobs that last and never ran, by an
// order that a takeover had mixed, and with short tasks. Evidence: lines "room for lasting
// tasks tasks=187 again=60 need_millicores=2619300 free_millicores=1288200
// most_millicores=16250 passing_millicores=476700": room for all that ran before, and
// 127 others waiting beside them.
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
		// The busiest worker has two tasks of the first job.
		ow = cr.loseOwnerAndCrash(1)
		time.Sleep(20 * time.Second)
		_, err := ow.Cancel(context.Background(), jobID(7))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * time.Second)
		qt.Check(t, []int{cr.runningOfJob(5), cr.runningOfJob(7), cr.runningOfJob(1)}, qt.DeepEquals, []int{4, 0, 1})
	})
}
