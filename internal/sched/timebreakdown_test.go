package sched

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// logLines retains log lines.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (ll *logLines) Write(line []byte) (int, error) {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	return ll.buf.Write(line)
}

// matching returns the lines that contain all of the words.
func (ll *logLines) matching(words ...string) []string {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	var list []string
	for line := range strings.Lines(ll.buf.String()) {
		has := true
		for _, word := range words {
			has = has && strings.Contains(line, word)
		}
		if has {
			list = append(list, line)
		}
	}
	return list
}

// newLoggedLab returns a lab and the lines of its log.
func newLoggedLab(t *testing.T, workers int) (*lab, *logLines) {
	t.Helper()
	la, ll := newLab(t, workers), &logLines{}
	la.log = slog.New(slog.NewTextHandler(ll, nil))
	return la, ll
}

// TestJobTimeAddsUp guards against time of a job that is accounted to no cause, or to two. A
// job has more tasks than there is capacity for: its causes must add up to its age, with a
// part for the lack of capacity.
func TestJobTimeAddsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 1)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 40))
		time.Sleep(5 * time.Second)
		qt.Assert(t, ll.matching(`msg="job time"`, "job="+jobID(1), "state=succeeded"), qt.HasLen, 1)
		synctest.Wait()
		tb, err := call(t.Context(), ow, func(answer func(timeBreakdown)) { answer(ow.jobs[jobID(1)].timeBreakdown) })
		qt.Assert(t, err, qt.IsNil)
		var sum time.Duration
		for _, d := range tb.byCause {
			sum += d
		}
		age, err := call(t.Context(), ow, func(answer func(time.Duration)) {
			answer(ow.jobs[jobID(1)].endedAt.Sub(ow.jobs[jobID(1)].acceptedAt))
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, sum, qt.Equals, age)
		qt.Assert(t, tb.byCause[CauseRoom] > time.Second, qt.IsTrue, qt.Commentf("room %v", tb.byCause[CauseRoom]))
		qt.Assert(t, tb.byCause[CauseWork] > 500*time.Millisecond, qt.IsTrue, qt.Commentf("work %v", tb.byCause[CauseWork]))
	})
}

// TestLongWaitsAreLogged guards against jobs that wait without a log line, or with too many.
// No worker ever has capacity for the job: its lines must name the cause and come at growing
// intervals.
func TestLongWaitsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 1)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		sp := batch(1, 1)
		sp.Steps[0].Each = worker.Resources{MilliCores: 99_000}
		la.submit(ow, 1, sp)
		time.Sleep(20 * time.Second)
		waits := ll.matching(`msg="job waits"`, "for=room")
		qt.Assert(t, len(waits) >= 3 && len(waits) <= 5, qt.IsTrue, qt.Commentf("%d lines", len(waits)))
	})
}

// TestWaitingLongRunningTasksAreLogged guards against services that do not run, and of which
// the log says nothing after "attempt ended .. its leases have lapsed". Relayed workers stop
// answering, leases there lapse, and the other workers have no capacity. The waits of
// long-running tasks must be logged like those of other tasks.
func TestWaitingLongRunningTasksAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll, ur := newRelayedLab(t)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(6*16))
		time.Sleep(time.Second)
		ur.blocking.Store(true)
		time.Sleep(30 * time.Second)
		qt.Assert(t, ll.matching("end=lapsed", "job="+jobID(1)), qt.HasLen, 4*16)
		waits := ll.matching(`msg="lasting tasks wait"`, "job="+jobID(1), "for=room", "tasks=64")
		qt.Assert(t, len(waits) >= 3 && len(waits) <= 5, qt.IsTrue, qt.Commentf("%d lines", len(waits)))
		ur.blocking.Store(false)
		time.Sleep(10 * time.Second)
		la.assertRunning(6 * 16)
	})
}
