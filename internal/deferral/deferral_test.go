package deferral

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// fixture is a wrapped agent of one worker that records the launches it receives.
type fixture struct {
	t     *testing.T
	agent worker.Agent
	addr  worker.Addr
	mu    sync.Mutex
	// ended are the ends that the worker lists, sent the launches that it received.
	ended []worker.EndedAttempt
	sent  []string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fx := &fixture{t: t, addr: worker.Addr{HostPort: "10.0.0.1:80", Incarnation: worker.Incarnation{ID: "i-0", StartedMS: 1}}}
	fx.agent = Wrap(worker.Agent{
		LaunchFunc: func(_ context.Context, _ worker.Addr, la worker.Launch) (worker.Ack, error) {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			fx.sent = append(fx.sent, la.Task)
			return worker.Ack{ClockMS: 1}, nil
		},
		HaltFunc: func(context.Context, worker.Addr, worker.Halt) (worker.Ack, error) { return worker.Ack{}, nil },
		PollFunc: func(context.Context, worker.Addr, worker.Poll) (worker.PollResult, error) {
			fx.mu.Lock()
			defer fx.mu.Unlock()
			return worker.PollResult{ClockMS: 1, Ended: slices.Clone(fx.ended)}, nil
		},
	})
	return fx
}

func attempt(task string) worker.Attempt { return worker.Attempt{Task: task, Number: 1} }

func cores(n int64) worker.Resources { return worker.Resources{MilliCores: 1000 * n} }

// running returns attempts that use the given numbers of cores; they are named a, b and so on.
func running(uses ...int64) []worker.Usage {
	var list []worker.Usage
	for i, n := range uses {
		list = append(list, worker.Usage{Attempt: attempt(string(rune('a' + i))), Resources: cores(n)})
	}
	return list
}

// deferLaunch starts a deferred launch and returns the channel that receives its error.
func (fx *fixture) deferLaunch(ctx context.Context, task string, de worker.Deferral) <-chan error {
	de.Timeout = 400 * time.Millisecond
	if de.Wait == 0 {
		de.Wait = time.Second
	}
	done := make(chan error, 1)
	go func() {
		_, err := fx.agent.LaunchFunc(ctx, fx.addr, worker.Launch{Attempt: attempt(task), Deferral: &de})
		done <- err
	}()
	synctest.Wait()
	return done
}

// list has the worker list the ends of tasks from now on.
func (fx *fixture) list(tasks ...string) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for _, task := range tasks {
		fx.ended = append(fx.ended, worker.EndedAttempt{Attempt: attempt(task), EndNumber: int64(len(fx.ended) + 1)})
	}
}

// end has the worker list the ends of tasks from now on, and polls it.
func (fx *fixture) end(tasks ...string) {
	fx.list(tasks...)
	_, err := fx.agent.PollFunc(context.Background(), fx.addr, worker.Poll{})
	qt.Assert(fx.t, err, qt.IsNil)
	synctest.Wait()
}

func (fx *fixture) assertSent(want ...string) {
	fx.t.Helper()
	fx.mu.Lock()
	defer fx.mu.Unlock()
	qt.Assert(fx.t, fx.sent, qt.DeepEquals, want)
}

// TestLaunchIsSentOnceItFits guards against launches that exceed the resources of their worker,
// and against those that wait for resources which they do not need.
func TestLaunchIsSentOnceItFits(t *testing.T) {
	for name, play := range map[string]func(fx *fixture){
		"any sufficient ends": func(fx *fixture) {
			fx.deferLaunch(fx.t.Context(), "x", worker.Deferral{Need: cores(6), Free: cores(1), Running: running(3, 2, 3)})
			fx.end("a")
			fx.assertSent()
			fx.end("c")
			fx.assertSent("x")
		},
		"ends of others": func(fx *fixture) {
			fx.deferLaunch(fx.t.Context(), "x", worker.Deferral{Need: cores(2), Running: running(2)})
			fx.end("z")
			fx.assertSent()
		},
		"an end listed twice": func(fx *fixture) {
			fx.deferLaunch(fx.t.Context(), "x", worker.Deferral{Need: cores(4), Running: running(2, 2)})
			fx.end("a")
			fx.end()
			fx.assertSent()
		},
		"ends listed before": func(fx *fixture) {
			fx.end("a")
			fx.deferLaunch(fx.t.Context(), "x", worker.Deferral{Need: cores(2), Running: running(2)})
			fx.assertSent("x")
		},
		"a launch ahead was sent": func(fx *fixture) {
			fx.deferLaunch(fx.t.Context(), "x", worker.Deferral{Need: cores(2), Running: running(2, 2)})
			fx.deferLaunch(fx.t.Context(), "y", worker.Deferral{Number: 1, Need: cores(2), Running: running(2, 2), Ahead: []worker.Attempt{attempt("x")}})
			fx.end("a")
			fx.assertSent("x")
			fx.end("b")
			fx.assertSent("x", "y")
		},
		"a later launch was sent": func(fx *fixture) {
			fx.deferLaunch(fx.t.Context(), "x", worker.Deferral{Need: cores(4), Running: running(3, 3)})
			fx.deferLaunch(fx.t.Context(), "y", worker.Deferral{Number: 1, Need: cores(3), Running: running(3, 3), Ahead: []worker.Attempt{attempt("x")}})
			fx.end("a")
			fx.assertSent("y")
			fx.end("b")
			fx.assertSent("y")
		},
		"a later launch arrived first": func(fx *fixture) {
			fx.deferLaunch(fx.t.Context(), "y", worker.Deferral{Number: 1, Need: cores(2), Running: running(2, 2), Ahead: []worker.Attempt{attempt("x")}})
			fx.end("a")
			fx.assertSent("y")
			fx.deferLaunch(fx.t.Context(), "x", worker.Deferral{Need: cores(2), Running: running(2, 2)})
			fx.assertSent("y")
			fx.end("b")
			fx.assertSent("y", "x")
		},
		"a launch before was answered": func(fx *fixture) {
			fx.deferLaunch(fx.t.Context(), "x", worker.Deferral{Need: cores(2), Running: running(2, 2)})
			fx.end("a")
			fx.deferLaunch(fx.t.Context(), "y", worker.Deferral{Number: 1, Need: cores(2), Running: running(2, 2)[1:]})
			fx.end("b")
			fx.assertSent("x", "y")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(newFixture(t)) })
		})
	}
}

// TestLaunchIsNotSentAfterItsEnd guards against launches that are sent though their call has ended.
func TestLaunchIsNotSentAfterItsEnd(t *testing.T) {
	de := worker.Deferral{Need: cores(2), Running: running(2)}
	for name, tc := range map[string]struct {
		end  func(fx *fixture, cancel context.CancelFunc)
		want error
	}{
		"withdrawn": {func(fx *fixture, _ context.CancelFunc) {
			_, err := fx.agent.HaltFunc(context.Background(), fx.addr, worker.Halt{Attempt: attempt("x")})
			qt.Assert(fx.t, err, qt.IsNil)
		}, worker.ErrWithdrawn},
		"out of time": {func(*fixture, context.CancelFunc) { time.Sleep(time.Second) }, worker.ErrNotFreed},
		"cancelled":   {func(_ *fixture, cancel context.CancelFunc) { cancel() }, context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				done := fx.deferLaunch(ctx, "x", de)
				tc.end(fx, cancel)
				qt.Assert(t, <-done, qt.ErrorIs, tc.want)
				fx.end("a")
				fx.assertSent()
			})
		})
	}
}

// TestLaunchWaitsForNextPoll guards against a launch that waits until the owner polls the worker again.
func TestLaunchWaitsForNextPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		fx.end("b")
		fx.deferLaunch(t.Context(), "x", worker.Deferral{Need: cores(2), Running: running(2)})
		time.Sleep(100 * time.Millisecond)
		fx.list("a")
		time.Sleep(probeInterval)
		synctest.Wait()
		fx.assertSent("x")
	})
}

// TestWithdrawnLaunchLeavesItsResources guards against resources that no launch uses any more.
func TestWithdrawnLaunchLeavesItsResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		fx.deferLaunch(t.Context(), "x", worker.Deferral{Need: cores(2), Running: running(2)})
		fx.deferLaunch(t.Context(), "y", worker.Deferral{Number: 1, Need: cores(2), Running: running(2), Ahead: []worker.Attempt{attempt("x")}})
		_, err := fx.agent.HaltFunc(context.Background(), fx.addr, worker.Halt{Attempt: attempt("x")})
		qt.Assert(t, err, qt.IsNil)
		fx.end("a")
		fx.assertSent("y")
	})
}

// TestEndsAreForgotten guards against memory that grows with the tasks that ran.
func TestEndsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := &client{workers: map[worker.Incarnation]*queue{}}
		for i := range 20 {
			ad := worker.Addr{Incarnation: worker.Incarnation{ID: fmt.Sprint("i-", i)}}
			cl.beginPoll(ad)
			cl.endPoll(ad, worker.PollResult{ClockMS: 1, Ended: []worker.EndedAttempt{{Attempt: attempt("a")}}}, 0)
			time.Sleep(time.Second)
		}
		qt.Check(t, len(cl.workers) <= 2*int(retention/time.Second)+1, qt.IsTrue, qt.Commentf("%d workers", len(cl.workers)))
	})
}
