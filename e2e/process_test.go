// Package e2e tests the programs as separate processes over loopback TCP.
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

// history is what callers were told of their requests.
type history struct {
	// balanced stops sending to a host that is not ready, as the platform's
	// balancer does.
	balanced bool

	mu       sync.Mutex
	answered int
	wrong    []string
	once     []string
	notRun   []string
	unknown  map[string]int
	unready  [senders]bool
}

// send sends requests one after the other through one entry host until ctx
// ends, each with an id and a body of its own.
func (hi *history) send(ctx context.Context, cl *caller.Client, via, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		if hi.balanced && !hi.ready(via) {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		req := &pb.CallRequest{
			Id: claim.NewID(""), Service: "routedesk", Method: "leg-recalc", RunOnce: i%4 == 0,
			Body: fmt.Appendf(nil, "sender %d request %d %s", n, i, strings.Repeat("x", i%3000)), DeadlineMs: 5000,
		}
		resp, err := cl.CallVia(context.WithoutCancel(ctx), via, req)
		hi.note(req, resp, err)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// ready reports whether the balancer has the host as ready.
func (hi *history) ready(via int) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return !hi.unready[via]
}

// balance asks every host whether it is ready, as the balancer does.
func (hi *history) balance(ctx context.Context, cl *cluster) {
	for ctx.Err() == nil {
		for i, pr := range cl.entries {
			resp, err := cl.web.Get("http://" + pr.addrs[0] + "/readyz")
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			hi.mu.Lock()
			for via := i; via < senders; via += len(cl.entries) {
				hi.unready[via] = !ready
			}
			hi.mu.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// senders is how many senders there are at most.
const senders = 18

func (hi *history) note(req *pb.CallRequest, resp *pb.CallResponse, err error) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if req.GetRunOnce() {
		hi.once = append(hi.once, req.GetId())
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

// check compares what callers were told with what runners ran.
func (hi *history) check(c *qt.C, runs map[string]int) {
	c.Helper()
	c.Assert(hi.wrong, qt.HasLen, 0)
	c.Assert(hi.answered > 100, qt.IsTrue, qt.Commentf("answered %d", hi.answered))
	for _, id := range hi.once {
		c.Assert(runs[id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs[id]))
	}
	for _, id := range hi.notRun {
		c.Assert(runs[id], qt.Equals, 0, qt.Commentf("%s was said not to have run", id))
	}
	c.Logf("answered %d, not run %d, unknown %v, run-once %d", hi.answered, len(hi.notRun), hi.unknown, len(hi.once))
}

// TestKilledEntryHostAndRunner kills an entry host and a runner under load:
// every answer is whole and its caller's own, nothing marked runs twice, what
// was said not to have run did not, and a session goes on without a gap.
func TestKilledEntryHostAndRunner(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	sctx, stopSending := context.WithCancel(ctx)
	hi := &history{}
	var wg sync.WaitGroup
	all := cl.caller(cl.entries...)
	for n := range senders {
		wg.Go(func() { hi.send(sctx, all, n, n) })
	}
	enough := errors.New("enough")
	wg.Go(func() {
		defer stopSending()
		err := all.Watch(ctx, &pb.WatchRequest{Service: "routedesk", Topic: "bridge"}, func(ev *pb.WatchResponse) error {
			c.Check(string(ev.GetBody()), qt.Equals, string(standin.SessionBody("bridge", ev.GetSeq())))
			if ev.GetSeq() == 10 {
				cl.kill(cl.entries[1])
				cl.kill(cl.runners[0])
			}
			if ev.GetSeq() == 50 {
				return enough
			}
			return nil
		})
		c.Check(err, qt.ErrorIs, enough)
	})
	wg.Wait()
	hi.check(c, cl.runs())
}

// TestOperators adds a job, drains a rack and changes the configuration with
// the command line, as an operator would.
func TestOperators(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	c.Run("a job is planned, confirmed and done", func(c *qt.C) {
		out := cl.cli(0, "job", "add", "--cell", dcs[1], "--name", "depot-plan", "--tasks", "4", "--cores", "2", "--run", "500ms")
		c.Assert(out, qt.Contains, "4 tasks have room now")
		id := strings.Fields(out)[1]
		c.Assert(cl.cli(1, "confirm", id), qt.Contains, "carried out")
		c.Assert(cl.cli(2, "confirm", id), qt.Contains, "carried out")
		cl.await("tasks done", func() bool {
			return strings.Count(cl.cli(2, "job", "tasks", "--job", "depot-plan"), ":ok") == 4
		})
	})
	c.Run("an oversized request is refused", func(c *qt.C) {
		req := &pb.CallRequest{Id: claim.NewID(""), Service: "routedesk", Body: make([]byte, 2<<20)}
		_, err := cl.caller(cl.entries[0]).Call(context.Background(), req)
		c.Assert(caller.FailureOf(err).GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_NOT_RUN)
		c.Assert(caller.FailureOf(err).GetReason(), qt.Equals, "body-too-large")
	})
	c.Run("a rack is drained", func(c *qt.C) {
		cl.cli(0, "service", "add", "--cell", dcs[0], "--name", "routedesk", "--tasks", "4", "--cores", "2", "--yes")
		cl.await("service runs", func() bool {
			return strings.Count(cl.cli(0, "service", "tasks", "--job", "routedesk"), "running") == 4
		})
		c.Assert(cl.cli(0, "drain", "--cell", dcs[0], "--rack", "r1", "--yes"), qt.Contains, "move")
		cl.await("rack is empty", func() bool {
			out := cl.cli(0, "service", "tasks", "--job", "routedesk")
			return strings.Count(out, "running") == 4 && !strings.Contains(out, dcs[0]+"-worker1")
		})
	})
	c.Run("a change of configuration is in force everywhere", func(c *qt.C) {
		cl.cli(1, "config", "set", "route.batch-every=4", "--yes")
		cl.await("in force", func() bool {
			return strings.Contains(cl.cli(2, "status"), "configuration 1 in force at 3 of 3")
		})
	})
}
