package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestStalledAttemptsAreRetriedElsewhere has each task's first attempt run for an hour, which
// shows as no progress: its second attempt succeeds.
func TestStalledAttemptsAreRetriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 6)
		la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
			if at.Number == 1 {
				return time.Hour, "done"
			}
			return time.Second, "done"
		}
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 3))
		time.Sleep(8 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		la.assertRunsConsistent()
	})
}

// TestSlowAttemptsAreNotStalled has tasks take eight times as long as estimated: their first
// attempts succeed.
func TestSlowAttemptsAreNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 8 * time.Second, "done" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 6))
		time.Sleep(10 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		qt.Assert(t, len(la.fleet.Runs()), qt.Equals, 6)
	})
}

// TestHeldFillersAreNotStalled has a filler make no progress because its pace is 0.
func TestHeldFillersAreNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pf := newPacingFixture(t, 1)
		at := pf.fillers[0]
		for range 20 {
			time.Sleep(time.Second)
			at.pace = 0
			at.recordProgress(30, time.Now())
		}
		qt.Assert(t, at.stalled(time.Now()), qt.IsFalse)
	})
}

// TestSteadyProgressIsNotStalled has a task of 300 s, estimated at 1 s, that takes 3 s for
// each per cent. If the limit ignores the time per per cent, it depends on the timing of
// polls whether such an attempt is stopped: one was stopped at 99 per cent with "no
// progress for 3s", and the job took twice as long.
func TestSteadyProgressIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pf := newPacingFixture(t, 1)
		at := pf.fillers[0]
		at.pace = fullPace
		began := time.Now()
		for range 100 {
			time.Sleep(700 * time.Millisecond)
			at.recordProgress(int(time.Since(began)/(3*time.Second)), time.Now())
			if time.Since(began) > 10*time.Second {
				qt.Assert(t, at.stalled(time.Now()), qt.IsFalse, qt.Commentf("after %v", time.Since(began)))
			}
		}
		last := at.progress
		for range 20 {
			time.Sleep(700 * time.Millisecond)
			at.recordProgress(last, time.Now())
		}
		qt.Assert(t, at.stalled(time.Now()), qt.IsTrue)
	})
}

// TestTaskFarOverEstimateEnds has a task without checkpoints take 300 times as long as
// estimated. Each whole per cent takes longer than the first limit without progress, so
// that without a growing limit it was stopped and restarted without end.
func TestTaskFarOverEstimateEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 3)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 300 * time.Second, "done" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(320 * time.Second)
		qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded, qt.Commentf("%s", ll.matching(jobID(1))))
		qt.Check(t, len(la.fleet.Runs()) <= 4, qt.IsTrue, qt.Commentf("%d runs", len(la.fleet.Runs())))
	})
}
