package sched

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// crowd is a cell with several hosts that may own it, each with its own ways to
// the store, to the others and to workers.
type crowd struct {
	*lab

	mu    sync.Mutex
	hosts []*contender
	born  int
	// maxLease is the longest lease that workers grant, 6 s if not set.
	maxLease time.Duration
	// lost is when a worker was lost together with an owner.
	lost time.Time
}

// contender is a process of a host that may own the cell.
type contender struct {
	cr     *crowd
	keeper *tenure.Keeper
	end    context.CancelFunc
	// gate is its way to the store.
	gate standin.Gate
	// ow is what it runs while it owns the cell.
	ow atomic.Pointer[Owner]

	mu sync.Mutex
	// dark ones neither ask others nor answer them; those that were reborn have
	// another process on their host.
	dark, reborn bool
	// stuck ones cannot read the cell.
	stuck bool
	// cut has the workers that it cannot reach, by incarnation.
	cut map[worker.Incarnation]bool
	// once has those that it reaches once more.
	once map[worker.Incarnation]bool
}

var errCut = errors.New("cut off")

// join starts a host with so much processor, in cores: those with less claim later.
func (cr *crowd) join(name string, cores float64) *contender {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.born++
	co := &contender{cr: cr, cut: map[worker.Incarnation]bool{}}
	co.keeper = &tenure.Keeper{
		Cell: "c0", Self: name, Process: fmt.Sprintf("%s-%d", name, cr.born), Addr: name, Cores: cores,
		Table: co.table(cr.lab.table.Client()), Serve: co.serve, AskFunc: co.ask, VouchFunc: co.vouch, Log: cr.log,
	}
	ctx, end := context.WithCancel(context.Background())
	co.end = end
	cr.hosts = append(cr.hosts, co)
	go co.keeper.Run(ctx)
	return co
}

// set changes the host's faults.
func (co *contender) set(fn func(*contender)) {
	co.mu.Lock()
	defer co.mu.Unlock()
	fn(co)
}

func (co *contender) isDark() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.dark
}

// table puts the host's faults before the store.
func (co *contender) table(tbl store.Table) store.Table {
	return store.Table{
		ReadFunc: func(ctx context.Context, req store.ReadRequest) (store.ReadReply, error) {
			if err := co.mayRead(ctx); err != nil {
				return store.ReadReply{}, err
			}
			return tbl.ReadFunc(ctx, req)
		},
		CommitFunc: func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
			if _, err := co.gate.Before(ctx); err != nil {
				return store.CommitReply{}, err
			}
			return tbl.CommitFunc(ctx, txn)
		},
		FeedFunc: func(ctx context.Context, req store.FeedRequest) (store.FeedReply, error) {
			if _, err := co.gate.Before(ctx); err != nil {
				return store.FeedReply{}, err
			}
			return tbl.FeedFunc(ctx, req)
		},
	}
}

func (co *contender) mayRead(ctx context.Context) error {
	co.mu.Lock()
	stuck := co.stuck
	co.mu.Unlock()
	if stuck {
		<-ctx.Done()
		return ctx.Err()
	}
	_, err := co.gate.Before(ctx)
	return err
}

// agent puts the host's cuts before the workers.
func (co *contender) agent() worker.Agent {
	ag := co.cr.fleet.Agent()
	return worker.Agent{
		LaunchFunc: cutOff(co, ag.LaunchFunc), HaltFunc: cutOff(co, ag.HaltFunc),
		PaceFunc: cutOff(co, ag.PaceFunc), LookFunc: cutOff(co, ag.LookFunc),
	}
}

func cutOff[Order, Answer any](co *contender, send func(context.Context, worker.Addr, Order) (Answer, error)) func(context.Context, worker.Addr, Order) (Answer, error) {
	return func(ctx context.Context, ad worker.Addr, or Order) (Answer, error) {
		co.mu.Lock()
		cut := co.cut[ad.Incarnation] && !co.once[ad.Incarnation]
		delete(co.once, ad.Incarnation)
		co.mu.Unlock()
		if cut {
			var none Answer
			return none, errCut
		}
		return send(ctx, ad, or)
	}
}

// ask asks the last process of a host.
func (co *contender) ask(_ context.Context, addr string, epoch int64) (tenure.Life, error) {
	const way = 3 * time.Millisecond
	time.Sleep(way)
	other := co.cr.last(addr)
	if co.isDark() || other.isDark() {
		return tenure.Life{}, errCut
	}
	if other.isReborn() {
		return tenure.Life{Host: addr, Process: addr + " reborn"}, nil
	}
	other.keeper.Replaced(epoch)
	return other.keeper.Life(), nil
}

// vouch asks the last process of a host whether it confirms an owner.
func (co *contender) vouch(_ context.Context, addr string, epoch int64, process string) (bool, error) {
	const way = 3 * time.Millisecond
	time.Sleep(way)
	other := co.cr.last(addr)
	if co.isDark() || other.isDark() || other.isReborn() {
		return false, errCut
	}
	return other.keeper.Vouch(epoch, process), nil
}

func (co *contender) isReborn() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.reborn
}

// tellHosts tells the owner of the hosts that there are, until its tenure ends.
func (co *contender) tellHosts(ctx context.Context, te tenure.Tenure) {
	known := 0
	for {
		if members := co.cr.members(); len(members) != known {
			known = len(members)
			te.SetHosts(members, nil, true)
		}
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
}

// members are the hosts as the store lists them.
func (cr *crowd) members() []registry.Member {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	var list []registry.Member
	for _, co := range cr.hosts {
		list = append(list, registry.Member{Name: co.keeper.Self, Process: co.keeper.Process, Addr: co.keeper.Addr, DataCentre: co.keeper.Self})
	}
	return list
}

// last returns the last process of a host.
func (cr *crowd) last(name string) *contender {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, co := range slices.Backward(cr.hosts) {
		if co.keeper.Self == name {
			return co
		}
	}
	return nil
}

func (co *contender) serve(ctx context.Context, te tenure.Tenure) (map[string]int64, error) {
	ow := New(&Owner{
		Cell: "c0", Tenure: te, Table: co.keeper.Table, Agent: co.agent(), Log: co.cr.log,
		Limits: Limits{MaxLease: cmp.Or(co.cr.maxLease, 6*time.Second), StopTime: 900 * time.Millisecond, HarmAfter: 4 * time.Second, KeepEnded: 2 * time.Minute},
	})
	defer co.ow.Store(nil)
	err := ow.Run(ctx, func() {
		co.ow.Store(ow)
		go co.tellHosts(ctx, te)
		go ow.SetWorkers(co.cr.listed(), nil, true)
	})
	return ow.Handover(), err
}

// die ends a process at once: it writes nothing more and sends no order.
func (co *contender) die() {
	co.gate.Set(standin.Fault{Mode: standin.ModeDown})
	co.set(func(co *contender) {
		for _, fw := range co.cr.fleetWorkers {
			co.cut[fw.Addr.Incarnation] = true
		}
		co.reborn = true
	})
	co.end()
}

// cutWith cuts a host off from the store and the others, and the others from a worker
// that it still reaches.
func (cr *crowd) cutWith(alone *contender, fw *standin.FleetWorker) {
	alone.gate.Set(standin.Fault{Mode: standin.ModeDown})
	alone.set(func(co *contender) { co.dark = true })
	for _, co := range cr.hosts {
		if co != alone {
			co.set(func(co *contender) { co.cut[fw.Addr.Incarnation] = true })
		}
	}
}

// awaitOwner waits until a host owns the cell in the place of one that was lost or
// gave it up.
func (cr *crowd) awaitOwner(co *contender) {
	const (
		most = 4 * time.Second
		step = 10 * time.Millisecond
	)
	for end := time.Now().Add(most); time.Now().Before(end) && !co.owns(); time.Sleep(step) {
	}
	qt.Assert(cr.t, co.owns(), qt.IsTrue, qt.Commentf("%s does not own the cell after %v", co.keeper.Self, most))
}

// owns reports whether a host is the owner that the rest of the cell sees.
func (co *contender) owns() bool {
	row, ok := co.keeper.Current()
	return ok && row.Process == co.keeper.Process
}

// stop ends all hosts and lets what they began come to its end.
func (cr *crowd) stop() {
	for _, co := range cr.hosts {
		co.end()
	}
	time.Sleep(tenure.SilentAfter + time.Second)
}
