package cell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

// Head is the cell's head row. Each append is conditional on it, which makes
// appends of a former owner fail.
type Head struct {
	// Epoch and Owner are of the last owner to open the journal.
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
	// Term counts openings; workers obey the highest one seen.
	Term int64 `json:"term"`
	// Seq is the last batch, Snapshot the last one covered by a snapshot.
	Seq      int64 `json:"seq"`
	Snapshot int64 `json:"snapshot"`
}

// Journal reads and appends the batches of a cell.
type Journal struct {
	// Table and Objects are the platform's.
	Table   store.Table
	Objects store.Objects
	// Cell names the cell.
	Cell string

	head        Head
	headVersion int64
	// oldest is the first batch whose row may still be in the table.
	oldest int64
}

// ErrFenced is returned when another owner has appended.
var ErrFenced = errors.New("another owner has the journal")

// Numbers of snapshots.
const (
	// snapshotEvery is the batches between snapshots, which bounds the rows
	// that a new owner reads.
	snapshotInterval = 500
	// deleteMost bounds the rows deleted along with one append.
	maxDeletes = 20
	// snapshotRetry is the time between attempts to write a snapshot.
	snapshotRetryInterval = 10 * time.Second
)

func (jo *Journal) key(parts ...string) string {
	return "cell/" + jo.Cell + "/" + strings.Join(parts, "/")
}

func (jo *Journal) batchKey(seq int64) string {
	return jo.key("batch", fmt.Sprintf("%012d", seq))
}

func (jo *Journal) snapshotKey(seq int64) string {
	return jo.key("snapshot", fmt.Sprintf("%012d", seq))
}

// Open reads the state of the cell and makes the owner the only one that can
// append.
func (jo *Journal) Open(ctx context.Context, owner string, epoch int64) (*State, error) {
	st, err := jo.load(ctx)
	if err != nil {
		return nil, err
	}
	if jo.head.Epoch > epoch {
		return nil, fmt.Errorf("open journal of %s at epoch %d: %w: epoch %d", jo.Cell, epoch, ErrFenced, jo.head.Epoch)
	}
	head := jo.head
	head.Epoch, head.Owner = epoch, owner
	head.Term++
	txn, err := store.NewTxn().WithPut(jo.key("head"), jo.headVersion, head)
	if err != nil {
		return nil, err
	}
	jo.headVersion, err = jo.Table.Settle(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return nil, fmt.Errorf("open journal of %s: %w", jo.Cell, ErrFenced)
	}
	if err != nil {
		return nil, fmt.Errorf("open journal of %s: %w", jo.Cell, err)
	}
	jo.head = head
	return st, nil
}

// Term returns the term of this opening.
func (jo *Journal) Term() int64 { return jo.head.Term }

// load reads the last snapshot and the batches after it. The former owner may
// append meanwhile; then making the head ours fails, and all is read again.
func (jo *Journal) load(ctx context.Context) (*State, error) {
	var err error
	jo.head = Head{}
	jo.headVersion, err = jo.Table.Get(ctx, jo.key("head"), &jo.head)
	if err != nil {
		return nil, fmt.Errorf("read head of %s: %w", jo.Cell, err)
	}
	st := NewState()
	if jo.head.Snapshot > 0 {
		data, err := jo.Objects.GetFunc(ctx, jo.snapshotKey(jo.head.Snapshot))
		if err != nil {
			return nil, fmt.Errorf("read snapshot of %s: %w", jo.Cell, err)
		}
		if err := json.Unmarshal(data, st); err != nil {
			return nil, fmt.Errorf("decode snapshot of %s: %w", jo.Cell, err)
		}
	}
	st.index()
	rows, err := jo.Table.List(ctx, jo.key("batch")+"/")
	if err != nil {
		return nil, fmt.Errorf("read journal of %s: %w", jo.Cell, err)
	}
	jo.oldest = jo.head.Snapshot + 1
	for i, row := range rows {
		var ba Batch
		if err := json.Unmarshal(row.Value, &ba); err != nil {
			return nil, fmt.Errorf("decode %s: %w", row.Key, err)
		}
		if i == 0 {
			jo.oldest = min(jo.oldest, ba.Seq)
		}
		if ba.Seq <= st.Seq || ba.Seq > jo.head.Seq {
			continue
		}
		if ba.Seq != st.Seq+1 {
			return nil, fmt.Errorf("journal of %s: batch %d follows %d", jo.Cell, ba.Seq, st.Seq)
		}
		st.Apply(ba)
	}
	if st.Seq != jo.head.Seq {
		return nil, fmt.Errorf("journal of %s: ends at %d, head says %d", jo.Cell, st.Seq, jo.head.Seq)
	}
	return st, nil
}

// Append writes records as the next batch and returns it. It tries until the
// table says one thing or the other, or ctx ends; then nothing may be appended
// but by opening anew.
func (jo *Journal) Append(ctx context.Context, records []Record) (Batch, error) {
	ba := Batch{Seq: jo.head.Seq + 1, Epoch: jo.head.Epoch, Owner: jo.head.Owner, Records: records}
	head := jo.head
	head.Seq = ba.Seq
	txn, err := store.NewTxn().WithPut(jo.key("head"), jo.headVersion, head)
	if err != nil {
		return ba, err
	}
	txn, err = txn.WithPut(jo.batchKey(ba.Seq), 0, ba)
	if err != nil {
		return ba, err
	}
	var deleted int64
	for jo.oldest+deleted <= head.Snapshot && deleted < maxDeletes {
		txn.Puts = append(txn.Puts, store.Put{Key: jo.batchKey(jo.oldest + deleted), Delete: true})
		deleted++
	}
	version, err := jo.Table.Settle(ctx, txn)
	if errors.Is(err, store.ErrConflict) {
		return ba, fmt.Errorf("append to journal of %s: %w", jo.Cell, ErrFenced)
	}
	if err != nil {
		return ba, fmt.Errorf("append to journal of %s: %w", jo.Cell, err)
	}
	jo.head, jo.headVersion = head, version
	jo.oldest += deleted
	return ba, nil
}

// SnapshotDue reports whether it is time for a snapshot.
func (jo *Journal) SnapshotDue() bool {
	return jo.head.Seq >= jo.head.Snapshot+snapshotInterval
}

// Snapshot writes the encoded state, which is that after batch seq, to the
// object store. The next append makes it known.
func (jo *Journal) WriteSnapshot(ctx context.Context, seq int64, data []byte) error {
	if err := jo.Objects.PutFunc(ctx, jo.snapshotKey(seq), data); err != nil {
		return fmt.Errorf("write snapshot of %s: %w", jo.Cell, err)
	}
	return nil
}

// Snapshotted notes a snapshot written.
func (jo *Journal) RecordSnapshot(seq int64) {
	jo.head.Snapshot = max(jo.head.Snapshot, seq)
}
