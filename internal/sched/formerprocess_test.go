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

// replaceProcess ends a worker's process and starts another with a new id at its address. It
// returns the entries of both.
func (la *lab) replaceProcess(i int) (former, next WorkerEntry) {
	former = la.workerEntries()[i]
	fw := la.fleetWorkers[i]
	la.fleet.Kill(fw)
	fresh := &standin.FleetWorker{Addr: worker.Addr{HostPort: fw.Addr.HostPort, Incarnation: worker.Incarnation{ID: fw.Addr.Incarnation.ID + "b"}}, Capacity: fw.Capacity}
	la.fleet.Add(fresh)
	la.fleetWorkers[i] = fresh
	la.formerEntries = append(la.formerEntries, former)
	return former, la.workerEntries()[i]
}

// TestFormerProcessIsListedAgain guards against tasks that run twice, 19 to 298 at once,
// because a running worker counts as dead. After a crash another process is listed at the
// worker's address and gets tasks. The entry of the crashed one stays for three heartbeats,
// may be written once more, and is then seen again. As it is listed later, it must not be
// taken for that of a newer process.
func TestFormerProcessIsListedAgain(t *testing.T) {
	t.Run("again", formerEntryReappears)
	t.Run("to the next owner", bothProcessesListed)
}

// formerEntryReappears repeatedly removes and adds the entry of a dead worker while the next
// process at its address runs tasks.
func formerEntryReappears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow := newLongRunningLab(t, 3, 12)
		former, next := la.replaceProcess(0)
		ow.SetWorkers([]WorkerEntry{next}, nil, false)
		time.Sleep(time.Second)
		la.submit(ow, 2, longRunning(12))
		time.Sleep(time.Second)
		la.assertRunning(24)
		for range 3 {
			ow.SetWorkers(nil, []string{former.Incarnation.ID}, false)
			ow.SetWorkers([]WorkerEntry{former}, nil, false)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		la.assertRunning(24)
	})
}

// bothProcessesListed starts an owner while the list has both the crashed worker and the one
// that runs at its address, in either order. No task may run twice, and the tasks of the
// crashed worker must start at once.
func bothProcessesListed(t *testing.T) {
	for _, formerListedLast := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			la := newLab(t, 3)
			la.fleet.RunFunc = runUntilStopped
			ow, end := la.startOwner()
			time.Sleep(time.Second)
			la.submit(ow, 1, longRunning(12))
			time.Sleep(time.Second)
			_, next := la.replaceProcess(0)
			ow.SetWorkers([]WorkerEntry{next}, nil, false)
			time.Sleep(time.Second)
			la.submit(ow, 2, longRunning(12))
			time.Sleep(time.Second)
			la.replaceProcess(1)
			end()
			ow, loaded, end := la.startLoading()
			defer end()
			qt.Assert(t, <-loaded, qt.IsNil)
			list := append(la.workerEntries(), la.formerEntries...)
			if !formerListedLast {
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

// TestNextProcessAnswersWhilePollsHang guards against tasks that start again only after their
// leases have lapsed when polls of a worker hang, as on a connection without traffic, while
// another process answers at its address. They must start at once.
func TestNextProcessAnswersWhilePollsHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		var hung atomic.Bool
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			poll := ag.PollFunc
			ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
				if hung.Load() && ad.Incarnation.ID == "i-0" {
					<-ctx.Done()
					return worker.PollResult{}, ctx.Err()
				}
				return poll(ctx, ad, po)
			}
			return ag
		}
		ow := la.startLongRunning(12)
		hung.Store(true)
		_, next := la.replaceProcess(0)
		time.Sleep(time.Second)
		ow.SetWorkers([]WorkerEntry{next}, nil, false)
		time.Sleep(300 * time.Millisecond)
		la.assertRunning(12)
	})
}
