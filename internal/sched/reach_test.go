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

// mute is a relay that may take orders and answer none.
type mute struct {
	name string
	on   atomic.Bool
}

// wait is what an order through the relay comes to, if it is not carried out.
func (mu *mute) wait(ctx context.Context, ad worker.Addr) error {
	if ad.Via != mu.name || !mu.on.Load() {
		return nil
	}
	<-ctx.Done()
	return worker.ErrNotSent
}

func (mu *mute) through(ag worker.Agent) worker.Agent {
	look, launch := ag.LookFunc, ag.LaunchFunc
	ag.LookFunc = func(ctx context.Context, ad worker.Addr, lo worker.Look) (worker.Sight, error) {
		if err := mu.wait(ctx, ad); err != nil {
			return worker.Sight{}, err
		}
		return look(ctx, ad, lo)
	}
	ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
		if err := mu.wait(ctx, ad); err != nil {
			return worker.Ack{}, err
		}
		return launch(ctx, ad, la)
	}
	return ag
}

// relayedLab is a logged lab of six workers, four of them behind a relay that can be
// mute.
func relayedLab(t *testing.T) (*lab, *logLines, *mute) {
	t.Helper()
	la, li := loggedLab(t, 6)
	mu := &mute{name: "e1"}
	la.throughFunc = mu.through
	la.viaOf = map[string]string{"i-0": "e1", "i-1": "e1", "i-2": "e1", "i-3": "e1", "i-4": "e2", "i-5": "e2"}
	return la, li, mu
}

// TestWorkersWithoutOrdersAreTold is the story of an incident that nobody could see
// in the log.
//
// Users saw services that did not run, with room for them. Order of events: a new
// owner takes the cell over; one of its relays never answers; the workers behind it
// get no order until the day ends. Each of them has one line when its first look
// fails, and then there is nothing: not that there are still any, how many they are,
// or that they have a relay in common.
//
// Evidence: it took a list of all lines of all workers, joined with the relays that
// former orders had gone through, to see that a third of the room was gone.
func TestWorkersWithoutOrdersAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li, mu := relayedLab(t)
		mu.on.Store(true)
		_, end := la.own()
		defer end()
		time.Sleep(10 * time.Second)
		told := li.matching("level=WARN", `msg="workers without orders"`, "workers=4", "of=6", "via=e1", "via_workers=4", "via_all=4")
		qt.Assert(t, len(told) >= 8 && len(told) <= 10, qt.IsTrue, qt.Commentf("%d lines", len(told)))
	})
}

// TestWorkersFallSilent has a relay that worked fall mute while its workers have
// attempts, and answer again.
func TestWorkersFallSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li, mu := relayedLab(t)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(6*16))
		time.Sleep(time.Second)
		la.assertRunning(6 * 16)
		mu.on.Store(true)
		time.Sleep(4 * time.Second)
		whole := li.matching("workers without orders", "workers=4 of=6 silent=4 unsettled=0 attempts=64 ", "via=e1")
		qt.Assert(t, whole, qt.Not(qt.HasLen), 0)
		// A look that was under way then was answered.
		longest := longestOf(t, whole[len(whole)-1])
		qt.Assert(t, longest > 4*time.Second-pollWait-tellReachEvery && longest <= 4*time.Second, qt.IsTrue, qt.Commentf("%v", longest))
		mu.on.Store(false)
		time.Sleep(4 * time.Second)
		told := len(li.matching("workers without orders"))
		qt.Assert(t, li.matching("level=INFO", `msg="all workers get orders again"`, "workers=6"), qt.HasLen, 1)
		time.Sleep(10 * time.Second)
		qt.Assert(t, li.matching("workers without orders"), qt.HasLen, told)
		qt.Assert(t, li.matching("all workers get orders again"), qt.HasLen, 1)
	})
}

func longestOf(t *testing.T, line string) time.Duration {
	t.Helper()
	_, after, _ := strings.Cut(line, "longest=")
	longest, err := time.ParseDuration(strings.Fields(after)[0])
	qt.Assert(t, err, qt.IsNil)
	return longest
}

// TestOneLostLookIsNotTold has each worker miss one look.
func TestOneLostLookIsNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 4)
		_, end := la.own()
		defer end()
		time.Sleep(time.Second)
		for _, fw := range la.crew {
			fw.Gate.Set(standin.Fault{Mode: standin.ModeLost, Count: 1})
		}
		time.Sleep(5 * time.Second)
		qt.Assert(t, li.matching("worker does not answer"), qt.HasLen, 4)
		qt.Assert(t, li.matching("workers without orders"), qt.HasLen, 0)
		qt.Assert(t, li.matching("all workers get orders again"), qt.HasLen, 0)
	})
}

// TestLooksThatNeverEnd has the client of workers wait for ever, also once its time
// is over: no look fails, and yet the workers get no orders.
func TestLooksThatNeverEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 3)
		let := make(chan struct{})
		var stuck atomic.Bool
		la.throughFunc = func(ag worker.Agent) worker.Agent {
			look := ag.LookFunc
			ag.LookFunc = func(ctx context.Context, ad worker.Addr, lo worker.Look) (worker.Sight, error) {
				if stuck.Load() {
					<-let
				}
				return look(ctx, ad, lo)
			}
			return ag
		}
		_, end := la.own()
		defer end()
		defer close(let)
		time.Sleep(time.Second)
		stuck.Store(true)
		time.Sleep(10 * time.Second)
		qt.Assert(t, li.matching("worker does not answer"), qt.HasLen, 0)
		qt.Assert(t, li.matching("workers without orders", "workers=3 of=3 silent=3 "), qt.Not(qt.HasLen), 0)
	})
}

// TestWorkersThatAreGoneAreNotTold has the list drop a worker that does not answer
// and may still run something.
func TestWorkersThatAreGoneAreNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, li := loggedLab(t, 2)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, longRunning(2*16))
		time.Sleep(time.Second)
		la.crew[0].Gate.Set(standin.Fault{Mode: standin.ModeFreeze})
		ow.SetWorkers(nil, []string{"i-0"}, false)
		time.Sleep(5 * time.Second)
		qt.Assert(t, li.matching("worker does not answer", "worker=i-0"), qt.HasLen, 1)
		qt.Assert(t, li.matching("workers without orders"), qt.HasLen, 0)
	})
}

// workersGauge reads the gauge of workers: answering, silent and unsettled.
func workersGauge(t *testing.T, page http.Handler) []string {
	t.Helper()
	re := httptest.NewRecorder()
	page.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var list []string
	for _, state := range []reach{reachAnswering, reachSilent, reachUnsettled} {
		_, after, found := strings.Cut(re.Body.String(), fmt.Sprintf("%s{state=%q} ", telemetry.Workers, state))
		qt.Assert(t, found, qt.IsTrue, qt.Commentf("no gauge of workers that are %s", state))
		value, _, _ := strings.Cut(after, "\n")
		list = append(list, value)
	}
	return list
}

func TestGaugeOfWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, _, mu := relayedLab(t)
		me, page, err := telemetry.New()
		qt.Assert(t, err, qt.IsNil)
		la.metrics = me
		GaugeNoWorkers(me)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"0", "0", "0"})
		mu.on.Store(true)
		_, end := la.own()
		time.Sleep(time.Second)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"2", "0", "4"})
		mu.on.Store(false)
		time.Sleep(3 * time.Second)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"6", "0", "0"})
		mu.on.Store(true)
		time.Sleep(5 * time.Second)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"2", "4", "0"})
		end()
		time.Sleep(time.Second)
		qt.Assert(t, workersGauge(t, page), qt.DeepEquals, []string{"0", "0", "0"})
	})
}
