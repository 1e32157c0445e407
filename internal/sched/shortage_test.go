package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/congestion"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestLogOfMissingCapacityNamesItsCause has a task wait for capacity while one worker is full
// and the other, which has enough, is quarantined. The log line must name both. Without that,
// the log of a service that did not run for 16 s although twice the capacity that it needed was
// free showed neither the capacity that the owner saw nor what used the rest of it.
func TestLogOfMissingCapacityNamesItsCause(t *testing.T) {
	waitLine := `msg="lasting tasks wait"`
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 2)
		ow := la.startLongRunning(2*16 - 1)
		full, other := la.fleetWorkers[0], la.fleetWorkers[1]
		if la.running()[full.Addr.Incarnation] < 16 {
			full, other = other, full
		}
		ow.post(func() { ow.workers[other.Addr.Incarnation].quarantine(time.Minute, "for a test") })
		sp := longRunning(1)
		sp.Steps[0].Each = worker.Resources{MilliCores: 1000, MemMB: 1000}
		la.submit(ow, 2, sp)
		time.Sleep(1500 * time.Millisecond)
		logged := ll.matching(waitLine, "job="+jobID(2), "for=room", "need_millicores=1000", "need_mem_mb=1000", "barred=aside:1",
			"best="+full.Addr.Incarnation.String(), "free_millicores=0", "free_mem_mb=64000", "passing_millicores=0", "stopping_millicores=0", "attempts=16")
		qt.Assert(t, logged, qt.HasLen, 1)
	})
}

// TestLogNamesSpreadAndEarmarkedWorkers has a task wait because the only worker already runs
// another task of its step, and then because that worker's capacity is earmarked: the log lines
// name these reasons.
func TestLogNamesSpreadAndEarmarkedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 1)
		ow := la.startLongRunning(15)
		spread := longRunning(2)
		spread.Steps[0].Each = worker.Resources{MilliCores: 500, MemMB: 500}
		spread.Steps[0].MaxPerWorker = 1
		la.submit(ow, 2, spread)
		time.Sleep(1500 * time.Millisecond)
		waitLine := `msg="lasting tasks wait"`
		qt.Assert(t, ll.matching(waitLine, "job="+jobID(2), "for=room", "barred=apart:1"), qt.HasLen, 1)
		ow.post(func() {
			ow.soleIncarnation("i-0").earmarkedInRound = ow.placementRounds
			ow.jobs[jobID(2)].timeBreakdown.nextWaitLog = 0
			ow.accountTime(time.Now())
		})
		synctest.Wait()
		qt.Assert(t, ll.matching(waitLine, "job="+jobID(2), "for=room", "barred=kept:1"), qt.HasLen, 1)
	})
}

// TestLongRunningDemandIsLogged has 16 of 20 long-running tasks fit: once a second a log line
// says how many wait, and how much capacity they need and all workers have free.
func TestLongRunningDemandIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 1)
		ow := la.startLongRunning(16)
		la.submit(ow, 2, longRunning(4))
		time.Sleep(3500 * time.Millisecond)
		logged := ll.matching(`msg="room for lasting tasks"`, "jobs=1", "tasks=4", "again=0", "need_millicores=8000", "workers=1", "kept=0", "free_millicores=0", "most_millicores=0", "passing_millicores=0")
		qt.Assert(t, logged, qt.HasLen, 3)
	})
}

// TestBackoffIsNotLoggedAsLackOfCapacity has a task that fails whenever it starts: the log
// lines name the backoff between its starts as the cause, not a lack of capacity.
func TestBackoffIsNotLoggedAsLackOfCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 1)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 10 * time.Millisecond, "failed" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(1))
		time.Sleep(20 * time.Second)
		waitLine := `msg="lasting tasks wait"`
		qt.Assert(t, len(ll.matching(waitLine, "for=rest")) > 0, qt.IsTrue)
		qt.Assert(t, ll.matching(waitLine, "for=room"), qt.HasLen, 0)
		qt.Assert(t, ll.matching(waitLine, "for=order"), qt.HasLen, 0)
	})
}

// TestFullLaunchWindowIsNotLoggedAsLackOfCapacity has as many launches in flight as the window
// allows: further tasks wait for orders, also if their job found no capacity before.
func TestFullLaunchWindowIsNotLoggedAsLackOfCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 1)
		ow := la.startLongRunning(16)
		la.submit(ow, 2, longRunning(1))
		time.Sleep(500 * time.Millisecond)
		ow.post(func() {
			for !ow.window.Full(congestion.Start{}) {
				ow.window.Begin(congestion.Start{})
			}
			ow.place()
		})
		time.Sleep(time.Second)
		waitLine := `msg="lasting tasks wait"`
		qt.Assert(t, ll.matching(waitLine, "job="+jobID(2), "for=order"), qt.HasLen, 1)
	})
}
