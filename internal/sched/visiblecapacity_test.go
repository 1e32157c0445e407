package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestVisibleCapacityWait guards against waits of interrupted tasks that are not recorded though
// workers have the capacity by their own account: each start takes 250 ms, in which the owner
// counts the capacity as used. A wait without capacity does not count.
func TestVisibleCapacityWait(t *testing.T) {
	for _, tc := range []struct {
		name string
		// others is the number of workers that remain, used the cores that a task uses on each.
		others int
		used   int64
		want   []time.Duration
	}{
		{"on two workers", 2, 0, []time.Duration{200 * time.Millisecond, 200 * time.Millisecond}},
		{"on one worker", 1, 0, []time.Duration{200 * time.Millisecond, 0}},
		{"on none", 2, 28, []time.Duration{0, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				la, ll := newLoggedLab(t, 1)
				la.wrapAgentFunc = delayRestarts(250 * time.Millisecond)
				la.fleet.RunFunc = runUntilStopped
				ow, end := la.startOwner()
				defer end()
				time.Sleep(time.Second)
				la.submit(ow, 1, longRunningOf(1, 24))
				time.Sleep(time.Second)
				lost := la.fleetWorkers[0]
				for i := range tc.others {
					la.addWorker(1 + i)
					ow.SetWorkers(la.workerEntries(), nil, true)
					if tc.used > 0 {
						la.submit(ow, 2+i, longRunningOf(1, tc.used))
					}
					time.Sleep(time.Second)
				}
				la.fleet.Kill(lost)
				ow.SetWorkers(nil, []string{lost.Addr.Incarnation.ID}, false)
				time.Sleep(15 * time.Second)
				if tc.used > 0 {
					_, err := ow.Cancel(context.Background(), jobID(1))
					qt.Assert(t, err, qt.IsNil)
					time.Sleep(2 * time.Second)
				}
				lines := ll.matching(`msg="capacity for interrupted tasks"`, "ended=1", "ended_one="+tc.want[0].String(), "ended_two="+tc.want[1].String())
				qt.Check(t, lines, qt.HasLen, 1, qt.Commentf("%v", ll.matching(`msg="capacity for interrupted tasks"`)))
			})
		})
	}
}

// delayRestarts returns an agent that delays all starts but the first of each task.
func delayRestarts(d time.Duration) func(worker.Agent) worker.Agent {
	return func(ag worker.Agent) worker.Agent {
		launch := ag.LaunchFunc
		ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			if la.Number > 1 && !clock.Sleep(ctx, d) {
				return worker.Ack{}, ctx.Err()
			}
			return launch(ctx, ad, la)
		}
		return ag
	}
}

// TestMissedChecks guards against checks that are counted though they found no capacity, or
// that are left out because a tick was late.
func TestMissedChecks(t *testing.T) {
	const ticks = 45 // three checks with each phase
	for _, tc := range []struct {
		name string
		// workersFunc returns how many workers have the capacity at a tick, or a negative number
		// if the tick is left out.
		workersFunc func(tick int) int
		want        int
	}{
		{"two workers", func(int) int { return 2 }, 15},
		{"one worker", func(int) int { return 1 }, 0},
		{"one worker at one check", func(tick int) int { return 2 - b2i(tick == 20) }, 14},
		{"one worker between the checks of all phases but one", func(tick int) int { return 2 - b2i(tick%15 != 3) }, 1},
		{"late ticks", func(tick int) int { return 2 - 3*b2i(tick%4 != 0) }, 15},
		{"a pause", func(tick int) int { return 2 - 3*b2i(tick > 1 && tick < 44) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start, got := time.Unix(1_000_000_000, 0), 0
			var cw capacityWait
			for tick := range ticks {
				if workers := tc.workersFunc(tick); workers >= 0 {
					got += cw.check(workers, start.Add(time.Duration(tick)*tickInterval))
				}
			}
			qt.Check(t, got, qt.Equals, tc.want)
		})
	}
}

// TestVisibleCapacityAfterPause guards against a pause of the owner that counts as time in which
// workers had the capacity.
func TestVisibleCapacityAfterPause(t *testing.T) {
	var ow Owner
	tk, start := taskKey{tj: &trackedJob{}}, time.Unix(1_000_000_000, 0)
	for _, after := range []time.Duration{0, tickInterval, 5 * time.Second, 5*time.Second + 2*tickInterval} {
		ow.recordVisible(tk, 2, start.Add(after))
	}
	qt.Check(t, ow.visibleCapacity.waits[tk].longest, qt.Equals, [maxVisibleWorkers]time.Duration{2 * tickInterval, 2 * tickInterval})
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
