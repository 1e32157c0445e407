package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestLinesOnRoomSayWhatHoldsIt is the story of services that waited for room while
// users saw twice the room that they need.
//
// Users saw a service run nowhere for 16 s. Order of events: its task failed just as the
// owner stopped as planned; three owners followed each other; each wrote that it waits for
// room. The log could not tell which room the owner saw, nor what held the rest of it.
//
// Evidence: lines with no more than the word "room", from owners that had workers which
// they may not use beside full ones.
func TestLinesOnRoomSayWhatHoldsIt(t *testing.T) {
	waits := `msg="lasting tasks wait"`
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 2)
		ow := la.withLasting(2*16 - 1)
		full, other := la.crew[0], la.crew[1]
		if la.running()[full.Addr.Incarnation] < 16 {
			full, other = other, full
		}
		ow.post(func() { ow.hosts[other.Addr.Incarnation].setAside(time.Minute, "for a test") })
		sp := longRunning(1)
		sp.Steps[0].Each = worker.Resources{MilliCores: 1000, MemMB: 1000}
		la.submit(ow, 2, sp)
		time.Sleep(1500 * time.Millisecond)
		told := li.matching(waits, "job="+jobID(2), "for=room", "need_millicores=1000", "need_mem_mb=1000", "barred=aside:1",
			"best="+full.Addr.Incarnation.String(), "free_millicores=0", "free_mem_mb=64000", "passing_millicores=0", "stopping_millicores=0", "attempts=16")
		qt.Assert(t, told, qt.HasLen, 1)
	})
}

// TestRoomThatIsKeptIsTold has a task wait that finds room only beside one of its own step,
// where it may not stand, and then only where room is kept: the lines say so.
func TestRoomThatIsKeptIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 1)
		ow := la.withLasting(15)
		apart := longRunning(2)
		apart.Steps[0].Each = worker.Resources{MilliCores: 500, MemMB: 500}
		apart.Steps[0].PerWorker = 1
		la.submit(ow, 2, apart)
		time.Sleep(1500 * time.Millisecond)
		waits := `msg="lasting tasks wait"`
		qt.Assert(t, li.matching(waits, "job="+jobID(2), "for=room", "barred=apart:1"), qt.HasLen, 1)
		ow.post(func() {
			ow.soleIncarnation("i-0").reservedInRound = ow.rounds
			ow.entries[jobID(2)].spent.nextWaitLog = 0
			ow.accountTime(time.Now())
		})
		synctest.Wait()
		qt.Assert(t, li.matching(waits, "job="+jobID(2), "for=room", "barred=kept:1"), qt.HasLen, 1)
	})
}

// TestScarcityIsTold has 16 of 20 tasks that last find room: once a second a line says how
// many wait, and what room there is in all.
func TestScarcityIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 1)
		ow := la.withLasting(16)
		la.submit(ow, 2, longRunning(4))
		time.Sleep(3500 * time.Millisecond)
		told := li.matching(`msg="room for lasting tasks"`, "jobs=1", "tasks=4", "again=0", "need_millicores=8000", "workers=1", "kept=0", "free_millicores=0", "most_millicores=0", "passing_millicores=0")
		qt.Assert(t, told, qt.HasLen, 3)
	})
}

// TestRestsAreNotToldAsLackOfRoom has a task that fails whenever it starts: once it rests
// between its starts, lines say so.
func TestRestsAreNotToldAsLackOfRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 1)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 10 * time.Millisecond, "failed" }
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(1))
		time.Sleep(20 * time.Second)
		waits := `msg="lasting tasks wait"`
		qt.Assert(t, len(li.matching(waits, "for=rest")) > 0, qt.IsTrue)
		qt.Assert(t, li.matching(waits, "for=room"), qt.HasLen, 0)
		qt.Assert(t, li.matching(waits, "for=order"), qt.HasLen, 0)
	})
}

// TestStartsThatWaitForOthersAreNotToldAsLackOfRoom has as many starts under way as may
// be: tasks behind them wait for orders, also where their job found no room before.
func TestStartsThatWaitForOthersAreNotToldAsLackOfRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 1)
		ow := la.withLasting(16)
		la.submit(ow, 2, longRunning(1))
		time.Sleep(500 * time.Millisecond)
		ow.post(func() { ow.window.underWay = ow.window.limit(); ow.place() })
		time.Sleep(time.Second)
		waits := `msg="lasting tasks wait"`
		qt.Assert(t, li.matching(waits, "job="+jobID(2), "for=order"), qt.HasLen, 1)
	})
}
