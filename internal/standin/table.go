package standin

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Table is a fake of the table service. The zero value is an empty table.
type Table struct {
	// Faults injects faults into requests to the table.
	Faults FaultInjector

	mu      sync.Mutex
	rows    map[string]store.Row
	version int64
	// history holds the changes after version trimmed in order; changed is closed at
	// the next change.
	history []store.FeedRow
	changed chan struct{}
	trimmed int64
	reads   int64
	writes  int64
}

// TableCounts counts the requests to a table and its rows.
type TableCounts struct {
	// Reads and Writes count the requests handled; feeds count as reads.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Rows is the current number of rows.
	Rows int `json:"rows"`
}

// Client returns a client of the table in the same process. Its requests are subject
// to the fault, as those over the network are.
func (ta *Table) Client() store.Table {
	return store.Table{
		ReadFunc: func(ctx context.Context, req store.ReadRequest) (store.ReadReply, error) {
			return withFault(ctx, &ta.Faults, func() (store.ReadReply, error) { return ta.read(ctx, req) })
		},
		CommitFunc: func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
			reply, err := withFault(ctx, &ta.Faults, func() (store.CommitReply, error) { return ta.commit(ctx, txn) })
			switch wire.Code(err) {
			case store.CodeConflict:
				err = &store.ConflictError{Rows: ta.conditionRows(txn)}
			case store.CodeDown:
				err = store.ErrBusy
			case wire.CodeTooLarge:
				err = fmt.Errorf("%w: %w", store.ErrRefused, err)
			}
			return reply, err
		},
		FeedFunc: func(ctx context.Context, req store.FeedRequest) (store.FeedReply, error) {
			return withFault(ctx, &ta.Faults, func() (store.FeedReply, error) { return ta.feed(ctx, req) })
		},
	}
}

// conditionRows returns the current rows that the conditions of a write name.
func (ta *Table) conditionRows(txn store.Txn) []store.Row {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var rows []store.Row
	for _, co := range txn.Conds {
		if row, ok := ta.rows[co.Key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// ForgetHistory drops the history of changes, so that a feed from an earlier version
// fails with [store.ErrHistoryGone].
func (ta *Table) ForgetHistory() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.history, ta.trimmed = nil, ta.version
	ta.wakeFeeds()
}

// wakeFeeds wakes the feeds that wait for a change; the caller holds ta.mu.
func (ta *Table) wakeFeeds() {
	if ta.changed != nil {
		close(ta.changed)
	}
	ta.changed = make(chan struct{})
}

// feed returns the changes of rows with the prefix. If there is none yet, it waits for one, unless
// the request does not.
func (ta *Table) feed(ctx context.Context, req store.FeedRequest) (store.FeedReply, error) {
	if req.WaitMS <= 0 {
		reply, _, err := ta.changes(req)
		return reply, err
	}
	end := time.After(time.Duration(req.WaitMS) * time.Millisecond)
	for {
		reply, changed, err := ta.changes(req)
		if err != nil || len(reply.Rows) > 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-end:
			return reply, nil
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

// changes returns the changes after a version, and a channel that is closed at the
// next change.
func (ta *Table) changes(req store.FeedRequest) (store.FeedReply, chan struct{}, error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.reads++
	if ta.changed == nil {
		ta.changed = make(chan struct{})
	}
	if req.After < ta.trimmed {
		return store.FeedReply{}, nil, fmt.Errorf("feed after version %d: %w", req.After, store.ErrHistoryGone)
	}
	reply := store.FeedReply{Version: ta.version}
	for _, row := range ta.history {
		if row.Version > req.After && strings.HasPrefix(row.Key, req.Prefix+"/") {
			reply.Rows = append(reply.Rows, row)
		}
	}
	return reply, ta.changed, nil
}

// withFault runs fn subject to a fault. A dropped answer becomes a timeout error, which
// leaves the caller in doubt whether fn ran.
func withFault[T any](ctx context.Context, fi *FaultInjector, fn func() (T, error)) (T, error) {
	var zero T
	lost, err := fi.Before(ctx)
	if err != nil {
		return zero, err
	}
	reply, err := fn()
	if lost {
		return zero, context.DeadlineExceeded
	}
	return reply, err
}

// Handler serves the table, its fault at /fault and [Table.Counts] at /table/counts.
func (ta *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /table/read", ta.Faults.Wrap(wire.Handle(ta.read)))
	mux.Handle("POST /table/commit", ta.Faults.Wrap(wire.Handle(ta.commit)))
	mux.Handle("POST /table/feed", ta.Faults.Wrap(wire.Handle(func(ctx context.Context, req store.FeedRequest) (store.FeedReply, error) {
		reply, err := ta.feed(ctx, req)
		if errors.Is(err, store.ErrHistoryGone) {
			err = &wire.Error{Status: http.StatusGone, Code: store.CodeHistoryGone, Message: err.Error()}
		}
		return reply, err
	})))
	mux.Handle("POST /table/counts", wire.Handle(func(context.Context, struct{}) (TableCounts, error) {
		return ta.Counts(), nil
	}))
	mux.Handle("POST /fault", ta.Faults.Handle())
	return mux
}

// Counts returns the numbers of requests and rows.
func (ta *Table) Counts() TableCounts {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return TableCounts{Reads: ta.reads, Writes: ta.writes, Rows: len(ta.rows)}
}

func (ta *Table) read(_ context.Context, req store.ReadRequest) (store.ReadReply, error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.reads++
	if req.Prefix != "" {
		return store.ReadReply{Rows: ta.list(req), Version: ta.version}, nil
	}
	rows := []store.Row{}
	for _, key := range req.Keys {
		if row, ok := ta.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return store.ReadReply{Rows: rows, Version: ta.version}, nil
}

// maxListRows limits the rows that one read by prefix returns.
const maxListRows = 1000

// maxHistory limits the changes that are retained for feeds.
const maxHistory = 10_000

// list returns the rows with a prefix after a key, sorted by key.
func (ta *Table) list(req store.ReadRequest) []store.Row {
	rows := []store.Row{}
	for key, row := range ta.rows {
		if strings.HasPrefix(key, req.Prefix) && key > req.After {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	limit := req.Limit
	if limit <= 0 || limit > maxListRows {
		limit = maxListRows
	}
	return rows[:min(limit, len(rows))]
}

func (ta *Table) commit(_ context.Context, txn store.Txn) (store.CommitReply, error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.writes++
	if problem := exceededLimit(txn); problem != "" {
		return store.CommitReply{}, &wire.Error{Status: http.StatusRequestEntityTooLarge, Code: wire.CodeTooLarge, Message: problem}
	}
	for _, co := range txn.Conds {
		if have := ta.rows[co.Key].Version; have != co.Version {
			return store.CommitReply{}, &wire.Error{Status: http.StatusConflict, Code: store.CodeConflict, Message: "version conflict on row " + co.Key}
		}
	}
	if ta.rows == nil {
		ta.rows = map[string]store.Row{}
	}
	ta.version++
	for _, put := range txn.Puts {
		row := store.Row{Key: put.Key, Value: put.Value, Version: ta.version, WriteID: txn.ID}
		ta.history = append(ta.history, store.FeedRow{Row: row, Deleted: put.Delete})
		if put.Delete {
			delete(ta.rows, put.Key)
			continue
		}
		ta.rows[put.Key] = row
	}
	if over := len(ta.history) - maxHistory; over > 0 {
		ta.trimmed = ta.history[over-1].Version
		ta.history = slices.Delete(ta.history, 0, over)
	}
	ta.wakeFeeds()
	return store.CommitReply{Version: ta.version}, nil
}

// exceededLimit describes the limit that a transaction exceeds, or returns "".
func exceededLimit(txn store.Txn) string {
	if len(txn.Conds)+len(txn.Puts) > store.MaxEntries {
		return "too many entries in a transaction"
	}
	body := 0
	for _, pu := range txn.Puts {
		if len(pu.Value) > store.MaxRowBytes {
			return "row " + pu.Key + " is too large"
		}
		body += len(pu.Key) + base64.StdEncoding.EncodedLen(len(pu.Value))
	}
	if body > store.MaxBodyBytes {
		return "transaction is too large"
	}
	return ""
}

// Objects is a fake of the object store. The zero value is an empty store.
type Objects struct {
	// Faults injects faults into requests to the store.
	Faults FaultInjector

	mu   sync.Mutex
	data map[string][]byte
}

// Client returns a client of the store in the same process. Its requests are subject
// to the fault too.
func (ob *Objects) Client() store.Objects {
	return store.Objects{
		GetFunc: func(ctx context.Context, key string) ([]byte, error) {
			reply, err := withFault(ctx, &ob.Faults, func() (store.ObjectMessage, error) {
				return ob.get(ctx, store.ObjectMessage{Key: key})
			})
			if err == nil && !reply.Found {
				err = store.ErrNotFound
			}
			return reply.Data, err
		},
		PutFunc: func(ctx context.Context, key string, data []byte) error {
			_, err := withFault(ctx, &ob.Faults, func() (store.ObjectMessage, error) {
				return ob.put(ctx, store.ObjectMessage{Key: key, Data: data})
			})
			return err
		},
	}
}

// Handler serves the store, and its fault at /fault.
func (ob *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /objects/get", ob.Faults.Wrap(wire.Handle(ob.get)))
	mux.Handle("POST /objects/put", ob.Faults.Wrap(wire.Handle(ob.put)))
	mux.Handle("POST /fault", ob.Faults.Handle())
	return mux
}

func (ob *Objects) get(_ context.Context, msg store.ObjectMessage) (store.ObjectMessage, error) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	data, ok := ob.data[msg.Key]
	return store.ObjectMessage{Key: msg.Key, Data: data, Found: ok}, nil
}

func (ob *Objects) put(_ context.Context, msg store.ObjectMessage) (store.ObjectMessage, error) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if ob.data == nil {
		ob.data = map[string][]byte{}
	}
	ob.data[msg.Key] = msg.Data
	return store.ObjectMessage{Key: msg.Key}, nil
}
