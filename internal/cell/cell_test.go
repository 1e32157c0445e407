package cell

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/platform"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// errUnreached is the error of a message that got lost.
var errUnreached = errors.New("unreached")

// slot is a worker with its faults.
type slot struct {
	st   *standin.Worker
	host platform.Host
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
}

type labOwner struct {
	ow     *Owner
	owns   bool
	cancel context.CancelFunc
	ended  chan error
}

var holds = worker.Resources{MilliCores: 8000, MemMB: 8000}

func newLab(workers int) *lab {
	la := &lab{slots: map[string]*slot{}}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		sl := &slot{host: platform.Host{
			ID: id, Kind: platform.KindWorker, Addr: id, Rack: fmt.Sprintf("r%d", i/2), State: platform.HostLive,
			MilliCores: holds.MilliCores, MemMB: holds.MemMB,
		}}
		la.slots[id] = sl
		la.restart(sl)
	}
	return la
}

// restart starts a worker's process anew.
func (la *lab) restart(sl *slot) {
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
	sl := la.slots[addr]
	if sl.cut {
		time.Sleep(time.Second)
		return worker.Report{}, errUnreached
	}
	if sl.late > 0 {
		late, st := sl.late, sl.st
		go func() {
			time.Sleep(late)
			_, _ = st.Exchange(context.WithoutCancel(ctx), ex)
		}()
		time.Sleep(time.Second)
		return worker.Report{}, errUnreached
	}
	time.Sleep(time.Millisecond)
	re, err := sl.st.Exchange(ctx, ex)
	if sl.deaf {
		return worker.Report{}, errUnreached
	}
	return re, err
}

// own starts an owner. The former one is cut short, as by a takeover, or goes
// on believing that it owns the cell.
func (la *lab) own(believes bool) *labOwner {
	if n := len(la.owners); n > 0 && !believes {
		la.owners[n-1].owns = false
	}
	la.epoch++
	ctx, cancel := context.WithCancel(context.Background())
	lo := &labOwner{owns: true, cancel: cancel, ended: make(chan error, 1)}
	lo.ow = &Owner{
		Cell: "dc", Self: fmt.Sprintf("o%d", la.epoch), Epoch: la.epoch,
		Owns:    func() bool { return lo.owns },
		Journal: &Journal{Table: la.table.Client(), Objects: la.objects.Client(), Cell: "dc"},
		Workers: worker.Client{ExchangeFunc: la.exchange},
		Hosts:   la.list,
		Config:  func() config.Doc { return la.doc },
	}
	la.owners = append(la.owners, lo)
	go func() { lo.ended <- lo.ow.Run(ctx) }()
	return lo
}

func (la *lab) list() ([]platform.Host, bool) {
	var hosts []platform.Host
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
func (lo *labOwner) do(plan string, cmd Command) (Confirmed, error) {
	steps, err := lo.ow.Plan(cmd)
	if err != nil {
		return Confirmed{}, err
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

func TestJobRuns(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, batchJob("j", 10, 5*time.Second))
		time.Sleep(2 * time.Second)
		assertStates(c, lo, map[string]int{"running": 8, "waiting": 2})
		time.Sleep(20 * time.Second)
		assertStates(c, lo, map[string]int{"done": 10})
		tasks, err := lo.ow.Tasks("j")
		c.Assert(err, qt.IsNil)
		for _, ta := range tasks {
			c.Assert(ta.Result, qt.Equals, ta.ID+":ok")
			c.Assert(ta.Attempt, qt.Equals, 1)
		}
	})
}

func TestUrgentWorkStartsOnAFullCell(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, batchJob("j", 8, time.Hour))
		time.Sleep(10 * time.Second)
		urgent := batchJob("u", 1, time.Second)
		urgent.Add.Urgent = true
		asked := time.Now()
		_, err := lo.do("urgent", urgent)
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		var started time.Time
		for _, sl := range la.slots {
			for _, sp := range sl.st.Log() {
				if sp.Task == "u/0" {
					started = time.Unix(0, sp.Start)
				}
			}
		}
		c.Assert(started.Sub(asked) < 1900*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", started.Sub(asked)))
		assertStates(c, lo, map[string]int{"running": 8, "done": 1})
	})
}

func TestSilentWorker(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, batchJob("j", 4, 30*time.Second))
		time.Sleep(5 * time.Second)
		// Cut off, it runs on under its leases; only when these have surely
		// lapsed do its tasks start elsewhere, from their checkpoints.
		la.slots["w0"].cut = true
		time.Sleep(2 * time.Minute)
		assertStates(c, lo, map[string]int{"done": 4})
	})
}

func TestPausedWorkerComesBack(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, batchJob("j", 4, 30*time.Second))
		time.Sleep(5 * time.Second)
		// Messages reach it a minute late, when others have its tasks.
		la.slots["w0"].late = time.Minute
		time.Sleep(90 * time.Second)
		la.slots["w0"].late = 0
		time.Sleep(90 * time.Second)
		assertStates(c, lo, map[string]int{"done": 4})
	})
}

func TestTwoOwners(t *testing.T) {
	inBubble(t, 4, func(c *qt.C, la *lab) {
		first := begin(c, la, batchJob("j", 30, 10*time.Second))
		time.Sleep(3 * time.Second)
		// The former owner goes on believing that it owns the cell.
		second := la.own(true)
		time.Sleep(time.Minute)
		assertStates(c, second, map[string]int{"done": 30})
		c.Assert(<-first.ended, qt.ErrorIs, ErrFenced)
	})
}

func TestTableAway(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, service("s", 2))
		_, err := lo.do("batch", batchJob("j", 2, 40*time.Second))
		c.Assert(err, qt.IsNil)
		time.Sleep(3 * time.Second)
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeDown})
		// No new work; what runs is kept for as long as the host owns the
		// cell.
		time.Sleep(5 * time.Second)
		// The first command finds out that the table is away; it is on its
		// way, and what becomes of it is not known. The next is refused.
		_, err = lo.do("later", batchJob("k", 1, time.Second))
		c.Assert(err, qt.ErrorIs, ErrUnsettled)
		_, err = lo.do("latest", batchJob("l", 1, time.Second))
		c.Assert(err, qt.ErrorIs, ErrAway)
		time.Sleep(5 * time.Minute)
		for _, sl := range la.slots {
			for _, sp := range sl.st.Log() {
				c.Assert(sp.State == worker.StateRunning || sp.State == worker.StateDone, qt.IsTrue, qt.Commentf("%v", sp))
			}
		}
		la.table.Gate.Set(standin.Fault{})
		time.Sleep(10 * time.Second)
		assertStates(c, lo, map[string]int{"running": 2, "done": 3})
		con, err := lo.do("later", Command{Cancel: "k"})
		c.Assert(err, qt.IsNil)
		c.Assert(con.Applied, qt.IsTrue)
		assertStates(c, lo, map[string]int{"running": 2, "done": 3})
	})
}

func TestAnswersLostAfterTheWrite(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := la.own(false)
		time.Sleep(2 * time.Second)
		for i := range 5 {
			la.table.Gate.Set(standin.Fault{Mode: standin.ModeLost, Count: 1})
			_, err := lo.do(fmt.Sprintf("p%d", i), batchJob(fmt.Sprintf("j%d", i), 2, time.Second))
			c.Assert(err, qt.IsNil)
			time.Sleep(2 * time.Second)
		}
		time.Sleep(10 * time.Second)
		assertStates(c, lo, map[string]int{"done": 10})
	})
}

func TestWorkerThatFailsEverything(t *testing.T) {
	inBubble(t, 4, func(c *qt.C, la *lab) {
		la.slots["w0"].st.Gate.Set(standin.Fault{Mode: standin.ModeFailTasks})
		lo := la.own(false)
		time.Sleep(3 * time.Second)
		for i := range 6 {
			_, err := lo.do(fmt.Sprintf("p%d", i), batchJob(fmt.Sprintf("j%d", i), 2, time.Second))
			c.Assert(err, qt.IsNil)
			time.Sleep(2 * time.Second)
		}
		time.Sleep(20 * time.Second)
		assertStates(c, lo, map[string]int{"done": 12})
		su, err := lo.ow.Summary()
		c.Assert(err, qt.IsNil)
		c.Assert(su.Workers["aside"], qt.Equals, 1)
	})
}

func TestJobThatAlwaysFailsIsParked(t *testing.T) {
	inBubble(t, 4, func(c *qt.C, la *lab) {
		for _, sl := range la.slots {
			sl.st.Gate.Set(standin.Fault{Mode: standin.ModeFailTasks})
		}
		lo := begin(c, la, batchJob("j", 1, time.Second))
		time.Sleep(20 * time.Second)
		assertStates(c, lo, map[string]int{"failed": 1})
	})
}

func TestImpossibleCommands(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, batchJob("j", 1, time.Hour))
		big := batchJob("big", 1, time.Second)
		big.Add.Each.MilliCores = 9000
		for _, cmd := range []Command{
			big, batchJob("j", 1, time.Second), batchJob("", 1, time.Second), batchJob("x", 0, time.Second),
			{Cancel: "nobody"}, {Resize: &Resize{Name: "nobody", Tasks: 1}}, {Drain: &Drain{Rack: "r9"}}, {},
		} {
			_, err := lo.ow.Plan(cmd)
			c.Assert(err, qt.ErrorIs, ErrImpossible)
		}
	})
}

func TestDrain(t *testing.T) {
	inBubble(t, 4, func(c *qt.C, la *lab) {
		lo := begin(c, la, service("s", 4))
		_, err := lo.do("batch", batchJob("j", 4, time.Minute))
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		con, err := lo.do("drain", Command{Drain: &Drain{Rack: "r0"}})
		c.Assert(err, qt.IsNil)
		c.Assert(con.Applied, qt.IsTrue)
		time.Sleep(20 * time.Second)
		tasks, err := lo.ow.Tasks("")
		c.Assert(err, qt.IsNil)
		for _, ta := range tasks {
			c.Assert(ta.Worker == "w0" || ta.Worker == "w1", qt.IsFalse, qt.Commentf("%v", ta))
			c.Assert(ta.State, qt.Equals, Running)
		}
		time.Sleep(time.Minute)
		assertStates(c, lo, map[string]int{"running": 4, "done": 4})
	})
}

func TestRacingOperators(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, service("s", 2))
		time.Sleep(2 * time.Second)
		grow, shrink := Command{Resize: &Resize{Name: "s", Tasks: 4}}, Command{Resize: &Resize{Name: "s", Tasks: 1}}
		stepsA, err := lo.ow.Plan(grow)
		c.Assert(err, qt.IsNil)
		stepsB, err := lo.ow.Plan(shrink)
		c.Assert(err, qt.IsNil)
		results := make(chan Confirmed, 3)
		confirm := func(plan string, cmd Command, steps []Step) {
			con, err := lo.ow.Confirm(context.Background(), Confirmation{Plan: plan, Command: cmd, Basis: Basis(steps)})
			c.Check(err, qt.IsNil)
			results <- con
		}
		go confirm("a", grow, stepsA)
		go confirm("a", grow, stepsA)
		go confirm("b", shrink, stepsB)
		applied := 0
		for range 3 {
			if con := <-results; con.Applied {
				applied++
			} else {
				c.Assert(len(con.Changed) > 0, qt.IsTrue)
			}
		}
		time.Sleep(5 * time.Second)
		running := lo.states(c)["running"]
		c.Assert((applied == 2 && running == 4) || (applied == 1 && running == 1), qt.IsTrue,
			qt.Commentf("%d applied, %d running", applied, running))
	})
}

func TestCancelWave(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, batchJob("j", 500, time.Minute))
		time.Sleep(3 * time.Second)
		before := la.table.Counts().Writes
		_, err := lo.do("cancel", Command{Cancel: "j"})
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		assertStates(c, lo, map[string]int{})
		c.Assert(la.table.Counts().Writes-before <= 4, qt.IsTrue)
	})
}

func TestQuota(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		var err error
		la.doc, err = la.doc.With(map[string]string{"quota.team": "cores:4"})
		c.Assert(err, qt.IsNil)
		cmd := batchJob("j", 5, time.Hour)
		cmd.Add.Team = "team"
		lo := begin(c, la, cmd)
		time.Sleep(3 * time.Second)
		assertStates(c, lo, map[string]int{"running": 2, "waiting": 3})
	})
}

func TestRecovery(t *testing.T) {
	inBubble(t, 4, func(c *qt.C, la *lab) {
		lo := begin(c, la, service("s", 4))
		// More batches than there are between two snapshots.
		for i := range 2 * snapshotEvery {
			_, err := lo.do(fmt.Sprintf("p%d", i), Command{Resize: &Resize{Name: "s", Tasks: 3 + i%2}})
			c.Assert(err, qt.IsNil)
		}
		c.Assert(la.table.Counts().Rows < 2*snapshotEvery, qt.IsTrue, qt.Commentf("%d rows", la.table.Counts().Rows))
		time.Sleep(5 * time.Second)
		before := lo.states(c)
		next := la.own(false)
		time.Sleep(5 * time.Second)
		assertStates(c, next, before)
		for _, sl := range la.slots {
			for _, sp := range sl.st.Log() {
				c.Assert(sp.State, qt.Not(qt.Equals), worker.StateLapsed)
			}
		}
	})
}

// TestNothingTwice drives a cell through cuts, late and lost messages,
// restarts, owners that come, go and linger, a table that is away or loses
// answers, drains and cancellations, and checks the workers' logs: no task
// in two places, no worker overfull, every attempt from a checkpoint.
func TestNothingTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var broken []string
		var stopped any
		synctest.Test(t, func(*testing.T) {
			defer func() { stopped = recover() }()
			la := newLab(4)
			defer la.stop()
			la.own(false)
			time.Sleep(2 * time.Second)
			rt.Repeat(la.actions())
			broken = la.broken()
		})
		if stopped != nil {
			panic(stopped)
		}
		if len(broken) > 0 {
			rt.Fatal(broken)
		}
	})
}

func (la *lab) actions() map[string]func(*rapid.T) {
	pick := func(rt *rapid.T) *slot {
		return la.slots[fmt.Sprintf("w%d", rapid.IntRange(0, len(la.slots)-1).Draw(rt, "worker"))]
	}
	last := func() *labOwner { return la.owners[len(la.owners)-1] }
	n := 0
	command := func(cmd Command) {
		n++
		_, _ = last().do(fmt.Sprintf("p%d", n), cmd)
	}
	pass := func(rt *rapid.T) {
		time.Sleep(time.Duration(rapid.IntRange(0, 15_000).Draw(rt, "ms")) * time.Millisecond)
	}
	return map[string]func(*rapid.T){
		"time": pass, "time 2": pass, "time 3": pass,
		"job": func(rt *rapid.T) {
			run := time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds")) * time.Second
			command(batchJob(fmt.Sprintf("j%d", n), rapid.IntRange(1, 8).Draw(rt, "tasks"), run))
		},
		"service": func(rt *rapid.T) { command(service(fmt.Sprintf("s%d", n), rapid.IntRange(1, 3).Draw(rt, "tasks"))) },
		"cancel":  func(rt *rapid.T) { command(Command{Cancel: fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(rt, "job"))}) },
		"resize": func(rt *rapid.T) {
			job := fmt.Sprintf("s%d", rapid.IntRange(0, n).Draw(rt, "job"))
			command(Command{Resize: &Resize{Name: job, Tasks: rapid.IntRange(1, 4).Draw(rt, "tasks")}})
		},
		"drain": func(rt *rapid.T) {
			command(Command{Drain: &Drain{Rack: fmt.Sprintf("r%d", rapid.IntRange(0, 1).Draw(rt, "rack")), Undo: rapid.Bool().Draw(rt, "undo")}})
		},
		"cut":     func(rt *rapid.T) { sl := pick(rt); sl.cut = !sl.cut },
		"deaf":    func(rt *rapid.T) { sl := pick(rt); sl.deaf = !sl.deaf },
		"restart": func(rt *rapid.T) { la.restart(pick(rt)) },
		"late": func(rt *rapid.T) {
			pick(rt).late = time.Duration(rapid.SampledFrom([]int{0, 0, 500, 5000, 60_000}).Draw(rt, "late")) * time.Millisecond
		},
		"owner": func(rt *rapid.T) { la.own(rapid.Bool().Draw(rt, "former one lingers")) },
		"table": func(rt *rapid.T) {
			mode := rapid.SampledFrom([]standin.Mode{standin.ModeOK, standin.ModeOK, standin.ModeDown, standin.ModeLost}).Draw(rt, "mode")
			la.table.Gate.Set(standin.Fault{Mode: mode})
		},
	}
}
