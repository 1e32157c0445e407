package sched

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/evacuation"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// dataCentre returns the data centre of the worker with an index in a lab.
func dataCentre(i int) string { return fmt.Sprint("d", i%2) }

// evacuationRequests are the requests that the owners of a lab know of, and the launches that
// were sent against them.
type evacuationRequests struct {
	mu       sync.Mutex
	set      evacuation.Set
	since    map[string]time.Time
	problems []string
	// failing counts the reads that are yet to fail.
	failing int
}

// launchWay is how long a launch may be on its way to a worker, or the order that withdraws it.
const launchWay = 2 * overtakingDelay

func (er *evacuationRequests) current() evacuation.Set {
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.set
}

// read is the EvacuatedFunc of owners.
func (er *evacuationRequests) read(context.Context) (evacuation.Set, error) {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.failing > 0 {
		er.failing--
		return evacuation.Set{}, errors.New("no answer")
	}
	return er.set, nil
}

func (er *evacuationRequests) violations() []string {
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.problems
}

// checkLaunches returns the agent with a check that nothing is launched in a data centre while
// the owner knows that it is evacuated. A launch that was overtaken by the order to stop the
// attempt still reaches the worker, which refuses it.
func (er *evacuationRequests) checkLaunches(ag worker.Agent) worker.Agent {
	launch := ag.LaunchFunc
	ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
		er.mu.Lock()
		late, evacuated := time.Since(er.since[ad.DataCentre]), er.set.Contains(ad.DataCentre)
		er.mu.Unlock()
		ack, err := launch(ctx, ad, la)
		if evacuated && late > launchWay && !errors.Is(err, worker.ErrStaleAttempt) {
			er.mu.Lock()
			defer er.mu.Unlock()
			er.problems = append(er.problems, fmt.Sprintf("task %s launched at %s %v after the evacuation of %s: %v", la.Task, ad.HostPort, late, ad.DataCentre, err))
		}
		return ack, err
	}
	return ag
}

// evacuate makes the requests known to an owner.
func (la *lab) evacuate(ow *Owner, se evacuation.Set) {
	er := &la.requests
	er.mu.Lock()
	since := map[string]time.Time{}
	for _, name := range se.DataCentres() {
		since[name] = time.Now()
		if er.set.Contains(name) {
			since[name] = er.since[name]
		}
	}
	er.set, er.since = se, since
	er.mu.Unlock()
	ow.SetEvacuated(se)
}

// assertStarts asserts how many attempts were started in each of the two data centres.
func (la *lab) assertStarts(want ...int) {
	la.t.Helper()
	got := make([]int, 2)
	for i, fw := range la.fleetWorkers {
		for _, ru := range la.fleet.Runs() {
			if ru.Worker == fw.Addr.Incarnation {
				got[i%2]++
			}
		}
	}
	qt.Assert(la.t, got, qt.DeepEquals, want)
	la.assertRunsConsistent()
}

// TestNothingStartsInEvacuatedDataCentre guards against starts there on any way, and against
// workers that stay unused after the request was withdrawn.
func TestNothingStartsInEvacuatedDataCentre(t *testing.T) {
	d0 := evacuation.Set{}.With("d0")
	for name, play := range map[string]func(la *lab){
		"owner that has just claimed": func(la *lab) {
			la.requests.set, la.requests.failing = d0, 3
			ow, end := la.startOwner()
			defer end()
			la.submit(ow, 1, batch(1, 30))
			time.Sleep(3 * time.Second)
			la.assertStarts(0, 30)
		},
		"start in a write": func(la *lab) {
			ow, end := la.startOwner()
			defer end()
			time.Sleep(time.Second)
			la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
			go la.submit(ow, 1, batch(1, 30))
			time.Sleep(200 * time.Millisecond)
			la.evacuate(ow, d0)
			time.Sleep(5 * time.Second)
			la.assertStarts(0, 30)
		},
		"two at once, then one": func(la *lab) {
			ow, end := la.startOwner()
			defer end()
			la.evacuate(ow, d0.With("d1"))
			la.submit(ow, 1, batch(1, 4))
			time.Sleep(3 * time.Second)
			la.assertStarts(0, 0)
			la.evacuate(ow, d0)
			time.Sleep(2 * time.Second)
			la.assertStarts(0, 4)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(newLab(t, 4)) })
		})
	}
	t.Run("deferred behind a stop", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			la, ow, end := interruptedBesideFullWorker(t)
			defer end()
			_, err := ow.Cancel(context.Background(), jobID(1))
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(300 * time.Millisecond)
			la.evacuate(ow, d0)
			time.Sleep(3 * time.Second)
			qt.Check(t, la.runningOfJob(3), qt.Equals, 0)
			la.evacuate(ow, evacuation.Set{})
			time.Sleep(time.Second)
			qt.Check(t, la.runningOfJob(3), qt.Equals, 1)
			la.assertRunsConsistent()
		})
	})
}

// fewestRunningOfJob returns the smallest number of running attempts of a job during d.
func (la *lab) fewestRunningOfJob(n int, d time.Duration) int {
	const interval = 50 * time.Millisecond
	fewest := la.runningOfJob(n)
	for range d / interval {
		time.Sleep(interval)
		fewest = min(fewest, la.runningOfJob(n))
	}
	return fewest
}

// TestTasksOfEvacuatedDataCentre guards against tasks that are stopped there without need: those
// that end by themselves, and long-running ones for which there is no capacity elsewhere. It also
// guards against more tasks of a step that are away at once than may be.
func TestTasksOfEvacuatedDataCentre(t *testing.T) {
	for _, tc := range []struct{ workers, moved int }{{2, 0}, {4, 4}} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 2)
			la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
				if id, _, _ := job.ParseTaskID(at.Task); id == jobID(1) {
					return -1, ""
				}
				return 2 * time.Second, "done"
			}
			ow, end := la.startOwner()
			defer end()
			time.Sleep(time.Second)
			la.submit(ow, 1, longRunningOf(8, 7))
			la.submit(ow, 2, batch(1, 2))
			time.Sleep(time.Second)
			for i := 2; i < tc.workers; i++ {
				la.addWorker(2*i + 1)
				la.fleetWorkers[i].Capacity.MilliCores = 16_000
			}
			list := la.workerEntries()
			for i := 2; i < tc.workers; i++ {
				list[i].DataCentre = "d1"
			}
			ow.SetWorkers(list, nil, true)
			time.Sleep(500 * time.Millisecond)
			// Stopped tasks take long to start again.
			la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 200})
			la.evacuate(ow, evacuation.Set{}.With("d0"))
			fewest := la.fewestRunningOfJob(1, 10*time.Second)
			qt.Check(t, fewest >= 7, qt.IsTrue, qt.Commentf("%d tasks ran", fewest))
			stopped := 0
			for _, ru := range la.fleet.Runs() {
				if ru.Outcome == "stopped" {
					stopped++
				}
			}
			qt.Check(t, []int{stopped, la.runningOfJob(1)}, qt.DeepEquals, []int{tc.moved, 8})
			qt.Check(t, la.state(ow, 2), qt.Equals, job.Succeeded)
			la.assertRunsConsistent()
		})
	}
}

// TestColdWorkers guards against cold workers that get tasks which a warm one could take, or
// several starts at once.
func TestColdWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = runUntilStopped
		la.wrapOwnerFunc = delayOwner(func() time.Duration { return 100 * time.Millisecond })
		ow, end := la.startOwner()
		defer end()
		list := la.workerEntries()
		list[0].ColdRemaining = time.Hour
		ow.SetWorkers(list, nil, true)
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(14))
		time.Sleep(2 * time.Second)
		la.assertStarts(0, 14)
		la.submit(ow, 2, longRunning(6))
		time.Sleep(500 * time.Millisecond)
		starts := len(la.fleet.Runs()) - 16
		qt.Check(t, starts >= 1 && starts <= 3, qt.IsTrue, qt.Commentf("%d starts on the cold worker", starts))
		time.Sleep(3 * time.Second)
		la.assertStarts(4, 16)
	})
}

// TestNoMoveWhileTasksWaitForCapacity guards against moves that take capacity for which a task of
// the service waits.
func TestNoMoveWhileTasksWaitForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		ow.SetWorkers(la.workerEntries()[:1], nil, true)
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(1))
		time.Sleep(time.Second)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(500 * time.Millisecond)
		whole := batch(1, 2)
		whole.Steps[0].Each.MilliCores = 20_000
		la.submit(ow, 2, whole)
		time.Sleep(500 * time.Millisecond)
		large := batch(1, 1)
		large.Steps[0].Each.MilliCores = 20_000
		la.submit(ow, 3, large)
		la.evacuate(ow, evacuation.Set{}.With("d0"))
		time.Sleep(3 * time.Second)
		la.assertStarts(2, 1)
		_, err := ow.Cancel(context.Background(), jobID(3))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(3 * time.Second)
		la.assertStarts(2, 2)
	})
}

// TestMovesLeaveHeadroom guards against moves to capacity that arriving short work needs.
func TestMovesLeaveHeadroom(t *testing.T) {
	for without, moves := range map[Mechanism]int{0: 0, MechHeadroom: 1} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 4)
			la.fleet.RunFunc = runUntilStopped
			ow, end := la.startOwner()
			defer end()
			ow.post(func() { ow.Without = without })
			list := la.workerEntries()
			for _, i := range []int{1, 3} {
				list[i].Labels = []string{"short", list[i].Rack}
			}
			ow.SetWorkers(list[:1], nil, true)
			time.Sleep(time.Second)
			la.submit(ow, 1, longRunningOf(1, 12))
			time.Sleep(time.Second)
			ow.SetWorkers([]WorkerEntry{list[0], list[1], list[3]}, nil, true)
			// The first worker has the capacity for the long-running task, the second has not.
			for n, cores := range []int64{10, 25} {
				short := batch(1, 1)
				short.Steps[0].Each.MilliCores, short.Steps[0].Label = 1000*cores, "short"
				time.Sleep(300 * time.Millisecond)
				la.submit(ow, 2+n, short)
			}
			la.evacuate(ow, evacuation.Set{}.With(dataCentre(0)))
			time.Sleep(2 * time.Second)
			la.assertStarts(1, 2+moves)
		})
	}
}

// TestColdWorkersGetNoCopies guards against second attempts on workers that are slow for a while.
func TestColdWorkersGetNoCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCopyLab(t, 1, map[int]time.Duration{1: 5 * time.Second, 2: time.Second}, "done")
		defer func() { cl.end() }()
		list := cl.workerEntries()
		for i := range list {
			list[i].ColdRemaining = time.Hour
		}
		cl.ow.SetWorkers(list, nil, true)
		cl.copyTask()
		time.Sleep(300 * time.Millisecond)
		cl.assertRunning(1)
	})
}

// TestMoveWhoseOrderIsLost guards against an order to move that is repeated although the request
// was withdrawn, and against a task that is not moved as the first order was lost.
func TestMoveWhoseOrderIsLost(t *testing.T) {
	for _, withdrawn := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 3)
			la.fleet.RunFunc = runUntilStopped
			var orders atomic.Int64
			la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
				halt := ag.HaltFunc
				ag.HaltFunc = func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
					if orders.Add(1) == 1 {
						return worker.Ack{}, errors.New("lost")
					}
					return halt(ctx, ad, ha)
				}
				return ag
			}
			ow, end := la.startOwner()
			defer end()
			ow.SetWorkers(la.workerEntries()[:1], nil, true)
			time.Sleep(time.Second)
			la.submit(ow, 1, longRunning(1))
			time.Sleep(time.Second)
			ow.SetWorkers(la.workerEntries(), nil, true)
			time.Sleep(500 * time.Millisecond)
			la.evacuate(ow, evacuation.Set{}.With("d0"))
			time.Sleep(500 * time.Millisecond)
			if withdrawn {
				la.evacuate(ow, evacuation.Set{})
			}
			time.Sleep(5 * time.Second)
			want := []int{1, 1}
			if withdrawn {
				want = []int{1, 0}
			}
			la.assertStarts(want...)
			qt.Check(t, la.runningOfJob(1), qt.Equals, 1)
		})
	}
}

// TestNoMoveWhileStoreDoesNotServe guards against tasks that are stopped while they may not start
// again, as the store does not serve the owner.
func TestNoMoveWhileStoreDoesNotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = runUntilStopped
		var lost atomic.Pointer[time.Time]
		la.writtenFunc = func() time.Time {
			if at := lost.Load(); at != nil {
				return *at
			}
			return time.Now()
		}
		ow, end := la.startOwner()
		defer end()
		ow.SetWorkers(la.workerEntries()[:1], nil, true)
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(1))
		time.Sleep(time.Second)
		ow.SetWorkers(la.workerEntries(), nil, true)
		now := time.Now()
		lost.Store(&now)
		time.Sleep(5 * time.Second)
		la.evacuate(ow, evacuation.Set{}.With("d0"))
		time.Sleep(2 * time.Second)
		la.assertStarts(1, 0)
		lost.Store(nil)
		time.Sleep(2 * time.Second)
		la.assertStarts(1, 1)
	})
}

// TestMovesLeaveRoomPerWorker guards against tasks that are stopped for the same place on a worker
// that may run only one of their step.
func TestMovesLeaveRoomPerWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		list := la.workerEntries()
		ow.SetWorkers([]WorkerEntry{list[0], list[2]}, nil, true)
		time.Sleep(time.Second)
		sp := longRunning(2)
		sp.Steps[0].MaxPerWorker, sp.Steps[0].MaxUnavailable = 1, 2
		la.submit(ow, 1, sp)
		time.Sleep(time.Second)
		ow.SetWorkers(list, nil, true)
		time.Sleep(500 * time.Millisecond)
		la.evacuate(ow, evacuation.Set{}.With("d0"))
		time.Sleep(5 * time.Second)
		la.assertStarts(2, 1)
		qt.Check(t, la.runningOfJob(1), qt.Equals, 2)
	})
}
