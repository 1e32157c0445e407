package sched

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// unresponsiveRelay is a relay that neither passes on orders nor answers while blocking is
// set.
type unresponsiveRelay struct {
	name     string
	blocking atomic.Bool
}

// block waits until the order times out if it goes through the relay, and then returns that
// it was not sent; other orders it lets pass with a nil error.
func (ur *unresponsiveRelay) block(ctx context.Context, ad worker.Addr) error {
	if ad.Via != ur.name || !ur.blocking.Load() {
		return nil
	}
	<-ctx.Done()
	return worker.ErrNotSent
}

func (ur *unresponsiveRelay) wrap(ag worker.Agent) worker.Agent {
	poll, launch := ag.PollFunc, ag.LaunchFunc
	ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
		if err := ur.block(ctx, ad); err != nil {
			return worker.PollResult{}, err
		}
		return poll(ctx, ad, po)
	}
	ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
		if err := ur.block(ctx, ad); err != nil {
			return worker.Ack{}, err
		}
		return launch(ctx, ad, la)
	}
	return ag
}

// newRelayedLab returns a logged lab of six workers, four of them behind a relay that can
// become unresponsive.
func newRelayedLab(t *testing.T) (*lab, *logLines, *unresponsiveRelay) {
	t.Helper()
	la, ll := newLoggedLab(t, 6)
	ur := &unresponsiveRelay{name: "e1"}
	la.wrapAgentFunc = ur.wrap
	la.viaByWorker = map[string]string{"i-0": "e1", "i-1": "e1", "i-2": "e1", "i-3": "e1", "i-4": "e2", "i-5": "e2"}
	return la, ll, ur
}

// TestWorkersWithoutOrdersAreLogged has a relay that never answers the new owner of a cell, so
// that the workers behind it get no orders. The log must keep reporting how many there are and
// which relay they share: a single line per worker at its first failed poll does not show that
// two thirds of the capacity are missing for as long as the relay does not answer.
func TestWorkersWithoutOrdersAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll, ur := newRelayedLab(t)
		ur.blocking.Store(true)
		_, end := la.startOwner()
		defer end()
		time.Sleep(10 * time.Second)
		logged := ll.matching("level=WARN", `msg="workers without orders"`, "workers=4", "of=6", "via=e1", "via_workers=4", "via_all=4")
		qt.Assert(t, len(logged) >= 8 && len(logged) <= 10, qt.IsTrue, qt.Commentf("%d lines", len(logged)))
	})
}

// TestRelayBecomesUnresponsive has a relay stop answering while its workers run attempts,
// and answer again.
func TestRelayBecomesUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll, ur := newRelayedLab(t)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(6*16))
		time.Sleep(time.Second)
		la.assertRunning(6 * 16)
		ur.blocking.Store(true)
		time.Sleep(4 * time.Second)
		outageLines := ll.matching("workers without orders", "workers=4 of=6 silent=4 unsettled=0 attempts=64 ", "via=e1")
		qt.Assert(t, outageLines, qt.Not(qt.HasLen), 0)
		// A poll that was in flight at that time was still answered.
		longest := longestOf(t, outageLines[len(outageLines)-1])
		qt.Assert(t, longest > 4*time.Second-pollWait-outageLogInterval && longest <= 4*time.Second, qt.IsTrue, qt.Commentf("%v", longest))
		ur.blocking.Store(false)
		time.Sleep(4 * time.Second)
		logged := len(ll.matching("workers without orders"))
		qt.Assert(t, ll.matching("level=INFO", `msg="all workers get orders again"`, "workers=6"), qt.HasLen, 1)
		time.Sleep(10 * time.Second)
		qt.Assert(t, ll.matching("workers without orders"), qt.HasLen, logged)
		qt.Assert(t, ll.matching("all workers get orders again"), qt.HasLen, 1)
	})
}

func longestOf(t *testing.T, line string) time.Duration {
	t.Helper()
	_, after, _ := strings.Cut(line, "longest=")
	longest, err := time.ParseDuration(strings.Fields(after)[0])
	qt.Assert(t, err, qt.IsNil)
	return longest
}

// TestSingleLostPollIsNotLogged has each worker miss one poll, which must not be logged as an
// outage.
func TestSingleLostPollIsNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 4)
		_, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		for _, fw := range la.fleetWorkers {
			fw.Faults.Set(standin.Fault{Mode: standin.ModeLost, Count: 1})
		}
		time.Sleep(5 * time.Second)
		qt.Assert(t, ll.matching("worker does not answer"), qt.HasLen, 4)
		qt.Assert(t, ll.matching("workers without orders"), qt.HasLen, 0)
		qt.Assert(t, ll.matching("all workers get orders again"), qt.HasLen, 0)
	})
}

// TestPollsThatNeverReturnAreLogged has the client of workers block even beyond its
// timeout: no poll fails, and yet the workers get no orders.
func TestPollsThatNeverReturnAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 3)
		released := make(chan struct{})
		var blocked atomic.Bool
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			poll := ag.PollFunc
			ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
				if blocked.Load() {
					<-released
				}
				return poll(ctx, ad, po)
			}
			return ag
		}
		_, end := la.startOwner()
		defer end()
		defer close(released)
		time.Sleep(time.Second)
		blocked.Store(true)
		time.Sleep(10 * time.Second)
		qt.Assert(t, ll.matching("worker does not answer"), qt.HasLen, 0)
		qt.Assert(t, ll.matching("workers without orders", "workers=3 of=3 silent=3 "), qt.Not(qt.HasLen), 0)
	})
}

// TestUnlistedWorkersAreNotLogged has the list drop a worker that does not answer and may
// still run something. It must not be logged as an outage.
func TestUnlistedWorkersAreNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 2)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(2*16))
		time.Sleep(time.Second)
		la.fleetWorkers[0].Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		ow.SetWorkers(nil, []string{"i-0"}, false)
		time.Sleep(5 * time.Second)
		qt.Assert(t, ll.matching("worker does not answer", "worker=i-0"), qt.HasLen, 1)
		qt.Assert(t, ll.matching("workers without orders"), qt.HasLen, 0)
	})
}

// workersGauge reads the gauge of workers: answering, silent and unsettled.
func workersGauge(t *testing.T, page http.Handler) []string {
	t.Helper()
	re := httptest.NewRecorder()
	page.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var list []string
	for _, state := range []contactState{contactAnswering, contactUnresponsive, contactUnsettled} {
		_, after, found := strings.Cut(re.Body.String(), fmt.Sprintf("%s{state=%q} ", telemetry.Workers, state))
		qt.Assert(t, found, qt.IsTrue, qt.Commentf("no gauge of workers in state %s", state))
		value, _, _ := strings.Cut(after, "\n")
		list = append(list, value)
	}
	return list
}

// TestWorkersGauge checks the gauge without an owner, while a relay is unresponsive from the
// start or later, and after the owner has ended.
func TestWorkersGauge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, _, ur := newRelayedLab(t)
		me, page, err := telemetry.New()
		qt.Assert(t, err, qt.IsNil)
		la.metrics = me
		ResetGauges(me)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"0", "0", "0"})
		ur.blocking.Store(true)
		_, end := la.startOwner()
		time.Sleep(time.Second)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"2", "0", "4"})
		ur.blocking.Store(false)
		time.Sleep(3 * time.Second)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"6", "0", "0"})
		ur.blocking.Store(true)
		time.Sleep(5 * time.Second)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"2", "4", "0"})
		end()
		time.Sleep(time.Second)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"0", "0", "0"})
	})
}
