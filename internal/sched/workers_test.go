package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// runUntilStopped makes every task run until it is stopped.
func runUntilStopped(worker.Attempt) (time.Duration, string) { return -1, "" }

// longRunning returns a job of one step of long-running tasks.
func longRunning(tasks int) job.Spec {
	sp := batch(1, tasks)
	sp.Steps[0].LongRunning = true
	return sp
}

// runningAt counts the running attempts on a worker.
func (la *lab) runningAt(id string) int {
	n := 0
	for inc, runs := range la.running() {
		if inc.ID == id {
			n += runs
		}
	}
	return n
}

// running counts the running attempts by worker.
func (la *lab) running() map[worker.Incarnation]int {
	counts := map[worker.Incarnation]int{}
	for _, ru := range la.fleet.Runs() {
		if ru.Until.IsZero() {
			counts[ru.Worker]++
		}
	}
	return counts
}

// assertRunning asserts how many attempts run, and that no task runs twice at once.
func (la *lab) assertRunning(n int) {
	total := 0
	for _, count := range la.running() {
		total += count
	}
	qt.Assert(la.t, total, qt.Equals, n)
	la.assertRunsConsistent()
}

// TestWorkerLostForGood guards against long-running tasks of a killed worker that do not start
// again elsewhere soon after their leases have lapsed.
func TestWorkerLostForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		qt.Assert(t, la.submit(ow, 1, longRunning(6)).Outcome, qt.Equals, Accepted)
		time.Sleep(time.Second)
		la.assertRunning(6)
		busiest := la.fleetWorkers[0]
		for _, fw := range la.fleetWorkers {
			if la.running()[fw.Addr.Incarnation] > la.running()[busiest.Addr.Incarnation] {
				busiest = fw
			}
		}
		la.fleet.Kill(busiest)
		// The leases, the margin for clocks, and a second to notice and start.
		time.Sleep(6*time.Second + 2*time.Second)
		la.assertRunning(6)
	})
}

// TestWorkerUnresponsiveForAWhile guards against tasks that are restarted although their
// workers, which did not answer for 3 s, came back before their leases lapsed.
func TestWorkerUnresponsiveForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(4))
		time.Sleep(time.Second)
		for _, fw := range la.fleetWorkers {
			fw.Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		}
		time.Sleep(3 * time.Second)
		for _, fw := range la.fleetWorkers {
			fw.Faults.Set(standin.Fault{})
		}
		time.Sleep(3 * time.Second)
		qt.Assert(t, len(la.fleet.Runs()), qt.Equals, 4)
		la.assertRunning(4)
	})
}

// TestWorkerThatLosesAnswers guards against tasks that run twice when workers carry out orders
// whose answers are lost.
func TestWorkerThatLosesAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		for _, fw := range la.fleetWorkers {
			fw.Faults.Set(standin.Fault{Mode: standin.ModeLost})
		}
		la.submit(ow, 1, batch(2, 4))
		time.Sleep(2 * time.Second)
		for _, fw := range la.fleetWorkers {
			fw.Faults.Set(standin.Fault{})
		}
		time.Sleep(10 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		la.assertRunsConsistent()
	})
}

// TestOrdersCarriedOutLate guards against tasks that run twice when a worker carries out
// orders 3 s after they were sent.
func TestOrdersCarriedOutLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 4)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.fleet.SetOrderDelay(la.fleetWorkers[0], 3*time.Second)
		la.submit(ow, 1, batch(2, 16))
		time.Sleep(8 * time.Second)
		la.fleet.SetOrderDelay(la.fleetWorkers[0], 0)
		time.Sleep(12 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		la.assertRunsConsistent()
	})
}

// TestOwnerReplaced guards against tasks that run again after a change of owner.
func TestOwnerReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 4 * time.Second, "done" }
		ow, end := la.startOwner()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(2, 6))
		time.Sleep(2 * time.Second)
		end()
		next, end := la.startOwner()
		defer end()
		time.Sleep(8 * time.Second)
		qt.Assert(t, la.state(next, 1), qt.Equals, job.Succeeded)
		qt.Assert(t, len(la.fleet.Runs()), qt.Equals, 12)
		la.assertRunsConsistent()
	})
}

// TestFormerOwnerCanWriteNothing guards against a former owner that accepts jobs and starts
// tasks after another host has claimed the cell.
func TestFormerOwnerCanWriteNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		old, endOld := la.startOwner()
		defer endOld()
		time.Sleep(time.Second)
		_, end := la.startOwner()
		defer end()
		ve := la.submit(old, 1, batch(1, 2))
		qt.Assert(t, ve.Outcome, qt.Not(qt.Equals), Accepted)
		time.Sleep(5 * time.Second)
		qt.Assert(t, len(la.fleet.Runs()), qt.Equals, 0)
	})
}

// TestStoreUnavailable guards against jobs that are accepted, lost or run twice when the store
// accepts no writes for 10 s. Once the owner knows of the outage, jobs submitted must be
// refused at once, with a time after which to retry.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 2 * time.Second, "done" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 4))
		time.Sleep(time.Second)
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		la.submit(ow, 2, batch(1, 4))
		time.Sleep(time.Second)
		start := time.Now()
		ve := la.submit(ow, 3, batch(1, 4))
		qt.Assert(t, ve.Outcome, qt.Equals, Refused)
		qt.Assert(t, ve.RetryAfter > 0, qt.IsTrue)
		qt.Assert(t, time.Since(start) < 100*time.Millisecond, qt.IsTrue)
		time.Sleep(8 * time.Second)
		la.table.Faults.Set(standin.Fault{})
		time.Sleep(5 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		qt.Assert(t, la.state(ow, 3), qt.Equals, job.State(""))
		qt.Assert(t, la.submit(ow, 3, batch(1, 4)).Outcome, qt.Equals, Accepted)
		la.assertRunsConsistent()
	})
}

// TestStoreAnswersLost guards against tasks that run twice when writes take effect but their
// answers are lost.
func TestStoreAnswersLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeLost, Count: 3})
		la.submit(ow, 1, batch(3, 4))
		time.Sleep(10 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		qt.Assert(t, len(la.fleet.Runs()), qt.Equals, 12)
		la.assertRunsConsistent()
	})
}

// TestFailuresAreLimited guards against a task that fails each time and is retried more often
// than its queue allows.
func TestFailuresAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 4)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 100 * time.Millisecond, "failed" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(20 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Failed)
		qt.Assert(t, len(la.fleet.Runs()), qt.Equals, 3)
	})
}

// TestWorkerNotSeenSinceTakeover guards against tasks that run twice or not at all when
// workers are lost together with their owner. They start again once their leases have lapsed,
// counted from when the former owner ceased to act if that is known.
func TestWorkerNotSeenSinceTakeover(t *testing.T) {
	for _, known := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 3)
			la.formerOwnerCeased = known
			la.fleet.RunFunc = runUntilStopped
			ow, end := la.startOwner()
			time.Sleep(time.Second)
			la.submit(ow, 1, longRunning(6))
			time.Sleep(time.Second)
			for _, fw := range la.fleetWorkers {
				la.fleet.Kill(fw)
			}
			end()
			la.fleetWorkers = nil
			la.addWorker(7)
			_, end = la.startOwner()
			defer end()
			time.Sleep(7 * time.Second)
			if !known {
				la.assertRunning(0)
				time.Sleep(tenure.ExtendFor)
			}
			la.assertRunning(6)
		})
	}
}

// TestWorkerDrains guards against tasks that are killed when a worker leaves after a notice.
// Before that, long-running tasks move to other workers, tasks that end soon may end there,
// and the others are stopped in time to be resumed.
func TestWorkerDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
			id, _, _ := job.ParseTaskID(at.Task)
			switch id {
			case jobID(1):
				return -1, ""
			case jobID(2):
				return 1500 * time.Millisecond, "done"
			}
			return 8 * time.Second, "done"
		}
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(4))
		la.submit(ow, 2, batch(1, 4))
		la.submit(ow, 3, batch(1, 4))
		time.Sleep(time.Second)
		leaving := la.fleetWorkers[0]
		for _, fw := range la.fleetWorkers {
			if la.running()[fw.Addr.Incarnation] > la.running()[leaving.Addr.Incarnation] {
				leaving = fw
			}
		}
		list := la.workerEntries()
		for i := range list {
			if list[i].Incarnation == leaving.Addr.Incarnation {
				list[i].Draining, list[i].Remaining = true, 4500*time.Millisecond
			}
		}
		ow.SetWorkers(list, nil, true)
		time.Sleep(4500 * time.Millisecond)
		la.fleet.Kill(leaving)
		time.Sleep(500 * time.Millisecond)
		la.assertRunning(8)
		for _, ru := range la.fleet.Runs() {
			qt.Check(t, ru.Outcome, qt.Not(qt.Equals), "killed", qt.Commentf("%s", ru.Task))
			if ru.Task[:16] == jobID(2) {
				qt.Check(t, ru.Outcome, qt.Equals, "done")
			}
		}
	})
}

// TestOwnersChangeWhileAWorkerIsLost guards against waits for the leases of lost workers that
// begin anew with each of two handovers: each owner must pass on when the leases lapse.
func TestOwnersChangeWhileAWorkerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(4))
		time.Sleep(time.Second)
		for _, fw := range la.fleetWorkers {
			if la.running()[fw.Addr.Incarnation] > 0 {
				la.fleet.Kill(fw)
			}
		}
		for range 2 {
			time.Sleep(2 * time.Second)
			la.handover = ow.Handover()
			end()
			ow, end = la.startOwner()
		}
		defer func() { end() }()
		time.Sleep(4 * time.Second)
		la.assertRunning(4)
	})
}
