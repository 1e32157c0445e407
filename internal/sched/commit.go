package sched

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Bounds on writes.
const (
	// maxJobsPerWrite keeps a write under the store's limit of 100 entries: a new job has two
	// conditions and three rows.
	maxJobsPerWrite = 18
	// maxBytesPerWrite keeps a write under the store's limit of 1 MB.
	maxBytesPerWrite = 600_000
	// maxConcurrentWrites is 1 because the store takes 8 ms for a write and carries out those
	// of a cell one after the other.
	maxConcurrentWrites = 1
	// writeTimeout is how long the answer to a write may take before the write is sent again.
	// A write takes 12 ms, up to 120 times that when the store is slow.
	writeTimeout = 1500 * time.Millisecond
	// storeDownAfter is how long writes may fail before new jobs are refused.
	storeDownAfter = 300 * time.Millisecond
	// reportUnknownAfter is how long a caller waits for a failing write before it is answered
	// that the outcome is unknown.
	reportUnknownAfter = 600 * time.Millisecond
	// initialRewriteDelay and maxRewriteDelay bound the backoff between attempts at one
	// write.
	initialRewriteDelay = 30 * time.Millisecond
	maxRewriteDelay     = 400 * time.Millisecond
)

// errUnexpectedRows ends a tenure whose rows differ from what the owner wrote last; the next
// owner reads them again.
var errUnexpectedRows = errors.New("rows differ from what this owner wrote last")

// write is one transaction with the rows of several jobs.
type write struct {
	txn  store.Txn
	jobs []jobWrite
	sent time.Time
}

// jobWrite is the part of a write that belongs to one job.
type jobWrite struct {
	en    *entry
	state job.State
	// firstWrite is set if the write creates the job's rows.
	firstWrite bool
	onWritten  []func()
	// key and value are those of the row that shows whether the write took effect; value is
	// nil for a removal.
	key   string
	value []byte
}

// flush starts writes of the jobs that have changed.
func (ow *Owner) flush() {
	for ow.writes < maxConcurrentWrites && len(ow.dirty) > 0 {
		wr := ow.nextWrite()
		if len(wr.jobs) == 0 {
			return
		}
		ow.writes++
		go ow.commit(wr)
	}
}

// nextWrite collects changed jobs, except those with a write in flight.
func (ow *Owner) nextWrite() *write {
	wr := &write{txn: store.NewTxn(), sent: time.Now()}
	wr.txn.Conds = []store.Cond{{Key: ow.Tenure.Key, Version: ow.Tenure.Version}}
	size := 0
	remaining := ow.dirty[:0]
	for i, en := range ow.dirty {
		if len(wr.jobs) == maxJobsPerWrite || size > maxBytesPerWrite {
			remaining = append(remaining, ow.dirty[i:]...)
			break
		}
		if en.writing {
			remaining = append(remaining, en)
			continue
		}
		size += ow.addJobWrite(wr, en)
	}
	clear(ow.dirty[len(remaining):])
	ow.dirty = remaining
	return wr
}

// addJobWrite adds a job's rows to a write and returns their size in bytes.
func (ow *Owner) addJobWrite(wr *write, en *entry) int {
	id := en.jo.ID
	pa := jobWrite{en: en, state: en.jo.State(), firstWrite: en.progressVersion == 0, onWritten: en.onWritten, key: ow.progressKey(id)}
	en.onWritten, en.dirty, en.writing, en.proofDue = nil, false, true, time.Time{}
	wr.txn.Conds = append(wr.txn.Conds, store.Cond{Key: pa.key, Version: en.progressVersion})
	if en.removing {
		wr.txn.Puts = append(wr.txn.Puts, store.Put{Key: pa.key, Delete: true})
		wr.txn.Puts = append(wr.txn.Puts, ow.specRemoval(en)...)
		wr.jobs = append(wr.jobs, pa)
		return 0
	}
	pa.value = ow.encode(en.jo.NextRow(ow.Tenure.Epoch))
	wr.txn.Puts = append(wr.txn.Puts, store.Put{Key: pa.key, Value: pa.value})
	size := len(pa.value)
	switch {
	case en.jo.Finished():
		wr.txn.Puts = append(wr.txn.Puts, ow.specRemoval(en)...)
	case pa.firstWrite:
		en.specStored = true
		spec := ow.encode(en.jo.SpecRow())
		size += len(spec)
		wr.txn.Conds = append(wr.txn.Conds, store.Cond{Key: ow.specKey(id)})
		wr.txn.Puts = append(wr.txn.Puts, store.Put{Key: ow.specKey(id), Value: spec})
	}
	wr.jobs = append(wr.jobs, pa)
	return size
}

// specRemoval returns the removal of a job's spec row, or nil if there is no such row.
func (ow *Owner) specRemoval(en *entry) []store.Put {
	if !en.specStored {
		return nil
	}
	en.specStored = false
	return []store.Put{{Key: ow.specKey(en.jo.ID), Delete: true}}
}

func (ow *Owner) encode(row any) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		ow.Log.Error("cannot encode row", "err", err)
	}
	return data
}

// commit sends a write until its outcome is known.
func (ow *Owner) commit(wr *write) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = initialRewriteDelay, maxRewriteDelay
	for n := 1; ; n++ {
		ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
		reply, err := ow.Table.CommitFunc(ctx, wr.txn)
		cancel()
		if ow.ctx.Err() != nil {
			return
		}
		if err == nil {
			ow.post(func() { ow.handleCommitted(wr, func(jobWrite) int64 { return reply.Version }) })
			return
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			ow.post(func() { ow.handleConflict(wr, conflict) })
			return
		}
		ow.post(func() { ow.handleWriteError(wr, n, err) })
		if !clock.Sleep(ow.ctx, bo.NextBackOff()) {
			return
		}
	}
}

// handleCommitted records that a write took effect and runs its callbacks.
func (ow *Owner) handleCommitted(wr *write, version func(jobWrite) int64) {
	ow.writes--
	if !ow.writesFailingSince.IsZero() {
		ow.Log.Info("store takes writes again", "cell", ow.Cell, "after", time.Since(ow.writesFailingSince))
		ow.writesFailingSince = time.Time{}
	}
	ow.Metrics.Add(telemetry.CellWrites, 1, "outcome", "done")
	for _, pa := range wr.jobs {
		pa.en.writing = false
		pa.en.progressVersion = version(pa)
		if pa.firstWrite {
			ow.Log.Info("job accepted", "job", pa.en.jo.ID, "queue", pa.en.jo.Terms.Queue, "version", pa.en.progressVersion, "took", time.Since(pa.en.acceptedAt))
			ow.answerWaiters(pa.en, Verdict{Outcome: Accepted})
		}
		if pa.state != pa.en.writtenState {
			ow.Log.Info("job state", "job", pa.en.jo.ID, "state", pa.state, "version", pa.en.progressVersion, "age", time.Since(pa.en.acceptedAt))
			pa.en.writtenState = pa.state
		}
		for _, fn := range pa.onWritten {
			fn()
		}
	}
}

// handleConflict determines why a condition did not hold: an earlier try of the same write
// took effect, or another host owns the cell. It ends the tenure in all cases but the first.
func (ow *Owner) handleConflict(wr *write, conflict *store.ConflictError) {
	if ow.replacedAsOwner(conflict) {
		return
	}
	pa := wr.jobs[0]
	row := conflict.Row(pa.key)
	if (pa.value == nil && row.Version == 0) || (pa.value != nil && sameJSON(row.Value, pa.value)) {
		ow.handleCommitted(wr, func(pa jobWrite) int64 { return conflict.Row(pa.key).Version })
		return
	}
	ow.Log.Error("write refused", "cell", ow.Cell, "job", pa.en.jo.ID, "want", pa.en.progressVersion, "have", row.Version)
	ow.Tenure.End(fmt.Errorf("write of job %s: %w", pa.en.jo.ID, errUnexpectedRows))
}

// replacedAsOwner reports whether a write was refused because another host owns the cell, and
// ends the tenure if so.
func (ow *Owner) replacedAsOwner(conflict *store.ConflictError) bool {
	if conflict.Row(ow.Tenure.Key).Version == ow.Tenure.Version {
		return false
	}
	ow.Log.Warn("write refused: replaced as owner", "cell", ow.Cell, "epoch", ow.Tenure.Epoch)
	ow.Tenure.End(fmt.Errorf("write of cell %s: %w", ow.Cell, errReplaced))
	return true
}

var errReplaced = errors.New("replaced as owner")

func sameJSON(a, b []byte) bool {
	return bytes.Equal(bytes.TrimSpace(a), bytes.TrimSpace(b))
}

// handleWriteError records that the outcome of a write is not known yet. Callers that have
// waited for longer than reportUnknownAfter are answered that it is unknown.
func (ow *Owner) handleWriteError(wr *write, n int, err error) {
	if ow.writesFailingSince.IsZero() {
		ow.writesFailingSince = wr.sent
		ow.Log.Warn("store does not take writes", "cell", ow.Cell, "err", err)
	}
	ow.Metrics.Add(telemetry.CellWrites, 1, "outcome", "failed")
	if time.Since(wr.sent) < reportUnknownAfter {
		return
	}
	for _, pa := range wr.jobs {
		if pa.firstWrite && len(pa.en.waiters) > 0 {
			ow.Log.Warn("unknown whether job was accepted", "job", pa.en.jo.ID, "tries", n, "err", err)
			ow.answerWaiters(pa.en, Verdict{Outcome: Unknown, Reason: ReasonStoreUnavailable})
		}
	}
}
