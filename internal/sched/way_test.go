package sched

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// waysSeen notes the ways and fencing tokens of the looks at workers.
type waysSeen struct {
	mu     sync.Mutex
	via    []string
	fences []int64
}

func (ws *waysSeen) through(ag worker.Agent) worker.Agent {
	look := ag.LookFunc
	ag.LookFunc = func(ctx context.Context, ad worker.Addr, lo worker.Look) (worker.Sight, error) {
		ws.mu.Lock()
		ws.via, ws.fences = append(ws.via, ad.Via), append(ws.fences, lo.Fence)
		ws.mu.Unlock()
		return look(ctx, ad, lo)
	}
	return ag
}

func TestEachWayHasItsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		var ws waysSeen
		la.throughFunc = ws.through
		ow, end := la.own()
		defer end()
		time.Sleep(5 * time.Second)
		for _, via := range []string{"e1", "e1", "e2", ""} {
			la.via.Store(&via)
			ow.Reroute()
			time.Sleep(5 * time.Second)
		}
		ws.mu.Lock()
		defer ws.mu.Unlock()
		highest := map[int64]string{}
		for i, fence := range ws.fences {
			if via, ok := highest[fence]; ok {
				qt.Assert(t, ws.via[i], qt.Equals, via)
			}
			highest[fence] = ws.via[i]
			qt.Assert(t, i == 0 || fence >= ws.fences[i-1], qt.IsTrue)
		}
		// Directly, by the first, by the second, and directly again.
		qt.Assert(t, len(highest), qt.Equals, 4)
		next := &Owner{Tenure: ow.Tenure}
		next.Tenure.Epoch++
		qt.Assert(t, next.firstWay(WorkerEntry{}).fence > ws.fences[len(ws.fences)-1], qt.IsTrue)
	})
}

func TestOrdersWithNoWayAreGivenElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.throughFunc = func(ag worker.Agent) worker.Agent { return withoutWay(ag, "i-0") }
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 6))
		time.Sleep(3 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		for _, ru := range la.fleet.Runs() {
			qt.Assert(t, ru.Worker.ID, qt.Equals, "i-1")
		}
	})
}

// withoutWay has launches for one worker not sent.
func withoutWay(ag worker.Agent, id string) worker.Agent {
	launch := ag.LaunchFunc
	ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
		if ad.Incarnation.ID == id {
			return worker.Ack{}, worker.ErrNotSent
		}
		return launch(ctx, ad, la)
	}
	return ag
}

// TestWorkerThatIsListedAgain has a worker's entry go and come back after the way to
// it has changed.
func TestWorkerThatIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		ow, end := la.own()
		defer end()
		for _, via := range []string{"e1", "e2"} {
			la.via.Store(&via)
			ow.Reroute()
			time.Sleep(5 * time.Second)
		}
		ow.SetWorkers(nil, []string{"i-0"}, false)
		time.Sleep(time.Second)
		ow.SetWorkers(la.listed(), nil, true)
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 2))
		time.Sleep(3 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
	})
}
