package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// restartDeadline is when users report a missing long-running task that was lost together
// with its owner's host, if that host is without power for 9 s: 10 s after its power is back.
const restartDeadline = 19 * time.Second

// TestLongRunningTasksRestartAfterWorkerLostWithUnreachableOwner guards against long-running
// tasks that do not run for 20 s. The owner's host loses power for 9 s, and workers are lost
// at the same moment. The next owner can ask no one, and the lease expiry row does not name
// the workers. If a lease extended late had its full length, the next owner would have to
// wait for the 8 s that an owner may go on without the store, and then for a whole lease of
// 10 s. Therefore no lease may run beyond the time for which its owner is confirmed.
func TestLongRunningTasksRestartAfterWorkerLostWithUnreachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{lab: newLab(t, 2), maxLease: 10 * time.Second}
		defer cl.stop()
		cl.fleet.RunFunc = runUntilStopped
		first := cl.startHost("a", 0.8)
		time.Sleep(time.Second)
		cl.startHost("b", 0.8)
		time.Sleep(time.Second)
		qt.Assert(t, cl.submit(first.ow.Load(), 1, longRunning(4)).Outcome, qt.Equals, Accepted)
		time.Sleep(10 * time.Second)
		cl.assertRunning(4)
		first.set(func(ch *clusterHost) { ch.partitioned = true })
		cl.killWorkerAndOwner(first)
		time.Sleep(restartDeadline)
		cl.assertRunning(4)
	})
}

// TestLeasesEndBeforeTheNextOwnerActs draws when an owner was last confirmed, when another
// claimed the cell, how old its lease and its reading of the worker's clock are, and how far
// all three clocks drift. The lease must have ended when the next owner restarts elsewhere
// what ran there, and the next owner must not wait longer than tenure.LeaseLimit, its drift
// and lapseMargin.
func TestLeasesEndBeforeTheNextOwnerActs(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 5000}, func(rt *rapid.T) {
		drift := rapid.Float64Range(1-clockDrift, 1+clockDrift)
		owner, wo, next := drift.Draw(rt, "owner's clock"), drift.Draw(rt, "worker's clock"), drift.Draw(rt, "next owner's clock")
		maxLease := time.Duration(rapid.IntRange(1000, 20_000).Draw(rt, "max lease ms")) * time.Millisecond
		// Times are true ones since the store last confirmed the owner.
		granted := time.Duration(rapid.Int64Range(0, int64(float64(minDriftDuration(tenure.ExtendFor))/owner)).Draw(rt, "granted"))
		read := granted - time.Duration(rapid.Int64Range(0, int64(maxClockReadingAge)).Draw(rt, "reading's age"))
		claimed := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(rt, "claimed"))

		// measured is what a clock measures of a duration.
		measured := func(clock float64, d time.Duration) time.Duration { return time.Duration(float64(d) * clock) }
		began := time.Now()
		wk := &workerState{clockMS: 1_000_000, clockAt: began}
		earliest := wk.earliestClock(began.Add(measured(owner, granted-read)))
		left := time.Duration(earliest-wk.clockMS)*time.Millisecond + leaseDuration(measured(owner, granted), maxLease)
		ended := read + time.Duration(float64(left)/wo)

		ow := &Owner{Limits: Limits{MaxLease: maxLease}, startedAt: began}
		ow.Tenure.Former.Bounded = true
		ow.Tenure.FormerEnded = func() time.Time { return time.Time{} }
		nextActs := claimed + time.Duration(float64(ow.formerLeasesUntil(worker.Incarnation{ID: "w"}).Sub(began))/next)
		if bound := claimed + time.Duration(float64(maxDriftDuration(tenure.LeaseLimit)+lapseMargin)/next); nextActs > bound {
			rt.Errorf("the next owner acts at %v, later than %v", nextActs, bound)
		}
		if ended > nextActs {
			rt.Errorf("a lease ends at %v, the next owner acts at %v", ended, nextActs)
		}
	})
}

// maxClockReadingAge is the maximum age of the reading of a worker's clock from which an
// owner extends leases: the wait and the grace of a poll, and the time for which leases are
// extended after a failed poll.
const maxClockReadingAge = pollWait + pollGrace + extendUnresponsive

// TestFullLeaseAwaitedForOwnersOfEarlierVersions checks that the shorter wait is used only if
// the former owner and all owners before it bound their leases.
func TestFullLeaseAwaitedForOwnersOfEarlierVersions(t *testing.T) {
	began := time.Now()
	ow := &Owner{Limits: Limits{MaxLease: 10 * time.Second}, startedAt: began}
	ow.Tenure.FormerEnded = func() time.Time { return time.Time{} }
	qt.Check(t, ow.formerLeasesUntil(worker.Incarnation{ID: "w"}).Sub(began), qt.Equals, tenure.ExtendFor+maxDriftDuration(10*time.Second)+lapseMargin)
	ow.Tenure.Former.Bounded = true
	qt.Check(t, ow.formerLeasesUntil(worker.Incarnation{ID: "w"}).Sub(began), qt.Equals, maxDriftDuration(tenure.LeaseLimit)+lapseMargin)
}

// formerLeasesUntil returns the time of [Owner.formerLeases].
func (ow *Owner) formerLeasesUntil(incarnation worker.Incarnation) time.Time {
	return ow.formerLeases(incarnation).until
}
