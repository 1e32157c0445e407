package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// longRunTime is the duration of a task that ends after the polls in flight have returned and
// before its worker's leases expire.
const longRunTime = 2500 * time.Millisecond

func runLong(worker.Attempt) (time.Duration, string) { return longRunTime, "done" }

// freezeUntilLapsed freezes the only worker while it runs a task, until the owner considers its
// leases expired. The task ends successfully before that.
func freezeUntilLapsed(la *lab, ow *Owner) {
	time.Sleep(time.Second)
	qt.Assert(la.t, la.submit(ow, 1, batch(1, 1)).Outcome, qt.Equals, Accepted)
	time.Sleep(300 * time.Millisecond)
	la.fleetWorkers[0].Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
	time.Sleep(10 * time.Second)
}

// assertRunOnce checks that the task ran once and its job succeeded.
func assertRunOnce(la *lab, ow *Owner) {
	la.t.Helper()
	qt.Check(la.t, len(la.fleet.Runs()), qt.Equals, 1)
	qt.Check(la.t, la.state(ow, 1), qt.Equals, job.Succeeded)
	la.assertRunsConsistent()
}

// TestAbandonedAttemptSucceeds has a worker report success for an attempt that was given up:
// it is not run again.
func TestAbandonedAttemptSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.fleet.RunFunc = runLong
		ow, end := la.startOwner()
		defer end()
		freezeUntilLapsed(la, ow)
		la.fleetWorkers[0].Faults.Set(standin.Fault{})
		time.Sleep(2 * time.Second)
		assertRunOnce(la, ow)
	})
}

// TestLateEndNotAcknowledgedBeforeItIsWritten has a worker list the end of an attempt that
// was given up while no write succeeds, and the owner end before one does: the next owner
// must still learn the end from the worker.
func TestLateEndNotAcknowledgedBeforeItIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.fleet.RunFunc = runLong
		la.formerOwnerCeased = true
		ow, end := la.startOwner()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(300 * time.Millisecond)
		la.fleetWorkers[0].Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		time.Sleep(3 * time.Second)
		// The attempt is given up, and this is not written yet when its end is listed.
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		time.Sleep(7 * time.Second)
		la.fleetWorkers[0].Faults.Set(standin.Fault{})
		time.Sleep(time.Second)
		end()
		la.table.Faults.Set(standin.Fault{})
		ow, end = la.startOwner()
		defer end()
		time.Sleep(4 * time.Second)
		assertRunOnce(la, ow)
	})
}

// TestAbandonedAttemptSucceedsWhileNextRuns has an attempt that was given up turn out to have
// succeeded while the next one runs, whose worker then restarts.
func TestAbandonedAttemptSucceedsWhileNextRuns(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 2)
			la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
				return time.Duration(at.Number) * 3 * time.Second, "done"
			}
			ow, end := la.startOwner()
			defer func() { end() }()
			time.Sleep(time.Second)
			la.submit(ow, 1, batch(1, 1))
			time.Sleep(500 * time.Millisecond)
			unresponsive, _ := la.busiest()
			unresponsive.Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
			time.Sleep(9 * time.Second)
			qt.Assert(t, la.fleet.Runs(), qt.HasLen, 2)
			unresponsive.Faults.Set(standin.Fault{})
			time.Sleep(500 * time.Millisecond)
			if replaced {
				end()
				ow, end = la.startOwner()
			}
			for i, fw := range la.fleetWorkers {
				if fw != unresponsive {
					la.restart(i, 0, fw.Addr.HostPort)
				}
			}
			ow.SetWorkers(la.workerEntries(), nil, true)
			time.Sleep(15 * time.Second)
			qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
			qt.Check(t, la.fleet.Runs(), qt.HasLen, 2)
		})
	}
}

// TestOrderCarriedOutAfterCancellation has a worker carry out a start order after its job was
// cancelled, under the same owner or the next one.
func TestOrderCarriedOutAfterCancellation(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 1)
			la.fleet.RunFunc = runUntilStopped
			ow, end := la.startOwner()
			defer func() { end() }()
			time.Sleep(time.Second)
			la.fleet.SetOrderDelay(la.fleetWorkers[0], 3*time.Second)
			la.submit(ow, 1, longRunning(1))
			time.Sleep(500 * time.Millisecond)
			ve, err := ow.Cancel(t.Context(), jobID(1))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, ve.Outcome, qt.Equals, Accepted)
			if replaced {
				end()
				ow, end = la.startOwner()
			}
			time.Sleep(2700 * time.Millisecond)
			// Stop orders sent before were delayed too.
			la.fleet.SetOrderDelay(la.fleetWorkers[0], 0)
			time.Sleep(idlePollWait + pollGrace + ow.Limits.StopTime)
			// A worker that obeys the next owner's fencing token refuses orders of the former
			// owner.
			started := 1
			if replaced {
				started = 0
			}
			qt.Assert(t, len(la.fleet.Runs()), qt.Equals, started)
			la.assertRunning(0)
		})
	}
}
