package route

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/runner"
)

// withFakeClock runs a test on a fake clock that advances only when all
// goroutines are blocked.
func withFakeClock(t *testing.T, fn func(c *qt.C)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { fn(qt.New(t)) })
}

// scriptedClient returns a client whose n-th attempt ends with the n-th error
// of the script, and a counter of the attempts. The last error repeats.
func scriptedClient(script ...error) (runner.Client, *int) {
	sent := 0
	return runner.Client{RunFunc: func(_ context.Context, _ string, req runner.Request) (runner.Answer, error) {
		err := script[min(sent, len(script)-1)]
		sent++
		return runner.Answer{Body: []byte(req.ID)}, err
	}}, &sent
}

var (
	errNotRun  = &runner.NotRunError{Step: "run", Peer: "r", Reason: "refuse"}
	errUnknown = &runner.UnknownError{Step: "await answer", Peer: "r", Err: errRefused}
	errFull    = &runner.NotRunError{Step: "run", Peer: "r", Reason: runner.ReasonFull}
)

func newFixedRouter(cl runner.Client, members ...Member) *Router {
	ro := &Router{Runners: cl}
	ro.SetPolicy(Policy{QueueLimit: 100, BatchEvery: 8})
	ro.SetMembers(map[string][]Member{"s": members})
	return ro
}

func TestOutcomes(t *testing.T) {
	for _, te := range []struct {
		name    string
		once    bool
		script  []error
		outcome Outcome
		why     reason.Reason
		sent    int
	}{
		{"answered", false, []error{nil}, Answered, reason.None, 1},
		{"retried after not run", false, []error{errNotRun, nil}, Answered, reason.None, 2},
		{"retried after unknown", false, []error{errUnknown, nil}, Answered, reason.None, 2},
		{"run-once: retried after not run", true, []error{errNotRun, nil}, Answered, reason.None, 2},
		{"run-once: not retried after unknown", true, []error{errUnknown, nil}, Unknown, reason.AnswerLost, 1},
		{"run-once: unknown after not run", true, []error{errNotRun, errUnknown, nil}, Unknown, reason.AnswerLost, 2},
		{"unknown outcome is kept after a later refusal", false, []error{errUnknown, errNotRun}, Unknown, reason.AllRefused, maxAttempts},
		{"all refuse", false, []error{errNotRun}, NotRun, reason.AllRefused, maxAttempts},
	} {
		t.Run(te.name, func(t *testing.T) {
			withFakeClock(t, func(c *qt.C) {
				cl, sent := scriptedClient(te.script...)
				ro := newFixedRouter(cl, member("a", 8), member("b", 8))
				req := request(1, runner.LatencyCritical, time.Second)
				req.Once = te.once
				begun := time.Now()
				res := ro.Do(context.Background(), req)
				c.Assert(res.Outcome, qt.Equals, te.outcome)
				c.Assert(res.Reason, qt.Equals, te.why)
				c.Assert(*sent, qt.Equals, te.sent)
				c.Assert(res.Attempts, qt.Equals, te.sent)
				// Retries take no time, and a result without an answer has a
				// delay for the caller's retry.
				c.Assert(time.Since(begun), qt.Equals, time.Duration(0))
				c.Assert(res.Outcome == Answered || res.RetryAfter > 0, qt.IsTrue)
				time.Sleep(time.Second)
			})
		})
	}
}

// TestRunOnceNotRetriedAfterUnknown runs run-once requests against random
// sequences of failures and checks that none is sent again once it may have
// run.
func TestRunOnceNotRetriedAfterUnknown(t *testing.T) {
	proptest.Check(t, proptest.Size{}, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom([]error{nil, errNotRun, errUnknown, errFull}), 1, 8).Draw(rt, "script")
		script = append(script, nil)
		synctest.Test(t, func(*testing.T) {
			cl, sent := scriptedClient(script...)
			ro := newFixedRouter(cl, member("a", 8), member("b", 8), member("c", 8))
			req := request(1, runner.LatencyCritical, time.Minute)
			req.Once = true
			res := ro.Do(context.Background(), req)
			possible := 0
			for _, err := range script[:*sent] {
				if err == nil || errors.Is(err, errUnknown) {
					possible++
				}
			}
			if possible > 1 || (res.Outcome == NotRun && possible > 0) {
				rt.Errorf("script %v: may have run %d times, outcome %s", script[:*sent], possible, res.Outcome)
			}
			time.Sleep(time.Second)
		})
	})
}

// TestHalfTheRunnersUnreachable guards against retries that multiply the load,
// and against lost requests, while half of the runners refuse connections.
func TestHalfTheRunnersUnreachable(t *testing.T) {
	withFakeClock(t, func(c *qt.C) {
		fr := newFakeRunners(10*time.Millisecond, 0.5, 8)
		ro := newRouter(fr, ids("r", 10))
		for _, id := range ids("r", 5) {
			fr.down[id] = true
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		attempts, answered := 0, 0
		const sent = 5000
		for n := range sent {
			wg.Go(func() {
				res := ro.Do(context.Background(), request(n, runner.LatencyCritical, time.Second))
				mu.Lock()
				defer mu.Unlock()
				attempts += res.Attempts
				if res.Outcome == Answered {
					answered++
				}
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		time.Sleep(time.Minute)
		c.Assert(float64(attempts) < 1.2*sent, qt.IsTrue, qt.Commentf("%d attempts", attempts))
		c.Assert(answered > sent*99/100, qt.IsTrue, qt.Commentf("%d answered", answered))
	})
}

func TestRetriesStayInBudget(t *testing.T) {
	withFakeClock(t, func(c *qt.C) {
		cl, sent := scriptedClient(errNotRun)
		ro := newFixedRouter(cl, member("a", 8), member("b", 8))
		const requests = 1000
		for n := range requests {
			ro.Do(context.Background(), request(n, runner.LatencyCritical, time.Second))
		}
		c.Assert(*sent <= requests+requests/10+int(maxBudget), qt.IsTrue, qt.Commentf("%d sent", *sent))
	})
}

// blockingClient returns a client whose requests block until the channel is
// closed.
func blockingClient() (runner.Client, chan struct{}) {
	unblock := make(chan struct{})
	return runner.Client{RunFunc: func(context.Context, string, runner.Request) (runner.Answer, error) {
		<-unblock
		return runner.Answer{}, nil
	}}, unblock
}

func TestQueue(t *testing.T) {
	t.Run("earliest deadline first, and batch is not starved", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			po := NewPool(Policy{QueueLimit: 100, BatchEvery: 4})
			po.SetMembers([]Member{member("a", 1)})
			gr, _, _ := po.Acquire(context.Background(), SlotRequest{Deadline: time.Now().Add(time.Minute)})
			var mu sync.Mutex
			var order []string
			for i := range 8 {
				go acquireAndRelease(po, &mu, &order, fmt.Sprintf("l%d", i), runner.LatencyCritical, time.Duration(20-i)*time.Second)
			}
			go acquireAndRelease(po, &mu, &order, "b", runner.Batch, time.Hour)
			synctest.Wait()
			gr.Release("m", 0, 0)
			synctest.Wait()
			c.Assert(order, qt.DeepEquals, []string{"l7", "l6", "l5", "b", "l4", "l3", "l2", "l1", "l0"})
		})
	})
	t.Run("a full queue refuses at once and evicts batch", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			cl, unblock := blockingClient()
			ro := newFixedRouter(cl, member("a", 1))
			ro.SetPolicy(Policy{QueueLimit: 1, BatchEvery: 8})
			do := func(n int, class runner.Class) chan Result {
				result := make(chan Result, 1)
				go func() { result <- ro.Do(context.Background(), request(n, class, time.Minute)) }()
				synctest.Wait()
				return result
			}
			running := do(1, runner.LatencyCritical)
			batch := do(2, runner.Batch)
			waiting := do(3, runner.LatencyCritical)
			res := <-batch
			c.Assert(res.Reason, qt.Equals, reason.QueueFull)
			c.Assert(res.Outcome, qt.Equals, NotRun)
			res = ro.Do(context.Background(), request(4, runner.LatencyCritical, time.Minute))
			c.Assert(res.Reason, qt.Equals, reason.QueueFull)
			close(unblock)
			c.Assert((<-running).Outcome, qt.Equals, Answered)
			c.Assert((<-waiting).Outcome, qt.Equals, Answered)
		})
	})
	t.Run("a request that cannot meet its deadline is refused at once", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			fr := newFakeRunners(100*time.Millisecond, 0, 1)
			ro := newRouter(fr, ids("r", 1))
			for n := range 2 * minSamples {
				ro.Do(context.Background(), request(n, runner.LatencyCritical, time.Second))
			}
			begun := time.Now()
			res := ro.Do(context.Background(), request(999, runner.LatencyCritical, 50*time.Millisecond))
			c.Assert(res.Reason, qt.Equals, reason.TooLate)
			c.Assert(time.Since(begun), qt.Equals, time.Duration(0))
			time.Sleep(time.Minute)
		})
	})
	t.Run("no runner", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			cl, _ := scriptedClient(nil)
			res := newFixedRouter(cl).Do(context.Background(), request(1, runner.LatencyCritical, time.Second))
			c.Assert(res.Reason, qt.Equals, reason.NoRunner)
			c.Assert(res.Outcome, qt.Equals, NotRun)
		})
	})
}

func acquireAndRelease(po *Pool, mu *sync.Mutex, order *[]string, name string, class runner.Class, left time.Duration) {
	gr, _, _ := po.Acquire(context.Background(), SlotRequest{Class: class, Deadline: time.Now().Add(left)})
	mu.Lock()
	*order = append(*order, name)
	mu.Unlock()
	gr.Release("m", 0, 0)
}

func BenchmarkDo(b *testing.B) {
	cl, _ := scriptedClient(nil)
	ro := newFixedRouter(cl, member("a", 8), member("b", 8), member("c", 8))
	b.ReportAllocs()
	for n := range b.N {
		ro.Do(context.Background(), request(n, runner.LatencyCritical, time.Second))
	}
}
