package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestLateStartsAfterAnAnswer guards against a task that runs twice: its worker leaves the order without an answer,
// answers polls that do not list the attempt, and restarts out of reach, where its next process carries out the order.
func TestLateStartsAfterAnAnswer(t *testing.T) {
	for _, late := range []time.Duration{4 * time.Second, 8 * time.Second, 12 * time.Second} {
		for _, answers := range []time.Duration{time.Second, 3500 * time.Millisecond} {
			for _, lost := range []int{0, 1, 2} {
				t.Run(fmt.Sprintf("after %v/answers for %v/owners lost: %d", late, answers, lost), func(t *testing.T) {
					withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
						former := cl.orderLate(owner, late)
						cl.fleet.SetOrderDelay(former, 0)
						time.Sleep(answers)
						cl.assertRunning(hostsTasks + misdirectedTasks)
						cl.cutOffWorker(former)
						next := cl.restartWorker(0, 50*time.Millisecond)
						cl.cutOffWorker(next)
						cl.updateLists()
						cl.loseOwners(lost)
						time.Sleep(late - answers)
						qt.Assert(t, cl.running()[next.Addr.Incarnation] > 0, qt.IsTrue)
						time.Sleep(50 * time.Second)
						cl.assertRunning(hostsTasks + misdirectedTasks)
					})
				})
			}
		}
	}
}

// loseOwners kills the owner of the cell, and the following ones as soon as they have claimed it.
func (cl *cluster) loseOwners(n int) {
	for range n {
		for !cl.ownedByAny() {
			time.Sleep(100 * time.Millisecond)
		}
		for _, ch := range cl.hosts {
			if !ch.isRestarted() && ch.owns() {
				ch.kill()
			}
		}
	}
}

func (cl *cluster) ownedByAny() bool {
	for _, ch := range cl.hosts {
		if !ch.isRestarted() && ch.ow.Load() != nil && ch.owns() {
			return true
		}
	}
	return false
}

// TestLateStartsWhereTheNextProcessIsReached guards against a task that runs twice: the next process of a worker
// carries out a late order before it is first polled, while the task runs elsewhere or starts again there.
func TestLateStartsWhereTheNextProcessIsReached(t *testing.T) {
	for late := 2100 * time.Millisecond; late < 2700*time.Millisecond; late += 50 * time.Millisecond {
		t.Run(late.String(), func(t *testing.T) {
			withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
				former := cl.orderLate(owner, late)
				cl.fleet.SetOrderDelay(former, 0)
				time.Sleep(2 * time.Second)
				cl.restartWorker(0, 50*time.Millisecond)
				time.Sleep(500 * time.Millisecond)
				cl.updateLists()
				time.Sleep(5 * time.Second)
				cl.assertRunning(hostsTasks + misdirectedTasks)
			})
		})
	}
}

// TestUnansweredTasksStartAgainOnTheirWorker guards against tasks that wait until orders without an answer can no
// longer be carried out, although their worker answers.
func TestUnansweredTasksStartAgainOnTheirWorker(t *testing.T) {
	withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
		former := cl.orderLate(owner, 8*time.Second)
		cl.fleet.SetOrderDelay(former, 0)
		before := len(cl.tasksAt(former))
		time.Sleep(time.Second)
		qt.Check(t, len(cl.tasksAt(former)), qt.Equals, before+misdirectedTasks)
		time.Sleep(20 * time.Second)
		cl.assertRunning(hostsTasks + misdirectedTasks)
	})
}

// TestUnansweredTasksOfAReplacedWorker guards against tasks that wait for orders without an answer although another
// worker, which refuses them, has the address that they were sent to.
func TestUnansweredTasksOfAReplacedWorker(t *testing.T) {
	for _, lost := range []int{0, 1} {
		t.Run(fmt.Sprintf("owners lost: %d", lost), func(t *testing.T) {
			withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
				former := cl.orderLate(owner, 20*time.Second)
				cl.fleet.Kill(former)
				next := &standin.FleetWorker{Addr: worker.Addr{HostPort: former.Addr.HostPort, Incarnation: worker.Incarnation{ID: "i-next"}}, Capacity: former.Capacity}
				cl.fleet.Add(next)
				cl.mu.Lock()
				cl.fleetWorkers[0] = next
				cl.mu.Unlock()
				cl.loseOwners(lost)
				cl.updateLists()
				time.Sleep(11 * time.Second)
				cl.assertRunning(hostsTasks + misdirectedTasks)
			})
		})
	}
}

// TestLateStartOfADoneTask guards against a task that runs again after it was done: its first order had no answer, its
// second attempt is done, and then the worker restarts out of reach and carries out the first order.
func TestLateStartOfADoneTask(t *testing.T) {
	withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
		cl.fleet.SetRunFunc(func(worker.Attempt) (time.Duration, string) { return time.Second, "done" })
		former := cl.fleetWorkers[0]
		cl.fleet.SetOrderDelay(former, 5*time.Second)
		qt.Assert(t, cl.submit(owner.ow.Load(), 2, batch(1, misdirectedTasks)).Outcome, qt.Equals, Accepted)
		time.Sleep(10 * time.Millisecond)
		cl.fleet.SetOrderDelay(former, 0)
		time.Sleep(3 * time.Second)
		qt.Assert(t, cl.state(owner.ow.Load(), 2), qt.Equals, job.Succeeded)
		cl.cutOffWorker(former)
		cl.cutOffWorker(cl.restartWorker(0, 50*time.Millisecond))
		time.Sleep(5 * time.Second)
		cl.assertRunsConsistent()
	})
}

// TestUnansweredTasksKeepTheirCapacity guards against tasks that wait for 12 s as others take their capacity on the only
// worker on which they may start, once their orders had no answer.
func TestUnansweredTasksKeepTheirCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 16
		la := newLab(t, 1)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.fleet.SetOrderDelay(la.fleetWorkers[0], 20*time.Second)
		la.submit(ow, 1, batch(2, tasks))
		time.Sleep(10 * time.Millisecond)
		la.fleet.SetOrderDelay(la.fleetWorkers[0], 0)
		la.submit(ow, 2, batch(1, tasks))
		time.Sleep(2 * time.Second)
		qt.Check(t, []int{la.runningOfJob(1), la.runningOfJob(2)}, qt.DeepEquals, []int{tasks, 0})
	})
}
