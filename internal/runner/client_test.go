package runner_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// runnerHarness is a stand-in runner and a client for it.
type runnerHarness struct {
	ru   *standin.Runner
	srv  *httptest.Server
	cl   runner.Client
	next int
}

func newRunnerHarness(tb testing.TB) *runnerHarness {
	tb.Helper()
	ru := standin.NewRunner(standin.RunnerSettings{ID: "r1"})
	srv := httptest.NewServer(ru.Handler())
	tb.Cleanup(srv.Close)
	return &runnerHarness{ru: ru, srv: srv, cl: runner.NewClient(runner.Limits{})}
}

func (rh *runnerHarness) addr() string { return strings.TrimPrefix(rh.srv.URL, "http://") }

// run sends a request with a new id and returns the id.
func (rh *runnerHarness) run(ctx context.Context, body []byte) (string, runner.Answer, error) {
	rh.next++
	id := fmt.Sprintf("id%d", rh.next)
	ans, err := rh.cl.RunFunc(ctx, rh.addr(), runner.Request{ID: id, Service: "s", Body: body, Deadline: time.Now().Add(time.Minute)})
	return id, ans, err
}

func (rh *runnerHarness) runs(id string) int {
	n := 0
	for _, run := range rh.ru.Log() {
		if run.ID == id {
			n++
		}
	}
	return n
}

// assertNotRun checks that the error is a NotRunError with the reason.
func assertNotRun(c *qt.C, err error, reason string) {
	c.Helper()
	var notRun *runner.NotRunError
	c.Assert(errors.As(err, &notRun), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(notRun.Reason, qt.Equals, reason)
}

// assertUnknown checks that the error is an UnknownError.
func assertUnknown(c *qt.C, err error) {
	c.Helper()
	var unknown *runner.UnknownError
	c.Assert(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
}

func TestOutcomeOfEachFault(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	for _, mode := range []standin.Mode{standin.ModeCloseUnread, standin.ModeCloseRead, standin.ModeCloseRun, standin.ModeCut, standin.ModeWrong, standin.ModeForeign} {
		c.Run(string(mode), func(c *qt.C) {
			rh := newRunnerHarness(c)
			// The second iteration reuses a connection, where net/http is most
			// likely to retry.
			for range 2 {
				rh.ru.Faults.Set(standin.Fault{})
				_, _, err := rh.run(ctx, []byte("x"))
				c.Assert(err, qt.IsNil)
				rh.ru.Faults.Set(standin.Fault{Mode: mode})
				id, _, err := rh.run(ctx, []byte("x"))
				assertUnknown(c, err)
				c.Assert(rh.runs(id) <= 1, qt.IsTrue)
			}
		})
	}
	c.Run("refused", func(c *qt.C) {
		rh := newRunnerHarness(c)
		rh.ru.Faults.Set(standin.Fault{Mode: standin.ModeRefuse})
		_, _, err := rh.run(ctx, nil)
		assertNotRun(c, err, "refuse")
	})
	c.Run("leaving", func(c *qt.C) {
		rh := newRunnerHarness(c)
		rh.ru.Order(standin.RunnerOrder{Leave: true})
		_, _, err := rh.run(ctx, nil)
		assertNotRun(c, err, runner.ReasonLeaving)
	})
	c.Run("no listener", func(c *qt.C) {
		rh := newRunnerHarness(c)
		rh.srv.Close()
		_, _, err := rh.run(ctx, nil)
		assertNotRun(c, err, "")
	})
}

// TestOutcomesMatchRunnerLog sends requests under random sequences of faults
// and checks every outcome against the runner's log.
func TestOutcomesMatchRunnerLog(t *testing.T) {
	modes := []standin.Mode{
		standin.ModeOK, standin.ModeRefuse, standin.ModeWrong, standin.ModeForeign, standin.ModeCut,
		standin.ModeCloseUnread, standin.ModeCloseRead, standin.ModeCloseRun, standin.ModeHang,
	}
	proptest.Check(t, proptest.Size{}, func(rt *rapid.T) {
		rh := newRunnerHarness(t)
		defer rh.srv.Close()
		for range rapid.IntRange(1, 12).Draw(rt, "requests") {
			mode := rapid.SampledFrom(modes).Draw(rt, "mode")
			body := bytes.Repeat([]byte("b"), rapid.SampledFrom([]int{0, 1, 100, 100_000}).Draw(rt, "size"))
			rh.ru.Faults.Set(standin.Fault{Mode: mode})
			if rapid.Bool().Draw(rt, "close idle") {
				rh.srv.CloseClientConnections()
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			id, ans, err := rh.run(ctx, body)
			cancel()
			checkOutcome(rt, rh, id, body, ans, err)
		}
	})
}

func checkOutcome(rt *rapid.T, rh *runnerHarness, id string, body []byte, ans runner.Answer, err error) {
	runs := rh.runs(id)
	var notRun *runner.NotRunError
	switch {
	case runs > 1:
		rt.Fatalf("%s ran %d times", id, runs)
	case err == nil && !bytes.Equal(ans.Body, standin.Answer(id, body)):
		rt.Fatalf("%s got a wrong answer", id)
	case errors.As(err, &notRun) && runs > 0:
		rt.Fatalf("%s was reported as not run but ran: %v", id, err)
	}
}

// TestNetHTTPWouldReplay shows why the client prevents replays: a request that
// net/http considers replayable reaches a runner twice if the connection is
// closed after the request was read; a request of the client does not.
func TestNetHTTPWouldReplay(t *testing.T) {
	c := qt.New(t)
	var got atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if got.Add(1)%2 == 1 {
			w.Header().Set(runner.HeaderID, "id")
			w.Header().Set(runner.HeaderStatus, runner.StatusDone)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	c.Cleanup(srv.Close)
	c.Run("with an idempotency key", func(c *qt.C) {
		got.Store(0)
		tr := &http.Transport{}
		c.Cleanup(tr.CloseIdleConnections)
		for range 2 {
			req, err := http.NewRequest(http.MethodPost, srv.URL, strings.NewReader("x"))
			c.Assert(err, qt.IsNil)
			req.Header.Set("Idempotency-Key", "k")
			resp, err := tr.RoundTrip(req)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Body.Close(), qt.IsNil)
		}
		c.Assert(got.Load(), qt.Equals, int64(3))
	})
	c.Run("as the client sends it", func(c *qt.C) {
		got.Store(0)
		cl := runner.NewClient(runner.Limits{})
		req := runner.Request{ID: "id", Body: []byte("x"), Deadline: time.Now().Add(time.Minute)}
		_, err := cl.RunFunc(context.Background(), strings.TrimPrefix(srv.URL, "http://"), req)
		c.Assert(err, qt.IsNil)
		_, err = cl.RunFunc(context.Background(), strings.TrimPrefix(srv.URL, "http://"), req)
		assertUnknown(c, err)
		c.Assert(got.Load(), qt.Equals, int64(2))
	})
}
