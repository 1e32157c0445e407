package sched

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestStopsReserveTheCapacityTheyCount guards against nine tasks that are stopped to move into
// free capacity for one. A worker is evacuated while there is capacity elsewhere for one task,
// and a stop takes 0.8 s, as that of a task which writes a checkpoint. If each check counts
// that capacity as free until the stopped task takes it, it stops another task for it, and
// eight long-running tasks wait for capacity.
func TestStopsReserveTheCapacityTheyCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			halt := ag.HaltFunc
			ag.HaltFunc = func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
				time.AfterFunc(800*time.Millisecond, func() { _, _ = halt(context.WithoutCancel(ctx), ad, ha) })
				return worker.Ack{}, nil
			}
			return ag
		}
		ow := la.startLongRunning(31)
		leaving, n := la.busiest()
		qt.Assert(t, n, qt.Equals, 16)
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(10 * time.Second)
		qt.Check(t, la.ends()["stopped"], qt.Equals, 1)
		la.assertRunning(31)
	})
}

var errStopLost = errors.New("no answer to the stop")

// TestLostStopsAreSentAgain guards against a task whose order to stop was lost and not
// repeated: it stays on a worker that leaves, and does not run for the length of a lease.
func TestLostStopsAreSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		var lost atomic.Int32
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			halt := ag.HaltFunc
			ag.HaltFunc = func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
				if lost.Add(1) <= 3 {
					return worker.Ack{}, errStopLost
				}
				return halt(ctx, ad, ha)
			}
			return ag
		}
		ow := la.startLongRunning(8)
		leaving, n := la.busiest()
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(10 * time.Second)
		qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"stopped": n})
		qt.Check(t, lost.Load(), qt.Equals, int32(n+3))
		la.assertRunning(8)
	})
}

// TestCapacityIsReservedForStoppedTasks guards against capacity that is counted for another
// task while a stopped one waits for its placement, as writes of other jobs are in flight and
// the store is slow.
func TestCapacityIsReservedForStoppedTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		ow := la.startLongRunning(31)
		leaving, _ := la.busiest()
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
		unplaceable := batch(1, 1)
		unplaceable.Steps[0].Label = "on no worker"
		go func() {
			for n := range 100 {
				la.submit(ow, 10+n, unplaceable)
			}
		}()
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(20 * time.Second)
		qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"stopped": 1})
		la.assertRunning(31)
		time.Sleep(30 * time.Second)
	})
}

// TestLostStopOfAMoveIsSentAgain guards against a held filler that is to move, whose order to
// stop is lost and not repeated, so that it stays where it is at its reduced pace.
func TestLostStopOfAMoveIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		var lost atomic.Bool
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			halt := ag.HaltFunc
			ag.HaltFunc = func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
				if lost.CompareAndSwap(false, true) {
					return worker.Ack{}, errStopLost
				}
				return halt(ctx, ad, ha)
			}
			return ag
		}
		ow := la.startLongRunning(1)
		ow.post(func() {
			for _, wk := range ow.workers {
				for at := range wk.attempts {
					ow.halt(at, "held because of a service, and another worker can run it")
				}
			}
		})
		time.Sleep(5 * time.Second)
		qt.Check(t, lost.Load(), qt.IsTrue)
		qt.Check(t, la.ends()["stopped"], qt.Equals, 1)
	})
}
