package cell

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

func TestJobRuns(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, batchJob("j", 10, 5*time.Second))
		time.Sleep(2 * time.Second)
		assertStates(c, to, map[string]int{"running": 8, "waiting": 2})
		time.Sleep(20 * time.Second)
		assertStates(c, to, map[string]int{"done": 10})
		tasks, err := to.ow.Tasks("j")
		c.Assert(err, qt.IsNil)
		for _, ta := range tasks {
			c.Assert(ta.Result, qt.Equals, ta.ID+":ok")
			c.Assert(ta.Attempt, qt.Equals, 1)
		}
	})
}

// TestUrgentWorkStartsOnAFullCell guards against urgent work that waits for batch
// tasks to end: it must start within 1.9 s by evicting one.
func TestUrgentWorkStartsOnAFullCell(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, batchJob("j", 8, time.Hour))
		time.Sleep(10 * time.Second)
		urgent := batchJob("u", 1, time.Second)
		urgent.Add.Urgent = true
		submitted := time.Now()
		_, err := to.confirm("urgent", urgent)
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		var started time.Time
		for _, tw := range tc.workers {
			for _, sp := range tw.proc.Log() {
				if sp.Task == "u/0" {
					started = time.Unix(0, sp.Start)
				}
			}
		}
		c.Assert(started.Sub(submitted) < 1900*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", started.Sub(submitted)))
		assertStates(c, to, map[string]int{"running": 8, "done": 1})
	})
}

func TestUnreachableWorkerTasksMoveAfterLeaseExpiry(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, batchJob("j", 4, 30*time.Second))
		time.Sleep(5 * time.Second)
		// The worker runs its tasks until its leases expire. Only then do they
		// start elsewhere, from their checkpoints.
		tc.set("w0", func(tw *testWorker) { tw.unreachable = true })
		time.Sleep(2 * time.Minute)
		assertStates(c, to, map[string]int{"done": 4})
	})
}

func TestDelayedMessagesDoNotStartTasksTwice(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, batchJob("j", 4, 30*time.Second))
		time.Sleep(5 * time.Second)
		// Messages arrive a minute late, when the tasks run on other workers.
		tc.set("w0", func(tw *testWorker) { tw.delay = time.Minute })
		time.Sleep(90 * time.Second)
		tc.set("w0", func(tw *testWorker) { tw.delay = 0 })
		time.Sleep(90 * time.Second)
		assertStates(c, to, map[string]int{"done": 4})
	})
}

func TestFormerOwnerIsFenced(t *testing.T) {
	runCell(t, 4, func(c *qt.C, tc *testCell) {
		first := startWithJob(c, tc, batchJob("j", 30, 10*time.Second))
		time.Sleep(3 * time.Second)
		// The first owner still believes that it owns the cell.
		second := tc.startOwner(true)
		time.Sleep(time.Minute)
		assertStates(c, second, map[string]int{"done": 30})
		c.Assert(<-first.ended, qt.ErrorIs, ErrFenced)
	})
}

func TestTableUnavailable(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, service("s", 2))
		_, err := to.confirm("batch", batchJob("j", 2, 40*time.Second))
		c.Assert(err, qt.IsNil)
		time.Sleep(3 * time.Second)
		tc.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		// No new tasks start. Running tasks keep their leases for as long as
		// the host owns the cell.
		time.Sleep(5 * time.Second)
		// The append of the first command is in progress when its caller gives
		// up, so that its outcome is unknown. The next command is refused.
		_, err = to.confirm("later", batchJob("k", 1, time.Second))
		c.Assert(err, qt.ErrorIs, ErrOutcomeUnknown)
		_, err = to.confirm("latest", batchJob("l", 1, time.Second))
		c.Assert(err, qt.ErrorIs, ErrJournalUnavailable)
		time.Sleep(5 * time.Minute)
		for _, tw := range tc.workers {
			for _, sp := range tw.proc.Log() {
				c.Assert(sp.State == worker.StateRunning || sp.State == worker.StateDone, qt.IsTrue, qt.Commentf("%v", sp))
			}
		}
		tc.table.Faults.Set(standin.Fault{})
		time.Sleep(10 * time.Second)
		assertStates(c, to, map[string]int{"running": 2, "done": 3})
		con, err := to.confirm("later", Command{Cancel: "k"})
		c.Assert(err, qt.IsNil)
		c.Assert(con.Applied, qt.IsTrue)
		assertStates(c, to, map[string]int{"running": 2, "done": 3})
	})
}

// TestTableRepliesLostAfterWrite guards against commands that fail or run twice
// when the table writes a batch and its reply is lost.
func TestTableRepliesLostAfterWrite(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := tc.startOwner(false)
		time.Sleep(2 * time.Second)
		for i := range 5 {
			tc.table.Faults.Set(standin.Fault{Mode: standin.ModeLost, Count: 1})
			_, err := to.confirm(fmt.Sprintf("p%d", i), batchJob(fmt.Sprintf("j%d", i), 2, time.Second))
			c.Assert(err, qt.IsNil)
			time.Sleep(2 * time.Second)
		}
		time.Sleep(10 * time.Second)
		assertStates(c, to, map[string]int{"done": 10})
	})
}

func TestFailingWorkerIsQuarantined(t *testing.T) {
	runCell(t, 4, func(c *qt.C, tc *testCell) {
		tc.workers["w0"].proc.Faults.Set(standin.Fault{Mode: standin.ModeFailTasks})
		to := tc.startOwner(false)
		time.Sleep(3 * time.Second)
		for i := range 6 {
			_, err := to.confirm(fmt.Sprintf("p%d", i), batchJob(fmt.Sprintf("j%d", i), 2, time.Second))
			c.Assert(err, qt.IsNil)
			time.Sleep(2 * time.Second)
		}
		time.Sleep(20 * time.Second)
		assertStates(c, to, map[string]int{"done": 12})
		su, err := to.ow.Summary()
		c.Assert(err, qt.IsNil)
		c.Assert(su.Workers["aside"], qt.Equals, 1)
	})
}

func TestTaskFailsForGoodAfterThreeWorkers(t *testing.T) {
	runCell(t, 4, func(c *qt.C, tc *testCell) {
		for _, tw := range tc.workers {
			tw.proc.Faults.Set(standin.Fault{Mode: standin.ModeFailTasks})
		}
		to := startWithJob(c, tc, batchJob("j", 1, time.Second))
		time.Sleep(20 * time.Second)
		assertStates(c, to, map[string]int{"failed": 1})
	})
}

func TestImpossibleCommands(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, batchJob("j", 1, time.Hour))
		big := batchJob("big", 1, time.Second)
		big.Add.Each.MilliCores = 9000
		for _, cmd := range []Command{
			big, batchJob("j", 1, time.Second), batchJob("", 1, time.Second), batchJob("x", 0, time.Second),
			{Cancel: "missing"}, {Resize: &Resize{Name: "missing", Tasks: 1}}, {Drain: &Drain{Rack: "r9"}}, {},
		} {
			_, err := to.ow.Plan(cmd)
			c.Assert(err, qt.ErrorIs, ErrImpossible)
		}
	})
}

func TestDrain(t *testing.T) {
	runCell(t, 4, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, service("s", 4))
		_, err := to.confirm("batch", batchJob("j", 4, time.Minute))
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		con, err := to.confirm("drain", Command{Drain: &Drain{Rack: "r0"}})
		c.Assert(err, qt.IsNil)
		c.Assert(con.Applied, qt.IsTrue)
		time.Sleep(20 * time.Second)
		tasks, err := to.ow.Tasks("")
		c.Assert(err, qt.IsNil)
		for _, ta := range tasks {
			c.Assert(ta.Worker == "w0" || ta.Worker == "w1", qt.IsFalse, qt.Commentf("%v", ta))
			c.Assert(ta.State, qt.Equals, Running)
		}
		time.Sleep(time.Minute)
		assertStates(c, to, map[string]int{"running": 4, "done": 4})
	})
}

// TestConcurrentConfirmations confirms one plan twice and a conflicting plan once at
// the same time. Only one of the plans may be applied.
func TestConcurrentConfirmations(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, service("s", 2))
		time.Sleep(2 * time.Second)
		grow, shrink := Command{Resize: &Resize{Name: "s", Tasks: 4}}, Command{Resize: &Resize{Name: "s", Tasks: 1}}
		stepsA, err := to.ow.Plan(grow)
		c.Assert(err, qt.IsNil)
		stepsB, err := to.ow.Plan(shrink)
		c.Assert(err, qt.IsNil)
		results := make(chan ConfirmResult, 3)
		confirm := func(plan string, cmd Command, steps []Step) {
			con, err := to.ow.Confirm(context.Background(), Confirmation{Plan: plan, Command: cmd, Basis: Basis(steps)})
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
		running := to.states(c)["running"]
		c.Assert((applied == 2 && running == 4) || (applied == 1 && running == 1), qt.IsTrue,
			qt.Commentf("%d applied, %d running", applied, running))
	})
}

func TestCancelOfManyTasksNeedsFewWrites(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, batchJob("j", 500, time.Minute))
		time.Sleep(3 * time.Second)
		before := tc.table.Counts().Writes
		_, err := to.confirm("cancel", Command{Cancel: "j"})
		c.Assert(err, qt.IsNil)
		time.Sleep(5 * time.Second)
		assertStates(c, to, map[string]int{})
		c.Assert(tc.table.Counts().Writes-before <= 4, qt.IsTrue)
	})
}

func TestQuota(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		var err error
		tc.doc, err = tc.doc.With(map[string]string{"quota.team": "cores:4"})
		c.Assert(err, qt.IsNil)
		cmd := batchJob("j", 5, time.Hour)
		cmd.Add.Team = "team"
		to := startWithJob(c, tc, cmd)
		time.Sleep(3 * time.Second)
		assertStates(c, to, map[string]int{"running": 2, "waiting": 3})
	})
}

func TestNewOwnerRecoversFromSnapshot(t *testing.T) {
	runCell(t, 4, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, service("s", 4))
		// Enough batches for two snapshots.
		for i := range 2 * snapshotInterval {
			_, err := to.confirm(fmt.Sprintf("p%d", i), Command{Resize: &Resize{Name: "s", Tasks: 3 + i%2}})
			c.Assert(err, qt.IsNil)
		}
		c.Assert(tc.table.Counts().Rows < 2*snapshotInterval, qt.IsTrue, qt.Commentf("%d rows", tc.table.Counts().Rows))
		time.Sleep(5 * time.Second)
		before := to.states(c)
		next := tc.startOwner(false)
		time.Sleep(5 * time.Second)
		assertStates(c, next, before)
		for _, tw := range tc.workers {
			for _, sp := range tw.proc.Log() {
				c.Assert(sp.State, qt.Not(qt.Equals), worker.StateLapsed)
			}
		}
	})
}

// TestShrinkAndGrowWhileWorkersUnreachable shrinks a service while two workers
// are unreachable, and grows it again. A task that was to be stopped and still
// runs must be kept, and not started a second time.
func TestShrinkAndGrowWhileWorkersUnreachable(t *testing.T) {
	runCell(t, 4, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, service("s", 4))
		time.Sleep(3 * time.Second)
		for _, id := range []string{"w0", "w1"} {
			tc.set(id, func(tw *testWorker) { tw.unreachable = true })
		}
		for i, n := range []int{1, 4} {
			_, err := to.confirm(fmt.Sprintf("resize%d", i), Command{Resize: &Resize{Name: "s", Tasks: n}})
			c.Assert(err, qt.IsNil)
			time.Sleep(3 * time.Second)
		}
		for _, id := range []string{"w0", "w1"} {
			tc.set(id, func(tw *testWorker) { tw.unreachable = false })
		}
		time.Sleep(10 * time.Second)
		assertStates(c, to, map[string]int{"running": 4})
	})
}

// TestCancelAfterStartOrderLost cancels a task whose start order was lost. The
// task must end and be deleted all the same.
func TestCancelAfterStartOrderLost(t *testing.T) {
	runCell(t, 1, func(c *qt.C, tc *testCell) {
		to := tc.startOwner(false)
		time.Sleep(3 * time.Second)
		tc.set("w0", func(tw *testWorker) { tw.unreachable = true })
		for _, cmd := range []Command{batchJob("j", 1, time.Hour), {Cancel: "j"}} {
			_, err := to.confirm(fmt.Sprintf("%v", cmd.Add != nil), cmd)
			c.Assert(err, qt.IsNil)
			time.Sleep(500 * time.Millisecond)
		}
		tc.set("w0", func(tw *testWorker) { tw.unreachable = false })
		time.Sleep(5 * time.Second)
		assertStates(c, to, map[string]int{})
	})
}

// TestJobAddedAgainUnderItsNameRuns guards against a job that counts as done without
// having run, as a cancelled job of the same name was done.
func TestJobAddedAgainUnderItsNameRuns(t *testing.T) {
	runCell(t, 1, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, batchJob("j", 1, 2*time.Second))
		for to.states(c)["done"] == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		_, err := to.confirm("cancel", Command{Cancel: "j"})
		c.Assert(err, qt.IsNil)
		_, err = to.confirm("again", batchJob("j", 1, 20*time.Second))
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Second)
		assertStates(c, to, map[string]int{"running": 1})
		time.Sleep(15 * time.Second)
		assertStates(c, to, map[string]int{"done": 1})
	})
}

// TestObjectStoreUnavailable has snapshots fall due while the object store
// hangs. Commands must take no longer than usual, the journal grows, and a new
// owner recovers from it. Once the store answers, a snapshot shortens the
// journal.
func TestObjectStoreUnavailable(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		to := startWithJob(c, tc, service("s", 4))
		tc.objects.Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		resize := func(plan string, n int) {
			started := time.Now()
			_, err := to.confirm(plan, Command{Resize: &Resize{Name: "s", Tasks: n}})
			c.Assert(err, qt.IsNil)
			c.Assert(time.Since(started) < time.Second, qt.IsTrue, qt.Commentf("%s took %v", plan, time.Since(started)))
		}
		for i := range snapshotInterval + 20 {
			resize(fmt.Sprintf("p%d", i), 3+i%2)
		}
		rows := tc.table.Counts().Rows
		c.Assert(rows > snapshotInterval, qt.IsTrue, qt.Commentf("%d rows", rows))
		to = tc.startOwner(false)
		time.Sleep(5 * time.Second)
		assertStates(c, to, map[string]int{"running": 4})
		tc.objects.Faults.Set(standin.Fault{})
		time.Sleep(snapshotRetryInterval)
		for i := range 60 {
			resize(fmt.Sprintf("q%d", i), 3+i%2)
		}
		c.Assert(tc.table.Counts().Rows < rows/2, qt.IsTrue, qt.Commentf("%d rows", tc.table.Counts().Rows))
	})
}
