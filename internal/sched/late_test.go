package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// longWork is the work of a task that ends after the looks under way, and before
// its worker's leases lapse.
const longWork = 2500 * time.Millisecond

func workLong(worker.Attempt) (time.Duration, string) { return longWork, "done" }

// silence freezes the only worker while it works, until its leases have lapsed
// for all that its owner knows. What ran there was done before.
func silence(la *lab, ow *Owner) {
	time.Sleep(time.Second)
	qt.Assert(la.t, la.submit(ow, 1, batch(1, 1)).Outcome, qt.Equals, Accepted)
	time.Sleep(300 * time.Millisecond)
	la.crew[0].Gate.Set(standin.Fault{Mode: standin.ModeFreeze})
	time.Sleep(10 * time.Second)
}

// assertRunOnce checks that the task ran once and its job succeeded.
func assertRunOnce(la *lab, ow *Owner) {
	la.t.Helper()
	qt.Check(la.t, len(la.fleet.Runs()), qt.Equals, 1)
	qt.Check(la.t, la.state(ow, 1), qt.Equals, job.Succeeded)
	la.assertNothingTwice()
}

func TestDoneThoughGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.fleet.RunFunc = workLong
		ow, end := la.own()
		defer end()
		silence(la, ow)
		la.crew[0].Gate.Set(standin.Fault{})
		time.Sleep(2 * time.Second)
		assertRunOnce(la, ow)
	})
}

func TestEndsWaitForWhatTheyRestOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.fleet.RunFunc = workLong
		la.formerKnown = true
		ow, end := la.own()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(300 * time.Millisecond)
		la.crew[0].Gate.Set(standin.Fault{Mode: standin.ModeFreeze})
		time.Sleep(3 * time.Second)
		// The attempt is given up and that is not written, when its end is listed.
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeDown})
		time.Sleep(7 * time.Second)
		la.crew[0].Gate.Set(standin.Fault{})
		time.Sleep(time.Second)
		end()
		la.table.Gate.Set(standin.Fault{})
		ow, end = la.own()
		defer end()
		time.Sleep(4 * time.Second)
		assertRunOnce(la, ow)
	})
}

// TestDoneWhileTheNextAttemptRuns has an attempt that was given up turn out to be done while the next one runs, whose worker then ends.
func TestDoneWhileTheNextAttemptRuns(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 2)
			la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
				return time.Duration(at.Number) * 3 * time.Second, "done"
			}
			ow, end := la.own()
			defer func() { end() }()
			time.Sleep(time.Second)
			la.submit(ow, 1, batch(1, 1))
			time.Sleep(500 * time.Millisecond)
			silent, _ := la.busiest()
			silent.Gate.Set(standin.Fault{Mode: standin.ModeFreeze})
			time.Sleep(9 * time.Second)
			qt.Assert(t, la.fleet.Runs(), qt.HasLen, 2)
			silent.Gate.Set(standin.Fault{})
			time.Sleep(500 * time.Millisecond)
			if replaced {
				end()
				ow, end = la.own()
			}
			for i, fw := range la.crew {
				if fw != silent {
					la.restart(i, 0, fw.Addr.HostPort)
				}
			}
			ow.SetWorkers(la.listed(), nil, true)
			time.Sleep(15 * time.Second)
			qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
			qt.Check(t, la.fleet.Runs(), qt.HasLen, 2)
		})
	}
}

// TestStartsAfterTheCancellation has a worker carry an order out after its job was
// cancelled, with the owner still there or another one.
func TestStartsAfterTheCancellation(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 1)
			la.fleet.RunFunc = runUntilStopped
			ow, end := la.own()
			defer func() { end() }()
			time.Sleep(time.Second)
			la.fleet.SetLate(la.crew[0], 3*time.Second)
			la.submit(ow, 1, longRunning(1))
			time.Sleep(500 * time.Millisecond)
			ve, err := ow.Cancel(t.Context(), jobID(1))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, ve.Outcome, qt.Equals, Accepted)
			if replaced {
				end()
				ow, end = la.own()
			}
			time.Sleep(2700 * time.Millisecond)
			// Orders to stop it that were sent before were late too.
			la.fleet.SetLate(la.crew[0], 0)
			time.Sleep(idlePollWait + pollGrace + ow.Limits.StopTime)
			// A worker that has heard of the next owner obeys no order of the former.
			started := 1
			if replaced {
				started = 0
			}
			qt.Assert(t, len(la.fleet.Runs()), qt.Equals, started)
			la.assertRunning(0)
		})
	}
}

// TestRowsOfAnotherForm has an owner end its tenure over a row that it can't read.
func TestRowsOfAnotherForm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		txn := store.NewTxn()
		key := ProgressTable + "/c0/" + jobID(1)
		txn.Puts = []store.Put{{Key: key, Value: []byte(`{"rev":1,"epoch":1,"state":"running","tasks":[[{"s":1}]]}`)}}
		_, err := la.table.Client().CommitFunc(t.Context(), txn)
		qt.Assert(t, err, qt.IsNil)
		ow := New(&Owner{Cell: "c0", Tenure: la.claim(), Table: la.table.Client(), Agent: la.agent(), Log: la.log})
		err = ow.Run(t.Context(), func() { t.Error("loaded") })
		qt.Assert(t, err, qt.ErrorMatches, "load cell c0: .*")
	})
}
