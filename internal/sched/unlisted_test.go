package sched

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// busiest returns the worker with the most runs, and their number.
func (la *lab) busiest() (*standin.FleetWorker, int) {
	busiest, runs := la.fleetWorkers[0], 0
	for _, fw := range la.fleetWorkers {
		if n := la.running()[fw.Addr.Incarnation]; n > runs {
			busiest, runs = fw, n
		}
	}
	return busiest, runs
}

// ends counts the ended runs by how they ended.
func (la *lab) ends() map[string]int {
	counts := map[string]int{}
	for _, ru := range la.fleet.Runs() {
		if !ru.Until.IsZero() {
			counts[ru.Outcome]++
		}
	}
	return counts
}

// newLongRunningLab returns a lab whose owner runs the given number of long-running tasks.
func newLongRunningLab(t *testing.T, workers, tasks int) (*lab, *Owner) {
	t.Helper()
	la := newLab(t, workers)
	return la, la.startLongRunning(tasks)
}

// startLongRunning starts an owner and the given number of long-running tasks.
func (la *lab) startLongRunning(tasks int) *Owner {
	la.t.Helper()
	la.fleet.RunFunc = runUntilStopped
	ow, end := la.startOwner()
	la.t.Cleanup(end)
	time.Sleep(time.Second)
	la.submit(ow, 1, longRunning(tasks))
	time.Sleep(time.Second)
	la.assertRunning(tasks)
	return ow
}

// TestWorkerRemovedFromListWithoutDraining guards against services that do not run for the
// length of a lease although other workers have capacity. A worker's entry is removed without
// a store outage and without the worker having reported that it drains. Its host answers for
// half a minute more and then stops. Unless such a worker is evacuated like a draining one,
// its tasks stay until the host stops and restart only after their leases have expired.
func TestWorkerRemovedFromListWithoutDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 3, 12)
		leaving, _ := la.busiest()
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(30 * time.Second)
		qt.Check(t, la.running()[leaving.Addr.Incarnation], qt.Equals, 0)
		la.fleet.Kill(leaving)
		time.Sleep(500 * time.Millisecond)
		la.assertRunning(12)
		qt.Check(t, la.ends()["killed"], qt.Equals, 0)
	})
}

// TestEntriesExpireDuringStoreOutage has all entries expire during a store outage and return
// 2 s after it, one after the other: running tasks stay where they are.
func TestEntriesExpireDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 4, 24)
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		// A pending write lets the owner notice the outage.
		la.submit(ow, 2, longRunning(1))
		time.Sleep(8 * time.Second)
		la.table.Faults.Set(standin.Fault{})
		ow.SetWorkers(nil, nil, true)
		for _, we := range la.workerEntries() {
			time.Sleep(500 * time.Millisecond)
			ow.SetWorkers([]WorkerEntry{we}, nil, false)
		}
		time.Sleep(5 * time.Second)
		qt.Check(t, la.ends(), qt.HasLen, 0)
		qt.Check(t, la.runningAt("i-0")+la.runningAt("i-1")+la.runningAt("i-2")+la.runningAt("i-3") >= 24, qt.IsTrue)
		la.assertRunsConsistent()
	})
}

// TestOneEntryMissingAfterStoreOutage has one of four workers stay without an entry after a
// store outage. It is evacuated only after the time in which its entry could have returned,
// and gets no new tasks.
func TestOneEntryMissingAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 4, 24)
		lost, _ := la.busiest()
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		la.submit(ow, 2, longRunning(1))
		time.Sleep(8 * time.Second)
		la.table.Faults.Set(standin.Fault{})
		back := time.Now()
		ow.SetWorkers(nil, nil, true)
		time.Sleep(2 * time.Second)
		for _, we := range la.workerEntries() {
			if we.Incarnation != lost.Addr.Incarnation {
				ow.SetWorkers([]WorkerEntry{we}, nil, false)
			}
		}
		time.Sleep(6 * time.Second)
		qt.Check(t, la.running()[lost.Addr.Incarnation], qt.Equals, 0)
		for _, ru := range la.fleet.Runs() {
			if !ru.Until.IsZero() {
				qt.Check(t, ru.Worker, qt.Equals, lost.Addr.Incarnation)
				qt.Check(t, ru.Until.Sub(back) > 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", ru.Until.Sub(back)))
			}
			if ru.From.After(back) {
				qt.Check(t, ru.Worker, qt.Not(qt.Equals), lost.Addr.Incarnation)
			}
		}
		la.assertRunsConsistent()
	})
}

// TestWorkerRestartsDuringStoreOutage has a worker restart during an outage: its entry
// returns with another incarnation at its address, and its tasks restart at once.
func TestWorkerRestartsDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 3, 12)
		was := la.fleetWorkers[0]
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		la.submit(ow, 2, longRunning(1))
		time.Sleep(time.Second)
		la.fleet.Kill(was)
		next := &standin.FleetWorker{Addr: worker.Addr{HostPort: was.Addr.HostPort, Incarnation: worker.Incarnation{ID: "i-0b"}}, Capacity: was.Capacity}
		la.fleet.Add(next)
		la.fleetWorkers[0] = next
		time.Sleep(2 * time.Second)
		la.table.Faults.Set(standin.Fault{})
		ow.SetWorkers(nil, nil, true)
		time.Sleep(2 * time.Second)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(time.Second)
		la.assertRunning(13)
	})
}

// TestNothingStartsWithoutAnEntry has a job wait while no worker has an entry, and running
// tasks go on meanwhile.
func TestNothingStartsWithoutAnEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 3, 6)
		ow.SetWorkers(nil, nil, true)
		la.submit(ow, 2, longRunning(6))
		time.Sleep(20 * time.Second)
		la.assertRunning(6)
		qt.Check(t, la.ends(), qt.HasLen, 0)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(3 * time.Second)
		la.assertRunning(12)
	})
}

// TestShortTasksAreNotEvacuated removes the entry of a worker that runs tasks which end by
// themselves within 8 s: they end there.
func TestShortTasksAreNotEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 8 * time.Second, "done" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 8))
		time.Sleep(time.Second)
		ow.SetWorkers(nil, []string{"i-0"}, false)
		time.Sleep(10 * time.Second)
		qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"done": 8})
		la.assertRunsConsistent()
	})
}

// TestEvacuationIsLoggedAndCounted checks that the reason of moves is logged and counted.
func TestEvacuationIsLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 2)
		me, page, err := telemetry.New()
		qt.Assert(t, err, qt.IsNil)
		la.metrics = me
		ow := la.startLongRunning(2)
		leaving, n := la.busiest()
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(10 * time.Second)
		worker := "worker=" + leaving.Addr.Incarnation.String()
		qt.Check(t, ll.matching(`msg="worker no longer listed"`, worker, "list_age=0s", "store_trouble=false"), qt.HasLen, 1)
		qt.Check(t, ll.matching(`msg="emptying a worker without an entry"`, worker, fmt.Sprintf("attempts=%d ", n), "list_age=0s"), qt.HasLen, 1)
		qt.Check(t, ll.matching(`msg="stopping attempt"`, worker, "has no entry"), qt.HasLen, n)
		re := httptest.NewRecorder()
		page.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		qt.Check(t, re.Body.String(), qt.Contains, fmt.Sprintf("pepperhatch_attempts_emptied_total{why=%q} %d\n", "unlisted", n))
	})
}

// TestListWithMostEntriesMissingIsDoubted removes the entries of three of four workers
// without a visible store outage: the list may have been read in part, or the workers may not
// reach the store. Nothing is moved before the list is trusted again.
func TestListWithMostEntriesMissingIsDoubted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 4)
		ow := la.startLongRunning(24)
		ow.SetWorkers(la.workerEntries()[3:], nil, true)
		time.Sleep(doubtDuration - time.Second)
		qt.Check(t, la.ends(), qt.HasLen, 0)
		qt.Check(t, ll.matching("list of workers doubted", "listed=1", "most=4"), qt.HasLen, 1)
		time.Sleep(5 * time.Second)
		qt.Check(t, la.runningAt("i-3"), qt.Equals, 16)
		la.assertRunning(24)
	})
}

// TestOutageSeenOnlyByListTenureOrHeartbeat removes an entry while the store does not serve
// an owner that has nothing else to write: its list of workers is not read, its tenure not
// confirmed, or its heartbeats are not accepted while reads are answered. Running tasks stay
// where they are until the store has served for long enough.
func TestOutageSeenOnlyByListTenureOrHeartbeat(t *testing.T) {
	for _, by := range []string{"list", "tenure", "heartbeat"} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 4)
			var since, until time.Time
			frozenClock := func() time.Time {
				if now := time.Now(); since.IsZero() || now.Before(since) || now.After(until) {
					return now
				}
				return since
			}
			switch by {
			case "list":
				la.listFunc = func() (last, began time.Time) { return frozenClock(), time.Time{} }
			case "tenure":
				la.confirmedFunc = frozenClock
			case "heartbeat":
				la.writtenFunc = frozenClock
			}
			since = time.Now().Add(2 * time.Second)
			until = since.Add(12 * time.Second)
			ow := la.startLongRunning(24)
			leaving, n := la.busiest()
			time.Sleep(5 * time.Second)
			ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
			time.Sleep(time.Until(until.Add(2500 * time.Millisecond)))
			qt.Check(t, la.ends(), qt.HasLen, 0)
			time.Sleep(2 * time.Second)
			qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"stopped": n})
			la.assertRunning(24)
		})
	}
}

// TestDrainingWorkerLosesItsEntry guards against the same failure as
// [TestWorkerRemovedFromListWithoutDraining] for a draining worker. It drains while no other
// worker has capacity; its entry is removed; capacity becomes available; it leaves at the
// announced time. The evacuation must not end when the entry is removed.
func TestDrainingWorkerLosesItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 2, 2*16)
		leaving := la.fleetWorkers[0]
		list := la.workerEntries()
		list[0].Draining, list[0].Remaining = true, 4*time.Second
		ow.SetWorkers(list, nil, true)
		time.Sleep(time.Second)
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(time.Second)
		la.addWorker(2)
		ow.SetWorkers(la.workerEntries()[2:], nil, false)
		time.Sleep(2 * time.Second)
		la.fleet.Kill(leaving)
		time.Sleep(500 * time.Millisecond)
		la.assertRunning(2 * 16)
		qt.Check(t, la.ends()["killed"], qt.Equals, 0)
	})
}

// TestLateEntryOfDrainingWorkerDelaysNoStop guards against tasks that end with a draining worker
// whose first entry was read late, so that the time until it leaves counted from then.
func TestLateEntryOfDrainingWorkerDelaysNoStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 2, 2*16)
		announce := func(remaining time.Duration) {
			we := la.workerEntries()[0]
			we.Draining, we.Remaining = true, remaining
			ow.SetWorkers([]WorkerEntry{we}, nil, false)
		}
		announce(6 * time.Second)
		time.Sleep(200 * time.Millisecond)
		announce(3 * time.Second)
		time.Sleep(3 * time.Second)
		la.fleet.Kill(la.fleetWorkers[0])
		time.Sleep(500 * time.Millisecond)
		qt.Check(t, la.ends()["killed"], qt.Equals, 0)
	})
}

// TestEntryRemovedWhileStartIsWritten guards against tasks that start on a worker after its
// entry was removed, and are moved or lost at once. Tasks are placed and their starts are
// written to a slow store; meanwhile the worker's entry is removed, or the worker drains;
// then the orders are sent. The worker has to be checked when the order is sent, not only
// when the task is placed.
func TestEntryRemovedWhileStartIsWritten(t *testing.T) {
	for _, draining := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 2)
			ow, end := la.startOwner()
			defer end()
			time.Sleep(time.Second)
			la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
			go la.submit(ow, 1, batch(1, 20))
			time.Sleep(200 * time.Millisecond)
			list := la.workerEntries()
			list[0].Draining, list[0].Remaining = draining, time.Minute
			if !draining {
				list = list[1:]
			}
			ow.SetWorkers(list, nil, true)
			synctest.Wait()
			removedAt := time.Now()
			time.Sleep(10 * time.Second)
			qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
			for _, ru := range la.fleet.Runs() {
				qt.Check(t, ru.Worker.ID == "i-0" && !ru.From.Before(removedAt), qt.IsFalse, qt.Commentf("%s, %v after", ru.Task, ru.From.Sub(removedAt)))
			}
			la.assertRunsConsistent()
		})
	}
}

// TestEntryReturnsWithinWait removes an entry repeatedly for a little less than
// [entryReturnWait], without a visible store outage: no task is moved.
func TestEntryReturnsWithinWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 3, 12)
		worker, _ := la.busiest()
		for range 5 {
			ow.SetWorkers(nil, []string{worker.Addr.Incarnation.ID}, false)
			time.Sleep(2500 * time.Millisecond)
			ow.SetWorkers(la.workerEntries(), nil, true)
			time.Sleep(time.Second)
		}
		qt.Check(t, la.ends(), qt.HasLen, 0)
		la.assertRunning(12)
	})
}

// TestEntryRemovedDuringStoreOutage removes an entry while writes still fail: the wait begins
// when they succeed.
func TestEntryRemovedDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 3, 12)
		worker, n := la.busiest()
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		go la.submit(ow, 2, longRunning(1))
		time.Sleep(time.Second)
		ow.SetWorkers(nil, []string{worker.Addr.Incarnation.ID}, false)
		time.Sleep(6 * time.Second)
		la.table.Faults.Set(standin.Fault{})
		time.Sleep(2900 * time.Millisecond)
		qt.Check(t, la.ends(), qt.HasLen, 0)
		time.Sleep(3 * time.Second)
		qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"stopped": n})
	})
}

// TestWaitRestartsWhenListIsReadAgain removes an entry 2 s before the list is read again
// after errors: the wait begins anew.
func TestWaitRestartsWhenListIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		var since atomic.Pointer[time.Time]
		since.Store(&time.Time{})
		la.listFunc = func() (last, began time.Time) { return time.Now(), *since.Load() }
		ow := la.startLongRunning(12)
		worker, n := la.busiest()
		ow.SetWorkers(nil, []string{worker.Addr.Incarnation.ID}, false)
		time.Sleep(2 * time.Second)
		now := time.Now()
		since.Store(&now)
		time.Sleep(2900 * time.Millisecond)
		qt.Check(t, la.ends(), qt.HasLen, 0)
		time.Sleep(2 * time.Second)
		qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"stopped": n})
	})
}

// TestOwnerStartsWithoutEntries has the cell change its owner while an outage has removed all
// entries. They return 2 s later, and all tasks go on where they are. Then one worker whose
// entry is removed is evacuated.
func TestOwnerStartsWithoutEntries(t *testing.T) {
	for _, known := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 3)
			la.formerOwnerCeased = known
			la.fleet.RunFunc = runUntilStopped
			ow, end := la.startOwner()
			time.Sleep(time.Second)
			la.submit(ow, 1, longRunning(12))
			time.Sleep(time.Second)
			end()
			fleet := la.fleetWorkers
			la.fleetWorkers = nil
			ow, end = la.startOwner()
			defer end()
			time.Sleep(2 * time.Second)
			la.fleetWorkers = fleet
			ow.SetWorkers(la.workerEntries(), nil, true)
			time.Sleep(15 * time.Second)
			la.assertRunning(12)
			qt.Check(t, la.ends(), qt.HasLen, 0)
			worker, n := la.busiest()
			ow.SetWorkers(nil, []string{worker.Addr.Incarnation.ID}, false)
			time.Sleep(6 * time.Second)
			la.assertRunning(12)
			qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"stopped": n})
		})
	}
}
