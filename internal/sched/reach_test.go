package sched

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

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
func relayedLab(t *testing.T) (*lab, *lines, *mute) {
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
		told := li.with("level=WARN", `msg="workers without orders"`, "workers=4", "of=6", "via=e1", "via_workers=4", "via_all=4")
		qt.Assert(t, len(told) >= 8 && len(told) <= 10, qt.IsTrue, qt.Commentf("%d lines", len(told)))
	})
}
