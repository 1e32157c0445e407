package sched

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Bounds on writes.
const (
	// maxEntriesPerJob is the largest number of entries of one job: a new one has two rows.
	maxEntriesPerJob = 2
	// maxConcurrentWrites is 1 because the store takes 8 ms for a write and carries out those
	// of a cell one after the other.
	maxConcurrentWrites = 1
	// maxWriteDelay bounds how long changes of one job may be written behind later ones of
	// others.
	maxWriteDelay = time.Second
	// writeTimeout is how long the answer to a write may take before the write is sent again.
	// A write takes 12 ms, up to 120 times that when the store is slow.
	writeTimeout = 1500 * time.Millisecond
	// storeDownAfter is how long writes may fail before new jobs are refused.
	storeDownAfter = 300 * time.Millisecond
	// initialRewriteDelay and maxRewriteDelay bound the backoff between two tries of the same
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
	// startDelay is how long after sent its goroutine got to run.
	startDelay time.Duration
	// mark is the value of the mark row in the transaction.
	mark []byte
}

// WriteMarkTable has the mark row of each cell.
const WriteMarkTable = "writes"

// writeMark is the mark row of a cell, which every write of its owner changes on condition that
// it is as the write before left it. A write that the store carries out late, after another, thus
// has no effect; and one condition protects all rows of a write, where one for each row would take
// half of its entries.
type writeMark struct {
	// Epoch is that of the owner, N numbers its writes.
	Epoch int64 `json:"epoch"`
	N     int64 `json:"n"`
}

func (ow *Owner) writeMarkKey() string { return WriteMarkTable + "/" + ow.Cell + "/mark" }

// loadWriteMark reads the version of the mark row.
func (ow *Owner) loadWriteMark(ctx context.Context, table store.Table) error {
	var mark writeMark
	version, err := table.Get(ctx, ow.writeMarkKey(), &mark)
	ow.writeMarkVersion = version
	if errors.Is(err, store.ErrUndecodable) {
		// Only its version matters.
		ow.invalidRows.Report("marks", ow.writeMarkKey(), version, err, "written anew")
		return nil
	}
	return err
}

// newWrite returns a write without jobs.
func (ow *Owner) newWrite() *write {
	ow.writeCount++
	wr := &write{txn: store.NewTxn(), sent: time.Now(), mark: ow.encode(writeMark{Epoch: ow.Tenure.Epoch, N: ow.writeCount})}
	wr.txn.Conds = []store.Cond{{Key: ow.Tenure.Key, Version: ow.Tenure.Version}, {Key: ow.writeMarkKey(), Version: ow.writeMarkVersion}}
	wr.txn.Puts = []store.Put{{Key: ow.writeMarkKey(), Value: wr.mark}}
	return wr
}

// entries counts the conditions and changed rows of the write.
func (wr *write) entries() int { return len(wr.txn.Conds) + len(wr.txn.Puts) }

// jobWrite is the part of a write that belongs to one job.
type jobWrite struct {
	tj    *trackedJob
	state job.State
	// firstWrite is set if the write creates the job's rows.
	firstWrite bool
	// changedAt is when the first change in the write was made.
	changedAt time.Time
	onWritten []func()
	// specStoredBefore is set if the store had the job's spec row before the write.
	specStoredBefore bool
}

// flush starts writes of the jobs that have changed.
func (ow *Owner) flush() {
	for ow.writesInFlight < maxConcurrentWrites && len(ow.dirtyJobs) > 0 {
		wr := ow.nextWrite()
		if len(wr.jobs) == 0 {
			return
		}
		ow.writesInFlight++
		go ow.commit(wr)
	}
}

// nextWrite collects changed jobs, except those with a write in flight. If there are more than
// it can take, those that are due first are written first.
func (ow *Owner) nextWrite() *write {
	if len(ow.dirtyJobs) > store.MaxEntries/maxEntriesPerJob {
		slices.SortStableFunc(ow.dirtyJobs, func(a, b *trackedJob) int { return a.writeDue().Compare(b.writeDue()) })
	}
	wr := ow.newWrite()
	size := wr.txn.BodySize()
	var unwritable []func()
	remaining := ow.dirtyJobs[:0]
	for i, tj := range ow.dirtyJobs {
		if wr.entries()+maxEntriesPerJob > store.MaxEntries {
			remaining = append(remaining, ow.dirtyJobs[i:]...)
			break
		}
		if tj.writing || tj.writeAlone && len(wr.jobs) > 0 {
			remaining = append(remaining, tj)
			continue
		}
		rows, err := ow.encodeRows(tj)
		if err != nil {
			unwritable = append(unwritable, func() { ow.setAside(tj, err) })
			continue
		}
		if size += rows.size(); size > store.MaxBodyBytes && len(wr.jobs) > 0 {
			remaining = append(remaining, ow.dirtyJobs[i:]...)
			break
		}
		ow.addJobWrite(wr, tj, rows)
		if tj.writeAlone {
			remaining = append(remaining, ow.dirtyJobs[i+1:]...)
			break
		}
	}
	clear(ow.dirtyJobs[len(remaining):])
	ow.dirtyJobs = remaining
	for _, fn := range unwritable {
		fn()
	}
	return wr
}

// writeDue returns by when the job's changes should be written: the allowance is all the time
// that a job may lose beside its work. A start of an interrupted task is due at once, as its
// service is down.
func (tj *trackedJob) writeDue() time.Time {
	if tj.restartsTask {
		return tj.changedAt
	}
	allowance := time.Duration(tj.jo.Terms.AllowanceMS) * time.Millisecond
	return tj.changedAt.Add(min(allowance, maxWriteDelay))
}

// jobRows are the changes of a job's rows in a write.
type jobRows struct {
	puts []store.Put
	// specStored is set if the store has the job's spec row after the write.
	specStored bool
}

// size returns an upper bound of the size of the changes in a write, in bytes.
func (jr *jobRows) size() int {
	size := 0
	for _, pu := range jr.puts {
		size += pu.BodySize()
	}
	return size
}

// encodeRows returns the changes of a job's rows. The error wraps [job.ErrTooLarge] if they don't
// fit into the store.
func (ow *Owner) encodeRows(tj *trackedJob) (jobRows, error) {
	id := tj.jo.ID
	if tj.removing {
		return jobRows{puts: append(ow.specRemoval(tj), store.Put{Key: ow.progressKey(id), Delete: true})}, nil
	}
	value, err := ow.encodeProgress(tj)
	if err != nil {
		return jobRows{}, err
	}
	jr := jobRows{puts: []store.Put{{Key: ow.progressKey(id), Value: value}}, specStored: tj.specStored}
	switch {
	case tj.jo.Finished():
		jr.puts, jr.specStored = append(jr.puts, ow.specRemoval(tj)...), false
	case tj.progressVersion == 0:
		spec := ow.encode(tj.jo.SpecRow())
		if len(spec) > ow.maxRowBytes() {
			return jobRows{}, fmt.Errorf("spec of job %s with %d bytes: %w", id, len(spec), job.ErrTooLarge)
		}
		jr.puts, jr.specStored = append(jr.puts, store.Put{Key: ow.specKey(id), Value: spec}), true
	}
	return jr, nil
}

// specRemoval returns the removal of a job's spec row, or nil if there is no such row.
func (ow *Owner) specRemoval(tj *trackedJob) []store.Put {
	if !tj.specStored {
		return nil
	}
	return []store.Put{{Key: ow.specKey(tj.jo.ID), Delete: true}}
}

// addJobWrite adds the changes of a job's rows to a write.
func (ow *Owner) addJobWrite(wr *write, tj *trackedJob, rows jobRows) {
	wr.jobs = append(wr.jobs, jobWrite{
		tj: tj, state: tj.jo.State(), firstWrite: tj.progressVersion == 0, changedAt: tj.changedAt, onWritten: tj.onWritten, specStoredBefore: tj.specStored,
	})
	tj.onWritten, tj.dirty, tj.writing, tj.proofDue, tj.restartsTask = nil, false, true, time.Time{}, false
	tj.specStored = rows.specStored
	wr.txn.Puts = append(wr.txn.Puts, rows.puts...)
}

func (ow *Owner) encode(row any) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		ow.Log.Error("cannot encode row", "err", err)
	}
	return data
}

// commit sends a write until its outcome is known or the tenure ends. A refused write is not
// sent again.
func (ow *Owner) commit(wr *write) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = initialRewriteDelay, maxRewriteDelay
	wr.startDelay = time.Since(wr.sent)
	for {
		ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
		reply, err := ow.Table.CommitFunc(ctx, wr.txn)
		cancel()
		if ow.ctx.Err() != nil {
			return
		}
		if err == nil {
			ow.postTo(looplag.Writes, func() { ow.handleCommitted(wr, reply.Version) })
			return
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			ow.postTo(looplag.Writes, func() { ow.handleConflict(wr, conflict) })
			return
		}
		if errors.Is(err, store.ErrRefused) {
			ow.postTo(looplag.Writes, func() { ow.handleRefused(wr, err) })
			return
		}
		ow.postTo(looplag.Writes, func() { ow.handleWriteError(wr, err) })
		if !clock.Sleep(ow.ctx, bo.NextBackOff()) {
			return
		}
	}
}

// handleCommitted records that a write took effect and runs its callbacks. version is the one that
// its rows have since.
func (ow *Owner) handleCommitted(wr *write, version int64) {
	ow.writesInFlight--
	ow.writeMarkVersion = version
	ow.recordWriteAnswered()
	ow.Metrics.Add(telemetry.CellWrites, 1, "outcome", "done")
	ow.recordWrite(wr, time.Now())
	for _, jw := range wr.jobs {
		jw.tj.writing, jw.tj.writeAlone = false, false
		if jw.tj.unwritable {
			jw.tj.unwritable = false
			ow.recountWaiting(jw.tj)
		}
		jw.tj.progressVersion = version
		if jw.firstWrite {
			ow.Log.Info("job accepted", "job", jw.tj.jo.ID, "queue", jw.tj.jo.Terms.Queue, "version", jw.tj.progressVersion, "took", time.Since(jw.tj.acceptedAt))
			ow.answerWaiters(jw.tj, Verdict{Outcome: Accepted})
		}
		if jw.state != jw.tj.writtenState {
			ow.Log.Info("job state", "job", jw.tj.jo.ID, "state", jw.state, "version", jw.tj.progressVersion, "age", time.Since(jw.tj.acceptedAt))
			jw.tj.writtenState = jw.state
		}
		for _, fn := range jw.onWritten {
			fn()
		}
	}
}

// recordWriteAnswered records that the store has answered a write.
func (ow *Owner) recordWriteAnswered() {
	if !ow.writesFailingSince.IsZero() {
		ow.Log.Info("store takes writes again", "cell", ow.Cell, "after", time.Since(ow.writesFailingSince))
		ow.writesFailingSince = time.Time{}
	}
}

// handleConflict determines why a condition did not hold: an earlier try of the same write
// took effect, another host owns the cell, or the rows are not as this owner wrote them. It
// ends the tenure in the last two cases.
func (ow *Owner) handleConflict(wr *write, conflict *store.ConflictError) {
	if ow.replacedAsOwner(conflict) {
		return
	}
	mark := conflict.Row(ow.writeMarkKey())
	if sameJSON(mark.Value, wr.mark) {
		ow.handleCommitted(wr, mark.Version)
		return
	}
	ow.Log.Error("write refused", "cell", ow.Cell, "want", ow.writeMarkVersion, "have", mark.Version)
	ow.Tenure.End(fmt.Errorf("write of cell %s: %w", ow.Cell, errUnexpectedRows))
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

// handleWriteError records that the outcome of a try of a write is not known. Jobs in the write may
// be stored, so their callers wait on. Once writes have failed for storeDownAfter, the new jobs
// that were not sent yet are refused.
func (ow *Owner) handleWriteError(wr *write, err error) {
	if ow.writesFailingSince.IsZero() {
		ow.writesFailingSince = wr.sent
		ow.Log.Warn("store does not take writes", "cell", ow.Cell, "err", err)
	}
	ow.Metrics.Add(telemetry.CellWrites, 1, "outcome", "failed")
	if ow.storeDown() {
		ow.refuseUnsent()
	}
}
