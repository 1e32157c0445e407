package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// TestSlowWriteOfStartDoesNotEndTask guards against a task that is ended as lapsed before
// its worker is sent the start, and then runs twice at once.
func TestSlowWriteOfStartDoesNotEndTask(t *testing.T) {
	runCell(t, 1, func(c *qt.C, tc *testCell) {
		time.Sleep(2 * time.Second)
		to := tc.startOwner(false)
		time.Sleep(200 * time.Millisecond)
		tc.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 150})
		_, err := to.confirm("first", service("s", 1))
		c.Assert(err, qt.IsNil)
		time.Sleep(3 * time.Second)
		tasks, err := to.ow.Tasks("s")
		c.Assert(err, qt.IsNil)
		c.Assert(tasks, qt.HasLen, 1)
		c.Check(tasks[0].State, qt.Equals, Running)
		c.Check(tasks[0].Attempt, qt.Equals, 1)
	})
}

// TestReturnedWorkerDoesNotStartLapsedAttempt guards against a start that is sent while
// the end of its attempt is being written.
func TestReturnedWorkerDoesNotStartLapsedAttempt(t *testing.T) {
	runCell(t, 1, func(c *qt.C, tc *testCell) {
		to := tc.startOwner(false)
		time.Sleep(3 * time.Second)
		tc.set("w0", func(tw *testWorker) { tw.unreachable = true })
		_, err := to.confirm("first", batchJob("j", 1, time.Minute))
		c.Assert(err, qt.IsNil)
		time.Sleep(9 * time.Second)
		tc.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 5000})
		time.Sleep(2 * time.Second)
		tc.set("w0", func(tw *testWorker) { tw.unreachable = false })
		time.Sleep(20 * time.Second)
		tc.table.Faults.Set(standin.Fault{})
		time.Sleep(2 * time.Minute)
		assertStates(c, to, map[string]int{"done": 1})
	})
}

// TestMessageForFormerProcessExtendsNoLease guards against a lease that a restarted worker takes
// from a message for its former process, whose clock was hours ahead, and that its owner does
// not know of.
func TestMessageForFormerProcessExtendsNoLease(t *testing.T) {
	runCell(t, 2, func(c *qt.C, tc *testCell) {
		tc.set("w1", func(tw *testWorker) { tw.unreachable = true })
		time.Sleep(2 * time.Hour)
		to := startWithJob(c, tc, service("s", 1))
		time.Sleep(3 * time.Second)
		tc.set("w0", func(tw *testWorker) { tw.delay = 5 * time.Second })
		time.Sleep(2 * time.Second)
		tc.restart(tc.workers["w0"])
		tc.set("w0", func(tw *testWorker) { tw.delay = 0 })
		time.Sleep(2 * time.Second)
		tc.set("w0", func(tw *testWorker) { tw.unreachable = true })
		tc.set("w1", func(tw *testWorker) { tw.unreachable = false })
		time.Sleep(2 * time.Minute)
		assertStates(c, to, map[string]int{"running": 1})
		c.Check(tc.workers["w0"].proc.Log(), qt.HasLen, 1)
		c.Check(tc.workers["w1"].proc.Log(), qt.HasLen, 1)
	})
}
