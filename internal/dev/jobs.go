package dev

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/frontend"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
	"github.com/pepperhatch/pepperhatch/internal/queue"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Sizes of the small cell for jobs with steps.
const (
	jobWorkers  = 4
	jobQueue    = "depot-plan"
	jobCell     = "c0"
	jobEvery    = 400 * time.Millisecond
	jobTaskTime = 300 * time.Millisecond
	// restartEvery is the time between two restarts of a worker, awayFor how long it is
	// away, and againWithin how long its tasks take to run again.
	restartEvery = 2 * time.Second
	awayFor      = 50 * time.Millisecond
	againWithin  = time.Second
)

// yard is a cell for jobs with steps, with stand-ins for its workers.
type yard struct {
	wo    *world
	fleet standin.Fleet
	door  *frontend.FrontEnd
	keep  *tenure.Keeper
	owner atomic.Pointer[sched.Owner]
	addr  string

	mu sync.Mutex
	// crew are the workers now.
	crew []*standin.FleetWorker
}

// startJobs starts the cell and its interface.
func (wo *world) startJobs(ctx context.Context) (*yard, error) {
	ya := &yard{wo: wo}
	ya.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return jobTaskTime, "done" }
	co := queue.New(1, 0, []queue.Queue{{Name: jobQueue, Service: service, MaxFailures: 2, Stretch: 2, AllowanceMS: 1000}})
	ya.keep = &tenure.Keeper{
		Cell: jobCell, Self: "e1", Process: "e1-dev", Table: wo.table.Client(), Serve: ya.serveCell, Log: wo.set.Log,
		AskFunc: func(context.Context, string, int64) (tenure.HostStatus, error) { return tenure.HostStatus{}, nil },
	}
	ya.door = &frontend.FrontEnd{
		Cell: jobCell, Table: wo.table.Client(), Keeper: ya.keep, Peers: http.DefaultClient,
		Local: ya.owner.Load, ConfigFunc: func() *queue.Config { return co }, Log: wo.set.Log,
	}
	addr, err := wo.serve(jobapi.Handler(ya.door))
	if err != nil {
		return nil, err
	}
	ya.addr = addr
	ya.hire()
	wo.ended.Go(func() { ya.keep.Run(ctx) })
	wo.ended.Go(func() { ya.restartWorkers(ctx) })
	return ya, nil
}

// serveCell runs the cell while the keeper owns it.
func (ya *yard) serveCell(ctx context.Context, te tenure.Tenure) (map[string]int64, error) {
	ow := sched.New(&sched.Owner{
		Cell: jobCell, Tenure: te, Table: ya.wo.table.Client(), Agent: ya.fleet.Agent(), Log: ya.wo.set.Log,
		Limits: sched.Limits{MaxLease: 6 * time.Second, StopTime: time.Second, HarmAfter: 4 * time.Second, KeepEnded: time.Minute},
	})
	defer ya.owner.Store(nil)
	err := ow.Run(ctx, func() {
		ya.owner.Store(ow)
		te.SetHosts(nil, nil, true)
		ow.SetWorkers(ya.listed(), nil, true)
	})
	return ow.Handover(), err
}

// hire adds the workers.
func (ya *yard) hire() {
	for i := range jobWorkers {
		fw := &standin.FleetWorker{
			Addr:     worker.Addr{HostPort: fmt.Sprintf("yard-worker%d:80", i+1), Incarnation: worker.Incarnation{ID: fmt.Sprintf("yard-worker%d", i+1)}},
			Capacity: worker.Resources{MilliCores: 30_000, MemMB: 125_000},
		}
		ya.fleet.Add(fw)
		ya.crew = append(ya.crew, fw)
	}
}

// listed are the workers as the owner is told of them.
func (ya *yard) listed() []sched.WorkerEntry {
	ya.mu.Lock()
	defer ya.mu.Unlock()
	var list []sched.WorkerEntry
	for i, fw := range ya.crew {
		list = append(list, sched.WorkerEntry{Addr: fw.Addr, Service: service, Rack: fmt.Sprintf("r%d", i/workersRack+1), Capacity: fw.Capacity})
	}
	return list
}

// restartWorkers has one worker after the other restart under its id until ctx ends.
func (ya *yard) restartWorkers(ctx context.Context) {
	for i := 0; clock.Sleep(ctx, restartEvery); i = (i + 1) % jobWorkers {
		ya.restart(ctx, i)
		if ow := ya.owner.Load(); ow != nil {
			ow.SetWorkers(ya.listed(), nil, true)
		}
	}
}

func (ya *yard) restart(ctx context.Context, i int) {
	ya.mu.Lock()
	defer ya.mu.Unlock()
	fw := ya.crew[i]
	ya.fleet.Kill(fw)
	clock.Sleep(context.WithoutCancel(ctx), awayFor)
	ya.crew[i] = ya.fleet.Restart(fw, fw.Addr.HostPort, 0)
}

// jobsSeen counts jobs handed in and done.
type jobsSeen struct {
	accepted, done, twice int
}

// handIn hands jobs of two steps in until ctx ends, and then counts.
func (ya *yard) handIn(ctx context.Context) jobsSeen {
	cl := jobapi.Client{HTTP: http.DefaultClient, Addr: ya.addr}
	each := worker.Resources{MilliCores: 2000, MemMB: 4000}
	sp := job.Spec{Payload: "load the vans", Steps: []job.Step{
		{Tasks: 4, Each: each, EstimateMS: 300}, {Tasks: 2, Each: each, EstimateMS: 300, After: []int{0}},
	}}
	var ids []string
	for n := 1; clock.Sleep(ctx, jobEvery); n++ {
		id := fmt.Sprintf("%016x", n)
		ve, err := cl.Submit(ctx, jobapi.Submission{ID: id, Queue: jobQueue, Spec: sp})
		if err == nil && ve.Outcome == sched.Accepted {
			ids = append(ids, id)
		}
	}
	return ya.count(context.WithoutCancel(ctx), cl, ids)
}

// count waits for the last jobs and counts.
func (ya *yard) count(ctx context.Context, cl jobapi.Client, ids []string) jobsSeen {
	clock.Sleep(ctx, 4*jobTaskTime+againWithin)
	se := jobsSeen{accepted: len(ids)}
	for _, id := range ids {
		if state, err := cl.State(ctx, id); err == nil && state == job.Succeeded {
			se.done++
		}
	}
	se.twice = len(standin.RunViolations(ya.fleet.Runs()))
	return se
}

// broken prints the counts and reports whether a promise was broken.
func (ya *yard) broken(se jobsSeen) bool {
	ya.wo.printf("jobs with steps: %d accepted, %d succeeded, %d tasks run twice", se.accepted, se.done, se.twice)
	return se.done < se.accepted || se.twice > 0
}
