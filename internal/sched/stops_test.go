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

// TestStopsReserveTheCapacityTheyCount is the story of a step that stops for a place that is
// taken.
//
// Users see services that do not run although their workers are well. Order of events: a
// worker is emptied while there is room elsewhere for one task; that task takes 0.8 s to
// stop, as checkpoints do. Cause: each look counted the room anew, as if the task stopped
// at the look before were not to go there, and stopped another for it. Evidence: nine
// stops for one place, and eight lasting tasks that wait for room.
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
		ow := la.withLasting(31)
		leaving, n := la.busiest()
		qt.Assert(t, n, qt.Equals, 16)
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(10 * time.Second)
		qt.Check(t, la.ends()["stopped"], qt.Equals, 1)
		la.assertRunning(31)
	})
}

var errStopLost = errors.New("no answer to the stop")

// TestLostStopsAreSentAgain is the story of a task that is left behind.
//
// Users see a service that does not run for the length of a lease after a machine left,
// with others of the same machine moved in time. Order of events: a worker is emptied;
// the order to stop one of its tasks is lost on the way. Cause: a task that was once told
// to stop was not told again. Evidence: it runs there to the end.
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
		ow := la.withLasting(8)
		leaving, n := la.busiest()
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(10 * time.Second)
		qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"stopped": n})
		qt.Check(t, lost.Load(), qt.Equals, int32(n+3))
		la.assertRunning(8)
	})
}

// TestCapacityIsReservedForStoppedTasks has a task that was stopped wait for its placement, as
// writes of other jobs are under way and the store is slow: its room is not counted for
// another one.
func TestCapacityIsReservedForStoppedTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		ow := la.withLasting(31)
		leaving, _ := la.busiest()
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
		nowhere := batch(1, 1)
		nowhere.Steps[0].Label = "of no worker"
		go func() {
			for n := range 100 {
				la.submit(ow, 10+n, nowhere)
			}
		}()
		ow.SetWorkers(nil, []string{leaving.Addr.Incarnation.ID}, false)
		time.Sleep(20 * time.Second)
		qt.Check(t, la.ends(), qt.DeepEquals, map[string]int{"stopped": 1})
		la.assertRunning(31)
		time.Sleep(30 * time.Second)
	})
}

// TestLostStopOfAMoveIsSentAgain: a filler that was to move, and whose order to stop was lost,
// stayed where it was, at the pace that it had.
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
		ow := la.withLasting(1)
		ow.post(func() {
			for _, ho := range ow.hosts {
				for at := range ho.attempts {
					ow.halt(at, "held for the sake of a service, and another worker has room")
				}
			}
		})
		time.Sleep(5 * time.Second)
		qt.Check(t, lost.Load(), qt.IsTrue)
		qt.Check(t, la.ends()["stopped"], qt.Equals, 1)
	})
}
