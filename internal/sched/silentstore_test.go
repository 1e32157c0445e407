package sched

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// silence makes a store silent for a time, from one call on: calls during it are never answered.
type silence struct {
	// from is the number of the first call without an answer, counted from 0.
	from int
	// length is how long the silence lasts.
	length time.Duration

	mu    sync.Mutex
	calls int
	since time.Time
}

// before counts a call, and waits for its end if it has no answer.
func (si *silence) before(ctx context.Context) error {
	si.mu.Lock()
	si.calls++
	if si.calls == si.from+1 {
		si.since = time.Now()
	}
	silent := si.silent()
	si.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (si *silence) silent() bool { return !si.since.IsZero() && time.Since(si.since) < si.length }

// lastAnswer returns when the store last answered.
func (si *silence) lastAnswer() time.Time {
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.silent() {
		return si.since
	}
	return time.Now()
}

// table wraps a client of the store with the silence.
func (si *silence) table(tbl store.Table) store.Table {
	return store.Table{
		ReadFunc: func(ctx context.Context, req store.ReadRequest) (store.ReadReply, error) {
			if err := si.before(ctx); err != nil {
				return store.ReadReply{}, err
			}
			return tbl.ReadFunc(ctx, req)
		},
		CommitFunc: func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
			if err := si.before(ctx); err != nil {
				return store.CommitReply{}, err
			}
			return tbl.CommitFunc(ctx, txn)
		},
		FeedFunc: tbl.FeedFunc,
	}
}

// TestTakeoverWhileStoreFallsSilent guards against a new owner that waits for ever for the answer to
// one of its first calls, whichever of them is under way as the store falls silent.
func TestTakeoverWhileStoreFallsSilent(t *testing.T) {
	const (
		calls  = 12
		length = 4500 * time.Millisecond
		within = length + 8*time.Second
	)
	for from := range calls {
		t.Run(fmt.Sprint("call ", from), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				la := newLab(t, 1)
				_, end := la.startOwner()
				time.Sleep(time.Second)
				end()
				time.Sleep(time.Second)
				si := &silence{from: from, length: length}
				la.tableFunc, la.confirmedFunc, la.writtenFunc = si.table, si.lastAnswer, si.lastAnswer
				next, loaded, end := la.startLoading()
				defer end()
				select {
				case err := <-loaded:
					qt.Assert(t, err, qt.IsNil)
				case <-time.After(within):
					t.Fatalf("not loaded %v after the takeover", within)
				}
				next.SetWorkers(la.workerEntries(), nil, true)
				accepted := false
				for begun := time.Now(); !accepted && time.Since(begun) < within; time.Sleep(time.Second) {
					accepted = la.submit(next, 1, batch(1, 1)).Outcome == Accepted
				}
				qt.Assert(t, accepted, qt.IsTrue)
				time.Sleep(within)
				qt.Assert(t, la.state(next, 1), qt.Equals, job.Succeeded)
			})
		})
	}
}

// TestOwnerThatCannotReadLeavesCell guards against an owner that keeps a cell by its heartbeats
// although the store answers none of its reads.
func TestOwnerThatCannotReadLeavesCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{lab: newLab(t, 1)}
		defer cl.stop()
		first := cl.startHost("e1", 1)
		first.set(func(ch *clusterHost) { ch.rowsBlocked = true })
		cl.awaitOwner(first)
		second := cl.startHost("e2", 1)
		time.Sleep(maxLoadStall + 3*time.Second)
		qt.Assert(t, second.owns(), qt.IsTrue)
		qt.Assert(t, second.ow.Load(), qt.IsNotNil)
	})
}

// TestOwnerKeepsCellWhileStoreIsSilent guards against an owner that gives up its cell because it
// cannot be loaded while no host can load it.
func TestOwnerKeepsCellWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{lab: newLab(t, 1)}
		defer cl.stop()
		first := cl.startHost("e1", 1)
		first.set(func(ch *clusterHost) { ch.rowsBlocked = true })
		cl.awaitOwner(first)
		row, _ := first.keeper.Current()
		cl.lab.table.Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		first.set(func(ch *clusterHost) { ch.rowsBlocked = false })
		time.Sleep(2 * maxLoadStall)
		cl.lab.table.Faults.Set(standin.Fault{})
		time.Sleep(2 * time.Second)
		qt.Assert(t, first.ow.Load(), qt.IsNotNil)
		qt.Assert(t, first.ow.Load().Tenure.Epoch, qt.Equals, row.Epoch)
	})
}
