package sched

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// manyEnds are two jobs on one worker: tasks of the first end while the owner gets no answers to
// polls, nor to the starts of the second.
type manyEnds struct {
	first, second         int
	firstWork, secondWork time.Duration
	// between is the time between the submissions, silent that without answers.
	between, silent time.Duration
	// takeover replaces the owner when the answers come again.
	takeover bool
}

// run plays the jobs and returns what is wrong.
func (me manyEnds) run(t *testing.T) []string {
	t.Helper()
	la := newLab(t, 1)
	var silent atomic.Bool
	la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
		launch, poll := ag.LaunchFunc, ag.PollFunc
		ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			ack, err := launch(ctx, ad, la)
			if silent.Load() && err == nil {
				<-ctx.Done()
				return worker.Ack{}, ctx.Err()
			}
			return ack, err
		}
		ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
			if silent.Load() {
				<-ctx.Done()
				return worker.PollResult{}, ctx.Err()
			}
			return poll(ctx, ad, po)
		}
		return ag
	}
	la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		if id, _, _ := job.ParseTaskID(at.Task); id == jobID(1) {
			return me.firstWork, "done"
		}
		return me.secondWork, "done"
	}
	ow, end := la.startOwner()
	defer func() { end() }()
	time.Sleep(time.Second)
	qt.Assert(t, la.submit(ow, 1, smallTasks(me.first)).Outcome, qt.Equals, Accepted)
	time.Sleep(me.between)
	silent.Store(true)
	qt.Assert(t, la.submit(ow, 2, smallTasks(me.second)).Outcome, qt.Equals, Accepted)
	time.Sleep(me.silent)
	silent.Store(false)
	if me.takeover {
		end()
		ow, end = la.startOwner()
	}
	time.Sleep(30 * time.Second)
	list := la.runProblems()
	for n := 1; n <= 2; n++ {
		if state := la.state(ow, n); state != job.Succeeded {
			list = append(list, fmt.Sprintf("job %d is %s", n, state))
		}
	}
	return list
}

// TestAttemptBeyondListedEndsRunsOnce guards against a task that is started again after it was done,
// because its end is not among the first ones that its worker lists.
func TestAttemptBeyondListedEndsRunsOnce(t *testing.T) {
	for name, me := range map[string]manyEnds{
		"long silence":  {first: 880, second: 100, firstWork: 1300 * time.Millisecond, secondWork: 900 * time.Millisecond, between: 700 * time.Millisecond, silent: 1700 * time.Millisecond},
		"short silence": {first: 880, second: 100, firstWork: 900 * time.Millisecond, secondWork: 300 * time.Millisecond, between: 500 * time.Millisecond, silent: 900 * time.Millisecond},
		"takeover":      {first: 880, second: 100, firstWork: 900 * time.Millisecond, secondWork: 300 * time.Millisecond, between: 500 * time.Millisecond, silent: 1200 * time.Millisecond, takeover: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { qt.Assert(t, me.run(t), qt.HasLen, 0) })
		})
	}
}

// TestRandomManyEnds guards against the same with random sizes and times.
func TestRandomManyEnds(t *testing.T) {
	ms := func(rt *rapid.T, name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(rt, name)) * time.Millisecond
	}
	proptest.Check(t, proptest.Size{Checks: 20}, func(rt *rapid.T) {
		me := manyEnds{
			first: rapid.IntRange(400, 1000).Draw(rt, "first"), second: rapid.IntRange(20, 300).Draw(rt, "second"),
			firstWork: ms(rt, "first work", 300, 1500), secondWork: ms(rt, "second work", 100, 1000),
			between: ms(rt, "between", 100, 1000), silent: ms(rt, "silent", 300, 2500), takeover: rapid.Bool().Draw(rt, "takeover"),
		}
		proptest.InBubble(t, func() {
			for _, problem := range me.run(t) {
				rt.Error(problem)
			}
		})
	})
}
