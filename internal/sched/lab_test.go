package sched

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/deferral"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// testService is the service of all workers of the lab.
const testService = "routedesk"

// lab is one cell with stand-ins for everything outside of it.
type lab struct {
	t            testing.TB
	table        standin.Table
	fleet        standin.Fleet
	fleetWorkers []*standin.FleetWorker
	// formerEntries are the list entries of processes that were replaced, in the order of the
	// replacements.
	formerEntries []WorkerEntry
	epoch         int64
	// mu guards specs: the specs of submitted jobs, by id.
	mu    sync.Mutex
	specs map[string]job.Spec
	// ordered, guarded by mu too, has when the order to start each attempt was last sent.
	ordered map[worker.Attempt]time.Time
	log     *slog.Logger
	// metrics is passed to owners; it may be nil.
	metrics *telemetry.Metrics
	// handover has the lease bounds with which the last owner released the cell, by
	// incarnation: in how many milliseconds the leases of an unresponsive worker lapse.
	handover map[string]int64
	// stretch sets the time limits of submitted jobs; see [job.Terms]. 0 is no limit.
	stretch float64
	// readRate limits how many bytes a second owners read from the store; 0 is no limit.
	readRate int
	// maxRowBytes is the largest row of the owners; 0 is that of the store.
	maxRowBytes int
	// tableFunc, if set, wraps the store as owners started from then on reach it.
	tableFunc func(store.Table) store.Table
	// wrapAgentFunc wraps the client of workers, if set, and wrapOwnerFunc that client together
	// with the launches that it defers.
	wrapAgentFunc, wrapOwnerFunc func(worker.Agent) worker.Agent
	// via is the relay through which workers are reached, or nil.
	via atomic.Pointer[string]
	// viaByWorker has the relays of workers with one of their own, by id.
	viaByWorker map[string]string
	// listFunc, confirmedFunc and writtenFunc replace, if set, the functions from which owners
	// learn the age of the list of workers, when the store last confirmed their tenure, and
	// when it last accepted a heartbeat.
	listFunc                   func() (last, since time.Time)
	confirmedFunc, writtenFunc func() time.Time
	// requests are the evacuations that owners know of.
	requests evacuationRequests
	// chargeFunc is that of the owners, if set.
	chargeFunc func(looplag.Workload)
	// formerOwnerCeased makes owners know that the former one has ceased to act.
	formerOwnerCeased bool
}

// formerEnded returns the function from which an owner learns since when the former one is
// known to have ceased to act; the zero time means that it is not known.
func (la *lab) formerEnded(now time.Time) func() time.Time {
	known := la.formerOwnerCeased || la.handover != nil
	return func() time.Time {
		if known {
			return now
		}
		return time.Time{}
	}
}

// maxLease is the longest lease that workers grant.
const maxLease = 6 * time.Second

func newLab(tb testing.TB, workers int) *lab {
	tb.Helper()
	la := &lab{t: tb, specs: map[string]job.Spec{}, ordered: map[worker.Attempt]time.Time{}, log: slog.New(slog.DiscardHandler)}
	la.fleet.MaxLease = maxLease
	la.fleet.ResourcesFunc = func(at worker.Attempt) worker.Resources {
		id, ref, _ := job.ParseTaskID(at.Task)
		return la.spec(id).Steps[ref.Step].Reserved()
	}
	for i := range workers {
		la.addWorker(i)
	}
	return la
}

// copied reports whether a task belongs to a step that allows copies.
func (la *lab) copied(task string) bool {
	id, ref, _ := job.ParseTaskID(task)
	return la.spec(id).Steps[ref.Step].Copies
}

// orderedAt returns when an order to start an attempt was last sent.
func (la *lab) orderedAt(at worker.Attempt) time.Time {
	la.mu.Lock()
	defer la.mu.Unlock()
	return la.ordered[at]
}

// recordOrders returns an agent that records when orders to start attempts are sent.
func (la *lab) recordOrders(ag worker.Agent) worker.Agent {
	launch := ag.LaunchFunc
	ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, order worker.Launch) (worker.Ack, error) {
		la.mu.Lock()
		la.ordered[order.Attempt] = time.Now()
		la.mu.Unlock()
		return launch(ctx, ad, order)
	}
	return ag
}

func (la *lab) agent() worker.Agent {
	ag := la.requests.checkLaunches(la.recordOrders(la.fleet.Agent()))
	if la.wrapAgentFunc != nil {
		ag = la.wrapAgentFunc(ag)
	}
	ag = deferral.Wrap(ag)
	if la.wrapOwnerFunc != nil {
		ag = la.wrapOwnerFunc(ag)
	}
	return ag
}

func (la *lab) currentVia(we WorkerEntry) string {
	if via, ok := la.viaByWorker[we.Incarnation.ID]; ok {
		return via
	}
	if via := la.via.Load(); via != nil {
		return *via
	}
	return ""
}

func (la *lab) spec(id string) job.Spec {
	la.mu.Lock()
	defer la.mu.Unlock()
	return la.specs[id]
}

// addWorker adds a worker at an address of its own.
func (la *lab) addWorker(i int) {
	fw := &standin.FleetWorker{
		Addr:     worker.Addr{HostPort: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: worker.Incarnation{ID: fmt.Sprintf("i-%d", i)}},
		Capacity: worker.Resources{MilliCores: 32_000, MemMB: 128_000},
	}
	la.fleet.Add(fw)
	la.fleetWorkers = append(la.fleetWorkers, fw)
}

func (la *lab) workerEntries() []WorkerEntry {
	var list []WorkerEntry
	for i, fw := range la.fleetWorkers {
		list = append(list, WorkerEntry{Addr: fw.Addr, Service: testService, DataCentre: dataCentre(i), Rack: "r1", Labels: []string{"a", "r1"}, Capacity: fw.Capacity})
	}
	return list
}

// claim claims the cell for the next owner.
func (la *lab) claim() tenure.Tenure {
	ctx := context.Background()
	key := "cells/c0/owner"
	var former tenure.OwnerRow
	version, err := la.table.Client().Get(ctx, key, &former)
	qt.Assert(la.t, err, qt.IsNil)
	la.epoch++
	former.LeaseLapseMS = la.handover
	if la.handover != nil {
		former.Owner = ""
	}
	txn, err := store.NewTxn().WithPut(key, version, tenure.OwnerRow{Owner: fmt.Sprint("host", la.epoch), Epoch: la.epoch})
	qt.Assert(la.t, err, qt.IsNil)
	version, err = la.table.Client().Commit(ctx, txn)
	qt.Assert(la.t, err, qt.IsNil)
	return tenure.Tenure{Epoch: la.epoch, Key: key, Version: version, Former: former, FormerEnded: la.formerEnded(time.Now()), Confirmed: time.Now, HeartbeatWritten: time.Now, ConfirmedByAny: time.Now, End: func(error) {}}
}

// client returns the store as owners reach it.
func (la *lab) client() store.Table {
	tbl := la.table.Client()
	if la.tableFunc != nil {
		tbl = la.tableFunc(tbl)
	}
	if la.readRate == 0 {
		return tbl
	}
	read := tbl.ReadFunc
	tbl.ReadFunc = func(ctx context.Context, req store.ReadRequest) (store.ReadReply, error) {
		reply, err := read(ctx, req)
		size := 0
		for _, row := range reply.Rows {
			size += len(row.Key) + len(row.Value)
		}
		if !clock.Sleep(ctx, time.Duration(size)*time.Second/time.Duration(la.readRate)) {
			return store.ReadReply{}, ctx.Err()
		}
		return reply, err
	}
	return tbl
}

// startOwner starts an owner, waits until it has loaded the cell, and returns it with the
// function that stops it.
func (la *lab) startOwner() (*Owner, context.CancelFunc) {
	ow, loaded, cancel := la.startLoading()
	qt.Assert(la.t, <-loaded, qt.IsNil)
	ow.SetWorkers(la.workerEntries(), nil, true)
	return ow, cancel
}

// startLoading starts an owner. It returns a channel that receives nil once the owner has
// loaded the cell, or the error with which it ended, and the function that stops the owner.
func (la *lab) startLoading() (*Owner, <-chan error, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	te := la.claim()
	te.End = func(error) { cancel() }
	if la.confirmedFunc != nil {
		te.Confirmed = la.confirmedFunc
	}
	if la.writtenFunc != nil {
		te.HeartbeatWritten = la.writtenFunc
	}
	ow := New(&Owner{
		Cell: "c0", Tenure: te, Table: la.client(), Agent: la.agent(), Metrics: la.metrics, Log: la.log,
		ViaFunc: la.currentVia, ListFunc: la.listFunc, EvacuatedFunc: la.requests.read,
		Limits: Limits{MaxLease: maxLease, StopTime: 900 * time.Millisecond, HarmAfter: harmAfter, PaceTime: paceDelay, MaxRowBytes: la.maxRowBytes, KeepEnded: 2 * time.Minute},
	})
	ow.chargeFunc = la.chargeFunc
	loaded := make(chan error, 2)
	go func() { loaded <- ow.Run(ctx, func() { loaded <- nil }) }()
	return ow, loaded, cancel
}

// batch returns a job of steps with the given number of identical tasks, each step after
// the one before.
func batch(steps, tasks int) job.Spec {
	sp := job.Spec{Payload: "work"}
	for i := range steps {
		st := job.Step{Tasks: tasks, Each: worker.Resources{MilliCores: 2000, MemMB: 4000}, EstimateMS: 1000, Checkpoints: true}
		if i > 0 {
			st.After = []int{i - 1}
		}
		sp.Steps = append(sp.Steps, st)
	}
	return sp
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// submit submits a job and returns the verdict, Unknown if there is no answer in time.
func (la *lab) submit(ow *Owner, n int, sp job.Spec) Verdict {
	la.mu.Lock()
	la.specs[jobID(n)] = sp
	la.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	ve, err := ow.Submit(ctx, jobID(n), job.Terms{Queue: "q", Service: testService, MaxFailures: 3, Stretch: la.stretch}, sp)
	if err != nil {
		return Verdict{Outcome: Unknown}
	}
	return ve
}

func (la *lab) state(ow *Owner, n int) job.State {
	state, _, err := ow.State(context.Background(), jobID(n))
	qt.Assert(la.t, err, qt.IsNil)
	return state
}

// assertRunsConsistent checks that no task ran on two workers at once, none again after it
// was done, and each after the steps before it.
func (la *lab) assertRunsConsistent() {
	for _, problem := range la.runProblems() {
		la.t.Error(problem)
	}
}

// runProblems lists the violations for which assertRunsConsistent fails a test.
func (la *lab) runProblems() []string {
	runs := la.fleet.Runs()
	list := append(standin.RunRules{CopiesFunc: la.copied, OrderedFunc: la.orderedAt}.Violations(runs), la.requests.violations()...)
	doneAt := map[string]time.Time{}
	for _, ru := range runs {
		first, known := doneAt[ru.Task]
		switch {
		case ru.Outcome != "done":
		case !la.copied(ru.Task):
			doneAt[ru.Task] = ru.Until
		case !known || ru.Until.Before(first):
			// Of two attempts, the first that is done completes the task.
			doneAt[ru.Task] = ru.Until
		}
	}
	for _, ru := range runs {
		list = append(list, la.outOfOrderRuns(ru, doneAt)...)
	}
	return list
}

func (la *lab) outOfOrderRuns(ru standin.FleetRun, doneAt map[string]time.Time) []string {
	var list []string
	id, ref, _ := job.ParseTaskID(ru.Task)
	for _, before := range la.spec(id).Steps[ref.Step].After {
		for i := range la.spec(id).Steps[before].Tasks {
			name := fmt.Sprintf("%s.0.%d.%d", id, before, i)
			if at, ok := doneAt[name]; !ok || at.After(ru.From) {
				list = append(list, fmt.Sprintf("task %s began before %s was done", ru.Task, name))
			}
		}
	}
	return list
}
