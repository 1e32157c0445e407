package cell

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// errUnreachable is the error of a message that was lost.
var errUnreachable = errors.New("worker unreachable")

// testWorker is a stand-in worker with its faults.
type testWorker struct {
	proc *standin.Worker
	host store.Host
	// unreachable drops messages to the worker, repliesLost drops its replies,
	// delay delays messages to it.
	unreachable, repliesLost bool
	delay                    time.Duration
	// earlierSpans has the task logs of earlier incarnations, overcommits how
	// often those reserved more than their capacity.
	earlierSpans []standin.TaskSpan
	overcommits  int
}

// testCell is a cell of stand-in workers, with any number of owners.
type testCell struct {
	table   standin.Table
	objects standin.Objects
	workers map[string]*testWorker
	doc     config.Doc
	owners  []*testOwner
	epoch   int64

	// mu guards the faults of workers.
	mu sync.Mutex
}

// testOwner is an owner whose ownership the test controls.
type testOwner struct {
	ow     *Owner
	owns   atomic.Bool
	cancel context.CancelFunc
	ended  chan error
}

var workerCapacity = worker.Resources{MilliCores: 8000, MemMB: 8000}

func newTestCell(n int) *testCell {
	tc := &testCell{workers: map[string]*testWorker{}}
	for i := range n {
		id := fmt.Sprintf("w%d", i)
		tw := &testWorker{host: store.Host{
			ID: id, Kind: store.KindWorker, Addr: id, Rack: fmt.Sprintf("r%d", i/2), State: store.HostLive,
			MilliCores: workerCapacity.MilliCores, MemMB: workerCapacity.MemMB,
		}}
		tc.workers[id] = tw
		tc.restart(tw)
	}
	return tc
}

// set changes faults of a worker.
func (tc *testCell) set(id string, fn func(*testWorker)) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	fn(tc.workers[id])
}

// restart replaces the process of a worker. Tasks of the former process end
// now, at an unknown progress.
func (tc *testCell) restart(tw *testWorker) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tw.proc != nil {
		for _, sp := range tw.proc.Log() {
			if sp.End == 0 {
				sp.End = time.Now().UnixNano()
				sp.ToMS = sp.FromMS + time.Hour.Milliseconds()
			}
			tw.earlierSpans = append(tw.earlierSpans, sp)
		}
		tw.overcommits += tw.proc.Overcommits()
	}
	tw.proc = standin.NewWorker(standin.WorkerSettings{ID: tw.host.ID, Capacity: workerCapacity, CheckpointEvery: time.Second})
}

// exchange sends a message to a worker, subject to its faults. A delayed message
// arrives after the sender has given up, at the process that runs by then.
func (tc *testCell) exchange(ctx context.Context, addr string, ex worker.Exchange) (worker.Report, error) {
	tc.mu.Lock()
	tw := tc.workers[addr]
	unreachable, repliesLost, delay, proc := tw.unreachable, tw.repliesLost, tw.delay, tw.proc
	tc.mu.Unlock()
	if unreachable {
		time.Sleep(time.Second)
		return worker.Report{}, errUnreachable
	}
	if delay > 0 {
		go func() {
			time.Sleep(delay)
			tc.mu.Lock()
			current := tw.proc
			tc.mu.Unlock()
			_, _ = current.Exchange(context.WithoutCancel(ctx), ex)
		}()
		time.Sleep(time.Second)
		return worker.Report{}, errUnreachable
	}
	time.Sleep(time.Millisecond)
	re, err := proc.Exchange(ctx, ex)
	if repliesLost {
		return worker.Report{}, errUnreachable
	}
	return re, err
}

// startOwner starts an owner. The former owner loses the cell, as by a takeover,
// or still believes that it owns the cell if keepFormer is set.
func (tc *testCell) startOwner(keepFormer bool) *testOwner {
	if n := len(tc.owners); n > 0 && !keepFormer {
		tc.owners[n-1].owns.Store(false)
	}
	tc.epoch++
	ctx, cancel := context.WithCancel(context.Background())
	to := &testOwner{cancel: cancel, ended: make(chan error, 1)}
	to.owns.Store(true)
	to.ow = &Owner{
		Cell: "dc", Self: fmt.Sprintf("o%d", tc.epoch), Epoch: tc.epoch,
		Owns:    to.owns.Load,
		Journal: &Journal{Table: tc.table.Client(), Objects: tc.objects.Client(), Cell: "dc"},
		Workers: worker.Client{ExchangeFunc: tc.exchange},
		Hosts:   tc.hosts,
		Config:  tc.config,
	}
	tc.owners = append(tc.owners, to)
	go func() { to.ended <- to.ow.Run(ctx) }()
	return to
}

func (tc *testCell) config() config.Doc { return tc.doc }

func (tc *testCell) hosts() ([]store.Host, bool) {
	var hosts []store.Host
	for _, id := range slices.Sorted(maps.Keys(tc.workers)) {
		hosts = append(hosts, tc.workers[id].host)
	}
	return hosts, true
}

// stop ends all owners, and waits for delayed messages and exchanges in progress.
func (tc *testCell) stop() {
	for _, to := range tc.owners {
		to.cancel()
	}
	tc.table.Faults.Set(standin.Fault{})
	tc.objects.Faults.Set(standin.Fault{})
	time.Sleep(2 * time.Minute)
}

// violations lists tasks that ran on two workers at a time, attempts that did not
// start from a checkpoint, and workers that were overcommitted.
func (tc *testCell) violations() []string {
	var violations []string
	spans := map[string][]standin.TaskSpan{}
	for id, tw := range tc.workers {
		if n := tw.overcommits + tw.proc.Overcommits(); n > 0 {
			violations = append(violations, fmt.Sprintf("worker %s was overcommitted %d times", id, n))
		}
		for _, sp := range append(slices.Clone(tw.earlierSpans), tw.proc.Log()...) {
			spans[sp.Task] = append(spans[sp.Task], sp)
		}
	}
	return append(violations, standin.SpanViolations(spans)...)
}

// confirm plans a command and confirms it under the plan id.
func (to *testOwner) confirm(plan string, cmd Command) (ConfirmResult, error) {
	steps, err := to.ow.Plan(cmd)
	if err != nil {
		return ConfirmResult{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return to.ow.Confirm(ctx, Confirmation{Plan: plan, Command: cmd, Basis: Basis(steps)})
}

func batchJob(name string, tasks int, run time.Duration) Command {
	return Command{Add: &Spec{
		Name: name, Kind: "k", Tasks: tasks, RunMS: run.Milliseconds(),
		Each: worker.Resources{MilliCores: 2000, MemMB: 1000},
	}}
}

func service(name string, tasks int) Command {
	return Command{Add: &Spec{
		Name: name, Kind: "s", Service: true, Tasks: tasks, Each: worker.Resources{MilliCores: 2000, MemMB: 1000},
	}}
}

// runCell runs fn with a cell on a fake clock, and then checks for violations.
func runCell(t *testing.T, workers int, fn func(c *qt.C, tc *testCell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tc := newTestCell(workers)
		defer tc.stop()
		fn(c, tc)
		c.Assert(tc.violations(), qt.HasLen, 0)
	})
}

func (to *testOwner) states(c *qt.C) map[string]int {
	c.Helper()
	su, err := to.ow.Summary()
	c.Assert(err, qt.IsNil)
	return su.Tasks
}

func assertStates(c *qt.C, to *testOwner, want map[string]int) {
	c.Helper()
	c.Assert(to.states(c), qt.DeepEquals, want)
}

// startWithJob starts the first owner and adds a job or service.
func startWithJob(c *qt.C, tc *testCell, cmd Command) *testOwner {
	c.Helper()
	to := tc.startOwner(false)
	time.Sleep(3 * time.Second)
	con, err := to.confirm("first", cmd)
	c.Assert(err, qt.IsNil)
	c.Assert(con.Applied, qt.IsTrue)
	return to
}
