package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// listAs replaces the list entry of worker i, without a change of its process.
func (cl *cluster) listAs(i int, ad worker.Addr) *standin.FleetWorker {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	entry := &standin.FleetWorker{Addr: ad, Capacity: cl.fleetWorkers[i].Capacity}
	cl.fleetWorkers[i] = entry
	return entry
}

// withoutStartTime returns an address whose incarnation lacks its start time.
func withoutStartTime(ad worker.Addr) worker.Addr {
	ad.Incarnation.StartedMS = 0
	return ad
}

// TestLateEntryOfFormerProcess guards against tasks that run twice: a next owner meets the entry of a worker's
// former process, while the next one runs tasks, and ends them once that answers.
func TestLateEntryOfFormerProcess(t *testing.T) {
	for _, age := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 15 * time.Second} {
		for _, lo := range ownerLosses {
			t.Run(fmt.Sprintf("%v/%s", age, lo.name), func(t *testing.T) {
				sixHosts{workers: 4, maxLease: 10 * time.Second}.run(t, func(cl *cluster, owner *clusterHost) {
					former := cl.fleetWorkers[0]
					next := cl.restartWorker(0, 50*time.Millisecond)
					owner.ow.Load().SetWorkers(cl.listedWorkers(), nil, true)
					time.Sleep(250 * time.Millisecond)
					qt.Assert(t, cl.submit(owner.ow.Load(), 3, longRunningOf(nextTasks, 8)).Outcome, qt.Equals, Accepted)
					time.Sleep(age)
					qt.Assert(t, cl.running()[next.Addr.Incarnation] > 0, qt.IsTrue)
					lo.lose(cl, owner)
					cl.cutOffWorker(next)
					cl.listAs(0, former.Addr)
					time.Sleep(40 * time.Second)
					cl.assertRunning(hostsTasks + nextTasks)
				})
			})
		}
	}
}

// TestNextOwnerMeetsFormerEntryFirst guards against tasks that run twice: a next owner sees the entry of a worker's
// next process, which carries out a late order, only after that of the former one.
func TestNextOwnerMeetsFormerEntryFirst(t *testing.T) {
	const restart = 2500 * time.Millisecond
	for _, lo := range ownerLosses {
		for _, late := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprintf("%s/%v", lo.name, late), func(t *testing.T) {
				withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
					former := cl.orderLate(owner, late)
					lo.lose(cl, owner)
					cl.cutOffWorker(former)
					cl.fleet.Kill(former)
					time.Sleep(restart)
					next := cl.restartWorker(0, 0)
					cl.cutOffWorker(next)
					for _, ch := range cl.hosts {
						if ow := ch.ow.Load(); ow != nil && ch != owner {
							ow.SetWorkers(cl.listedWorkers(), nil, true)
						}
					}
					time.Sleep(late - restart + 20*time.Millisecond)
					qt.Assert(t, cl.running()[next.Addr.Incarnation] > 0, qt.IsTrue)
					time.Sleep(40 * time.Second)
					cl.assertRunning(hostsTasks + misdirectedTasks)
				})
			})
		}
	}
}

// TestLateOrderListedBeforeItsProcessSettles guards against a task that runs twice: the first answer of a worker's
// next process lists a late order, but has an outdated fencing token.
func TestLateOrderListedBeforeItsProcessSettles(t *testing.T) {
	for _, ownerLost := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner lost %v", ownerLost), func(t *testing.T) {
			sixHosts{workers: 4, maxLease: 10 * time.Second}.run(t, func(cl *cluster, owner *clusterHost) {
				former := cl.orderLate(owner, 110*time.Millisecond)
				owner.setUnreachable(former)
				next := cl.restartWorker(0, 50*time.Millisecond)
				owner.setUnreachable(next)
				ow := owner.ow.Load()
				ow.SetWorkers(cl.listedWorkers(), nil, true)
				time.Sleep(10 * time.Millisecond)
				// As when the former process gets another relay.
				ow.post(func() { ow.workers[former.Addr.Incarnation].raiseFence() })
				time.Sleep(50 * time.Millisecond)
				qt.Assert(t, cl.running()[next.Addr.Incarnation] > 0, qt.IsTrue)
				owner.set(func(ch *clusterHost) { ch.reachableOnce = map[worker.Incarnation]bool{next.Addr.Incarnation: true} })
				time.Sleep(time.Second)
				if ownerLost {
					owner.kill()
				}
				cl.cutOffWorker(next)
				time.Sleep(40 * time.Second)
				cl.assertRunning(hostsTasks + misdirectedTasks)
			})
		})
	}
}

// TestLostWorkersEntriesWithoutStartTime guards against tasks of a lost worker that wait longer because its entry,
// other than its answers, lacks the start time of its process.
func TestLostWorkersEntriesWithoutStartTime(t *testing.T) {
	for _, lo := range ownerLosses {
		t.Run(lo.name, func(t *testing.T) {
			sixHosts{workers: 4, maxLease: 10 * time.Second}.run(t, func(cl *cluster, owner *clusterHost) {
				lost := cl.busyWorker()
				cl.fleet.Kill(lost)
				lo.lose(cl, owner)
				for i, fw := range cl.fleetWorkers {
					if entry := cl.listAs(i, withoutStartTime(fw.Addr)); fw == lost {
						cl.cutOffWorker(entry)
					}
				}
				began := time.Now()
				time.Sleep(40 * time.Second)
				qt.Check(t, cl.lastStart().Sub(began) < tenure.UnreachableTimeout+time.Second+lostRestartDeadline, qt.IsTrue)
			})
		})
	}
}

// TestLateStartsBehindEntriesWithoutStartTime guards against a task that runs twice: a worker's entry does not show
// that another process, which carries out a late order, has replaced the former one.
func TestLateStartsBehindEntriesWithoutStartTime(t *testing.T) {
	for _, late := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second, 12 * time.Second} {
		for _, lo := range ownerLosses {
			t.Run(fmt.Sprintf("%v/%s", late, lo.name), func(t *testing.T) {
				withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
					former := cl.orderLate(owner, late)
					lo.lose(cl, owner)
					cl.cutOffWorker(former)
					next := cl.restartWorker(0, 50*time.Millisecond)
					cl.cutOffWorker(next)
					cl.cutOffWorker(cl.listAs(0, withoutStartTime(next.Addr)))
					time.Sleep(late)
					qt.Assert(t, cl.running()[next.Addr.Incarnation] > 0, qt.IsTrue)
					time.Sleep(40 * time.Second)
					cl.assertRunning(hostsTasks + misdirectedTasks)
				})
			})
		}
	}
}

// TestLaggingOwnerExtendsLeases guards against attempts that lapse because their owner handles answers late.
func TestLaggingOwnerExtendsLeases(t *testing.T) {
	sixHosts{workers: 3, maxLease: 10 * time.Second}.run(t, func(cl *cluster, owner *clusterHost) {
		ow := owner.ow.Load()
		for range 6 {
			ow.post(func() { time.Sleep(5500 * time.Millisecond) })
			time.Sleep(5600 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		for _, ru := range cl.fleet.Runs() {
			qt.Check(t, ru.Outcome, qt.Not(qt.Equals), "lapsed", qt.Commentf("attempt %v", ru.Attempt))
		}
	})
}
