// Package store has the clients of the platform's storage: a transactional table, an
// object store and a list of hosts.
//
// The table is small, slow and at times unavailable, and its answer to a write can be
// lost after the write took effect. Every write therefore carries an ID that is stored
// in the rows written, and [Table.Settle] repeats the same write until its outcome is
// known. The clients are structs of functions, so that tests can replace each one.
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

	"github.com/pepperhatch/pepperhatch/internal/hedge"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// CodeConflict is the error code of a write whose conditions do not hold.
const CodeConflict = "conflict"

// CodeHistoryGone is the error code of a feed from a version that is too old.
const CodeHistoryGone = "history-gone"

// CodeDown is the error code of a table that is down and executes no calls.
const CodeDown = "down"

// ErrConflict is returned for a write that had no effect because a condition did not
// hold.
var ErrConflict = errors.New("condition does not hold")

// ConflictError is a table's refusal of a write whose conditions do not hold, with the
// current rows. [ErrConflict] is in its chain.
type ConflictError struct {
	// Rows are the existing rows that the conditions name.
	Rows []Row
}

// Error implements error.
func (err *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns [ErrConflict].
func (err *ConflictError) Unwrap() error { return ErrConflict }

// Row returns the current row of a key; a missing row has version 0.
func (err *ConflictError) Row(key string) Row {
	for _, row := range err.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// ErrHistoryGone is returned for a feed from a version whose later changes the table no
// longer has: all rows have to be read again.
var ErrHistoryGone = errors.New("table no longer has the changes since this version")

// ErrBusy is returned for a call that the table did not execute because it is down or
// overloaded.
var ErrBusy = errors.New("table is busy or down")

// ErrNotFound is returned for an object or row that does not exist.
var ErrNotFound = errors.New("not found")

// Row is one row of the table.
type Row struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is the row's content as JSON.
	Value json.RawMessage `json:"value"`
	// Version is the table's write counter at the time of the row's last write. It only
	// grows, also across a deletion.
	Version int64 `json:"version"`
	// WriteID is the ID of the row's last write.
	WriteID string `json:"write_id"`
}

// Cond is a condition of a write: the row has exactly this version. Zero means that the
// row does not exist.
type Cond struct {
	// Key names the row.
	Key string `json:"key"`
	// Version is the required version.
	Version int64 `json:"version"`
}

// Put is one row of a write.
type Put struct {
	// Key names the row.
	Key string `json:"key"`
	// Value is its new content.
	Value json.RawMessage `json:"value,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// Txn is an atomic write.
type Txn struct {
	// ID is stored in the rows written; [NewTxn] sets it.
	ID string `json:"id"`
	// Conds are the conditions, which must all hold.
	Conds []Cond `json:"conds,omitempty"`
	// Puts are the rows to write.
	Puts []Put `json:"puts"`
}

// NewTxn returns an empty write with a unique ID.
func NewTxn() Txn {
	return Txn{ID: uuid.NewString()}
}

// WithPut returns the write with one more row, on the condition that the row has this
// version.
func (txn Txn) WithPut(key string, version int64, value any) (Txn, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return txn, fmt.Errorf("encode row %s: %w", key, err)
	}
	txn.Conds = append(txn.Conds[:len(txn.Conds):len(txn.Conds)], Cond{Key: key, Version: version})
	txn.Puts = append(txn.Puts[:len(txn.Puts):len(txn.Puts)], Put{Key: key, Value: data})
	return txn, nil
}

// WithDelete returns the write with the deletion of one row, on the condition that the
// row has this version.
func (txn Txn) WithDelete(key string, version int64) Txn {
	txn.Conds = append(txn.Conds[:len(txn.Conds):len(txn.Conds)], Cond{Key: key, Version: version})
	txn.Puts = append(txn.Puts[:len(txn.Puts):len(txn.Puts)], Put{Key: key, Delete: true})
	return txn
}

// ReadRequest reads rows by key or by prefix.
type ReadRequest struct {
	// Keys are the rows to read; missing rows are left out of the reply.
	Keys []string `json:"keys,omitempty"`
	// Prefix selects all rows whose key begins with it, in order of key.
	Prefix string `json:"prefix,omitempty"`
	// After skips keys up to and including it.
	After string `json:"after,omitempty"`
	// Limit bounds the rows of a prefix; 0 means the table's own limit.
	Limit int `json:"limit,omitempty"`
}

// ReadReply has the rows of one snapshot.
type ReadReply struct {
	// Rows are in order of key.
	Rows []Row `json:"rows"`
	// Version is the table's version at the time of the read; a feed can continue from
	// it.
	Version int64 `json:"version,omitempty"`
	// More is set if the limit left out rows.
	More bool `json:"more,omitempty"`
}

// FeedRequest waits for changes of the rows of one prefix.
type FeedRequest struct {
	// Prefix is the part of a key before its first "/".
	Prefix string `json:"prefix"`
	// After is the version after which changes are returned.
	After int64 `json:"after"`
	// WaitMS is the longest time to wait for a change, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// FeedReply has changes in order.
type FeedReply struct {
	// Rows are the current rows; those with Deleted set were deleted.
	Rows []FeedRow `json:"rows"`
	// Version is the version to continue from.
	Version int64 `json:"version"`
}

// FeedRow is a changed row.
type FeedRow struct {
	Row

	// Deleted is set if the row was deleted.
	Deleted bool `json:"gone,omitempty"`
}

// CommitReply is the reply to a write.
type CommitReply struct {
	// Version is the new version of the rows written.
	Version int64 `json:"version"`
}

// Table is a client of the table service.
type Table struct {
	// ReadFunc reads rows.
	ReadFunc func(context.Context, ReadRequest) (ReadReply, error)
	// CommitFunc writes rows. [ErrConflict] or [ErrRefused] is in the error's chain if the write
	// had no effect; after any other error it may have taken effect.
	CommitFunc func(context.Context, Txn) (CommitReply, error)
	// FeedFunc waits for changes. [ErrHistoryGone] is in the error's chain if the table
	// no longer has them.
	FeedFunc func(context.Context, FeedRequest) (FeedReply, error)
	// BackOffFunc returns the delays between the attempts of [Table.Settle]; nil means
	// exponential ones with jitter.
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
			return reply, wrapCode(err)
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

// wrapCode adds the package's error for the table's error code to the chain.
func wrapCode(err error) error {
	switch wire.Code(err) {
	case CodeConflict:
		return fmt.Errorf("%w: %w", ErrConflict, err)
	case CodeDown:
		return fmt.Errorf("%w: %w", ErrBusy, err)
	case wire.CodeTooLarge, wire.CodeMalformed:
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return err
}

// ErrUndecodable is returned for rows that cannot be decoded.
var ErrUndecodable = errors.New("row cannot be decoded")

// Get decodes one row into value and returns its version. A missing row has version 0
// and leaves value unchanged; with ErrUndecodable the version is valid. The read is hedged, and ends after [pageTimeout] at the latest.
func (tbl Table) Get(ctx context.Context, key string, value any) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	ctx = hedge.NewContext(ctx, hedge.Policy{After: pageHedgeDelay, Steady: true})
	reply, err := tbl.ReadFunc(ctx, ReadRequest{Keys: []string{key}})
	if err != nil {
		return 0, fmt.Errorf("read row %s: %w", key, err)
	}
	if len(reply.Rows) == 0 {
		return 0, nil
	}
	if err := json.Unmarshal(reply.Rows[0].Value, value); err != nil {
		return reply.Rows[0].Version, fmt.Errorf("%w: %s: %w", ErrUndecodable, key, err)
	}
	return reply.Rows[0].Version, nil
}

// List reads all rows with the prefix, in order of key.
func (tbl Table) List(ctx context.Context, prefix string) ([]Row, error) {
	rows, _, err := tbl.ListFrom(ctx, prefix)
	return rows, err
}

// Commit sends the write once and returns the new version of its rows.
func (tbl Table) Commit(ctx context.Context, txn Txn) (int64, error) {
	reply, err := tbl.CommitFunc(ctx, txn)
	if err != nil {
		return 0, fmt.Errorf("commit to table: %w", err)
	}
	return reply.Version, nil
}

// Settle sends the write, and repeats it until its outcome is known or ctx ends. A
// repeated write takes effect once: the second attempt fails on the versions that the
// first one changed, and the rows then have the write's ID. Every row of txn must be
// conditional, as those of WithPut are, and at least one put must not be a deletion.
func (tbl Table) Settle(ctx context.Context, txn Txn) (int64, error) {
	attempt := func() (int64, error) {
		actx, cancel := context.WithTimeout(ctx, settleAttemptTimeout)
		defer cancel()
		version, err := tbl.Commit(actx, txn)
		if errors.Is(err, ErrRefused) {
			return 0, backoff.Permanent(err)
		}
		if !errors.Is(err, ErrConflict) {
			return version, err
		}
		return tbl.resolveConflict(actx, txn, err)
	}
	return backoff.Retry(ctx, attempt,
		backoff.WithBackOff(tbl.backOff()), backoff.WithMaxElapsedTime(0))
}

// settleAttemptTimeout bounds one attempt, so that a single attempt at a frozen table does
// not use up the caller's time.
const settleAttemptTimeout = 2 * time.Second

func (tbl Table) backOff() backoff.BackOff {
	if tbl.BackOffFunc != nil {
		return tbl.BackOffFunc()
	}
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = 20 * time.Millisecond
	bo.MaxInterval = time.Second
	return bo
}

// resolveConflict finds out whether the conflict is with an earlier attempt of the same
// write.
func (tbl Table) resolveConflict(ctx context.Context, txn Txn, conflict error) (int64, error) {
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
	// PutFunc replaces an object.
	PutFunc func(ctx context.Context, key string, data []byte) error
}

// ObjectMessage is a request to the object store or its reply.
type ObjectMessage struct {
	// Key names the object.
	Key string `json:"key"`
	// Data is the object's content in a write and in the reply to a read.
	Data []byte `json:"data,omitempty"`
	// Found is set in a reply if the object exists.
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
