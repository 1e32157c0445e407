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
		la.set("w0", func(sl *slot) { sl.cut = true })
		time.Sleep(2 * time.Minute)
		assertStates(c, lo, map[string]int{"done": 4})
	})
}

func TestPausedWorkerComesBack(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, batchJob("j", 4, 30*time.Second))
		time.Sleep(5 * time.Second)
		// Messages reach it a minute late, when others have its tasks.
		la.set("w0", func(sl *slot) { sl.late = time.Minute })
		time.Sleep(90 * time.Second)
		la.set("w0", func(sl *slot) { sl.late = 0 })
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
		c.Assert(err, qt.ErrorIs, ErrOutcomeUnknown)
		_, err = lo.do("latest", batchJob("l", 1, time.Second))
		c.Assert(err, qt.ErrorIs, ErrJournalUnavailable)
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
		results := make(chan ConfirmResult, 3)
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

// TestShrunkAndGrownAgain shrinks a service while the workers cannot be
// reached, and grows it again: the task that could not be stopped is wanted
// again, and not started a second time.
func TestShrunkAndGrownAgain(t *testing.T) {
	inBubble(t, 4, func(c *qt.C, la *lab) {
		lo := begin(c, la, service("s", 4))
		time.Sleep(3 * time.Second)
		for _, id := range []string{"w0", "w1"} {
			la.set(id, func(sl *slot) { sl.cut = true })
		}
		for i, n := range []int{1, 4} {
			_, err := lo.do(fmt.Sprintf("resize%d", i), Command{Resize: &Resize{Name: "s", Tasks: n}})
			c.Assert(err, qt.IsNil)
			time.Sleep(3 * time.Second)
		}
		for _, id := range []string{"w0", "w1"} {
			la.set(id, func(sl *slot) { sl.cut = false })
		}
		time.Sleep(10 * time.Second)
		assertStates(c, lo, map[string]int{"running": 4})
	})
}

// TestCancelledBeforeItsStartArrived cancels a task whose start got lost. It
// must come to an end all the same.
func TestCancelledBeforeItsStartArrived(t *testing.T) {
	inBubble(t, 1, func(c *qt.C, la *lab) {
		lo := la.own(false)
		time.Sleep(3 * time.Second)
		la.set("w0", func(sl *slot) { sl.cut = true })
		for _, cmd := range []Command{batchJob("j", 1, time.Hour), {Cancel: "j"}} {
			_, err := lo.do(fmt.Sprintf("%v", cmd.Add != nil), cmd)
			c.Assert(err, qt.IsNil)
			time.Sleep(500 * time.Millisecond)
		}
		la.set("w0", func(sl *slot) { sl.cut = false })
		time.Sleep(5 * time.Second)
		assertStates(c, lo, map[string]int{})
	})
}

// TestObjectStoreAway has snapshots fall due while the object store hangs. The
// cell goes on at its pace, its journal grows, and a new owner recovers from
// it; once the store is back a snapshot shortens the journal.
func TestObjectStoreAway(t *testing.T) {
	inBubble(t, 2, func(c *qt.C, la *lab) {
		lo := begin(c, la, service("s", 4))
		la.objects.Gate.Set(standin.Fault{Mode: standin.ModeFreeze})
		resize := func(plan string, n int) {
			begun := time.Now()
			_, err := lo.do(plan, Command{Resize: &Resize{Name: "s", Tasks: n}})
			c.Assert(err, qt.IsNil)
			c.Assert(time.Since(begun) < time.Second, qt.IsTrue, qt.Commentf("%s took %v", plan, time.Since(begun)))
		}
		for i := range snapshotEvery + 20 {
			resize(fmt.Sprintf("p%d", i), 3+i%2)
		}
		rows := la.table.Counts().Rows
		c.Assert(rows > snapshotEvery, qt.IsTrue, qt.Commentf("%d rows", rows))
		lo = la.own(false)
		time.Sleep(5 * time.Second)
		assertStates(c, lo, map[string]int{"running": 4})
		la.objects.Gate.Set(standin.Fault{})
		time.Sleep(snapshotRetry)
		for i := range 60 {
			resize(fmt.Sprintf("q%d", i), 3+i%2)
		}
		c.Assert(la.table.Counts().Rows < rows/2, qt.IsTrue, qt.Commentf("%d rows", la.table.Counts().Rows))
	})
}
