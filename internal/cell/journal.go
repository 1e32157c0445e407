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

// Head is the cell's head row in the table. Each append is conditional on its
// version, so that appends of a former owner fail.
type Head struct {
	// Epoch and Owner are those of the last owner that opened the journal.
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
	// Term counts the openings of the journal. It is the fencing token of the
	// exchanges: workers accept only the highest term that they have seen.
	Term int64 `json:"term"`
	// Seq is the number of the last batch, Snapshot that of the last batch
	// that the snapshot in the object store includes, or 0.
	Seq      int64 `json:"seq"`
	Snapshot int64 `json:"snapshot"`
}

// Journal reads and appends the batches of a cell. It is not safe for
// concurrent use, except [Journal.WriteSnapshot].
type Journal struct {
	// Table has the head row and the batches, Objects the snapshots.
	Table   store.Table
	Objects store.Objects
	// Cell is the name of the cell.
	Cell string

	head        Head
	headVersion int64
	// oldest is the number of the first batch whose row may still be in the
	// table.
	oldest int64
}

// ErrFenced is returned once another owner has opened the journal.
var ErrFenced = errors.New("another owner has opened the journal")

// Limits on snapshots and on the journal's rows.
const (
	// snapshotInterval is the number of batches between snapshots. It limits
	// the rows that a new owner reads.
	snapshotInterval = 500
	// maxDeletes limits the rows that one append deletes.
	maxDeletes = 20
	// snapshotRetryInterval is the time between attempts to write a snapshot,
	// and the timeout of one.
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

// Open reads the state of the cell and makes owner the only one that can
// append. It returns [ErrFenced] if an owner of a higher epoch has opened the
// journal, or another owner writes at the same time.
func (jo *Journal) Open(ctx context.Context, owner string, epoch int64) (*State, error) {
	st, err := jo.load(ctx)
	if err != nil {
		return nil, err
	}
	if jo.head.Epoch > epoch {
		return nil, fmt.Errorf("open journal of cell %s at epoch %d: %w at epoch %d", jo.Cell, epoch, ErrFenced, jo.head.Epoch)
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
		return nil, fmt.Errorf("open journal of cell %s: %w", jo.Cell, ErrFenced)
	}
	if err != nil {
		return nil, fmt.Errorf("open journal of cell %s: %w", jo.Cell, err)
	}
	jo.head = head
	return st, nil
}

// Term returns the fencing token of this opening.
func (jo *Journal) Term() int64 { return jo.head.Term }

// load reads the last snapshot and the batches after it. If the former owner
// appends in the meantime, the write of the head in Open fails, and the caller
// has to open the journal again.
func (jo *Journal) load(ctx context.Context) (*State, error) {
	var err error
	jo.head = Head{}
	jo.headVersion, err = jo.Table.Get(ctx, jo.key("head"), &jo.head)
	if err != nil {
		return nil, fmt.Errorf("read journal head of cell %s: %w", jo.Cell, err)
	}
	st := NewState()
	if jo.head.Snapshot > 0 {
		data, err := jo.Objects.GetFunc(ctx, jo.snapshotKey(jo.head.Snapshot))
		if err != nil {
			return nil, fmt.Errorf("read snapshot of cell %s: %w", jo.Cell, err)
		}
		if err := json.Unmarshal(data, st); err != nil {
			return nil, fmt.Errorf("decode snapshot of cell %s: %w", jo.Cell, err)
		}
	}
	st.index()
	rows, err := jo.Table.List(ctx, jo.key("batch")+"/")
	if err != nil {
		return nil, fmt.Errorf("read journal of cell %s: %w", jo.Cell, err)
	}
	jo.oldest = jo.head.Snapshot + 1
	for i, row := range rows {
		var ba Batch
		if err := json.Unmarshal(row.Value, &ba); err != nil {
			return nil, fmt.Errorf("decode journal row %s: %w", row.Key, err)
		}
		if i == 0 {
			jo.oldest = min(jo.oldest, ba.Seq)
		}
		if ba.Seq <= st.Seq || ba.Seq > jo.head.Seq {
			continue
		}
		if ba.Seq != st.Seq+1 {
			return nil, fmt.Errorf("journal of cell %s: batch %d follows batch %d", jo.Cell, ba.Seq, st.Seq)
		}
		st.Apply(ba)
	}
	if st.Seq != jo.head.Seq {
		return nil, fmt.Errorf("journal of cell %s: last batch is %d, but the head row has %d", jo.Cell, st.Seq, jo.head.Seq)
	}
	return st, nil
}

// Append writes records as the next batch and returns it. It retries until the
// table confirms or rejects the write, or ctx ends. After an error the journal
// must be opened again before the next append, as the batch may have been
// written.
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
		return ba, fmt.Errorf("append to journal of cell %s: %w", jo.Cell, ErrFenced)
	}
	if err != nil {
		return ba, fmt.Errorf("append to journal of cell %s: %w", jo.Cell, err)
	}
	jo.head, jo.headVersion = head, version
	jo.oldest += deleted
	return ba, nil
}

// SnapshotDue reports whether it is time for a snapshot.
func (jo *Journal) SnapshotDue() bool {
	return jo.head.Seq >= jo.head.Snapshot+snapshotInterval
}

// WriteSnapshot writes the encoded state after batch seq to the object store.
// New owners use it once [Journal.RecordSnapshot] was called and a batch was
// appended.
func (jo *Journal) WriteSnapshot(ctx context.Context, seq int64, data []byte) error {
	if err := jo.Objects.PutFunc(ctx, jo.snapshotKey(seq), data); err != nil {
		return fmt.Errorf("write snapshot of cell %s: %w", jo.Cell, err)
	}
	return nil
}

// RecordSnapshot sets the last snapshot, which the next append writes to the
// head row.
func (jo *Journal) RecordSnapshot(seq int64) {
	jo.head.Snapshot = max(jo.head.Snapshot, seq)
}
