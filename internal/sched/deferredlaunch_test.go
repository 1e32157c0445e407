package sched

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/deferral"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// delayOwner returns an agent that is far from the owner: each request and each answer takes as long
// as delay returns.
func delayOwner(delay func() time.Duration) func(worker.Agent) worker.Agent {
	return func(ag worker.Agent) worker.Agent {
		return worker.Agent{
			LaunchFunc: delayed(delay, ag.LaunchFunc), HaltFunc: delayed(delay, ag.HaltFunc),
			PaceFunc: delayed(delay, ag.PaceFunc), PollFunc: delayed(delay, ag.PollFunc),
		}
	}
}

func delayed[Order, Answer any](delay func() time.Duration, send func(context.Context, worker.Addr, Order) (Answer, error)) func(context.Context, worker.Addr, Order) (Answer, error) {
	return func(ctx context.Context, ad worker.Addr, or Order) (Answer, error) {
		var none Answer
		if !clock.Sleep(ctx, delay()) {
			return none, ctx.Err()
		}
		an, err := send(ctx, ad, or)
		if !clock.Sleep(ctx, delay()) {
			return none, ctx.Err()
		}
		return an, err
	}
}

// TestStartInFreedCapacityWaitsForOwner guards against capacity that stays unused while its owner
// learns of the end of an attempt and orders the next one.
func TestStartInFreedCapacityWaitsForOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow, end := interruptedBesideFullWorker(t, func(la *lab) { la.wrapOwnerFunc = delayOwner(func() time.Duration { return 80 * time.Millisecond }) })
		defer end()
		_, err := ow.Cancel(context.Background(), jobID(1))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(5 * time.Second)
		took := la.firstStartAfterEnd(1, 3)
		qt.Check(t, took >= 0 && took <= 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		la.assertRunsConsistent()
	})
}

// TestLaunchWaitsAtFormerRelay guards against a start that waits for an end which only the next
// relay of the worker learns of.
func TestLaunchWaitsAtFormerRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relays := map[string]worker.Agent{}
		la, ow, end := interruptedBesideFullWorker(t, func(la *lab) {
			for _, via := range []string{"", "r1"} {
				relays[via] = deferral.Wrap(la.wrapAgentFunc(la.fleet.Agent()))
			}
			la.wrapOwnerFunc = func(worker.Agent) worker.Agent { return byRelay(relays) }
		})
		defer end()
		_, err := ow.Cancel(context.Background(), jobID(1))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(500 * time.Millisecond)
		via := "r1"
		la.via.Store(&via)
		ow.Reroute()
		time.Sleep(3 * time.Second)
		took := la.firstStartAfterEnd(1, 3)
		qt.Check(t, took >= 0 && took <= 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		la.assertRunsConsistent()
	})
}

// byRelay returns an agent that reaches each worker through the agent of its relay.
func byRelay(relays map[string]worker.Agent) worker.Agent {
	return worker.Agent{
		LaunchFunc: func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
			return relays[ad.Via].LaunchFunc(ctx, ad, la)
		},
		HaltFunc: func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
			return relays[ad.Via].HaltFunc(ctx, ad, ha)
		},
		PaceFunc: func(ctx context.Context, ad worker.Addr, pa worker.Pace) (worker.Ack, error) {
			return relays[ad.Via].PaceFunc(ctx, ad, pa)
		},
		PollFunc: func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
			return relays[ad.Via].PollFunc(ctx, ad, po)
		},
	}
}

// TestStartSeenByPollIsResolved guards against requests about an order whose answer is on its way
// when a poll lists the attempt.
func TestStartSeenByPollIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ll := &logLines{}
		la, ow, end := interruptedBesideFullWorker(t, func(la *lab) {
			la.log = slog.New(slog.NewTextHandler(ll, nil))
			la.wrapOwnerFunc = func(ag worker.Agent) worker.Agent {
				ag.LaunchFunc = delayed(func() time.Duration { return 50 * time.Millisecond }, ag.LaunchFunc)
				return ag
			}
		})
		defer end()
		_, err := ow.Cancel(context.Background(), jobID(1))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(5 * time.Second)
		qt.Check(t, la.runningOfJob(3), qt.Equals, 1)
		qt.Check(t, ll.matching(`msg="launch not done"`), qt.HasLen, 0)
	})
}
