package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/copies"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/speed"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// slowTasks is an owner without a loop that has a worker which is confirmed to be slow, with four
// tasks, and a healthy one without any.
type slowTasks struct {
	ow            *Owner
	slow, healthy *workerState
	list          []*attempt
}

func newSlowTasks(t *testing.T) *slowTasks {
	t.Helper()
	ow := ownerWithoutLoop(t)
	ow.Agent.HaltFunc = func(context.Context, worker.Addr, worker.Halt) (worker.Ack, error) { return worker.Ack{}, nil }
	ow.restoreDurations(storedDurations{durationsRow: durationsRow{Kinds: []speed.KindEstimate{{First: 31, Weights: []int{50, 50}}}}})
	sl := &slowTasks{ow: ow, slow: addEmptyWorker(ow, "slow"), healthy: addEmptyWorker(ow, "healthy")}
	sl.slow.path.Store(ow.newPath(sl.slow.WorkerEntry))
	for n := range 4 {
		tj := addJob(ow, n, job.Step{Tasks: 1, EstimateMS: 1000, Copies: true, Each: worker.Resources{MilliCores: 2000, MemMB: 1000}})
		tj.jo.Terms.MaxFailures = 3
		at := &attempt{wk: sl.slow, tj: tj, number: tj.jo.Start(job.TaskRef{}, sl.slow.incarnation), pace: fullPace, launchedAt: time.Now()}
		at.speed.Begin(time.Now())
		sl.slow.addAttempt(at)
		sl.list = append(sl.list, at)
	}
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		now := time.Now()
		sl.slow.speed.recordPoll(0, 0, now)
		for _, at := range sl.list {
			at.progress, at.lastSeenAt = at.progress+6, now
			at.observeProgress(now)
		}
		sl.slow.judgeSpeed(now)
	}
	qt.Assert(t, sl.slow.speed.Confirmed(time.Now()), qt.IsTrue)
	return sl
}

// stopped moves tasks off the slow worker and returns how many were stopped so far.
func (sl *slowTasks) stopped() int {
	sl.ow.moveOffSlow(time.Now())
	n := 0
	for _, at := range sl.list {
		if !at.haltSentAt.IsZero() {
			n++
		}
	}
	return n
}

// TestMovesShareCapacityOnce guards against tasks that are stopped for capacity which is meant for
// a task that was stopped a tick before.
func TestMovesShareCapacityOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newSlowTasks(t)
		sl.healthy.Capacity.MilliCores = 2000
		qt.Assert(t, sl.stopped(), qt.Equals, 1)
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, sl.stopped(), qt.Equals, 1)
	})
}

// TestNoMoveToColdWorker guards against tasks that are stopped though only a cold worker, which is
// slow too, could run them.
func TestNoMoveToColdWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newSlowTasks(t)
		sl.healthy.coldUntil = time.Now().Add(time.Minute)
		qt.Check(t, sl.stopped(), qt.Equals, 0)
	})
}

// TestNoMoveBesideOtherAttempt guards against stops of an attempt whose task has another one: both
// could be stopped at once, or the other one of a task that is done before that is durable.
func TestNoMoveBesideOtherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newSlowTasks(t)
		for _, at := range sl.list {
			qt.Assert(t, at.tj.jo.StartCopy(at.ref, sl.healthy.incarnation), qt.Equals, 2)
		}
		sl.list[0].tj.jo.End(job.TaskRef{}, 2, job.EndDone, "")
		qt.Check(t, sl.stopped(), qt.Equals, 0)
	})
}

// TestNoCopyOnSlowWorker guards against copies on workers that count as slow or are cold.
func TestNoCopyOnSlowWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newSlowTasks(t)
		tj := addJob(sl.ow, 9, job.Step{Tasks: 1, EstimateMS: 1000, Copies: true})
		tj.jo.Terms.MaxFailures = 3
		at := &attempt{wk: sl.healthy, tj: tj, number: tj.jo.Start(job.TaskRef{}, sl.healthy.incarnation)}
		sl.healthy.addAttempt(at)
		cold := addEmptyWorker(sl.ow, "cold")
		cold.coldUntil = time.Now().Add(time.Minute)
		sl.ow.sortedWorkerCache = nil
		sl.ow.newPlacer().startCopy(at, &copies.Plan{}, copies.Choice{})
		qt.Assert(t, tj.attempts, qt.HasLen, 1)
		cold.coldUntil = time.Time{}
		sl.ow.newPlacer().startCopy(at, &copies.Plan{}, copies.Choice{})
		qt.Assert(t, tj.attempts, qt.HasLen, 2)
	})
}

// TestRemainingWorkCountsTaskOnce guards against work that is subtracted for both attempts of a
// task, or for the rest of a task that is done.
func TestRemainingWorkCountsTaskOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newSlowTasks(t)
		at := sl.list[0]
		left := func() int64 {
			list, _ := at.tj.remainingWork(time.Now())
			return list[kindOf(at.step())].Left
		}
		before := left()
		number := at.tj.jo.StartCopy(at.ref, sl.healthy.incarnation)
		other := &attempt{wk: sl.healthy, tj: at.tj, number: number, launchedAt: time.Now(), progress: 10}
		sl.healthy.addAttempt(other)
		qt.Check(t, left(), qt.Equals, before)
		at.tj.jo.End(at.ref, number, job.EndDone, "")
		sl.healthy.removeAttempt(other)
		delete(at.tj.attempts, other.key())
		qt.Check(t, left(), qt.Equals, int64(0))
	})
}

// TestLateAnswerIsNoSlowness guards against copies of tasks that seem slow because the answer to a
// poll was late.
func TestLateAnswerIsNoSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := ownerWithoutLoop(t)
		wk, tj := addEmptyWorker(ow, "w"), addJob(ow, 1, job.Step{Tasks: 2, EstimateMS: 1000})
		for index, inherited := range []bool{false, true} {
			ref := job.TaskRef{Index: index}
			at := &attempt{ref: ref, wk: wk, tj: tj, number: tj.jo.Start(ref, wk.incarnation), inherited: inherited, pace: fullPace}
			wk.addAttempt(at)
			poll := func(clock time.Time, percent int) {
				wk.speed.recordPoll(clock.UnixMilli(), 0, time.Now())
				wk.handleRunning(worker.PollResult{ClockMS: clock.UnixMilli(), Running: []worker.RunningAttempt{{Attempt: at.name(), Percent: percent}}}, time.Now())
			}
			began := time.Now()
			if inherited {
				poll(began, 0)
			} else {
				at.beginObservation(worker.Ack{ClockMS: began.UnixMilli()}, nil)
				wk.markStarted(at, began)
			}
			time.Sleep(900 * time.Millisecond)
			poll(began.Add(300*time.Millisecond), 30)
			ca := at.copyInput("w", time.Now())
			qt.Check(t, []any{ca.Worked, ca.Done}, qt.DeepEquals, []any{300 * time.Millisecond, 30})
		}
	})
}

// TestQuickPollsCountOnce guards against the evidence of an attempt that is counted once for each of
// several polls in a row, which would make healthy workers count as slow.
func TestQuickPollsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newSlowTasks(t)
		for range 6 {
			time.Sleep(60 * time.Millisecond)
			now := time.Now()
			sl.slow.speed.recordPoll(0, 0, now)
			for _, at := range sl.list {
				at.progress, at.lastSeenAt = at.progress+1, now
				at.observeProgress(now)
			}
			sl.slow.judgeSpeed(now)
		}
		qt.Assert(t, sl.slow.speed.Inputs().Attempts, qt.Equals, len(sl.list))
	})
}
