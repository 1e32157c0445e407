package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/restart"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestBackoffOfLongRunningTaskThatFailsAtOnce has a long-running task fail 10 ms after each
// start for 20 s, and then keep running. Without a backoff it is started as fast as writes
// allow; with one the starts become rarer, and the task runs again soon after it stops
// failing.
func TestBackoffOfLongRunningTaskThatFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		began := time.Now()
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) {
			if time.Since(began) < 21*time.Second {
				return 10 * time.Millisecond, "failed"
			}
			return -1, ""
		}
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(1))
		time.Sleep(20 * time.Second)
		t.Logf("%d runs in 20 s", len(la.fleet.Runs()))
		qt.Check(t, len(la.fleet.Runs()) <= 15, qt.IsTrue, qt.Commentf("%d runs", len(la.fleet.Runs())))
		time.Sleep(restart.Max + time.Second)
		la.assertRunning(1)
	})
}
