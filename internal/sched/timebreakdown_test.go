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

// logLines keeps log lines.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (li *logLines) Write(line []byte) (int, error) {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.buf.Write(line)
}

// matching returns the lines that have all of the words.
func (li *logLines) matching(words ...string) []string {
	li.mu.Lock()
	defer li.mu.Unlock()
	var list []string
	for line := range strings.Lines(li.buf.String()) {
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

// loggedLab is a lab whose log is kept.
func loggedLab(t *testing.T, workers int) (*lab, *logLines) {
	t.Helper()
	la, li := newLab(t, workers), &logLines{}
	la.log = slog.New(slog.NewTextHandler(li, nil))
	return la, li
}

// TestJobTimeAddsUp has more tasks than there is room for: what the line at
// the job's end says of its causes adds up to its age, and part of it is room.
func TestJobTimeAddsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 1)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 40))
		time.Sleep(5 * time.Second)
		qt.Assert(t, li.matching(`msg="job time"`, "job="+jobID(1), "state=succeeded"), qt.HasLen, 1)
		synctest.Wait()
		en, err := call(t.Context(), ow, func(answer func(timeBreakdown)) { answer(ow.entries[jobID(1)].timeBreakdown) })
		qt.Assert(t, err, qt.IsNil)
		var sum time.Duration
		for _, d := range en.byCause {
			sum += d
		}
		age, err := call(t.Context(), ow, func(answer func(time.Duration)) {
			answer(ow.entries[jobID(1)].endedAt.Sub(ow.entries[jobID(1)].acceptedAt))
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, sum, qt.Equals, age)
		qt.Assert(t, en.byCause[CauseRoom] > time.Second, qt.IsTrue, qt.Commentf("room %v", en.byCause[CauseRoom]))
		qt.Assert(t, en.byCause[CauseWork] > 500*time.Millisecond, qt.IsTrue, qt.Commentf("work %v", en.byCause[CauseWork]))
	})
}

// TestLongWaitsAreLogged has a job for which no worker ever has room: its lines
// come at growing distances and name the cause.
func TestLongWaitsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 1)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		sp := batch(1, 1)
		sp.Steps[0].Each = worker.Resources{MilliCores: 99_000}
		la.submit(ow, 1, sp)
		time.Sleep(20 * time.Second)
		told := li.matching(`msg="job waits"`, "for=room")
		qt.Assert(t, len(told) >= 3 && len(told) <= 5, qt.IsTrue, qt.Commentf("%d lines", len(told)))
	})
}

// TestWaitingLongRunningTasksAreLogged is the story of services for whose silence the log
// had no reason.
//
// Users saw services that do not run. Order of events: workers fall silent; leases
// there lapse; the workers that answer have no room. A search for a service's id ends
// at "attempt ended .. its leases have lapsed": jobs that are over some day have lines
// while their tasks wait, those that last had none.
//
// Evidence: the lab's log of these events had 64 such ends, and no line with the job's
// id after them.
func TestWaitingLongRunningTasksAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li, mu := relayedLab(t)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(6*16))
		time.Sleep(time.Second)
		mu.enabled.Store(true)
		time.Sleep(30 * time.Second)
		qt.Assert(t, li.matching("end=lapsed", "job="+jobID(1)), qt.HasLen, 4*16)
		told := li.matching(`msg="lasting tasks wait"`, "job="+jobID(1), "for=room", "tasks=64")
		qt.Assert(t, len(told) >= 3 && len(told) <= 5, qt.IsTrue, qt.Commentf("%d lines", len(told)))
		mu.enabled.Store(false)
		time.Sleep(10 * time.Second)
		la.assertRunning(6 * 16)
	})
}
