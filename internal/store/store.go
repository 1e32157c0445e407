// Package store has the clients of what the platform keeps for the system:
// a transactional table, an object store and a list of hosts.
//
// The table is small, slow and sometimes away, and its answer to a write can
// be lost after the write took effect. Every write therefore carries an id
// that is kept in the rows written, and [Table.Settle] sends the same write
// again until the table says one thing or the other. The clients are structs
// of functions, which tests replace one by one.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// CodeConflict is the code of the table's refusal of a write whose conditions
// do not hold.
const CodeConflict = "conflict"

// CodeHistoryGone is the code of the table's refusal of a feed from too long
// ago.
const CodeHistoryGone = "history-gone"

// CodeDown is the code of a table that carries nothing out.
const CodeDown = "down"

// ErrConflict is returned for a write that certainly did not take effect
// because a condition did not hold.
var ErrConflict = errors.New("condition does not hold")

// ConflictError is what a table says of a write whose conditions do not hold,
// where it shows the rows as they are. [ErrConflict] is in its chain.
type ConflictError struct {
	// Rows are those of the conditions that exist.
	Rows []Row
}

// Error implements error.
func (err *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap makes it an [ErrConflict].
func (err *ConflictError) Unwrap() error { return ErrConflict }

// Row returns the row of a key as the table has it; one that is not there has
// version 0.
func (err *ConflictError) Row(key string) Row {
	for _, row := range err.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// ErrHistoryGone is returned for a feed from a version whose successors the
// table no longer knows: all has to be read again.
var ErrHistoryGone = errors.New("history is gone")

// ErrBusy is returned for a call that the table certainly did not carry out,
// as it is down or has too much to do.
var ErrBusy = errors.New("table is busy or down")

// ErrNotFound is returned for an object or row that is not there.
var ErrNotFound = errors.New("not found")

// Row is one row of the table.
type Row struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is the row's content.
	Value json.RawMessage `json:"value"`
	// Version is the table's count of writes when the row was written; it
	// only grows, also over a deletion.
	Version int64 `json:"version"`
	// WriteID is the id of the write that left the row so.
	WriteID string `json:"write_id"`
}

// Cond is a condition of a write: the row has exactly this version, zero
// meaning that there is no such row.
type Cond struct {
	// Key names the row.
	Key string `json:"key"`
	// Version is the version it must have.
	Version int64 `json:"version"`
}

// Put is one row of a write.
type Put struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is its new content.
	Value json.RawMessage `json:"value,omitempty"`
	// Delete removes the row instead.
	Delete bool `json:"delete,omitempty"`
}

// Txn is a write: all of it takes effect or nothing.
type Txn struct {
	// ID is kept in the rows written; [NewTxn] sets it.
	ID string `json:"id"`
	// Conds must all hold.
	Conds []Cond `json:"conds,omitempty"`
	// Puts are the rows written.
	Puts []Put `json:"puts"`
}

// NewTxn returns an empty write with an id of its own.
func NewTxn() Txn {
	return Txn{ID: uuid.NewString()}
}

// WithPut returns the write with one more row, conditional on its version.
func (txn Txn) WithPut(key string, version int64, value any) (Txn, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return txn, fmt.Errorf("encode row %s: %w", key, err)
	}
	txn.Conds = append(txn.Conds[:len(txn.Conds):len(txn.Conds)], Cond{Key: key, Version: version})
	txn.Puts = append(txn.Puts[:len(txn.Puts):len(txn.Puts)], Put{Key: key, Value: data})
	return txn, nil
}

// WithDelete returns the write with one row's deletion, conditional on its
// version.
func (txn Txn) WithDelete(key string, version int64) Txn {
	txn.Conds = append(txn.Conds[:len(txn.Conds):len(txn.Conds)], Cond{Key: key, Version: version})
	txn.Puts = append(txn.Puts[:len(txn.Puts):len(txn.Puts)], Put{Key: key, Delete: true})
	return txn
}

// ReadRequest asks for rows, by key or by prefix.
type ReadRequest struct {
	// Keys are the rows wanted; those not there are left out of the reply.
	Keys []string `json:"keys,omitempty"`
	// Prefix asks for all rows whose key starts so, in order of key.
	Prefix string `json:"prefix,omitempty"`
	// After leaves out keys up to and including it.
	After string `json:"after,omitempty"`
	// Limit bounds the rows of a prefix; 0 takes the table's own bound.
	Limit int `json:"limit,omitempty"`
}

// ReadReply has the rows read, all as of one moment.
type ReadReply struct {
	// Rows are in order of key.
	Rows []Row `json:"rows"`
	// Version is the table's at that moment; a feed can go on from it.
	Version int64 `json:"version,omitempty"`
	// More is set if the limit left rows out.
	More bool `json:"more,omitempty"`
}

// FeedRequest asks for the rows of one prefix that changed.
type FeedRequest struct {
	// Prefix is the part of a key before its first "/".
	Prefix string `json:"prefix"`
	// After is the version after which changes are wanted.
	After int64 `json:"after"`
	// WaitMS is how long to wait for one, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// FeedReply has changes in their order.
type FeedReply struct {
	// Rows are as they are now; those with Gone set were removed.
	Rows []FeedRow `json:"rows"`
	// Version is where to go on from.
	Version int64 `json:"version"`
}

// FeedRow is one change.
type FeedRow struct {
	Row

	// Deleted is set if the row was removed.
	Deleted bool `json:"gone,omitempty"`
}

// CommitReply is the version that a write gave its rows.
type CommitReply struct {
	// Version is the rows' new version.
	Version int64 `json:"version"`
}

// Table is a client of the table service.
type Table struct {
	// ReadFunc reads rows.
	ReadFunc func(context.Context, ReadRequest) (ReadReply, error)
	// CommitFunc writes rows. Its error is [ErrConflict] in the chain if the
	// write certainly had no effect; after any other it may have had.
	CommitFunc func(context.Context, Txn) (CommitReply, error)
	// FeedFunc waits for changes; its error is [ErrHistoryGone] in the chain
	// if they are no longer known.
	FeedFunc func(context.Context, FeedRequest) (FeedReply, error)
	// BackOffFunc makes the pauses between attempts of [Table.Settle]; nil
	// takes exponential ones with jitter.
	BackOffFunc func() backoff.BackOff
}

// NewTable returns a client of the table service at base, for instance
// http://127.0.0.1:7000.
func NewTable(base string, cl *http.Client) Table {
	return Table{
		ReadFunc: func(ctx context.Context, req ReadRequest) (ReadReply, error) {
			return wire.Post[ReadRequest, ReadReply](ctx, cl, base+"/table/read", req)
		},
		CommitFunc: func(ctx context.Context, txn Txn) (CommitReply, error) {
			reply, err := wire.Post[Txn, CommitReply](ctx, cl, base+"/table/commit", txn)
			return reply, known(err)
		},
		FeedFunc: func(ctx context.Context, req FeedRequest) (FeedReply, error) {
			reply, err := wire.Post[FeedRequest, FeedReply](ctx, cl, base+"/table/feed", req)
			if wire.Code(err) == CodeHistoryGone {
				err = fmt.Errorf("%w: %w", ErrHistoryGone, err)
			}
			return reply, err
		},
	}
}

// known puts the package's error into the chain of one that the table stated.
func known(err error) error {
	switch wire.Code(err) {
	case CodeConflict:
		return fmt.Errorf("%w: %w", ErrConflict, err)
	case CodeDown:
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return err
}

// Get reads one row into value. A row that is not there has version 0 and
// leaves value alone.
func (tbl Table) Get(ctx context.Context, key string, value any) (int64, error) {
	reply, err := tbl.ReadFunc(ctx, ReadRequest{Keys: []string{key}})
	if err != nil {
		return 0, fmt.Errorf("read row %s: %w", key, err)
	}
	if len(reply.Rows) == 0 {
		return 0, nil
	}
	if err := json.Unmarshal(reply.Rows[0].Value, value); err != nil {
		return 0, fmt.Errorf("decode row %s: %w", key, err)
	}
	return reply.Rows[0].Version, nil
}

// List reads all rows with the prefix.
func (tbl Table) List(ctx context.Context, prefix string) ([]Row, error) {
	rows, _, err := tbl.ListFrom(ctx, prefix)
	return rows, err
}

// Commit sends the write once.
func (tbl Table) Commit(ctx context.Context, txn Txn) (int64, error) {
	reply, err := tbl.CommitFunc(ctx, txn)
	if err != nil {
		return 0, fmt.Errorf("commit to table: %w", err)
	}
	return reply.Version, nil
}

// Settle sends the write, again where needed, until it is known whether it
// took effect or ctx ends. The same write sent twice takes effect once: the
// second finds its conditions broken by the first, and the rows then carry
// the write's id. Every row of txn must be conditional (WithPut does that),
// and the write must have one put that is not a deletion.
func (tbl Table) Settle(ctx context.Context, txn Txn) (int64, error) {
	attempt := func() (int64, error) {
		actx, cancel := context.WithTimeout(ctx, settleAttempt)
		defer cancel()
		version, err := tbl.Commit(actx, txn)
		if !errors.Is(err, ErrConflict) {
			return version, err
		}
		return tbl.afterConflict(actx, txn, err)
	}
	return backoff.Retry(ctx, attempt,
		backoff.WithBackOff(tbl.backOff()), backoff.WithMaxElapsedTime(0))
}

// settleAttempt bounds one attempt, so that a frozen table does not use up
// the caller's time in one.
const settleAttempt = 2 * time.Second

func (tbl Table) backOff() backoff.BackOff {
	if tbl.BackOffFunc != nil {
		return tbl.BackOffFunc()
	}
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = 20 * time.Millisecond
	bo.MaxInterval = time.Second
	return bo
}

// afterConflict finds out whether the conflict is with the write itself,
// sent before.
func (tbl Table) afterConflict(ctx context.Context, txn Txn, conflict error) (int64, error) {
	key := ""
	for _, put := range txn.Puts {
		if !put.Delete {
			key = put.Key
		}
	}
	reply, err := tbl.ReadFunc(ctx, ReadRequest{Keys: []string{key}})
	if err != nil {
		return 0, fmt.Errorf("read back %s: %w", key, err)
	}
	if len(reply.Rows) == 1 && reply.Rows[0].WriteID == txn.ID {
		return reply.Rows[0].Version, nil
	}
	return 0, backoff.Permanent(conflict)
}

// Objects is a client of the object store.
type Objects struct {
	// GetFunc reads an object; its error is [ErrNotFound] if there is none.
	GetFunc func(ctx context.Context, key string) ([]byte, error)
	// PutFunc writes an object whole.
	PutFunc func(ctx context.Context, key string, data []byte) error
}

// ObjectMessage names an object, with its content where it goes along.
type ObjectMessage struct {
	// Key names the object.
	Key string `json:"key"`
	// Data is its content.
	Data []byte `json:"data,omitempty"`
	// Found is set in a reply if the object is there.
	Found bool `json:"found,omitempty"`
}

// NewObjects returns a client of the object store at base.
func NewObjects(base string, cl *http.Client) Objects {
	return Objects{
		GetFunc: func(ctx context.Context, key string) ([]byte, error) {
			reply, err := wire.Post[ObjectMessage, ObjectMessage](ctx, cl, base+"/objects/get", ObjectMessage{Key: key})
			if err == nil && !reply.Found {
				err = fmt.Errorf("object %s: %w", key, ErrNotFound)
			}
			return reply.Data, err
		},
		PutFunc: func(ctx context.Context, key string, data []byte) error {
			_, err := wire.Post[ObjectMessage, ObjectMessage](ctx, cl, base+"/objects/put", ObjectMessage{Key: key, Data: data})
			return err
		},
	}
}
