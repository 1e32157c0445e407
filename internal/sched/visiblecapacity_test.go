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
