package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// withThreeHosts runs test on a cell whose first host owns it and runs long-running tasks on
// two workers. The second and third host take over in this order.
func withThreeHosts(t *testing.T, test func(cl *cluster, first, second, third *clusterHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{lab: newLab(t, 2)}
		defer cl.stop()
		cl.fleet.RunFunc = runUntilStopped
		first := cl.startHost("a", 0.8)
		time.Sleep(time.Second)
		second, third := cl.startHost("b", 0.8), cl.startHost("c", 0.5)
		time.Sleep(time.Second)
		qt.Assert(t, cl.submit(first.ow.Load(), 1, longRunning(4)).Outcome, qt.Equals, Accepted)
		time.Sleep(time.Second)
		cl.assertRunning(4)
		test(cl, first, second, third)
	})
}

// busyWorker returns a worker that runs a task.
func (cl *cluster) busyWorker() *standin.FleetWorker {
	for _, fw := range cl.fleetWorkers {
		if cl.running()[fw.Addr.Incarnation] > 0 {
			return fw
		}
	}
	cl.t.Fatal("no worker runs anything")
	return nil
}

// TestThirdOwnerWaitsForTheFirst guards against a task that runs twice. The first owner is
// cut off from the store together with a worker, whose leases it extends for some seconds
// more. The second owner dies soon after its takeover. The third one learns from the second
// one's host when that owner ceased to act. It must not compute lease expiries from then,
// because the first may still extend leases.
func TestThirdOwnerWaitsForTheFirst(t *testing.T) {
	withThreeHosts(t, func(cl *cluster, first, second, third *clusterHost) {
		cl.partitionWith(first, cl.busyWorker())
		cl.awaitOwner(second)
		time.Sleep(300 * time.Millisecond)
		second.kill()
		cl.awaitOwner(third)
		time.Sleep(20 * time.Second)
		cl.assertRunning(4)
	})
}

// TestCellReleasedBeforeLoad guards against a task that runs twice. The second owner releases
// the cell before it has read it, as at a planned stop while the store is slow. The third one
// must not take a released cell for one whose former owners have all ceased to act.
func TestCellReleasedBeforeLoad(t *testing.T) {
	withThreeHosts(t, func(cl *cluster, first, second, third *clusterHost) {
		second.set(func(ch *clusterHost) { ch.readsBlocked = true })
		cl.partitionWith(first, cl.busyWorker())
		cl.awaitOwner(second)
		time.Sleep(300 * time.Millisecond)
		second.keeper.Release(tenure.HeartbeatTimeout)
		cl.awaitOwner(third)
		time.Sleep(20 * time.Second)
		cl.assertRunning(4)
	})
}

// TestRestartTimeAfterOwnerAndWorkerLoss loses a worker together with its owner, and measures
// when its tasks restart: a lease of 6 s by the slowest clock after the former owner is known
// to have ceased to act. The wait for still earlier owners must not delay this if they are
// known to have ceased.
func TestRestartTimeAfterOwnerAndWorkerLoss(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lose loses the owners, the last of them together with a busy worker.
		lose    func(cl *cluster, first, second *clusterHost)
		maxTime time.Duration
	}{
		{"its host answers", func(cl *cluster, first, _ *clusterHost) { cl.killWorkerAndOwner(first) }, 8600 * time.Millisecond},
		{"its host never answers", func(cl *cluster, first, _ *clusterHost) {
			first.set(func(ch *clusterHost) { ch.partitioned = true })
			cl.killWorkerAndOwner(first)
		}, 16200 * time.Millisecond},
		{"all hosts lose power", func(cl *cluster, first, _ *clusterHost) {
			for _, ch := range cl.hosts {
				ch.kill()
			}
			cl.killWorkerAndOwner(first)
			time.Sleep(500 * time.Millisecond)
			cl.startHost("b", 0.8)
			cl.startHost("c", 0.5)
		}, 9 * time.Second},
		{"the former owner had stopped a second before", func(cl *cluster, first, second *clusterHost) {
			first.keeper.Release(tenure.HeartbeatTimeout)
			cl.awaitOwner(second)
			time.Sleep(time.Second)
			cl.killWorkerAndOwner(second)
		}, 8600 * time.Millisecond},
		{"the former owner was lost a second before, and its host answers", func(cl *cluster, first, second *clusterHost) {
			first.kill()
			cl.awaitOwner(second)
			time.Sleep(time.Second)
			cl.killWorkerAndOwner(second)
		}, 8600 * time.Millisecond},
		{"the next owner stops before a heartbeat says that its host answered", func(cl *cluster, first, second *clusterHost) {
			cl.killWorkerAndOwner(first)
			cl.awaitOwner(second)
			time.Sleep(50 * time.Millisecond)
			second.keeper.Release(tenure.HeartbeatTimeout)
		}, 8600 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withThreeHosts(t, func(cl *cluster, first, second, _ *clusterHost) {
				tc.lose(cl, first, second)
				lost := cl.lostAt
				time.Sleep(20 * time.Second)
				cl.assertRunning(4)
				began := cl.lastStart()
				t.Logf("all tasks ran again %v after the loss", began.Sub(lost))
				qt.Assert(t, began.Sub(lost) < tc.maxTime, qt.IsTrue)
			})
		})
	}
}

// lastStart returns when the last of the attempts that run began.
func (cl *cluster) lastStart() time.Time {
	began := time.Time{}
	for _, ru := range cl.fleet.Runs() {
		if ru.Until.IsZero() && ru.From.After(began) {
			began = ru.From
		}
	}
	return began
}

// killWorkerAndOwner kills a busy worker and then the given host, which owns the cell.
func (cl *cluster) killWorkerAndOwner(ch *clusterHost) {
	cl.fleet.Kill(cl.busyWorker())
	ch.kill()
	cl.lostAt = time.Now()
}

// TestOwnerThatLoadsNothingPassesOnLeaseExpiries guards against tasks of a lost worker that
// restart late. The first owner hands over its lease expiries as it stops. The second one
// stops before it has read the cell. If it does not hand over what it received, the third one
// waits from the beginning.
func TestOwnerThatLoadsNothingPassesOnLeaseExpiries(t *testing.T) {
	withThreeHosts(t, func(cl *cluster, first, second, third *clusterHost) {
		second.set(func(ch *clusterHost) { ch.readsBlocked = true })
		cl.fleet.Kill(cl.busyWorker())
		lost := time.Now()
		time.Sleep(3 * time.Second)
		first.keeper.Release(tenure.HeartbeatTimeout)
		cl.awaitOwner(second)
		time.Sleep(500 * time.Millisecond)
		second.keeper.Release(tenure.HeartbeatTimeout)
		cl.awaitOwner(third)
		// The lease by the slowest clock, the margins, and a second to notice and start.
		time.Sleep(time.Until(lost.Add(8 * time.Second)))
		cl.assertRunning(4)
	})
}

// TestBoundOnUnknownLeasesIsNotHandedOver guards against tasks of a lost worker that restart late.
// The second owner stops before it knows anything of the first one's leases. If the third one takes
// the second one's bound for what is known, it waits longer than if it had claimed the cell itself.
func TestBoundOnUnknownLeasesIsNotHandedOver(t *testing.T) {
	withThreeHosts(t, func(cl *cluster, first, second, third *clusterHost) {
		first.set(func(ch *clusterHost) { ch.partitioned = true })
		third.set(func(ch *clusterHost) { ch.partitioned = true })
		cl.killWorkerAndOwner(first)
		cl.awaitOwner(second)
		time.Sleep(200 * time.Millisecond)
		second.keeper.Release(tenure.HeartbeatTimeout)
		third.set(func(ch *clusterHost) { ch.partitioned = false })
		cl.awaitOwner(third)
		// As without the second owner, and the time until the released cell is claimed.
		time.Sleep(time.Until(cl.lostAt.Add(17200 * time.Millisecond)))
		cl.assertRunning(4)
	})
}

// TestWorkerPolledWithoutExtendingLease guards against a task that runs twice. A new owner
// that the store no longer confirms polls a worker once, extends no lease, and loses the
// connection again. Although it has granted no lease itself, one that the former owner granted
// may still run.
func TestWorkerPolledWithoutExtendingLease(t *testing.T) {
	withThreeHosts(t, func(cl *cluster, first, second, third *clusterHost) {
		down := standin.Fault{Mode: standin.ModeDown}
		third.gate.Set(down)
		fw := cl.busyWorker()
		cl.partitionWith(first, fw)
		cl.awaitOwner(second)
		time.Sleep(50 * time.Millisecond)
		second.gate.Set(down)
		time.Sleep(tenure.ExtendFor)
		second.set(func(ch *clusterHost) { ch.reachableOnce = map[worker.Incarnation]bool{fw.Addr.Incarnation: true} })
		time.Sleep(pollRetry + unresponsiveAfter)
		second.gate.Set(standin.Fault{})
		time.Sleep(10 * time.Second)
		cl.assertRunning(4)
	})
}

// TestResumedOwnerReportsItsLastLease guards against long-running tasks that do not run for
// 18 s. The owner's host freezes for 8 s and a worker is lost for good at the same moment.
// The next owner cannot know until when the first one extended that worker's leases; the
// first one resumes and learns that it was replaced. The leases must not be counted from that
// moment, because the first owner has extended none since it froze.
func TestResumedOwnerReportsItsLastLease(t *testing.T) {
	withThreeHosts(t, func(cl *cluster, first, second, _ *clusterHost) {
		fw := cl.busyWorker()
		first.gate.Set(standin.Fault{Mode: standin.ModeDown})
		first.set(func(ch *clusterHost) {
			ch.partitioned = true
			for _, fw := range cl.fleetWorkers {
				ch.unreachable[fw.Addr.Incarnation] = true
			}
		})
		cl.fleet.Kill(fw)
		cl.awaitOwner(second)
		time.Sleep(8 * time.Second)
		first.set(func(ch *clusterHost) { ch.partitioned = false })
		time.Sleep(1500 * time.Millisecond)
		cl.assertRunning(4)
	})
}

// maxRestartTime is the time within which tasks of a lost worker restart after their owner
// was lost too, the same as if the owner's host can be asked: a takeover and a lease by the
// slowest clock.
const maxRestartTime = 8600 * time.Millisecond

// killWorkerThenOwner kills a busy worker, and some time later its owner's host for good.
func (cl *cluster) killWorkerThenOwner(ch *clusterHost, later time.Duration) {
	cl.fleet.Kill(cl.busyWorker())
	cl.lostAt = time.Now()
	time.Sleep(later)
	ch.set(func(ch *clusterHost) { ch.partitioned = true })
	ch.kill()
}

// TestLongRunningTasksRestartAfterWorkerLostBeforeUnreachableOwner guards against long-running
// tasks that do not run for 18 s. Workers are lost for good; 3 s later the host of their
// owner is lost too, which had stopped extending their leases 2 s before. No process is left
// that can say when those leases were last extended, so the next owner would have to wait for
// the 8 s that an owner may go on without the store, and for a lease of 6 s after that.
// Therefore an owner stores the lease expiries of unresponsive workers, and extends no lease
// of a worker until the store has accepted a row without it.
func TestLongRunningTasksRestartAfterWorkerLostBeforeUnreachableOwner(t *testing.T) {
	for _, later := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second} {
		t.Run(later.String(), func(t *testing.T) {
			withThreeHosts(t, func(cl *cluster, first, _, _ *clusterHost) {
				cl.killWorkerThenOwner(first, later)
				time.Sleep(time.Until(cl.lostAt.Add(later + maxRestartTime)))
				cl.assertRunning(4)
			})
		})
	}
}

// TestUnresponsiveWorkerReturns cuts a worker off from its owner for a while, and loses the
// owner, or cuts it off together with the worker, at times around the worker's return. The
// stored lease expiries must stay true: nothing runs twice, and tasks on a worker that
// returned go on there.
func TestUnresponsiveWorkerReturns(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, lose := range []struct {
		name string
		fn   func(cl *cluster, first *clusterHost, fw *standin.FleetWorker)
	}{
		{"the owner's host is lost", func(_ *cluster, first *clusterHost, _ *standin.FleetWorker) {
			first.set(func(ch *clusterHost) { ch.partitioned = true })
			first.kill()
		}},
		{"the owner is cut off with the worker", func(cl *cluster, first *clusterHost, fw *standin.FleetWorker) { cl.partitionWith(first, fw) }},
		{"the store answers the owner late, then not at all", func(cl *cluster, first *clusterHost, fw *standin.FleetWorker) {
			first.gate.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
			time.Sleep(600 * time.Millisecond)
			cl.partitionWith(first, fw)
		}},
	} {
		t.Run(lose.name, func(t *testing.T) {
			for around := -500 * time.Millisecond; around <= time.Second; around += step {
				withThreeHosts(t, func(cl *cluster, first, _, _ *clusterHost) {
					fw := cl.busyWorker()
					first.set(func(ch *clusterHost) { ch.unreachable[fw.Addr.Incarnation] = true })
					time.Sleep(3*time.Second + min(around, 0))
					if around < 0 {
						lose.fn(cl, first, fw)
						time.Sleep(-around)
					}
					first.set(func(ch *clusterHost) { delete(ch.unreachable, fw.Addr.Incarnation) })
					if around >= 0 {
						time.Sleep(around)
						lose.fn(cl, first, fw)
					}
					time.Sleep(25 * time.Second)
					cl.assertRunsConsistent()
					cl.assertRunning(4)
				})
			}
		})
	}
}

// TestLeaseRecordOfReplacedOwnerIsRefused has an owner that was replaced without noticing it
// remove a worker from the lease expiry row in order to extend its leases. The write must be
// refused, because the next owner may have read the row.
func TestLeaseRecordOfReplacedOwnerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		first, endFirst := la.startOwner()
		defer endFirst()
		record := func(recorded map[string]bool) {
			first.post(func() {
				first.leaseRecord.recorded = recorded
				first.recordLeases(time.Now())
			})
			time.Sleep(time.Second)
		}
		read := func() int64 {
			version, err := la.table.Client().Get(t.Context(), first.leaseExpiryKey(), &leaseExpiryRow{})
			qt.Assert(t, err, qt.IsNil)
			return version
		}
		record(map[string]bool{"i-0": true})
		written := read()
		qt.Assert(t, written > 0, qt.IsTrue)
		_, endSecond := la.startOwner()
		defer endSecond()
		record(map[string]bool{"i-0": true})
		qt.Assert(t, read(), qt.Equals, written)
	})
}
