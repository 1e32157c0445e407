package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// orderLate submits tasks, whose orders to start the first worker carries out late.
func (cl *cluster) orderLate(owner *clusterHost, late time.Duration) *standin.FleetWorker {
	former := cl.fleetWorkers[0]
	cl.fleet.SetOrderDelay(former, late)
	qt.Assert(cl.t, cl.submit(owner.ow.Load(), 2, longRunning(misdirectedTasks)).Outcome, qt.Equals, Accepted)
	time.Sleep(10 * time.Millisecond)
	return former
}

// TestLateStartsAtUnreachableProcesses guards against a task that runs twice: a worker restarts out of
// reach, and its next process carries out a late order that no poll has listed. The list names the next
// process, still the former one, or neither, to an owner that stays or to its successor.
func TestLateStartsAtUnreachableProcesses(t *testing.T) {
	for _, listed := range []string{"next", "former", "none"} {
		for _, lost := range []bool{false, true} {
			for _, late := range []time.Duration{2 * time.Second, 4 * time.Second} {
				t.Run(fmt.Sprintf("%s listed/owner lost: %v/after %v", listed, lost, late), func(t *testing.T) {
					withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
						former := cl.orderLate(owner, late)
						entry := cl.workerEntries()[0]
						cl.cutOffWorker(former)
						switch listed {
						case "former":
							cl.staleEntries = map[int]*WorkerEntry{0: &entry}
						case "none":
							cl.staleEntries = map[int]*WorkerEntry{0: nil}
						}
						next := cl.restartWorker(0, 50*time.Millisecond)
						cl.cutOffWorker(next)
						cl.updateLists()
						if lost {
							owner.kill()
						}
						time.Sleep(late)
						qt.Assert(t, cl.running()[next.Addr.Incarnation] > 0, qt.IsTrue)
						time.Sleep(40 * time.Second)
						cl.assertRunning(hostsTasks + misdirectedTasks)
					})
				})
			}
		}
	}
}

// TestLateStartsAfterTwoRestarts guards against a task that runs twice: the next process of a worker
// answers its owner, so its tasks start elsewhere, and the one after that, out of reach, has seen no
// fencing token when it carries out the order to start one.
func TestLateStartsAfterTwoRestarts(t *testing.T) {
	for _, late := range []time.Duration{2 * time.Second, 8 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
				cl.orderLate(owner, late)
				cl.restartWorker(0, 50*time.Millisecond)
				cl.updateLists()
				time.Sleep(time.Second)
				cl.cutOffWorker(cl.fleetWorkers[0])
				next := cl.restartWorker(0, 50*time.Millisecond)
				cl.cutOffWorker(next)
				cl.updateLists()
				time.Sleep(40 * time.Second)
				cl.assertRunning(hostsTasks + misdirectedTasks)
			})
		})
	}
}
