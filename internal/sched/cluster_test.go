package sched

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/deferral"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// cluster is a cell with several hosts that may own it. Each host has its own connections to
// the store, to the other hosts and to the workers.
type cluster struct {
	*lab

	mu    sync.Mutex
	hosts []*clusterHost
	// processes counts the processes started so far.
	processes int
	// maxLease is the longest lease that workers grant, if not [maxLease].
	maxLease time.Duration
	// lostAt is when a worker was lost together with an owner.
	lostAt time.Time
	// staleEntries has, by worker, what the list has in place of the present process's entry: that
	// of a former one, or nil for none.
	staleEntries map[int]*WorkerEntry
}

// clusterHost is one process on a host that may own the cell.
type clusterHost struct {
	cl     *cluster
	keeper *tenure.Keeper
	end    context.CancelFunc
	// gate injects faults into its requests to the store.
	gate standin.FaultInjector
	// ow is the owner that it runs while it owns the cell, else nil.
	ow atomic.Pointer[Owner]

	mu sync.Mutex
	// partitioned is set while it neither asks other hosts nor answers them, restarted once
	// its host counts as running another process.
	partitioned, restarted bool
	// readsBlocked is set while its reads of the store hang.
	readsBlocked bool
	// rowsBlocked is set while its reads of rows other than the owner's and the heartbeat hang.
	rowsBlocked bool
	// unreachable has the workers that it cannot reach, by incarnation. One without a start time
	// stands for all of its id.
	unreachable map[worker.Incarnation]bool
	// reachableOnce has those of them that one more request reaches.
	reachableOnce map[worker.Incarnation]bool
}

var errUnreachable = errors.New("unreachable by an injected fault")

// startHost starts a host with the given CPU cores; hosts with fewer cores claim the cell
// later.
func (cl *cluster) startHost(name string, cores float64) *clusterHost {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.processes == 0 {
		cl.fleet.MaxLease = cmp.Or(cl.maxLease, maxLease)
	}
	cl.processes++
	ch := &clusterHost{cl: cl, unreachable: map[worker.Incarnation]bool{}}
	ch.keeper = &tenure.Keeper{
		Cell: "c0", Self: name, Process: fmt.Sprintf("%s-%d", name, cl.processes), Addr: name, Cores: cores,
		Table: ch.table(cl.lab.table.Client()), Serve: ch.serve, AskFunc: ch.askHost, ConfirmFunc: ch.confirmOwner, Log: cl.log,
	}
	ctx, end := context.WithCancel(context.Background())
	ch.end = end
	cl.hosts = append(cl.hosts, ch)
	go ch.keeper.Run(ctx)
	return ch
}

// set changes the host's faults under its lock.
func (ch *clusterHost) set(fn func(*clusterHost)) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	fn(ch)
}

func (ch *clusterHost) isPartitioned() bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.partitioned
}

// table wraps the store's client with the host's faults.
func (ch *clusterHost) table(tbl store.Table) store.Table {
	return store.Table{
		ReadFunc: func(ctx context.Context, req store.ReadRequest) (store.ReadReply, error) {
			if err := ch.beforeRead(ctx, req); err != nil {
				return store.ReadReply{}, err
			}
			return tbl.ReadFunc(ctx, req)
		},
		CommitFunc: func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
			if _, err := ch.gate.Before(ctx); err != nil {
				return store.CommitReply{}, err
			}
			return tbl.CommitFunc(ctx, txn)
		},
		FeedFunc: func(ctx context.Context, req store.FeedRequest) (store.FeedReply, error) {
			if _, err := ch.gate.Before(ctx); err != nil {
				return store.FeedReply{}, err
			}
			return tbl.FeedFunc(ctx, req)
		},
	}
}

func (ch *clusterHost) beforeRead(ctx context.Context, req store.ReadRequest) error {
	ch.mu.Lock()
	blocked := ch.readsBlocked || ch.rowsBlocked && !strings.HasPrefix(strings.Join(req.Keys, "")+req.Prefix, "cells/")
	ch.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return ctx.Err()
	}
	_, err := ch.gate.Before(ctx)
	return err
}

// agent wraps the workers' client with the host's unreachable workers.
func (ch *clusterHost) agent() worker.Agent {
	ag := ch.cl.fleet.Agent()
	if ch.cl.wrapAgentFunc != nil {
		ag = ch.cl.wrapAgentFunc(ag)
	}
	ag = deferral.Wrap(ag)
	return worker.Agent{
		LaunchFunc: withUnreachable(ch, ag.LaunchFunc), HaltFunc: withUnreachable(ch, ag.HaltFunc),
		PaceFunc: withUnreachable(ch, ag.PaceFunc), PollFunc: withUnreachable(ch, ag.PollFunc),
	}
}

func withUnreachable[Order, Answer any](ch *clusterHost, send func(context.Context, worker.Addr, Order) (Answer, error)) func(context.Context, worker.Addr, Order) (Answer, error) {
	return func(ctx context.Context, ad worker.Addr, or Order) (Answer, error) {
		ch.mu.Lock()
		refused := (ch.unreachable[ad.Incarnation] || ch.unreachable[worker.Incarnation{ID: ad.Incarnation.ID}]) && !ch.reachableOnce[ad.Incarnation]
		delete(ch.reachableOnce, ad.Incarnation)
		ch.mu.Unlock()
		if refused {
			var none Answer
			return none, errUnreachable
		}
		return send(ctx, ad, or)
	}
}

// askHost asks the latest process of a host about its tenure.
func (ch *clusterHost) askHost(_ context.Context, addr string, epoch int64) (tenure.HostStatus, error) {
	const latency = 3 * time.Millisecond
	time.Sleep(latency)
	other := ch.cl.latest(addr)
	if ch.isPartitioned() || other.isPartitioned() {
		return tenure.HostStatus{}, errUnreachable
	}
	if other.isRestarted() {
		return tenure.HostStatus{Host: addr, Process: addr + " restarted"}, nil
	}
	other.keeper.NotifyReplaced(epoch)
	return other.keeper.HostStatus(), nil
}

// confirmOwner asks the latest process of a host whether it confirms an owner.
func (ch *clusterHost) confirmOwner(_ context.Context, addr string, epoch int64, process string) (bool, error) {
	const latency = 3 * time.Millisecond
	time.Sleep(latency)
	other := ch.cl.latest(addr)
	if ch.isPartitioned() || other.isPartitioned() || other.isRestarted() {
		return false, errUnreachable
	}
	return other.keeper.Confirm(epoch, process), nil
}

func (ch *clusterHost) isRestarted() bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.restarted
}

// reportHosts passes the list of hosts to the owner until its tenure ends.
func (ch *clusterHost) reportHosts(ctx context.Context, te tenure.Tenure) {
	known := 0
	for {
		if members := ch.cl.members(); len(members) != known {
			known = len(members)
			te.SetHosts(members, nil, true)
		}
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
}

// members returns the hosts as the store lists them.
func (cl *cluster) members() []registry.Member {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var list []registry.Member
	for _, ch := range cl.hosts {
		list = append(list, registry.Member{Name: ch.keeper.Self, Process: ch.keeper.Process, Addr: ch.keeper.Addr, DataCentre: ch.keeper.Self})
	}
	return list
}

// listedWorkers returns the list of workers: the entries of their present processes, unless
// staleEntries has others.
func (cl *cluster) listedWorkers() []WorkerEntry {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var list []WorkerEntry
	for i, we := range cl.workerEntries() {
		stale, ok := cl.staleEntries[i]
		switch {
		case !ok:
			list = append(list, we)
		case stale != nil:
			list = append(list, *stale)
		}
	}
	return list
}

// updateLists passes the list of workers to all owners.
func (cl *cluster) updateLists() {
	for _, ch := range cl.hosts {
		if ow := ch.ow.Load(); ow != nil {
			ow.SetWorkers(cl.listedWorkers(), nil, true)
		}
	}
}

// latest returns the latest process of a host.
func (cl *cluster) latest(name string) *clusterHost {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, ch := range slices.Backward(cl.hosts) {
		if ch.keeper.Self == name {
			return ch
		}
	}
	return nil
}

func (ch *clusterHost) serve(ctx context.Context, te tenure.Tenure) (map[string]int64, error) {
	ow := New(&Owner{
		Cell: "c0", Tenure: te, Table: ch.keeper.Table, Agent: ch.agent(), Log: ch.cl.log,
		Limits: Limits{MaxLease: cmp.Or(ch.cl.maxLease, maxLease), StopTime: 900 * time.Millisecond, HarmAfter: 4 * time.Second, KeepEnded: 2 * time.Minute},
	})
	defer ch.ow.Store(nil)
	err := ow.Run(ctx, func() {
		ch.ow.Store(ow)
		go ch.reportHosts(ctx, te)
		go ow.SetWorkers(ch.cl.listedWorkers(), nil, true)
	})
	return ow.Handover(), err
}

// kill ends a process at once: it writes nothing more and sends no order.
func (ch *clusterHost) kill() {
	ch.gate.Set(standin.Fault{Mode: standin.ModeDown})
	ch.set(func(ch *clusterHost) {
		for _, fw := range ch.cl.fleetWorkers {
			ch.unreachable[fw.Addr.Incarnation] = true
		}
		ch.restarted = true
	})
	ch.end()
}

// partitionWith cuts a host off from the store and the other hosts, and the other hosts off
// from a worker that it still reaches.
func (cl *cluster) partitionWith(isolated *clusterHost, fw *standin.FleetWorker) {
	isolated.gate.Set(standin.Fault{Mode: standin.ModeDown})
	isolated.set(func(ch *clusterHost) { ch.partitioned = true })
	for _, ch := range cl.hosts {
		if ch != isolated {
			ch.set(func(ch *clusterHost) { ch.unreachable[fw.Addr.Incarnation] = true })
		}
	}
}

// awaitOwner waits until a host owns the cell after its former owner was lost or released it,
// and fails the test if that takes too long.
func (cl *cluster) awaitOwner(ch *clusterHost) {
	const (
		timeout = 4 * time.Second
		step    = 10 * time.Millisecond
	)
	for end := time.Now().Add(timeout); time.Now().Before(end) && !ch.owns(); time.Sleep(step) {
	}
	qt.Assert(cl.t, ch.owns(), qt.IsTrue, qt.Commentf("%s does not own the cell after %v", ch.keeper.Self, timeout))
}

// owns reports whether the process is the owner according to the owner row that it last read.
func (ch *clusterHost) owns() bool {
	row, ok := ch.keeper.Current()
	return ok && row.Process == ch.keeper.Process
}

// stop ends all hosts and waits until their goroutines have ended.
func (cl *cluster) stop() {
	for _, ch := range cl.hosts {
		ch.end()
	}
	time.Sleep(tenure.HeartbeatTimeout + time.Second)
}
