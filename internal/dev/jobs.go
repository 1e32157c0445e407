package dev

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/deferral"
	"github.com/pepperhatch/pepperhatch/internal/frontend"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
	"github.com/pepperhatch/pepperhatch/internal/queue"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Sizes and times of the cell for multi-step jobs.
const (
	jobWorkers     = 4
	jobQueue       = "depot-plan"
	cellName       = "c0"
	submitInterval = 400 * time.Millisecond
	jobTaskTime    = 300 * time.Millisecond
	// keepEnded is how long the owner keeps the state of ended jobs.
	keepEnded = time.Minute
	// restartInterval is the time between two worker restarts, restartDowntime how long
	// a worker is down, and rerunTime how long its interrupted tasks take to run again.
	restartInterval = 2 * time.Second
	restartDowntime = 50 * time.Millisecond
	rerunTime       = time.Second
)

// batchCell is a cell for multi-step jobs, with stand-in workers.
type batchCell struct {
	de       *deployment
	fleet    standin.Fleet
	frontEnd *frontend.FrontEnd
	keeper   *tenure.Keeper
	owner    atomic.Pointer[sched.Owner]
	// client calls the job API of the cell.
	client jobapi.Client

	mu sync.Mutex
	// workers holds the current incarnation of each worker.
	workers []*standin.FleetWorker
}

// startJobs starts the cell, its job API and the worker restarts.
func (de *deployment) startJobs(ctx context.Context) (*batchCell, error) {
	bc := newBatchCell(de)
	addr, err := de.serve(jobapi.Handler(bc.frontEnd))
	if err != nil {
		return nil, err
	}
	bc.client = jobapi.Client{HTTP: http.DefaultClient, Addr: addr}
	bc.start(ctx)
	return bc, nil
}

// newBatchCell returns a cell that has not been started and whose job API is not served.
func newBatchCell(de *deployment) *batchCell {
	bc := &batchCell{de: de}
	bc.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return jobTaskTime, "done" }
	co := queue.New(1, 0, []queue.Queue{{Name: jobQueue, Service: service, MaxFailures: 2, Stretch: 2, AllowanceMS: 1000}})
	bc.keeper = &tenure.Keeper{
		Cell: cellName, Self: "e1", Process: "e1-dev", Table: de.table.Client(), Serve: bc.serveCell, Log: de.set.Log,
		AskFunc: func(context.Context, string, int64) (tenure.HostStatus, error) { return tenure.HostStatus{}, nil },
	}
	bc.frontEnd = &frontend.FrontEnd{
		Cell: cellName, Table: de.table.Client(), Keeper: bc.keeper, Peers: http.DefaultClient,
		Local: bc.owner.Load, ConfigFunc: func() *queue.Config { return co }, Log: de.set.Log,
	}
	return bc
}

// start starts the workers, the owner of the cell and the worker restarts.
func (bc *batchCell) start(ctx context.Context) {
	bc.addWorkers()
	bc.de.hostsWG.Go(func() { bc.keeper.Run(ctx) })
	bc.de.hostsWG.Go(func() { bc.restartWorkers(ctx) })
}

// serveCell runs the owner of the cell for one tenure.
func (bc *batchCell) serveCell(ctx context.Context, te tenure.Tenure) (map[string]int64, error) {
	ow := sched.New(&sched.Owner{
		Cell: cellName, Tenure: te, Table: bc.de.table.Client(), Agent: deferral.Wrap(bc.fleet.Agent()), Log: bc.de.set.Log,
		Limits: sched.Limits{MaxLease: 6 * time.Second, StopTime: time.Second, HarmAfter: 4 * time.Second, KeepEnded: keepEnded},
	})
	defer bc.owner.Store(nil)
	err := ow.Run(ctx, func() {
		bc.owner.Store(ow)
		te.SetHosts(nil, nil, true)
		ow.SetWorkers(bc.workerEntries(), nil, true)
	})
	return ow.Handover(), err
}

// addWorkers adds the workers.
func (bc *batchCell) addWorkers() {
	for i := range jobWorkers {
		fw := &standin.FleetWorker{
			Addr:     worker.Addr{HostPort: fmt.Sprintf("batch-worker%d:80", i+1), Incarnation: worker.Incarnation{ID: fmt.Sprintf("batch-worker%d", i+1)}},
			Capacity: worker.Resources{MilliCores: 30_000, MemMB: 125_000},
		}
		bc.fleet.Add(fw)
		bc.workers = append(bc.workers, fw)
	}
}

// workerEntries returns the worker list that the owner receives.
func (bc *batchCell) workerEntries() []sched.WorkerEntry {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	var list []sched.WorkerEntry
	for i, fw := range bc.workers {
		list = append(list, sched.WorkerEntry{Addr: fw.Addr, Service: service, Rack: fmt.Sprintf("r%d", i/workersPerRack+1), Capacity: fw.Capacity})
	}
	return list
}

// restartWorkers restarts the workers in turn, each under its ID, until ctx ends.
func (bc *batchCell) restartWorkers(ctx context.Context) {
	for i := 0; clock.Sleep(ctx, restartInterval); i = (i + 1) % jobWorkers {
		bc.restart(ctx, i)
		if ow := bc.owner.Load(); ow != nil {
			ow.SetWorkers(bc.workerEntries(), nil, true)
		}
	}
}

// restart kills worker i and starts its next incarnation after the downtime.
func (bc *batchCell) restart(ctx context.Context, i int) {
	bc.mu.Lock()
	defer bc.mu.Unlock()
	fw := bc.workers[i]
	bc.fleet.Kill(fw)
	clock.Sleep(context.WithoutCancel(ctx), restartDowntime)
	bc.workers[i] = bc.fleet.Restart(fw, fw.Addr.HostPort, 0)
}

// submitJobs submits jobs of two steps until ctx ends, follows each accepted one to its end,
// and returns the counts.
func (bc *batchCell) submitJobs(ctx context.Context) jobCounts {
	each := worker.Resources{MilliCores: 2000, MemMB: 4000}
	sp := job.Spec{Payload: "load the vans", Steps: []job.Step{
		{Tasks: 4, Each: each, EstimateMS: 300}, {Tasks: 2, Each: each, EstimateMS: 300, After: []int{0}},
	}}
	jf := jobFollower{client: bc.client}
	for n := 1; clock.Sleep(ctx, submitInterval); n++ {
		fj := followedJob{id: fmt.Sprintf("%016x", n), submitted: time.Now()}
		ve, err := bc.client.Submit(ctx, jobapi.Submission{ID: fj.id, Queue: jobQueue, Spec: sp})
		if err == nil && ve.Outcome == sched.Accepted {
			jf.add(fj)
		}
		jf.poll(ctx)
	}
	ctx = context.WithoutCancel(ctx)
	clock.Sleep(ctx, 4*jobTaskTime+rerunTime)
	return jf.finish(ctx, standin.RunViolations(bc.fleet.Runs()))
}

// reportJobs prints the counts.
func (bc *batchCell) reportJobs(jc jobCounts) {
	bc.de.printf("jobs with steps: %d accepted, %d succeeded, %d tasks run twice", jc.accepted, jc.done, jc.ranTwice)
}
