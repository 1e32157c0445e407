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

// TestSteadyTasksAreLeftAlone is the story of a task that was stopped as it ended.
//
// A job whose task takes 300 s, estimated at 1 s, ran for twice as long. Order of events:
// the task's first attempt is stopped, as whole per cents take longer than an attempt may
// stand still; the second has got on every 3 s for 300 s and is stopped at 99. Cause: what
// an attempt took for a per cent counted for nothing, so whether it was stopped hung on
// which look fell between two of them.
//
// Evidence: one of 1,000 plays of the test below, "stopping attempt .. why=no progress for
// 3s" at 306 s.
func TestSteadyTasksAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sh := newShop(t, 1)
		at := sh.fillers[0]
		at.pace = fullPace
		began := time.Now()
		for range 100 {
			time.Sleep(700 * time.Millisecond)
			at.follow(int(time.Since(began)/(3*time.Second)), time.Now())
			if time.Since(began) > 10*time.Second {
				qt.Assert(t, at.stalled(time.Now()), qt.IsFalse, qt.Commentf("after %v", time.Since(began)))
			}
		}
		still := at.percent
		for range 20 {
			time.Sleep(700 * time.Millisecond)
			at.follow(still, time.Now())
		}
		qt.Assert(t, at.stalled(time.Now()), qt.IsTrue)
	})
}

// TestVeryLongTasksAreLeftAlone has a task take 300 times as long as estimated, which has
// no checkpoints. Users saw such jobs never end: each whole per cent took longer than an
// attempt may stand still, so it was stopped and begun anew for ever.
func TestVeryLongTasksAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 3)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 300 * time.Second, "done" }
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(320 * time.Second)
		qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded, qt.Commentf("%s", li.matching(jobID(1))))
		qt.Check(t, len(la.fleet.Runs()) <= 4, qt.IsTrue, qt.Commentf("%d runs", len(la.fleet.Runs())))
	})
}
