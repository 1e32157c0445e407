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
	// jobsPerWrite keeps a write under the store's 100 entries: a new job has
	// two conditions and three rows.
	jobsPerWrite = 18
	// bytesPerWrite keeps it under the store's 1 MB.
	bytesPerWrite = 600_000
	// writesAtOnce is how many writes may be under way: the store takes 8 ms
	// for one and carries out those of a cell in turn.
	writesAtOnce = 1
	// writeTimeout is how long the answer to a write may take before it is
	// sent again: 12 ms, up to 120 times slower in bad times.
	writeTimeout = 1500 * time.Millisecond
	// downAfter is how long writes may fail before new work is refused.
	downAfter = 300 * time.Millisecond
	// unknownAfter is how long a caller waits for a write that failed before it
	// is told that the outcome is not known.
	unknownAfter = 600 * time.Millisecond
	// rewriteFirst and rewriteMost are the pauses before a write is sent again.
	rewriteFirst = 30 * time.Millisecond
	rewriteMost  = 400 * time.Millisecond
)

// errStrange ends a tenure whose rows are not as the owner left them; the next
// one reads them anew.
var errStrange = errors.New("rows are not as this owner left them")

// write is one write of several jobs' rows.
type write struct {
	txn   store.Txn
	parts []part
	sent  time.Time
}

// part is one job's part of a write.
type part struct {
	en    *entry
	state job.State
	// first is set if the write has the job's first rows.
	first   bool
	effects []func()
	// key and value are of the row that shows whether the write took effect.
	key   string
	value []byte
}

// flush begins writes of what has changed.
func (ow *Owner) flush() {
	for ow.writes < writesAtOnce && len(ow.dirty) > 0 {
		wr := ow.nextWrite()
		if len(wr.parts) == 0 {
			return
		}
		ow.writes++
		go ow.commit(wr)
	}
}

// nextWrite collects changed jobs none of whose rows are being written.
func (ow *Owner) nextWrite() *write {
	wr := &write{txn: store.NewTxn(), sent: time.Now()}
	wr.txn.Conds = []store.Cond{{Key: ow.Tenure.Key, Version: ow.Tenure.Version}}
	size := 0
	rest := ow.dirty[:0]
	for i, en := range ow.dirty {
		if len(wr.parts) == jobsPerWrite || size > bytesPerWrite {
			rest = append(rest, ow.dirty[i:]...)
			break
		}
		if en.writing {
			rest = append(rest, en)
			continue
		}
		size += ow.addPart(wr, en)
	}
	clear(ow.dirty[len(rest):])
	ow.dirty = rest
	return wr
}

// addPart adds a job's rows to a write and returns their size.
func (ow *Owner) addPart(wr *write, en *entry) int {
	id := en.jo.ID
	pa := part{en: en, state: en.jo.State(), first: en.progVer == 0, effects: en.effects, key: ow.progressKey(id)}
	en.effects, en.dirty, en.writing, en.proofDue = nil, false, true, time.Time{}
	wr.txn.Conds = append(wr.txn.Conds, store.Cond{Key: pa.key, Version: en.progVer})
	if en.removing {
		wr.txn.Puts = append(wr.txn.Puts, store.Put{Key: pa.key, Delete: true})
		wr.txn.Puts = append(wr.txn.Puts, ow.specGone(en)...)
		wr.parts = append(wr.parts, pa)
		return 0
	}
	pa.value = ow.encode(en.jo.NextRow(ow.Tenure.Epoch))
	wr.txn.Puts = append(wr.txn.Puts, store.Put{Key: pa.key, Value: pa.value})
	size := len(pa.value)
	switch {
	case en.jo.Finished():
		wr.txn.Puts = append(wr.txn.Puts, ow.specGone(en)...)
	case pa.first:
		en.specKept = true
		spec := ow.encode(en.jo.SpecRow())
		size += len(spec)
		wr.txn.Conds = append(wr.txn.Conds, store.Cond{Key: ow.specKey(id)})
		wr.txn.Puts = append(wr.txn.Puts, store.Put{Key: ow.specKey(id), Value: spec})
	}
	wr.parts = append(wr.parts, pa)
	return size
}

// specGone returns the removal of the row of a job's spec, if there is one.
func (ow *Owner) specGone(en *entry) []store.Put {
	if !en.specKept {
		return nil
	}
	en.specKept = false
	return []store.Put{{Key: ow.specKey(en.jo.ID), Delete: true}}
}

func (ow *Owner) encode(row any) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		ow.Log.Error("row cannot be encoded", "err", err)
	}
	return data
}

// commit sends a write until its outcome is known.
func (ow *Owner) commit(wr *write) {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = rewriteFirst, rewriteMost
	for n := 1; ; n++ {
		ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
		reply, err := ow.Table.CommitFunc(ctx, wr.txn)
		cancel()
		if ow.ctx.Err() != nil {
			return
		}
		if err == nil {
			ow.post(func() { ow.committed(wr, func(part) int64 { return reply.Version }) })
			return
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			ow.post(func() { ow.conflicted(wr, conflict) })
			return
		}
		ow.post(func() { ow.writeFailed(wr, n, err) })
		if !clock.Sleep(ow.ctx, bo.NextBackOff()) {
			return
		}
	}
}

// committed lets the effects of a write happen.
func (ow *Owner) committed(wr *write, version func(part) int64) {
	ow.writes--
	if !ow.failing.IsZero() {
		ow.Log.Info("store takes writes again", "cell", ow.Cell, "after", time.Since(ow.failing))
		ow.failing = time.Time{}
	}
	ow.Metrics.Add(telemetry.CellWrites, 1, "outcome", "done")
	for _, pa := range wr.parts {
		pa.en.writing = false
		pa.en.progVer = version(pa)
		if pa.first {
			ow.Log.Info("job accepted", "job", pa.en.jo.ID, "queue", pa.en.jo.Terms.Queue, "version", pa.en.progVer, "took", time.Since(pa.en.acceptedAt))
			ow.answer(pa.en, Verdict{Outcome: Accepted})
		}
		if pa.state != pa.en.shown {
			ow.Log.Info("job state", "job", pa.en.jo.ID, "state", pa.state, "version", pa.en.progVer, "age", time.Since(pa.en.acceptedAt))
			pa.en.shown = pa.state
		}
		for _, fn := range pa.effects {
			fn()
		}
	}
}

// conflicted finds out why a condition did not hold: the write itself, sent
// before, or another owner.
func (ow *Owner) conflicted(wr *write, conflict *store.ConflictError) {
	if ow.replaced(conflict) {
		return
	}
	pa := wr.parts[0]
	row := conflict.Row(pa.key)
	if (pa.value == nil && row.Version == 0) || (pa.value != nil && sameJSON(row.Value, pa.value)) {
		ow.committed(wr, func(pa part) int64 { return conflict.Row(pa.key).Version })
		return
	}
	ow.Log.Error("write refused", "cell", ow.Cell, "job", pa.en.jo.ID, "want", pa.en.progVer, "have", row.Version)
	ow.Tenure.Renounce(fmt.Errorf("write of job %s: %w", pa.en.jo.ID, errStrange))
}

// replaced reports whether a write was refused as another host has the cell, and ends the
// tenure then.
func (ow *Owner) replaced(conflict *store.ConflictError) bool {
	if conflict.Row(ow.Tenure.Key).Version == ow.Tenure.Version {
		return false
	}
	ow.Log.Warn("write refused: replaced as owner", "cell", ow.Cell, "epoch", ow.Tenure.Epoch)
	ow.Tenure.Renounce(fmt.Errorf("write of cell %s: %w", ow.Cell, errReplaced))
	return true
}

var errReplaced = errors.New("replaced as owner")

func sameJSON(a, b []byte) bool {
	return bytes.Equal(bytes.TrimSpace(a), bytes.TrimSpace(b))
}

// writeFailed notes that the outcome of a write is not known yet. Callers that
// have waited for long are told so.
func (ow *Owner) writeFailed(wr *write, n int, err error) {
	if ow.failing.IsZero() {
		ow.failing = wr.sent
		ow.Log.Warn("store does not take writes", "cell", ow.Cell, "err", err)
	}
	ow.Metrics.Add(telemetry.CellWrites, 1, "outcome", "failed")
	if time.Since(wr.sent) < unknownAfter {
		return
	}
	for _, pa := range wr.parts {
		if pa.first && len(pa.en.waiters) > 0 {
			ow.Log.Warn("job not known to be accepted", "job", pa.en.jo.ID, "tries", n, "err", err)
			ow.answer(pa.en, Verdict{Outcome: Unknown, Reason: ReasonStoreAway})
		}
	}
}
