// Package e2e tests the programs as separate processes over loopback TCP, as some failures,
// such as a frozen process, can't be reproduced within one. All processes run on one
// machine, so it tests neither network faults nor load.
package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/internal/caller"
	"github.com/pepperhatch/pepperhatch/internal/claim"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// callHistory records the outcomes that callers received.
type callHistory struct {
	// skipUnready makes senders skip a host that is not ready, as the platform's load
	// balancer does.
	skipUnready bool

	mu       sync.Mutex
	answered int
	wrong    []string
	runOnce  []string
	notRun   []string
	unknown  map[string]int
	unready  [maxSenders]bool
}

// sendRequests sends sequential requests through one entry host until ctx ends, each with
// its own ID and body.
func (hi *callHistory) sendRequests(ctx context.Context, cl *caller.Client, via, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		if hi.skipUnready && !hi.ready(via) {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		req := &pb.CallRequest{
			Id: claim.NewID(""), Service: "routedesk", Method: "leg-recalc", RunOnce: i%4 == 0,
			Body: fmt.Appendf(nil, "sender %d request %d %s", n, i, strings.Repeat("x", i%3000)), DeadlineMs: 5000,
		}
		resp, err := cl.CallVia(context.WithoutCancel(ctx), via, req)
		hi.record(req, resp, err)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// ready reports whether the host was ready when it was last polled.
func (hi *callHistory) ready(via int) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return !hi.unready[via]
}

// pollReadiness polls the readiness of all hosts, as a load balancer does.
func (hi *callHistory) pollReadiness(ctx context.Context, cl *cluster) {
	for ctx.Err() == nil {
		for i, pr := range cl.entries {
			resp, err := cl.web.Get("http://" + pr.addrs[0] + "/readyz")
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			hi.mu.Lock()
			for via := i; via < maxSenders; via += len(cl.entries) {
				hi.unready[via] = !ready
			}
			hi.mu.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// maxSenders bounds the number of concurrent senders.
const maxSenders = 18

// record records the outcome of a request.
func (hi *callHistory) record(req *pb.CallRequest, resp *pb.CallResponse, err error) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if req.GetRunOnce() {
		hi.runOnce = append(hi.runOnce, req.GetId())
	}
	switch {
	case err != nil && caller.FailureOf(err).GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
		hi.notRun = append(hi.notRun, req.GetId())
	case err != nil:
		if hi.unknown == nil {
			hi.unknown = map[string]int{}
		}
		hi.unknown[caller.FailureOf(err).GetReason()]++
	case string(resp.GetBody()) != string(standin.Answer(req.GetId(), req.GetBody())):
		hi.wrong = append(hi.wrong, req.GetId())
	default:
		hi.answered++
	}
}

// verify compares the outcomes that callers received with the runners' logs.
func (hi *callHistory) verify(c *qt.C, runs map[string]int) {
	c.Helper()
	c.Assert(hi.wrong, qt.HasLen, 0)
	c.Assert(hi.answered > 100, qt.IsTrue, qt.Commentf("answered %d", hi.answered))
	for _, id := range hi.runOnce {
		c.Assert(runs[id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs[id]))
	}
	for _, id := range hi.notRun {
		c.Assert(runs[id], qt.Equals, 0, qt.Commentf("%s was reported as not run", id))
	}
	c.Logf("answered %d, not run %d, unknown %v, run-once %d", hi.answered, len(hi.notRun), hi.unknown, len(hi.runOnce))
}

// TestKilledEntryHostAndRunner kills an entry host and a runner under load. It guards
// against wrong or truncated answers, run-once requests that run twice, requests that ran
// although reported as not run, and sessions with gaps.
func TestKilledEntryHostAndRunner(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	sctx, stopSending := context.WithCancel(ctx)
	hi := &callHistory{}
	var wg sync.WaitGroup
	all := cl.caller(cl.entries...)
	for n := range maxSenders {
		wg.Go(func() { hi.sendRequests(sctx, all, n, n) })
	}
	errEventLimit := errors.New("event limit reached")
	wg.Go(func() {
		defer stopSending()
		err := all.Watch(ctx, &pb.WatchRequest{Service: "routedesk", Topic: "bridge"}, func(ev *pb.WatchResponse) error {
			c.Check(string(ev.GetBody()), qt.Equals, string(standin.SessionBody("bridge", ev.GetSeq())))
			if ev.GetSeq() == 10 {
				cl.killProcess(cl.entries[1])
				cl.killProcess(cl.runners[0])
			}
			if ev.GetSeq() == 50 {
				return errEventLimit
			}
			return nil
		})
		c.Check(err, qt.ErrorIs, errEventLimit)
	})
	wg.Wait()
	hi.verify(c, cl.runCounts())
}

// TestOperators adds a job, drains a rack and changes the configuration with
// the command line, as an operator would.
func TestOperators(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	c.Run("a job is planned, confirmed and done", func(c *qt.C) {
		out := cl.runCLI(0, "job", "add", "--cell", dataCentres[1], "--name", "depot-plan", "--tasks", "4", "--cores", "2", "--run", "500ms")
		c.Assert(out, qt.Contains, "4 tasks have room now")
		id := strings.Fields(out)[1]
		c.Assert(cl.runCLI(1, "confirm", id), qt.Contains, "carried out")
		c.Assert(cl.runCLI(2, "confirm", id), qt.Contains, "carried out")
		cl.await("tasks done", func() bool {
			return strings.Count(cl.runCLI(2, "job", "tasks", "--job", "depot-plan"), ":ok") == 4
		})
	})
	c.Run("an oversized request is refused", func(c *qt.C) {
		req := &pb.CallRequest{Id: claim.NewID(""), Service: "routedesk", Body: make([]byte, 2<<20)}
		_, err := cl.caller(cl.entries[0]).Call(context.Background(), req)
		c.Assert(caller.FailureOf(err).GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_NOT_RUN)
		c.Assert(caller.FailureOf(err).GetReason(), qt.Equals, "body-too-large")
	})
	c.Run("a rack is drained", func(c *qt.C) {
		cl.runCLI(0, "service", "add", "--cell", dataCentres[0], "--name", "routedesk", "--tasks", "4", "--cores", "2", "--yes")
		cl.await("service runs", func() bool {
			return strings.Count(cl.runCLI(0, "service", "tasks", "--job", "routedesk"), "running") == 4
		})
		c.Assert(cl.runCLI(0, "drain", "--cell", dataCentres[0], "--rack", "r1", "--yes"), qt.Contains, "move")
		cl.await("rack is empty", func() bool {
			out := cl.runCLI(0, "service", "tasks", "--job", "routedesk")
			return strings.Count(out, "running") == 4 && !strings.Contains(out, dataCentres[0]+"-worker1")
		})
	})
	c.Run("a change of configuration is in force everywhere", func(c *qt.C) {
		cl.runCLI(1, "config", "set", "route.batch-every=4", "--yes")
		cl.await("in force", func() bool {
			return strings.Contains(cl.runCLI(2, "status"), "configuration 1 in force at 3 of 3")
		})
	})
}
