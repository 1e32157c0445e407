package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// slowStops makes a worker's attempts end some time after the order to stop them.
func slowStops(d time.Duration) func(worker.Agent) worker.Agent {
	return func(ag worker.Agent) worker.Agent {
		halt := ag.HaltFunc
		ag.HaltFunc = func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
			time.AfterFunc(d, func() { _, _ = halt(context.WithoutCancel(ctx), ad, ha) })
			return worker.Ack{}, nil
		}
		return ag
	}
}

// interruptedBesideFullWorker starts an owner of two workers of 32 cores. The first runs jobs 1
// and 2, of one task of 16 cores each, the second is lost with job 3, of two such tasks. The lab is
// changed by the given functions before the owner starts.
func interruptedBesideFullWorker(t *testing.T, change ...func(*lab)) (*lab, *Owner, context.CancelFunc) {
	t.Helper()
	la := newLab(t, 1)
	la.fleet.RunFunc = runUntilStopped
	la.wrapAgentFunc = slowStops(800 * time.Millisecond)
	for _, fn := range change {
		fn(la)
	}
	ow, end := la.startOwner()
	time.Sleep(time.Second)
	la.submit(ow, 1, longRunningOf(1, 16))
	la.submit(ow, 2, longRunningOf(1, 16))
	time.Sleep(time.Second)
	la.addWorker(1)
	ow.SetWorkers(la.workerEntries(), nil, true)
	la.submit(ow, 3, longRunningOf(2, 16))
	time.Sleep(crashBlameLimit + 3*time.Second)
	qt.Assert(t, []int{la.runningOfJob(1), la.runningOfJob(2), la.runningOfJob(3)}, qt.DeepEquals, []int{1, 1, 2})
	lost := la.fleetWorkers[1]
	la.fleet.Kill(lost)
	ow.SetWorkers(nil, []string{lost.Addr.Incarnation.ID}, false)
	time.Sleep(15 * time.Second)
	qt.Assert(t, la.runningOfJob(3), qt.Equals, 0)
	return la, ow, end
}

// TestQueuedTaskOfLostWorkerRunsElsewhere guards against a task that stays queued on a lost worker.
func TestQueuedTaskOfLostWorkerRunsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow, end := interruptedBesideFullWorker(t)
		defer end()
		_, err := ow.Cancel(context.Background(), jobID(1))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(500 * time.Millisecond)
		first := la.fleetWorkers[0]
		la.fleet.Kill(first)
		ow.SetWorkers(nil, []string{first.Addr.Incarnation.ID}, false)
		la.addWorker(2)
		la.addWorker(3)
		ow.SetWorkers(la.workerEntries()[2:], nil, true)
		time.Sleep(3 * time.Second)
		qt.Check(t, la.runningOfJob(3), qt.Equals, 2)
		time.Sleep(15 * time.Second)
		qt.Check(t, la.runningOfJob(2), qt.Equals, 1)
		la.assertRunsConsistent()
	})
}

// TestQueuedTaskOfCancelledJobDoesNotRun guards against a queued task that starts after its job ended.
func TestQueuedTaskOfCancelledJobDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow, end := interruptedBesideFullWorker(t)
		defer end()
		for _, n := range []int{1, 3} {
			_, err := ow.Cancel(context.Background(), jobID(n))
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		qt.Check(t, []int{la.runningOfJob(2), la.runningOfJob(3)}, qt.DeepEquals, []int{1, 0})
		qt.Check(t, la.state(ow, 3), qt.Equals, job.Cancelled)
		count := 0
		for _, ru := range la.fleet.Runs() {
			if id, _, _ := job.ParseTaskID(ru.Task); id == jobID(3) {
				count++
			}
		}
		qt.Check(t, count, qt.Equals, 2)
	})
}

// TestQueuedTaskIsNotBlamedForEndedWorker guards against an order to a process known to have ended.
func TestQueuedTaskIsNotBlamedForEndedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow, end := interruptedBesideFullWorker(t)
		defer end()
		first := la.fleetWorkers[0]
		_, err := ow.Cancel(context.Background(), jobID(1))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(300 * time.Millisecond)
		losses := make(chan int, 1)
		ow.post(func() {
			wk := ow.workers[first.Addr.Incarnation]
			var other, queued *attempt
			for at := range wk.attempts {
				switch {
				case at.queued:
					queued = at
				case at.tj.jo.ID == jobID(2):
					other = at
				}
			}
			ow.handleLaunchAnswer(other, worker.Ack{}, time.Now(), time.Now(), worker.ErrOtherIncarnation)
			losses <- queued.task().Losses
		})
		qt.Check(t, <-losses, qt.Equals, 0)
	})
}

// TestQueuedStartLeavesCapacityToHigherPriority guards against queued starts that overtake a priority.
func TestQueuedStartLeavesCapacityToHigherPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow, end := interruptedBesideFullWorker(t)
		defer end()
		ow.post(func() {
			for _, n := range []int{1, 2, 3} {
				ow.jobs[jobID(n)].jo.Terms.Priority = 1
			}
		})
		la.submit(ow, 4, longRunningOf(1, 16))
		time.Sleep(time.Second)
		_, err := ow.Cancel(context.Background(), jobID(1))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(5 * time.Second)
		qt.Check(t, []int{la.runningOfJob(3), la.runningOfJob(4)}, qt.DeepEquals, []int{0, 1})
	})
}
