package sched

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/capacity"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// startDataCentres starts an owner of three data centres of 10 workers. Long-running tasks use 16
// cores of each. Workers of the first data centre have 24 cores, so that tasks go there first, the
// others 32.
func startDataCentres(t *testing.T, cut *atomic.Bool) (*lab, *Owner, func()) {
	t.Helper()
	la := newLab(t, 30)
	la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
		poll, launch := ag.PollFunc, ag.LaunchFunc
		ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
			return dropAnswer(ctx, la.isCut(cut, ad), func() (worker.PollResult, error) { return poll(ctx, ad, po) })
		}
		ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, lo worker.Launch) (worker.Ack, error) {
			return dropAnswer(ctx, la.isCut(cut, ad), func() (worker.Ack, error) { return launch(ctx, ad, lo) })
		}
		return ag
	}
	la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		id, ref, _ := job.ParseTaskID(at.Task)
		if la.spec(id).Steps[ref.Step].LongRunning {
			return -1, ""
		}
		return time.Second, "done"
	}
	for _, fw := range la.fleetWorkers[:10] {
		fw.Capacity.MilliCores = 24_000
	}
	ow, end := la.startOwner()
	list := la.workerEntries()
	for i := range list {
		list[i].DataCentre = fmt.Sprint("dc", i/10)
	}
	ow.SetWorkers(list, nil, true)
	time.Sleep(time.Second)
	sp := longRunningOf(30, 16)
	sp.Steps[0].MaxPerWorker = 1
	la.submit(ow, 1, sp)
	time.Sleep(time.Second)
	return la, ow, end
}

// isCut returns a function that reports whether the link to a worker of the first data centre is cut.
func (la *lab) isCut(cut *atomic.Bool, ad worker.Addr) func() bool {
	lost := slices.ContainsFunc(la.fleetWorkers[:10], func(fw *standin.FleetWorker) bool { return fw.Addr.HostPort == ad.HostPort })
	return func() bool { return lost && cut.Load() }
}

// dropAnswer makes a call, which has no answer if the link is cut at its end, and does not reach
// the worker if it is cut at its start.
func dropAnswer[T any](ctx context.Context, cut func() bool, call func() (T, error)) (T, error) {
	var answer T
	var err error
	if !cut() {
		answer, err = call()
	}
	if cut() {
		<-ctx.Done()
		return answer, ctx.Err()
	}
	return answer, err
}

// dataCentreUse is the short tasks that wait, those placed in the first data centre, and the cores
// that are free in the others.
type dataCentreUse struct {
	waiting, inLost int
	free            int64
}

func (ow *Owner) dataCentreUse() dataCentreUse {
	reply := make(chan dataCentreUse)
	ow.post(func() {
		var us dataCentreUse
		for _, tj := range ow.waitingJobs {
			us.waiting += tj.waitingTasks
		}
		for _, wk := range ow.workers {
			if wk.DataCentre == "dc0" {
				us.inLost += len(wk.attempts) - len(wk.services) - 1
				continue
			}
			us.free += (wk.Capacity.MilliCores - wk.reserved.MilliCores) / 1000
		}
		reply <- us
	})
	return <-reply
}

// TestDataCentreLost guards against tasks that wait for over 2 s although other data centres have
// free capacity, and against tasks that are placed in the lost one until its polls time out and
// then wait for its leases.
func TestDataCentreLost(t *testing.T) {
	for _, tc := range []struct {
		fault string
		// tasks is how many tasks of 2 cores are submitted each 0.1 s, maxInLost how many of them
		// may be placed in the lost data centre: those of 0.6 s, or as many as fit.
		tasks, maxInLost int
	}{{"killed", 2, 0}, {"cut", 2, 12}, {"killed", 40, 0}, {"cut", 40, 40}} {
		t.Run(fmt.Sprintf("%s, %d tasks", tc.fault, tc.tasks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cut atomic.Bool
				la, ow, end := startDataCentres(t, &cut)
				defer end()
				cut.Store(tc.fault == "cut")
				for _, fw := range la.fleetWorkers[:10] {
					if !cut.Load() {
						la.fleet.Kill(fw)
					}
				}
				for i := range 50 {
					la.submit(ow, 10+i, batch(1, tc.tasks))
					// Tasks end at the times of submissions, and until the next round their cores
					// are free.
					time.Sleep(50 * time.Millisecond)
					us := ow.dataCentreUse()
					time.Sleep(50 * time.Millisecond)
					qt.Check(t, us.inLost <= tc.maxInLost, qt.IsTrue, qt.Commentf("%d: %+v", i, us))
					if i >= 20 && us.waiting > 0 {
						qt.Check(t, us.free < 20, qt.IsTrue, qt.Commentf("%d: %+v", i, us))
					}
				}
				ow.assertCapacity(t)
			})
		})
	}
}

// assertCapacity asserts the summary of capacity after the loss of the first data centre.
func (ow *Owner) assertCapacity(t *testing.T) {
	t.Helper()
	reply := make(chan capacity.Summary)
	ow.post(func() { reply <- ow.dataCentreCapacity.summary })
	su := <-reply
	lost, other := su.Of(capacity.Key{DataCentre: "dc0", Service: testService}), su.Of(capacity.Key{DataCentre: "dc2", Service: testService})
	qt.Check(t, []int{lost.Workers, lost.Available, other.Workers, other.Available}, qt.DeepEquals, []int{10, 0, 10, 10})
	qt.Check(t, []int64{lost.Total, lost.Usable, lost.Idle}, qt.DeepEquals, []int64{240_000, 0, 0})
	qt.Check(t, []int64{other.Total, other.Usable}, qt.DeepEquals, []int64{320_000, 320_000})
	qt.Check(t, other.LongRunning >= 160_000, qt.IsTrue)
}
