package sched

import (
	"context"
	"errors"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// The owner stores in one row when the leases of unresponsive workers expire. A next owner
// that can ask neither the worker nor the former owner's host reads it there. Without the row
// it would have to wait for as long as an owner may go on without the store, and for a whole
// lease after that.
//
// The row stays true because of this rule: from before a row that names a worker is sent
// until the store has accepted one that does not, the owner extends no lease of that worker.
// Each write is conditional on the owner's row and on the last version of this row, so none
// can take effect after a later one, or once another host owns the cell.
const (
	// LeaseExpiryTable is the table of the row.
	LeaseExpiryTable = "silent"
	// recordLeaseAfter is how long a worker must have been unresponsive: by then the last
	// poll that may extend its leases has returned.
	recordLeaseAfter = extendUnresponsive + pollGrace
	// recordLeaseInterval is the minimum time between two writes that only add workers.
	recordLeaseInterval = 300 * time.Millisecond
	// leaseRowOverhead is more than the row takes without its workers, in bytes.
	leaseRowOverhead = 100
	// recordedPollWait is how long a poll waits at a worker that answers again while the row
	// still names it, so that its leases can be extended soon after.
	recordedPollWait = 100 * time.Millisecond
)

// leaseExpiryRow has the lease expiries of unresponsive workers.
type leaseExpiryRow struct {
	// Epoch is that of the owner that wrote the row.
	Epoch int64 `json:"epoch"`
	// RemainingMS is the longest time from the write to the expiry of a worker's leases, in
	// milliseconds, by incarnation.
	RemainingMS map[string]int64 `json:"silent_ms,omitempty"`
}

// leaseRecord is what the owner knows of the lease expiry row.
type leaseRecord struct {
	// version is the version of the row.
	version int64
	// recorded has the workers that the row names or may come to name: those of the last
	// accepted write and of all writes sent since.
	recorded map[string]bool
	// outcomeUnknown is set from a write until one is known to have been accepted.
	outcomeUnknown bool
	// writing is set while a write is in flight; sent is when the last one was sent.
	writing bool
	sent    time.Time
}

func (ow *Owner) leaseExpiryKey() string { return LeaseExpiryTable + "/" + ow.Cell + "/workers" }

// loadLeaseRecord reads the stored lease expiries. It uses them if the former owner stored them
// and did not release the cell, because a release hands over a complete list.
func (ow *Owner) loadLeaseRecord(ctx context.Context) {
	ow.leaseRecord.recorded = map[string]bool{}
	lctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var row leaseExpiryRow
	version, err := ow.Table.Get(lctx, ow.leaseExpiryKey(), &row)
	if errors.Is(err, store.ErrUndecodable) {
		ow.invalidRows.Report("leases", ow.leaseExpiryKey(), version, err, "leases count as unknown")
		ow.leaseRecord.version = version
		return
	}
	if err != nil {
		ow.Log.Warn("cannot read the lease expiries of unresponsive workers", "cell", ow.Cell, "err", err)
		return
	}
	ow.leaseRecord.version = version
	former := &ow.Tenure.Former
	if former.Owner == "" || row.Epoch != former.Epoch || len(row.RemainingMS) == 0 {
		return
	}
	former.LeaseLapseMS = row.RemainingMS
	ow.dropInvalidLeases()
	ow.recordInheritedLeases(ow.startedAt)
	ow.Log.Info("leases of silent workers noted by the former owner", "cell", ow.Cell, "former", former.Owner, "epoch", row.Epoch,
		"version", version, "workers", len(row.RemainingMS))
}

// leaseRecorded reports whether the row names the worker, so that its leases must not be
// extended.
func (wk *workerState) leaseRecorded() bool {
	named := wk.ow.leaseRecord.recorded
	return len(named) > 0 && named[wk.incarnation.String()]
}

// unresponsiveAt reports whether the worker has not answered for so long that its leases are no
// longer extended.
func (wk *workerState) unresponsiveAt(now time.Time) bool {
	return !wk.dead && wk.settled && wk.restartSeenAt.IsZero() && len(wk.attempts) > 0 && !wk.failingSince.IsZero() && now.Sub(wk.failingSince) >= recordLeaseAfter
}

// recordLeases writes the row if the set of unresponsive workers has changed, or if it is not
// known whether the last write was accepted.
func (ow *Owner) recordLeases(now time.Time) {
	lr := &ow.leaseRecord
	if lr.writing || ow.storeDown() {
		return
	}
	leases := map[string]int64{}
	for _, wk := range ow.scan.silent {
		if wk.unresponsiveAt(now) {
			leases[wk.incarnation.String()] = wk.leaseRemainingMS(now)
		}
	}
	leases = store.FitMap(leases, ow.maxRowBytes()-leaseRowOverhead)
	if !lr.differs(leases, now) {
		return
	}
	for incarnation := range leases {
		lr.recorded[incarnation] = true
	}
	lr.writing, lr.outcomeUnknown, lr.sent = true, true, now
	txn := store.NewTxn()
	txn.Conds = []store.Cond{{Key: ow.Tenure.Key, Version: ow.Tenure.Version}, {Key: ow.leaseExpiryKey(), Version: lr.version}}
	txn.Puts = []store.Put{{Key: ow.leaseExpiryKey(), Value: ow.encode(leaseExpiryRow{Epoch: ow.Tenure.Epoch, RemainingMS: leases})}}
	go ow.writeLeaseRecord(txn, leases)
}

// differs reports whether the row has to be written: at once if a worker is to be removed,
// and at most every recordLeaseInterval if workers are to be added.
func (lr *leaseRecord) differs(leases map[string]int64, now time.Time) bool {
	for incarnation := range lr.recorded {
		if _, ok := leases[incarnation]; !ok {
			return true
		}
	}
	return (lr.outcomeUnknown || len(leases) > len(lr.recorded)) && now.Sub(lr.sent) >= recordLeaseInterval
}

// writeLeaseRecord tries to write the row once. After a failure, the next tick writes it
// again.
func (ow *Owner) writeLeaseRecord(txn store.Txn, leases map[string]int64) {
	ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
	reply, err := ow.Table.CommitFunc(ctx, txn)
	cancel()
	ow.postTo(looplag.Writes, func() { ow.leaseRecordWritten(leases, reply.Version, err) })
}

// leaseRecordWritten handles the result of a write of the row.
func (ow *Owner) leaseRecordWritten(leases map[string]int64, version int64, err error) {
	lr := &ow.leaseRecord
	lr.writing = false
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		// The version was not known, or an earlier write took effect without an answer.
		if !ow.replacedAsOwner(conflict) {
			lr.version = conflict.Row(ow.leaseExpiryKey()).Version
		}
		return
	case err != nil:
		ow.Log.Info("leases of silent workers are not noted", "cell", ow.Cell, "workers", len(leases), "err", err)
		return
	}
	lr.version, lr.outcomeUnknown = version, false
	clear(lr.recorded)
	for incarnation := range leases {
		lr.recorded[incarnation] = true
	}
	ow.Log.Info("leases of silent workers noted", "cell", ow.Cell, "workers", len(leases), "version", version, "took", time.Since(lr.sent))
}
