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

// errUnreached is the error of a message that got lost.
var errUnreached = errors.New("unreached")

// slot is a worker with its faults.
type slot struct {
	st   *standin.Worker
	host store.Host
	// cut has messages to it lost, deaf has its replies lost, late delays
	// messages.
	cut, deaf bool
	late      time.Duration
	// logs of processes of before.
	logs []standin.TaskSpan
	over int
}

// lab is a cell of stand-in workers, with owners that come and go.
type lab struct {
	table   standin.Table
	objects standin.Objects
	slots   map[string]*slot
	doc     config.Doc
	owners  []*labOwner
	epoch   int64

	// mu guards the faults of slots.
	mu sync.Mutex
}

type labOwner struct {
	ow     *Owner
	owns   atomic.Bool
	cancel context.CancelFunc
	ended  chan error
}

var holds = worker.Resources{MilliCores: 8000, MemMB: 8000}

func newLab(workers int) *lab {
	la := &lab{slots: map[string]*slot{}}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		sl := &slot{host: store.Host{
			ID: id, Kind: store.KindWorker, Addr: id, Rack: fmt.Sprintf("r%d", i/2), State: store.HostLive,
			MilliCores: holds.MilliCores, MemMB: holds.MemMB,
		}}
		la.slots[id] = sl
		la.restart(sl)
	}
	return la
}

// set changes the faults of a worker.
func (la *lab) set(id string, fn func(*slot)) {
	la.mu.Lock()
	defer la.mu.Unlock()
	fn(la.slots[id])
}

// restart starts a worker's process anew.
func (la *lab) restart(sl *slot) {
	la.mu.Lock()
	defer la.mu.Unlock()
	if sl.st != nil {
		for _, sp := range sl.st.Log() {
			if sp.End == 0 {
				sp.End = time.Now().UnixNano()
				sp.ToMS = sp.FromMS + time.Hour.Milliseconds()
			}
			sl.logs = append(sl.logs, sp)
		}
		sl.over += sl.st.Overfull()
	}
	sl.st = standin.NewWorker(standin.WorkerSettings{ID: sl.host.ID, Holds: holds, CheckpointEvery: time.Second})
}

// exchange carries a message to a worker, unless its faults forbid. The
// worker may get it late, after the sender has given up.
func (la *lab) exchange(ctx context.Context, addr string, ex worker.Exchange) (worker.Report, error) {
	la.mu.Lock()
	sl := la.slots[addr]
	cut, deaf, late, st := sl.cut, sl.deaf, sl.late, sl.st
	la.mu.Unlock()
	if cut {
		time.Sleep(time.Second)
		return worker.Report{}, errUnreached
	}
	if late > 0 {
		go func() {
			time.Sleep(late)
			_, _ = st.Exchange(context.WithoutCancel(ctx), ex)
		}()
		time.Sleep(time.Second)
		return worker.Report{}, errUnreached
	}
	time.Sleep(time.Millisecond)
	re, err := st.Exchange(ctx, ex)
	if deaf {
		return worker.Report{}, errUnreached
	}
	return re, err
}

// own starts an owner. The former one is cut short, as by a takeover, or goes
// on believing that it owns the cell.
func (la *lab) own(believes bool) *labOwner {
	if n := len(la.owners); n > 0 && !believes {
		la.owners[n-1].owns.Store(false)
	}
	la.epoch++
	ctx, cancel := context.WithCancel(context.Background())
	lo := &labOwner{cancel: cancel, ended: make(chan error, 1)}
	lo.owns.Store(true)
	lo.ow = &Owner{
		Cell: "dc", Self: fmt.Sprintf("o%d", la.epoch), Epoch: la.epoch,
		Owns:    lo.owns.Load,
		Journal: &Journal{Table: la.table.Client(), Objects: la.objects.Client(), Cell: "dc"},
		Workers: worker.Client{ExchangeFunc: la.exchange},
		Hosts:   la.list,
		Config:  la.config,
	}
	la.owners = append(la.owners, lo)
	go func() { lo.ended <- lo.ow.Run(ctx) }()
	return lo
}

func (la *lab) config() config.Doc { return la.doc }

func (la *lab) list() ([]store.Host, bool) {
	var hosts []store.Host
	for _, id := range slices.Sorted(maps.Keys(la.slots)) {
		hosts = append(hosts, la.slots[id].host)
	}
	return hosts, true
}

// stop ends all owners, and lets what is under way come to its end.
func (la *lab) stop() {
	for _, lo := range la.owners {
		lo.cancel()
	}
	la.table.Gate.Set(standin.Fault{})
	la.objects.Gate.Set(standin.Fault{})
	time.Sleep(2 * time.Minute)
}

// broken returns what was broken: tasks in two places, attempts that did not
// begin from a checkpoint, overfull workers.
func (la *lab) broken() []string {
	var broken []string
	spans := map[string][]standin.TaskSpan{}
	for id, sl := range la.slots {
		if n := sl.over + sl.st.Overfull(); n > 0 {
			broken = append(broken, fmt.Sprintf("%s was overfull %d times", id, n))
		}
		for _, sp := range append(slices.Clone(sl.logs), sl.st.Log()...) {
			spans[sp.Task] = append(spans[sp.Task], sp)
		}
	}
	return append(broken, standin.Overlaps(spans)...)
}

// do confirms a command by its plan.
func (lo *labOwner) do(plan string, cmd Command) (ConfirmResult, error) {
	steps, err := lo.ow.Plan(cmd)
	if err != nil {
		return ConfirmResult{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return lo.ow.Confirm(ctx, Confirmation{Plan: plan, Command: cmd, Basis: Basis(steps)})
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

func inBubble(t *testing.T, workers int, fn func(c *qt.C, la *lab)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		la := newLab(workers)
		defer la.stop()
		fn(c, la)
		c.Assert(la.broken(), qt.HasLen, 0)
	})
}

func (lo *labOwner) states(c *qt.C) map[string]int {
	c.Helper()
	su, err := lo.ow.Summary()
	c.Assert(err, qt.IsNil)
	return su.Tasks
}

func assertStates(c *qt.C, lo *labOwner, want map[string]int) {
	c.Helper()
	c.Assert(lo.states(c), qt.DeepEquals, want)
}

// begin starts the first owner and adds a job.
func begin(c *qt.C, la *lab, cmd Command) *labOwner {
	c.Helper()
	lo := la.own(false)
	time.Sleep(3 * time.Second)
	con, err := lo.do("first", cmd)
	c.Assert(err, qt.IsNil)
	c.Assert(con.Applied, qt.IsTrue)
	return lo
}
