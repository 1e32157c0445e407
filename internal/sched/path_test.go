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

// pathRecorder records the relays and fencing tokens of the polls of workers.
type pathRecorder struct {
	mu     sync.Mutex
	via    []string
	fences []int64
}

func (pr *pathRecorder) wrap(ag worker.Agent) worker.Agent {
	poll := ag.PollFunc
	ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
		pr.mu.Lock()
		pr.via, pr.fences = append(pr.via, ad.Via), append(pr.fences, po.Fence)
		pr.mu.Unlock()
		return poll(ctx, ad, po)
	}
	return ag
}

func TestEachPathHasItsOwnFencingToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		var pr pathRecorder
		la.wrapAgentFunc = pr.wrap
		ow, end := la.startOwner()
		defer end()
		time.Sleep(5 * time.Second)
		for _, via := range []string{"e1", "e1", "e2", ""} {
			la.via.Store(&via)
			ow.Reroute()
			time.Sleep(5 * time.Second)
		}
		pr.mu.Lock()
		defer pr.mu.Unlock()
		highest := map[int64]string{}
		for i, fence := range pr.fences {
			if via, ok := highest[fence]; ok {
				qt.Assert(t, pr.via[i], qt.Equals, via)
			}
			highest[fence] = pr.via[i]
			qt.Assert(t, i == 0 || fence >= pr.fences[i-1], qt.IsTrue)
		}
		// Direct, through e1, through e2, and direct again.
		qt.Assert(t, len(highest), qt.Equals, 4)
		next := &Owner{Tenure: ow.Tenure}
		next.Tenure.Epoch++
		qt.Assert(t, next.newPath(WorkerEntry{}).fence > pr.fences[len(pr.fences)-1], qt.IsTrue)
	})
}

func TestUnreachableWorkerTasksRunElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent { return withoutPath(ag, "i-0") }
		ow, end := la.startOwner()
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

// withoutPath returns a client that does not send launches to one worker.
func withoutPath(ag worker.Agent, id string) worker.Agent {
	launch := ag.LaunchFunc
	ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
		if ad.Incarnation.ID == id {
			return worker.Ack{}, worker.ErrNotSent
		}
		return launch(ctx, ad, la)
	}
	return ag
}

// TestWorkerListedAgainAfterReroute has a worker be removed from the list and listed again
// after the path to it has changed.
func TestWorkerListedAgainAfterReroute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		ow, end := la.startOwner()
		defer end()
		for _, via := range []string{"e1", "e2"} {
			la.via.Store(&via)
			ow.Reroute()
			time.Sleep(5 * time.Second)
		}
		ow.SetWorkers(nil, []string{"i-0"}, false)
		time.Sleep(time.Second)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 2))
		time.Sleep(3 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
	})
}
