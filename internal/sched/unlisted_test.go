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

// busiest returns the worker with most runs, and how many these are.
func (la *lab) busiest() (*standin.FleetWorker, int) {
	most, best := la.crew[0], 0
	for _, fw := range la.crew {
		if n := la.running()[fw.Addr.Incarnation]; n > best {
			most, best = fw, n
		}
	}
	return most, best
}

// ends counts the runs that ended in each way.
func (la *lab) ends() map[string]int {
	counts := map[string]int{}
	for _, ru := range la.fleet.Runs() {
		if !ru.Until.IsZero() {
			counts[ru.How]++
		}
	}
	return counts
}

// lastingLab is a lab whose owner has so many lasting tasks at work.
func lastingLab(t *testing.T, workers, tasks int) (*lab, *Owner) {
	t.Helper()
	la := newLab(t, workers)
	return la, la.withLasting(tasks)
}

// withLasting starts an owner with so many lasting tasks at work.
func (la *lab) withLasting(tasks int) *Owner {
	la.t.Helper()
	la.fleet.RunFunc = runUntilStopped
	ow, end := la.own()
	la.t.Cleanup(end)
	time.Sleep(time.Second)
	la.submit(ow, 1, longRunning(tasks))
	time.Sleep(time.Second)
	la.assertRunning(tasks)
	return ow
}

// TestWorkerLeavesTheListWithoutAWord is the story of a machine that is taken out of
// service and says nothing.
//
// Users see services that do not run for the length of a lease, with room for them
// elsewhere. Order of events: a worker's entry goes, with no trouble of the store and
// without the worker having said that it drains; the machine runs and answers for half a
// minute more; then it stops. Cause: only workers that drain were emptied, and none whose
// entry had gone, so that its lasting tasks stayed to the end and were known to have ended
// only with their leases. Evidence: runs that end as killed, and nothing runs of them
// until the leases have lapsed.
func TestWorkerLeavesTheListWithoutAWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := lastingLab(t, 3, 12)
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

// TestListLapsesInAnOutage has all entries lapse while the store is away, and come back 2 s
// after it, each at a moment of its own: what runs stays where it is.
func TestListLapsesInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := lastingLab(t, 4, 24)
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeDown})
		// A write under way tells the owner of the outage.
		la.submit(ow, 2, longRunning(1))
		time.Sleep(8 * time.Second)
		la.table.Gate.Set(standin.Fault{})
		ow.SetWorkers(nil, nil, true)
		for _, li := range la.listed() {
			time.Sleep(500 * time.Millisecond)
			ow.SetWorkers([]WorkerEntry{li}, nil, false)
		}
		time.Sleep(5 * time.Second)
		qt.Check(t, la.ends(), qt.HasLen, 0)
		qt.Check(t, la.runningAt("i-0")+la.runningAt("i-1")+la.runningAt("i-2")+la.runningAt("i-3") >= 24, qt.IsTrue)
		la.assertNothingTwice()
	})
}

// TestPartOfTheListComesBack has one of four workers stay without an entry after an
// outage of the store. It is emptied only once its entry could have been back, and gets
// nothing new.
func TestPartOfTheListComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := lastingLab(t, 4, 24)
		gone, _ := la.busiest()
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeDown})
		la.submit(ow, 2, longRunning(1))
		time.Sleep(8 * time.Second)
		la.table.Gate.Set(standin.Fault{})
		back := time.Now()
		ow.SetWorkers(nil, nil, true)
		time.Sleep(2 * time.Second)
		for _, li := range la.listed() {
			if li.Incarnation != gone.Addr.Incarnation {
				ow.SetWorkers([]WorkerEntry{li}, nil, false)
			}
		}
		time.Sleep(6 * time.Second)
		qt.Check(t, la.running()[gone.Addr.Incarnation], qt.Equals, 0)
		for _, ru := range la.fleet.Runs() {
			if !ru.Until.IsZero() {
				qt.Check(t, ru.Worker, qt.Equals, gone.Addr.Incarnation)
				qt.Check(t, ru.Until.Sub(back) > 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", ru.Until.Sub(back)))
			}
			if ru.From.After(back) {
				qt.Check(t, ru.Worker, qt.Not(qt.Equals), gone.Addr.Incarnation)
			}
		}
		la.assertNothingTwice()
	})
}

// TestListComesBackWithAnotherLife has a machine start anew during an outage: its entry
// comes back with another incarnation at its address, and what it ran starts at once.
func TestListComesBackWithAnotherLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := lastingLab(t, 3, 12)
		was := la.crew[0]
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeDown})
		la.submit(ow, 2, longRunning(1))
		time.Sleep(time.Second)
		la.fleet.Kill(was)
		now := &standin.FleetWorker{Addr: worker.Addr{HostPort: was.Addr.HostPort, Incarnation: worker.Incarnation{ID: "i-0b"}}, Holds: was.Holds}
		la.fleet.Add(now)
		la.crew[0] = now
		time.Sleep(2 * time.Second)
		la.table.Gate.Set(standin.Fault{})
		ow.SetWorkers(nil, nil, true)
		time.Sleep(2 * time.Second)
		ow.SetWorkers(la.listed(), nil, true)
		time.Sleep(time.Second)
		la.assertRunning(13)
	})
}

// TestNothingStartsWithoutAnEntry has a job wait while no worker has an entry.
func TestNothingStartsWithoutAnEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := lastingLab(t, 3, 6)
		ow.SetWorkers(nil, nil, true)
		la.submit(ow, 2, longRunning(6))
		time.Sleep(20 * time.Second)
		la.assertRunning(6)
		qt.Check(t, la.ends(), qt.HasLen, 0)
		ow.SetWorkers(la.listed(), nil, true)
		time.Sleep(3 * time.Second)
		la.assertRunning(12)
	})
}

// TestWhatEndsByItselfIsLeftTo has a worker leave the list while it runs tasks that end
// in 8 s.
func TestWhatEndsByItselfIsLeftTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 8 * time.Second, "done" }
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 8))
		time.Sleep(time.Second)
		ow.SetWorkers(nil, []string{"i-0"}, false)
		time.Sleep(10 * time.Second)
		qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"done": 8})
		la.assertNothingTwice()
	})
}

// TestEmptyingIsTold has the reason of moves in the log and among the counters.
func TestEmptyingIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 2)
		me, page, err := telemetry.New()
		qt.Assert(t, err, qt.IsNil)
		la.metrics = me
		ow := la.withLasting(2)
		leaving, n := la.busiest()
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(10 * time.Second)
		worker := "worker=" + leaving.Addr.Incarnation.String()
		qt.Check(t, li.matching(`msg="worker no longer listed"`, worker, "list_age=0s", "store_trouble=false"), qt.HasLen, 1)
		qt.Check(t, li.matching(`msg="emptying a worker without an entry"`, worker, fmt.Sprintf("attempts=%d ", n), "list_age=0s"), qt.HasLen, 1)
		qt.Check(t, li.matching(`msg="stopping attempt"`, worker, "has no entry"), qt.HasLen, n)
		re := httptest.NewRecorder()
		page.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		qt.Check(t, re.Body.String(), qt.Contains, fmt.Sprintf("pepperhatch_attempts_emptied_total{why=%q} %d\n", "unlisted", n))
	})
}

// TestMostOfTheListIsGone has three of four workers lose their entries with no trouble of
// the store to be seen: the list may have been read in part, or the workers may not reach
// the store. Nothing is moved before the list is believed.
func TestMostOfTheListIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 4)
		ow := la.withLasting(24)
		ow.SetWorkers(la.listed()[3:], nil, true)
		time.Sleep(doubtFor - time.Second)
		qt.Check(t, la.ends(), qt.HasLen, 0)
		qt.Check(t, li.matching("list of workers doubted", "listed=1", "most=4"), qt.HasLen, 1)
		time.Sleep(5 * time.Second)
		qt.Check(t, la.runningAt("i-3"), qt.Equals, 16)
		la.assertRunning(24)
	})
}

// TestOutagesThatOnlyThePulseTells has entries lapse while the store does not serve an
// owner that writes nothing else: its list of workers is not read, its tenure not
// confirmed, or its heartbeats not taken while reads are answered. What runs stays until
// the store has served for long enough.
func TestOutagesThatOnlyThePulseTells(t *testing.T) {
	for _, by := range []string{"list", "tenure", "heartbeat"} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 4)
			var since, until time.Time
			stuck := func() time.Time {
				if now := time.Now(); since.IsZero() || now.Before(since) || now.After(until) {
					return now
				}
				return since
			}
			switch by {
			case "list":
				la.listFunc = func() (last, began time.Time) { return stuck(), time.Time{} }
			case "tenure":
				la.confirmedFunc = stuck
			case "heartbeat":
				la.writtenFunc = stuck
			}
			since = time.Now().Add(2 * time.Second)
			until = since.Add(12 * time.Second)
			ow := la.withLasting(24)
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

// TestDrainingWorkerLosesItsEntry is the story of a worker that says that it leaves and
// whose entry goes before it does.
//
// Users see the same as of one that leaves without a word. Order of events: a worker
// drains while there is no room elsewhere; its entry goes; room comes; it leaves at the
// time that it told. Cause: emptying ended with the entry. Evidence: as above.
func TestDrainingWorkerLosesItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := lastingLab(t, 2, 2*16)
		leaving := la.crew[0]
		list := la.listed()
		list[0].Draining, list[0].Remaining = true, 4*time.Second
		ow.SetWorkers(list, nil, true)
		time.Sleep(time.Second)
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(time.Second)
		la.addWorker(2)
		ow.SetWorkers(la.listed()[2:], nil, false)
		time.Sleep(2 * time.Second)
		la.fleet.Kill(leaving)
		time.Sleep(500 * time.Millisecond)
		la.assertRunning(2 * 16)
		qt.Check(t, la.ends()["killed"], qt.Equals, 0)
	})
}

// TestEntryGoesWhileAStartIsWritten is the story of a task that starts on a machine that
// is out of service.
//
// Users see tasks start on a worker after its entry went, and be moved or lost at once.
// Order of events: tasks are placed, and their starts are to be written first; the store
// is slow; the worker's entry goes meanwhile; then the orders are sent. Cause: the worker
// was looked at when the task was placed, not when its order was sent. Evidence: runs
// that begin there after the entry went.
func TestEntryGoesWhileAStartIsWritten(t *testing.T) {
	for _, draining := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 2)
			ow, end := la.own()
			defer end()
			time.Sleep(time.Second)
			la.table.Gate.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
			go la.submit(ow, 1, batch(1, 20))
			time.Sleep(200 * time.Millisecond)
			list := la.listed()
			list[0].Draining, list[0].Remaining = draining, time.Minute
			if !draining {
				list = list[1:]
			}
			ow.SetWorkers(list, nil, true)
			synctest.Wait()
			went := time.Now()
			time.Sleep(10 * time.Second)
			qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
			for _, ru := range la.fleet.Runs() {
				qt.Check(t, ru.Worker.ID == "i-0" && !ru.From.Before(went), qt.IsFalse, qt.Commentf("%s, %v after", ru.Task, ru.From.Sub(went)))
			}
			la.assertNothingTwice()
		})
	}
}

// TestEntryIsBackSoon has an entry go for a little less than the time that it is waited
// for, again and again, with no trouble of the store to be seen.
func TestEntryIsBackSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := lastingLab(t, 3, 12)
		worker, _ := la.busiest()
		for range 5 {
			ow.SetWorkers(nil, []string{worker.Addr.Incarnation.ID}, false)
			time.Sleep(2500 * time.Millisecond)
			ow.SetWorkers(la.listed(), nil, true)
			time.Sleep(time.Second)
		}
		qt.Check(t, la.ends(), qt.HasLen, 0)
		la.assertRunning(12)
	})
}

// TestEntryGoesInTheMidstOfAnOutage has the list tell of an entry that went while writes
// still fail: the time to wait begins with their success.
func TestEntryGoesInTheMidstOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := lastingLab(t, 3, 12)
		worker, n := la.busiest()
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeDown})
		go la.submit(ow, 2, longRunning(1))
		time.Sleep(time.Second)
		ow.SetWorkers(nil, []string{worker.Addr.Incarnation.ID}, false)
		time.Sleep(6 * time.Second)
		la.table.Gate.Set(standin.Fault{})
		time.Sleep(2900 * time.Millisecond)
		qt.Check(t, la.ends(), qt.HasLen, 0)
		time.Sleep(3 * time.Second)
		qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"stopped": n})
	})
}

// TestListIsReadAgainOnlyNow has the list tell of an entry that went, 2 s before it is
// read again after errors: the time to wait begins anew.
func TestListIsReadAgainOnlyNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		var since atomic.Pointer[time.Time]
		since.Store(&time.Time{})
		la.listFunc = func() (last, began time.Time) { return time.Now(), *since.Load() }
		ow := la.withLasting(12)
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

// TestOwnerBeginsWithoutEntries has the cell change hands while an outage has taken all
// entries. They are back 2 s later, and all goes on where it is; then one that is not is
// emptied.
func TestOwnerBeginsWithoutEntries(t *testing.T) {
	for _, known := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 3)
			la.formerKnown = known
			la.fleet.RunFunc = runUntilStopped
			ow, end := la.own()
			time.Sleep(time.Second)
			la.submit(ow, 1, longRunning(12))
			time.Sleep(time.Second)
			end()
			crew := la.crew
			la.crew = nil
			ow, end = la.own()
			defer end()
			time.Sleep(2 * time.Second)
			la.crew = crew
			ow.SetWorkers(la.listed(), nil, true)
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
