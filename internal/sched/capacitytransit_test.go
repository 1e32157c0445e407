package sched

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestCapacityTransitIsAsWorkersSeeIt guards against unused capacity of which no figure shows that
// its worker waits for the next start, or for the poll that lists the end.
func TestCapacityTransitIsAsWorkersSeeIt(t *testing.T) {
	for _, tc := range []struct {
		name string
		wrap func(worker.Agent) worker.Agent
	}{
		{"slow orders", delayRestarts(250 * time.Millisecond)},
		{"slow answers to polls", delayPollAnswers(150 * time.Millisecond)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ll := &logLines{}
				la, ow, end := interruptedBesideFullWorker(t, func(la *lab) {
					la.log = slog.New(slog.NewTextHandler(ll, nil))
					wrap := la.wrapAgentFunc
					la.wrapAgentFunc = func(ag worker.Agent) worker.Agent { return tc.wrap(wrap(ag)) }
				})
				defer end()
				_, err := ow.Cancel(context.Background(), jobID(1))
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(5 * time.Second)
				want := la.firstStartAfterEnd(1, 3)
				lines := ll.matching(`msg="capacity for interrupted tasks"`, "starts=1")
				qt.Assert(t, lines, qt.HasLen, 1)
				got := logDuration(t, lines[0], "transit")
				qt.Check(t, (got-want).Abs() <= 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v in the log, %v by the worker", got, want))
			})
		})
	}
}

// delayPollAnswers returns an agent whose answers to polls take longer.
func delayPollAnswers(d time.Duration) func(worker.Agent) worker.Agent {
	return func(ag worker.Agent) worker.Agent {
		poll := ag.PollFunc
		ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
			res, err := poll(ctx, ad, po)
			clock.Sleep(ctx, d)
			return res, err
		}
		return ag
	}
}

// firstStartAfterEnd returns the time from the end of a job's only run to the next start of
// another job.
func (la *lab) firstStartAfterEnd(ended, started int) time.Duration {
	var until time.Time
	for _, ru := range la.fleet.Runs() {
		id, _, _ := job.ParseTaskID(ru.Task)
		if id == jobID(ended) {
			until = ru.Until
		}
		if id == jobID(started) && !until.IsZero() && !ru.From.Before(until) {
			return ru.From.Sub(until)
		}
	}
	return -1
}

// logDuration returns a duration from a log line.
func logDuration(t *testing.T, line, key string) time.Duration {
	t.Helper()
	_, rest, found := strings.Cut(line, " "+key+"=")
	qt.Assert(t, found, qt.IsTrue, qt.Commentf("%s", line))
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	if n, err := strconv.ParseInt(value, 10, 64); err == nil {
		return time.Duration(n)
	}
	d, err := time.ParseDuration(value)
	qt.Assert(t, err, qt.IsNil)
	return d
}
