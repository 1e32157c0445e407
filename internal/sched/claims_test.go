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

// missedAfterDark is when users miss a task that lasts and was lost together with its
// owner's host, if that host is without power for 9 s: 10 s after its power is back.
const missedAfterDark = 19 * time.Second

// TestWorkerLostWithAnOwnerThatNobodyCanAsk is the story of lasting tasks that ran nowhere
// for 20 s.
//
// Users miss such tasks. Order of events: the owner's host loses power for 9 s, and workers
// are lost in the same moment; another host takes the cell over, can ask nobody, and finds
// no note of the workers, as they fell silent with their owner. So it waits for as long as an
// owner may go on without the store, 8 s, and then for a whole lease of 10 s. Evidence:
// "attempts of a lost worker ended .. why="its leases have lapsed"" at 29.2 s for workers
// lost at 9.6 s, with a claim at 10.6 s, in two of two plays; users missed them at 28.5 s.
//
// Cause: leases were as long as workers grant, whenever they were told, so that one told
// 8 s after the owner was last confirmed ran for 10 s more. Now none outlives what its owner
// may claim.
func TestWorkerLostWithAnOwnerThatNobodyCanAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr := &crowd{lab: newLab(t, 2), maxLease: 10 * time.Second}
		defer cr.stop()
		cr.fleet.RunFunc = runUntilStopped
		first := cr.join("a", 0.8)
		time.Sleep(time.Second)
		cr.join("b", 0.8)
		time.Sleep(time.Second)
		qt.Assert(t, cr.submit(first.ow.Load(), 1, longRunning(4)).Outcome, qt.Equals, Accepted)
		time.Sleep(10 * time.Second)
		cr.assertRunning(4)
		first.set(func(co *contender) { co.dark = true })
		cr.loseWith(first)
		time.Sleep(missedAfterDark)
		cr.assertRunning(4)
	})
}

// TestLeasesEndBeforeTheNextOwnerActs draws when an owner was last confirmed, when another
// claimed the cell, how old its lease and its reading of the worker's clock are, and how far
// all three clocks drift, and checks that the lease has ended when the next owner starts
// elsewhere what ran there.
func TestLeasesEndBeforeTheNextOwnerActs(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 5000}, func(rt *rapid.T) {
		drift := rapid.Float64Range(1-clockDrift, 1+clockDrift)
		owner, wo, next := drift.Draw(rt, "owner's clock"), drift.Draw(rt, "worker's clock"), drift.Draw(rt, "next owner's clock")
		most := time.Duration(rapid.IntRange(1000, 20_000).Draw(rt, "longest lease ms")) * time.Millisecond
		// In true time since the store last confirmed the owner.
		told := time.Duration(rapid.Int64Range(0, int64(float64(minDriftDuration(tenure.ExtendFor))/owner)).Draw(rt, "told"))
		read := told - time.Duration(rapid.Int64Range(0, int64(readingMost)).Draw(rt, "reading's age"))
		claimed := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(rt, "claimed"))

		by := func(clock float64, d time.Duration) time.Duration { return time.Duration(float64(d) * clock) }
		began := time.Now()
		ho := &workerState{clockMS: 1_000_000, clockAt: began}
		earliest := ho.earliestClock(began.Add(by(owner, told-read)))
		left := time.Duration(earliest-ho.clockMS)*time.Millisecond + leaseDuration(by(owner, told), most)
		ended := read + time.Duration(float64(left)/wo)

		ow := &Owner{Limits: Limits{MaxLease: most}, opened: began}
		ow.Tenure.Former.Bounded = true
		ow.Tenure.FormerEnded = func() time.Time { return time.Time{} }
		acts := claimed + time.Duration(float64(ow.formerLeasesUntil(worker.Incarnation{ID: "w"}).Sub(began))/next)
		if bound := claimed + time.Duration(float64(maxDriftDuration(tenure.LeasesFor)+lapseMargin)/next); acts > bound {
			rt.Errorf("the next owner acts at %v, later than %v", acts, bound)
		}
		if ended > acts {
			rt.Errorf("a lease ends at %v, the next owner acts at %v", ended, acts)
		}
	})
}

// readingMost is how old a worker's clock may be as an owner reckons with it: a look's wait
// and its grace, and for how long leases are extended after one that failed.
const readingMost = pollWait + pollGrace + extendUnresponsive

// TestOwnersOfEarlierVersionsAreWaitedFor checks that the shorter wait is for owners that
// keep to it, as are all before them.
func TestOwnersOfEarlierVersionsAreWaitedFor(t *testing.T) {
	began := time.Now()
	ow := &Owner{Limits: Limits{MaxLease: 10 * time.Second}, opened: began}
	ow.Tenure.FormerEnded = func() time.Time { return time.Time{} }
	qt.Check(t, ow.formerLeasesUntil(worker.Incarnation{ID: "w"}).Sub(began), qt.Equals, tenure.ExtendFor+maxDriftDuration(10*time.Second)+lapseMargin)
	ow.Tenure.Former.Bounded = true
	qt.Check(t, ow.formerLeasesUntil(worker.Incarnation{ID: "w"}).Sub(began), qt.Equals, maxDriftDuration(tenure.LeasesFor)+lapseMargin)
}
