package sched

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/speed"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// lateWrites records the first try of every write instead of sending it, so that a test can send it
// later.
type lateWrites struct {
	tbl  store.Table
	held []store.Txn
}

// table returns the store with first tries recorded. They fail without an answer.
func (lw *lateWrites) table() store.Table {
	tbl := lw.tbl
	first := true
	tbl.CommitFunc = func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
		if first {
			first = false
			lw.held = append(lw.held, txn)
			return store.CommitReply{}, errors.New("no answer")
		}
		first = true
		return lw.tbl.CommitFunc(ctx, txn)
	}
	return tbl
}

// startOwnerOn starts an owner that reaches the store through the given client.
func (la *lab) startOwnerOn(tbl store.Table) (*Owner, context.CancelFunc) {
	ow := New(&Owner{Cell: "c0", Tenure: la.claim(), Table: tbl, Agent: la.agent(), Log: la.log, Limits: Limits{MaxLease: 6 * time.Second, StopTime: time.Second, KeepEnded: time.Minute}})
	ctx, cancel := context.WithCancel(context.Background())
	loaded := make(chan struct{})
	go func() { _ = ow.Run(ctx, func() { close(loaded) }) }()
	<-loaded
	ow.SetWorkers(la.workerEntries(), nil, true)
	return ow, cancel
}

// TestLateWriteChangesNothing guards against rows that an earlier try of a write, carried out
// after later writes, sets back.
func TestLateWriteChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		lw := &lateWrites{tbl: la.table.Client()}
		ow, end := la.startOwnerOn(lw.table())
		defer end()
		for n := range 5 {
			qt.Assert(t, la.submit(ow, n, batch(2, 3)).Outcome, qt.Equals, Accepted)
		}
		time.Sleep(20 * time.Second)
		qt.Check(t, la.state(ow, 0), qt.Equals, job.Succeeded)
		qt.Assert(t, len(lw.held) > 5, qt.IsTrue)
		for _, txn := range lw.held {
			_, err := lw.tbl.CommitFunc(context.Background(), txn)
			qt.Check(t, errors.Is(err, store.ErrConflict), qt.IsTrue, qt.Commentf("%v", err))
		}
	})
}

// TestLateWriteOfDurationsChangesNothing guards against learnt durations that an earlier try of
// their write, carried out after a later write, sets back.
func TestLateWriteOfDurationsChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		lw := &lateWrites{tbl: la.table.Client()}
		ow, end := la.startOwnerOn(lw.table())
		defer end()
		for first := range 2 {
			ow.post(func() {
				ow.durations.model = speed.Restore([]speed.KindEstimate{{Kind: speed.Kind{Queue: "q"}, First: 30 + first, Weights: []int{100}}}, time.Now())
				ow.durations.savedEnds = -1
			})
			time.Sleep(2*saveDurationsInterval + time.Second)
		}
		// The writes are recorded by other goroutines.
		synctest.Wait()
		late := 0
		for _, txn := range lw.held {
			if !slices.ContainsFunc(txn.Puts, func(pu store.Put) bool { return pu.Key == ow.durationsKey() }) {
				continue
			}
			late++
			_, err := lw.tbl.CommitFunc(context.Background(), txn)
			qt.Check(t, errors.Is(err, store.ErrConflict), qt.IsTrue, qt.Commentf("%v", err))
		}
		qt.Check(t, late >= 2, qt.IsTrue, qt.Commentf("%d writes", late))
		var row durationsRow
		_, err := lw.tbl.Get(context.Background(), ow.durationsKey(), &row)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, row.Kinds[0].First, qt.Equals, 31)
	})
}
