package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestAttemptsThatStandStill has each task's first attempt make no progress.
func TestAttemptsThatStandStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 6)
		la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
			if at.Number == 1 {
				return time.Hour, "done"
			}
			return time.Second, "done"
		}
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 3))
		time.Sleep(8 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		la.assertNothingTwice()
	})
}

// TestSlowAttemptsAreLeftAlone has tasks take eight times as long as estimated.
func TestSlowAttemptsAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 8 * time.Second, "done" }
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 6))
		time.Sleep(10 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		qt.Assert(t, len(la.fleet.Runs()), qt.Equals, 6)
	})
}

// TestHeldFillersDoNotStandStill has a filler that was ordered not to work.
func TestHeldFillersDoNotStandStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sh := newShop(t, 1)
		at := sh.fillers[0]
		for range 20 {
			time.Sleep(time.Second)
			at.pace = 0
			at.follow(30, time.Now())
		}
		qt.Assert(t, at.stalled(time.Now()), qt.IsFalse)
	})
}

// TestVeryLongTasksAreLeftAlone has a task take 300 times as long as estimated, which has
// no checkpoints. Users saw such jobs never end: each whole per cent took longer than an
// attempt may stand still, so it was stopped and begun anew for ever.
func TestVeryLongTasksAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 300 * time.Second, "done" }
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(320 * time.Second)
		qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		qt.Check(t, len(la.fleet.Runs()) <= 4, qt.IsTrue, qt.Commentf("%d runs", len(la.fleet.Runs())))
	})
}
