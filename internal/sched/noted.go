package sched

import (
	"context"
	"errors"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

// When leases of workers that do not answer lapse is kept in a row, for a next owner that
// can ask nobody. It could else only wait for as long as any owner may go on without
// the store before it counts a lease.
//
// What the row says stays true by this: from before it is sent until the store has taken
// one without a worker, that worker is told no lease. Each write rests on the
// owner's row and on the row's last version, so that none takes effect late: not after a
// later one, nor once another host has the cell.
const (
	// SilentTable has the row.
	SilentTable = "silent"
	// noteAfter is how long a worker must not have answered: until the last look that
	// may extend its leases has its answer.
	noteAfter = extendUnresponsive + pollGrace
	// noteEvery is the time between two writes that only add workers.
	noteEvery = 300 * time.Millisecond
	// notedMost bounds the workers named, so that the row stays under the store's
	// 64 KiB at some 30 bytes each.
	notedMost = 1000
	// notedWait is how long a look waits at a worker that is back, until it may be told
	// leases again.
	notedWait = 100 * time.Millisecond
)

// silentRow says when leases of workers lapse.
type silentRow struct {
	// Epoch is that of the owner who wrote it.
	Epoch int64 `json:"epoch"`
	// SilentMS has, by incarnation, after how many milliseconds from the write at the
	// latest.
	SilentMS map[string]int64 `json:"silent_ms,omitempty"`
}

// noted is what an owner knows of the row.
type noted struct {
	// version is the row's.
	version int64
	// named has the workers that the row names or may come to name: those of the last
	// write that was taken, and of all sent since.
	named map[string]bool
	// doubtful is set after a write of which it is not known whether it was taken.
	doubtful bool
	// writing is set while a write is under way, sent is when the last one was.
	writing bool
	sent    time.Time
}

func (ow *Owner) silentKey() string { return SilentTable + "/" + ow.Cell + "/workers" }

// loadNoted takes over what the former owner wrote of workers that did not answer, if it
// did not release the cell with fuller notes.
func (ow *Owner) loadNoted(ctx context.Context) {
	ow.noted.named = map[string]bool{}
	lctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var row silentRow
	version, err := ow.Table.Get(lctx, ow.silentKey(), &row)
	if err != nil {
		ow.Log.Warn("when leases of silent workers lapse is not known", "cell", ow.Cell, "err", err)
		return
	}
	ow.noted.version = version
	former := &ow.Tenure.Former
	if former.Owner == "" || row.Epoch != former.Epoch || len(row.SilentMS) == 0 {
		return
	}
	former.SilentMS = row.SilentMS
	ow.noteGiven(ow.opened)
	ow.Log.Info("leases of silent workers noted by the former owner", "cell", ow.Cell, "former", former.Owner, "epoch", row.Epoch,
		"version", version, "workers", len(row.SilentMS))
}

// isNoted reports whether the worker may be told no lease, as the row names it.
func (ho *workerState) isNoted() bool {
	named := ho.ow.noted.named
	return len(named) > 0 && named[ho.incarnation.String()]
}

// silentFor reports whether the worker has not answered for so long that it gets no lease
// any more.
func (ho *workerState) silentFor(now time.Time) bool {
	return !ho.dead && ho.settled && len(ho.attempts) > 0 && !ho.failingSince.IsZero() && now.Sub(ho.failingSince) >= noteAfter
}

// noteLeases has the row name the workers that do not answer, and no others.
func (ow *Owner) noteLeases(now time.Time) {
	no := &ow.noted
	if no.writing || ow.storeDown() {
		return
	}
	silent := map[string]int64{}
	for _, ho := range ow.sortedWorkers() {
		if ho.silentFor(now) && len(silent) < notedMost {
			silent[ho.incarnation.String()] = ho.lapseIn(now)
		}
	}
	if !no.differs(silent, now) {
		return
	}
	for incarnation := range silent {
		no.named[incarnation] = true
	}
	no.writing, no.doubtful, no.sent = true, true, now
	txn := store.NewTxn()
	txn.Conds = []store.Cond{{Key: ow.Tenure.Key, Version: ow.Tenure.Version}, {Key: ow.silentKey(), Version: no.version}}
	txn.Puts = []store.Put{{Key: ow.silentKey(), Value: ow.encode(silentRow{Epoch: ow.Tenure.Epoch, SilentMS: silent})}}
	go ow.writeNoted(txn, silent)
}

// differs reports whether the row has to be written anew: at once where a worker is to be
// taken off, and not too often where some are to be added.
func (no *noted) differs(silent map[string]int64, now time.Time) bool {
	for incarnation := range no.named {
		if _, ok := silent[incarnation]; !ok {
			return true
		}
	}
	return (no.doubtful || len(silent) > len(no.named)) && now.Sub(no.sent) >= noteEvery
}

// writeNoted writes the row once. A write that fails is made up for by the next.
func (ow *Owner) writeNoted(txn store.Txn, silent map[string]int64) {
	ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
	reply, err := ow.Table.CommitFunc(ctx, txn)
	cancel()
	ow.post(func() { ow.wroteNoted(silent, reply.Version, err) })
}

func (ow *Owner) wroteNoted(silent map[string]int64, version int64, err error) {
	no := &ow.noted
	no.writing = false
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		// Else the version was not known, or a write before took effect unseen.
		if !ow.replaced(conflict) {
			no.version = conflict.Row(ow.silentKey()).Version
		}
		return
	case err != nil:
		ow.Log.Info("leases of silent workers are not noted", "cell", ow.Cell, "workers", len(silent), "err", err)
		return
	}
	no.version, no.doubtful = version, false
	clear(no.named)
	for incarnation := range silent {
		no.named[incarnation] = true
	}
	ow.Log.Info("leases of silent workers noted", "cell", ow.Cell, "workers", len(silent), "version", version, "took", time.Since(no.sent))
}
