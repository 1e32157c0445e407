package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// lostRestartDeadline is the longest time from the claim of a cell until the tasks of lost
// workers run elsewhere.
const lostRestartDeadline = 9 * time.Second

// sixHosts is a cell of six hosts, of which the first owns it.
type sixHosts struct {
	workers   int
	maxLease  time.Duration
	wrapAgent func(worker.Agent) worker.Agent
}

// run runs a long-running job of four tasks in the cell, and then calls test.
func (sh sixHosts) run(t *testing.T, test func(cl *cluster, owner *clusterHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{lab: newLab(t, sh.workers), maxLease: sh.maxLease}
		defer cl.stop()
		cl.wrapAgentFunc = sh.wrapAgent
		cl.fleet.RunFunc = runUntilStopped
		owner := cl.startHost("a", 0.8)
		time.Sleep(time.Second)
		for _, name := range []string{"b", "c", "d", "e", "f"} {
			cl.startHost(name, 0.8)
		}
		time.Sleep(time.Second)
		qt.Assert(t, cl.submit(owner.ow.Load(), 1, longRunning(4)).Outcome, qt.Equals, Accepted)
		time.Sleep(15 * time.Second)
		cl.assertRunning(4)
		test(cl, owner)
	})
}

// withSixHosts runs test in a cell of six hosts and three workers.
func withSixHosts(t *testing.T, maxLease time.Duration, test func(cl *cluster, owner *clusterHost)) {
	t.Helper()
	sixHosts{workers: 3, maxLease: maxLease}.run(t, test)
}

// TestWorkersLostWithTheirOwner guards against tasks of lost workers that start again only
// 14.6 s after the claim when the former owner cannot be asked.
func TestWorkersLostWithTheirOwner(t *testing.T) {
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for _, lost := range []string{"", "b", "bc"} {
			t.Run(fmt.Sprintf("leases of %v, hosts lost besides: %q", maxLease, lost), func(t *testing.T) {
				withSixHosts(t, maxLease, func(cl *cluster, owner *clusterHost) {
					owner.set(func(ch *clusterHost) { ch.partitioned = true })
					for _, name := range lost {
						other := cl.latest(string(name))
						other.set(func(ch *clusterHost) { ch.partitioned = true })
						other.kill()
					}
					cl.killWorkerAndOwner(owner)
					time.Sleep(tenure.UnreachableTimeout + time.Second + lostRestartDeadline)
					cl.assertRunning(4)
				})
			})
		}
	}
}

// refuseStore makes the store refuse all hosts for d.
func (cl *cluster) refuseStore(d time.Duration) {
	for _, ch := range cl.hosts {
		ch.gate.Set(standin.Fault{Mode: standin.ModeDown})
	}
	time.Sleep(d)
	for _, ch := range cl.hosts {
		if !ch.isRestarted() {
			ch.gate.Set(standin.Fault{})
		}
	}
}

// TestLeasesOutliveALongStoreOutage guards against attempts that end because the store is
// unavailable for 14 s although hosts and workers are healthy.
func TestLeasesOutliveALongStoreOutage(t *testing.T) {
	for _, maxLease := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for _, lost := range []string{"", "b", "bc"} {
			t.Run(fmt.Sprintf("leases of %v, hosts lost before: %q", maxLease, lost), func(t *testing.T) {
				withSixHosts(t, maxLease, func(cl *cluster, _ *clusterHost) {
					for _, name := range lost {
						cl.latest(string(name)).kill()
					}
					cl.refuseStore(14 * time.Second)
					time.Sleep(10 * time.Second)
					qt.Assert(t, cl.ends(), qt.HasLen, 0)
					cl.assertRunning(4)
				})
			})
		}
	}
}

// TestLostWorkersTasksWaitOnlyForTheirLeases guards against tasks of a lost worker that wait
// until 8 s after the claim of the next owner, although the former one was confirmed before.
func TestLostWorkersTasksWaitOnlyForTheirLeases(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(cl *cluster, owner *clusterHost)
		// wait is the longest time from the loss until all tasks run again.
		wait time.Duration
	}{
		{"with its owner", func(cl *cluster, owner *clusterHost) { cl.killWorkerAndOwner(owner) }, 9 * time.Second},
		{"with its owner in an outage of the store", func(cl *cluster, owner *clusterHost) {
			for _, ch := range cl.hosts {
				ch.gate.Set(standin.Fault{Mode: standin.ModeDown})
			}
			time.Sleep(5 * time.Second)
			cl.killWorkerAndOwner(owner)
			cl.refuseStore(6 * time.Second)
		}, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
				owner.set(func(ch *clusterHost) { ch.partitioned = true })
				tc.lose(cl, owner)
				time.Sleep(20 * time.Second)
				cl.assertRunning(4)
				waited := cl.lastStart().Sub(cl.lostAt)
				t.Logf("all tasks ran again %v after the loss", waited)
				qt.Assert(t, waited < tc.wait, qt.IsTrue)
			})
		})
	}
}

// TestLeasesOfAFrozenOwner guards against tasks of a lost worker that wait for a whole lease,
// counted from the last moment at which the frozen owner may have sent one. The wait is
// shorter because no lease outlives the confirmation of its owner's tenure.
func TestLeasesOfAFrozenOwner(t *testing.T) {
	withSixHosts(t, 10*time.Second, func(cl *cluster, owner *clusterHost) {
		lost := cl.busyWorker()
		owner.gate.Set(standin.Fault{Mode: standin.ModeDown})
		owner.set(func(ch *clusterHost) {
			ch.partitioned = true
			for _, fw := range cl.fleetWorkers {
				ch.unreachable[fw.Addr.Incarnation] = true
			}
		})
		cl.fleet.Kill(lost)
		began := time.Now()
		time.Sleep(5500 * time.Millisecond)
		owner.set(func(ch *clusterHost) { ch.partitioned = false })
		time.Sleep(time.Until(began.Add(9500 * time.Millisecond)))
		cl.assertRunning(4)
	})
}
