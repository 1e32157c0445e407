package e2e

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/internal/caller"
	"github.com/pepperhatch/pepperhatch/internal/claim"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// underLoad sends requests through all entry hosts while fn runs, and compares the
// outcomes that callers received with the logs of the runners.
func underLoad(c *qt.C, cl *cluster, fn func()) *callHistory {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	hi := &callHistory{skipUnready: true}
	all := cl.caller(cl.entries...)
	var wg sync.WaitGroup
	wg.Go(func() { hi.pollReadiness(ctx, cl) })
	for n := range 12 {
		wg.Go(func() { hi.sendRequests(ctx, all, n, n) })
	}
	fn()
	stop()
	wg.Wait()
	hi.verify(c, cl.runCounts())
	return hi
}

// watchUntil follows a session through all entry hosts until done returns true for the
// sequence number of an event. The client checks that no event is missing or repeated.
func watchUntil(c *qt.C, cl *cluster, done func(seq uint64) bool) {
	c.Helper()
	errEventLimit := errors.New("event limit reached")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	err := cl.caller(cl.entries...).Watch(ctx, &pb.WatchRequest{Service: "routedesk", Topic: "bridge"}, func(ev *pb.WatchResponse) error {
		c.Check(string(ev.GetBody()), qt.Equals, string(standin.SessionBody("bridge", ev.GetSeq())))
		if done(ev.GetSeq()) {
			return errEventLimit
		}
		return nil
	})
	c.Check(err, qt.ErrorIs, errEventLimit)
}

// TestPlannedStop stops an entry host under load and guards against requests that are cut
// off: each must be answered or refused, and none may have an unknown outcome. This holds
// for run-once IDs too, as their owner hands over its claims. A session must continue
// without a gap.
func TestPlannedStop(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	stopped := cl.entries[1]
	// Run-once IDs made within the clock skew after the start of a tenure have unknown
	// outcomes by design.
	time.Sleep(claim.DefaultRules.Skew + time.Second)
	hi := underLoad(c, cl, func() {
		watchUntil(c, cl, func(seq uint64) bool {
			if seq == 5 {
				c.Check(stopped.Process.Signal(syscall.SIGTERM), qt.IsNil)
			}
			return seq == 40
		})
	})
	c.Assert(stopped.Wait(), qt.IsNil)
	c.Assert(hi.unknown, qt.HasLen, 0)
}

// TestPlatformUnavailable stops the table, the object store and the host list for several
// times the lease length. Requests must still be served, including run-once requests of a
// data centre whose hosts extend each other's leases.
func TestPlatformUnavailable(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	setFaults := func(mode string) {
		for _, addr := range cl.platform {
			cl.setFault(addr, mode)
		}
	}
	hi := underLoad(c, cl, func() {
		setFaults("down")
		time.Sleep(8 * time.Second)
		setFaults("freeze")
		time.Sleep(4 * time.Second)
	})
	for why := range hi.unknown {
		c.Check(why == "claim-before-tenure" || why == "claim-owner-away", qt.IsTrue, qt.Commentf("%s", why))
	}
	c.Assert(len(hi.notRun) < hi.answered/50, qt.IsTrue, qt.Commentf("answered %d, not run %d", hi.answered, len(hi.notRun)))
	// The two hosts of the first data centre retain their leases, so run-once IDs of that
	// data centre are served while the platform is unavailable.
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	resp, err := cl.caller(cl.entries[0]).Call(ctx, &pb.CallRequest{
		Id: claim.NewID(dataCentres[0]), Service: "routedesk", Method: "dispatch", RunOnce: true, DeadlineMs: 5000,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(resp.GetRunner(), qt.Not(qt.Equals), "")
	setFaults("ok")
	cl.await("platform is back", func() bool { return cl.status(0).GetPlatformOk() })
}

// TestPausedEntryHost guards against run-once requests that run twice: an entry host is
// paused under load until its lease has expired, and each ID is sent again through
// another host.
func TestPausedEntryHost(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(c)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var mu sync.Mutex
	var ids []string
	var wg sync.WaitGroup
	all := cl.caller(cl.entries...)
	for n := range 9 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := claim.NewID(dataCentres[0])
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
				sendTwice(ctx, all, n, id)
			}
		})
	}
	time.Sleep(2 * time.Second)
	c.Check(cl.entries[0].Process.Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(6 * time.Second)
	c.Check(cl.entries[0].Process.Signal(syscall.SIGCONT), qt.IsNil)
	time.Sleep(3 * time.Second)
	stop()
	wg.Wait()
	runs := cl.runCounts()
	ran := 0
	for _, id := range ids {
		c.Assert(runs[id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs[id]))
		ran += runs[id]
	}
	c.Assert(ran > 100, qt.IsTrue, qt.Commentf("only %d ran", ran))
	c.Logf("%d ids, %d ran", len(ids), ran)
}

// sendTwice sends a run-once request through two hosts at the same time, and then through
// a third.
func sendTwice(ctx context.Context, cl *caller.Client, via int, id string) {
	req := &pb.CallRequest{Id: id, Service: "routedesk", Method: "dispatch", RunOnce: true, DeadlineMs: 1000, Body: fmt.Append(nil, id)}
	var wg sync.WaitGroup
	for k := range 2 {
		wg.Go(func() {
			sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
			defer cancel()
			_, _ = cl.CallVia(sctx, via+k, req)
		})
	}
	wg.Wait()
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	_, _ = cl.CallVia(sctx, via+2, req)
}
