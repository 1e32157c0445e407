package sched

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// restart ends a worker's process and starts it again under its id after a pause, at its
// address or another one.
func (la *lab) restart(i int, pause time.Duration, hostPort string) {
	la.fleet.Kill(la.fleetWorkers[i])
	time.Sleep(pause)
	la.fleetWorkers[i] = la.fleet.Restart(la.fleetWorkers[i], hostPort, 0)
}

// TestTasksOfRestartedWorkersRunOnce guards against ends that are skipped as known because a
// restarted worker numbers them from the start again.
func TestTasksOfRestartedWorkersRunOnce(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const workers, tasks = 3, 144
				la := newLab(t, workers)
				ow, end := la.startOwner()
				defer end()
				time.Sleep(time.Second)
				la.submit(ow, 1, batch(1, tasks))
				time.Sleep(8 * time.Second)
				qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
				for i := range workers {
					la.restart(i, pause, la.fleetWorkers[i].Addr.HostPort)
					ow.SetWorkers(la.workerEntries(), nil, true)
				}
				time.Sleep(time.Second)
				la.submit(ow, 2, batch(1, tasks))
				time.Sleep(30 * time.Second)
				qt.Check(t, la.state(ow, 2), qt.Equals, job.Succeeded)
				qt.Check(t, la.fleet.Runs(), qt.HasLen, 2*tasks)
				la.assertRunsConsistent()
			})
		})
	}
}

// TestLongRunningTasksOfRestartedWorkersRunAgain guards against tasks that do not run again
// after a restart or a later loss of their worker, as the lease ends are computed by the clock
// of its former process.
func TestLongRunningTasksOfRestartedWorkersRunAgain(t *testing.T) {
	for _, where := range []string{"10.0.0.0:80", "10.9.0.0:80"} {
		t.Run(where, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				la, ow := newLongRunningLab(t, 3, 12)
				time.Sleep(20 * time.Second)
				la.restart(0, 50*time.Millisecond, where)
				ow.SetWorkers(la.workerEntries(), nil, true)
				time.Sleep(time.Second)
				la.assertRunning(12)
				la.restart(0, 0, where)
				ow.SetWorkers(la.workerEntries(), nil, true)
				time.Sleep(time.Second)
				la.assertRunning(12)
				la.fleet.Kill(la.fleetWorkers[0])
				// Its leases lapse 6 s after the last poll.
				time.Sleep(9 * time.Second)
				la.assertRunning(12)
				la.assertRunsConsistent()
			})
		})
	}
}

// TestRestartIsNoticedBeforeItIsListed guards against a restart that is noticed only when it
// is listed: a worker restarts under its id while the list still has the entry of its former
// process.
func TestRestartIsNoticedBeforeItIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 3, 12)
		was := la.workerEntries()
		la.restart(0, 50*time.Millisecond, la.fleetWorkers[0].Addr.HostPort)
		time.Sleep(time.Second)
		la.assertRunning(12)
		qt.Check(t, la.runningAt("i-0"), qt.Equals, 0)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(100 * time.Millisecond)
		for range 3 {
			ow.SetWorkers(was[:1], nil, false)
			time.Sleep(100 * time.Millisecond)
			ow.SetWorkers(la.workerEntries()[:1], nil, false)
			time.Sleep(time.Second)
		}
		la.submit(ow, 2, longRunning(30))
		time.Sleep(time.Second)
		la.assertRunning(42)
		qt.Check(t, la.runningAt("i-0") > 0, qt.IsTrue)
	})
}

// TestEntryOfAFormerIncarnationDoesNotFenceTheNext guards against attempts that lapse after the
// entry of a former process is seen again and is replaced before that process is polled: its
// fencing token must not make the running process reject this owner's orders.
func TestEntryOfAFormerIncarnationDoesNotFenceTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			poll := ag.PollFunc
			ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
				res, err := poll(ctx, ad, po)
				clock.Sleep(ctx, 50*time.Millisecond)
				return res, err
			}
			return ag
		}
		ow := la.startLongRunning(12)
		was := la.workerEntries()[:1]
		la.restart(0, 50*time.Millisecond, la.fleetWorkers[0].Addr.HostPort)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(time.Second)
		la.submit(ow, 2, longRunning(18))
		time.Sleep(time.Second)
		la.assertRunning(30)
		ow.SetWorkers(was, nil, false)
		time.Sleep(10 * time.Millisecond)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(30 * time.Second)
		la.assertRunning(30)
		qt.Check(t, la.ends()["lapsed"], qt.Equals, 0)
		la.assertRunsConsistent()
	})
}

// TestEntriesWithoutStartTime guards against restarts that go unnoticed when entries do not
// have the start time of the process, so that only answers show the incarnation.
func TestEntriesWithoutStartTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		listWithoutStart := func() {
			list := la.workerEntries()
			for i := range list {
				list[i].Incarnation.StartedMS = 0
			}
			ow.SetWorkers(list, nil, true)
		}
		listWithoutStart()
		la.submit(ow, 1, longRunning(12))
		time.Sleep(time.Second)
		la.restart(0, 50*time.Millisecond, la.fleetWorkers[0].Addr.HostPort)
		time.Sleep(time.Second)
		listWithoutStart()
		la.submit(ow, 2, longRunning(30))
		time.Sleep(time.Second)
		la.assertRunning(42)
		ow.post(func() {
			wk := ow.soleIncarnation("i-0")
			wk.handleOtherIncarnation(wk.incarnation)
		})
		time.Sleep(10 * time.Second)
		la.assertRunning(42)
		qt.Check(t, la.runningAt("i-0") > 0, qt.IsTrue)
	})
}

// delayPollsOfRestarted delays the polls of processes that start after the call by d.
func delayPollsOfRestarted(d time.Duration) func(worker.Agent) worker.Agent {
	began := time.Now().UnixMilli()
	return func(ag worker.Agent) worker.Agent {
		poll := ag.PollFunc
		ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
			if ad.Incarnation.StartedMS > began && !clock.Sleep(ctx, d) {
				return worker.PollResult{}, ctx.Err()
			}
			return poll(ctx, ad, po)
		}
		return ag
	}
}

// TestOrderForAFormerIncarnationRunsOnce guards against tasks that run twice when their start
// is ordered from one process and carried out by the next one with the worker's id.
func TestOrderForAFormerIncarnationRunsOnce(t *testing.T) {
	for _, noStartTime := range []bool{false, true} {
		for late := 50 * time.Millisecond; late < time.Second; late += 50 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				la := newLab(t, 3)
				la.fleet.OmitStartTime = noStartTime
				la.wrapAgentFunc = delayPollsOfRestarted(200 * time.Millisecond)
				la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 9 * time.Second, "done" }
				ow, end := la.startOwner()
				defer end()
				time.Sleep(time.Second)
				for _, fw := range la.fleetWorkers {
					la.fleet.SetOrderDelay(fw, late)
				}
				la.submit(ow, 1, batch(1, 12))
				time.Sleep(10 * time.Millisecond)
				for _, fw := range la.fleetWorkers {
					la.fleet.SetOrderDelay(fw, 0)
				}
				la.restart(0, 0, la.fleetWorkers[0].Addr.HostPort)
				time.Sleep(2 * time.Second)
				ow.SetWorkers(la.workerEntries(), nil, true)
				time.Sleep(20 * time.Second)
				qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
				la.assertRunsConsistent()
			})
		}
	}
}

// TestFormerOwnersOrderForAFormerIncarnation guards against tasks that run twice when an order
// that a former owner sent reaches a worker's next process, at any moment after the change of
// owner.
func TestFormerOwnersOrderForAFormerIncarnation(t *testing.T) {
	for late := 50 * time.Millisecond; late < 3*time.Second; late += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 3)
			la.wrapAgentFunc = delayPollsOfRestarted(200 * time.Millisecond)
			la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 9 * time.Second, "done" }
			ow, end := la.startOwner()
			time.Sleep(time.Second)
			for _, fw := range la.fleetWorkers {
				la.fleet.SetOrderDelay(fw, late)
			}
			la.submit(ow, 1, batch(1, 12))
			time.Sleep(10 * time.Millisecond)
			end()
			for i, fw := range la.fleetWorkers {
				la.restart(i, 0, fw.Addr.HostPort)
			}
			time.Sleep(time.Second)
			ow, end = la.startOwner()
			defer end()
			time.Sleep(12 * time.Second)
			qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
			qt.Check(t, la.fleet.Runs(), qt.HasLen, 12)
			la.assertRunsConsistent()
		})
	}
}

// TestEndsOfTheNextIncarnationAreNotAcknowledgedUnseen guards against ends that are lost
// because a poll acknowledges them by the numbers of the former process: a restarted process
// ends tasks before it is first polled.
func TestEndsOfTheNextIncarnationAreNotAcknowledgedUnseen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 48
		la := newLab(t, 1)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 20 * time.Millisecond, "done" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, tasks))
		time.Sleep(5 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		la.fleet.SetOrderDelay(la.fleetWorkers[0], 50*time.Millisecond)
		la.submit(ow, 2, batch(1, 12))
		time.Sleep(10 * time.Millisecond)
		la.restart(0, 0, la.fleetWorkers[0].Addr.HostPort)
		time.Sleep(time.Second)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(5 * time.Second)
		qt.Check(t, la.state(ow, 2), qt.Equals, job.Succeeded)
		qt.Check(t, la.fleet.Runs(), qt.HasLen, tasks+12)
		la.assertRunsConsistent()
	})
}

// TestBusyOwnerAcknowledgesEnds guards against ends that are never acknowledged because the
// owner handles each answer half a second late.
func TestBusyOwnerAcknowledgesEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		var busy atomic.Pointer[Owner]
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			poll := ag.PollFunc
			ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
				res, err := poll(ctx, ad, po)
				if ow := busy.Load(); ow != nil {
					ow.post(func() { time.Sleep(ackWithin + 200*time.Millisecond) })
				}
				return res, err
			}
			return ag
		}
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 2 * time.Second, "done" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 4))
		busy.Store(ow)
		time.Sleep(10 * time.Second)
		busy.Store(nil)
		runs := la.fleet.Runs()
		qt.Assert(t, runs, qt.HasLen, 4)
		for _, ru := range runs {
			qt.Check(t, ru.AckedAt.IsZero(), qt.IsFalse)
		}
		// The owner may still be blocked in a sleep, which ends only while time passes.
		time.Sleep(time.Second)
	})
}
