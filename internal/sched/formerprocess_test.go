package sched

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// replaceProcess ends a worker's process and has another listen at its address. It returns the
// entries of both.
func (la *lab) replaceProcess(i int) (was, now WorkerEntry) {
	was = la.listed()[i]
	fw := la.fleetWorkers[i]
	la.fleet.Kill(fw)
	next := &standin.FleetWorker{Addr: worker.Addr{HostPort: fw.Addr.HostPort, Incarnation: worker.Incarnation{ID: fw.Addr.Incarnation.ID + "b"}}, Holds: fw.Holds}
	la.fleet.Add(next)
	la.fleetWorkers[i] = next
	la.formerEntries = append(la.formerEntries, was)
	return was, la.listed()[i]
}

// TestFormerProcessIsListedAgain is the story of a worker that lives and is taken for dead.
//
// Users saw 19 to 298 tasks run twice at once after workers had crashed behind a cut, or
// racks of them just before the owner changed. Order of events: a worker crashes; another
// process is listed at its address and gets work; the entry of the one that crashed, which
// stays for three heartbeats and may be written once more, is met again; the one that
// lives is dead by that, and all that it runs starts elsewhere. Cause: what is listed
// later was taken to have begun later. Evidence: "worker is dead" with another process
// listed at its address, for a worker that a second later settles with what it ran.
func TestFormerProcessIsListedAgain(t *testing.T) {
	t.Run("again", formerEntryReappears)
	t.Run("to the next owner", bothProcessesListed)
}

// formerEntryReappears has the entry of a dead worker go and come back while the next process
// at its address works.
func formerEntryReappears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLastingLab(t, 3, 12)
		was, now := la.replaceProcess(0)
		ow.SetWorkers([]WorkerEntry{now}, nil, false)
		time.Sleep(time.Second)
		la.submit(ow, 2, longRunning(12))
		time.Sleep(time.Second)
		la.assertRunning(24)
		for range 3 {
			ow.SetWorkers(nil, []string{was.Incarnation.ID}, false)
			ow.SetWorkers([]WorkerEntry{was}, nil, false)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		la.assertRunning(24)
	})
}

// bothProcessesListed has an owner begin while the list has both the worker that
// crashed and the one that lives at its address, in either order: nothing runs twice, and
// what the dead one ran starts at once.
func bothProcessesListed(t *testing.T) {
	for _, formerLast := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 3)
			la.fleet.RunFunc = runUntilStopped
			ow, end := la.startOwner()
			time.Sleep(time.Second)
			la.submit(ow, 1, longRunning(12))
			time.Sleep(time.Second)
			_, now := la.replaceProcess(0)
			ow.SetWorkers([]WorkerEntry{now}, nil, false)
			time.Sleep(time.Second)
			la.submit(ow, 2, longRunning(12))
			time.Sleep(time.Second)
			la.replaceProcess(1)
			end()
			ow, loaded, end := la.startLoading()
			defer end()
			qt.Assert(t, <-loaded, qt.IsNil)
			list := append(la.listed(), la.formerEntries...)
			if !formerLast {
				slices.Reverse(list)
			}
			ow.SetWorkers(list, nil, true)
			time.Sleep(2 * time.Second)
			la.assertRunning(24)
			time.Sleep(20 * time.Second)
			la.assertRunning(24)
		})
	}
}

// TestNextProcessAnswersWhilePollsHang has looks at a worker hang for good, as on a connection
// that went silent, while another process answers at its address: what ran there starts
// elsewhere at once, not once its leases have lapsed.
func TestNextProcessAnswersWhilePollsHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		var hung atomic.Bool
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			look := ag.PollFunc
			ag.PollFunc = func(ctx context.Context, ad worker.Addr, lo worker.Poll) (worker.PollResult, error) {
				if hung.Load() && ad.Incarnation.ID == "i-0" {
					<-ctx.Done()
					return worker.PollResult{}, ctx.Err()
				}
				return look(ctx, ad, lo)
			}
			return ag
		}
		ow := la.withLasting(12)
		hung.Store(true)
		_, now := la.replaceProcess(0)
		time.Sleep(time.Second)
		ow.SetWorkers([]WorkerEntry{now}, nil, false)
		time.Sleep(300 * time.Millisecond)
		la.assertRunning(12)
	})
}
