package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/pepperhatch/pepperhatch/internal/platform"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Table stands in for the table service. The zero value is an empty table.
type Table struct {
	// Gate is the table's fault.
	Gate Gate

	mu      sync.Mutex
	rows    map[string]platform.Row
	version int64
	reads   int64
	writes  int64
}

// TableCounts is how often a table was used.
type TableCounts struct {
	// Reads and Writes count messages handled.
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Rows is the number of rows now.
	Rows int `json:"rows"`
}

// Client returns a client of the table in the same process; it passes the
// gate as messages over the network do.
func (ta *Table) Client() platform.Table {
	return platform.Table{
		ReadFunc: func(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
			return gated(ctx, &ta.Gate, func() (platform.ReadReply, error) { return ta.read(ctx, req) })
		},
		CommitFunc: func(ctx context.Context, txn platform.Txn) (platform.CommitReply, error) {
			reply, err := gated(ctx, &ta.Gate, func() (platform.CommitReply, error) { return ta.commit(ctx, txn) })
			if wire.Code(err) == platform.CodeConflict {
				err = platform.ErrConflict
			}
			return reply, err
		},
	}
}

// gated runs fn behind a gate; a lost answer is the error of a cut connection.
func gated[T any](ctx context.Context, ga *Gate, fn func() (T, error)) (T, error) {
	var zero T
	lost, err := ga.Before(ctx)
	if err != nil {
		return zero, err
	}
	reply, err := fn()
	if lost {
		return zero, context.DeadlineExceeded
	}
	return reply, err
}

// Handler serves the table, its fault at /fault and its counts at
// /table/counts.
func (ta *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /table/read", ta.Gate.Wrap(wire.Handle(ta.read)))
	mux.Handle("POST /table/commit", ta.Gate.Wrap(wire.Handle(ta.commit)))
	mux.Handle("POST /table/counts", wire.Handle(func(context.Context, struct{}) (TableCounts, error) {
		return ta.Counts(), nil
	}))
	mux.Handle("POST /fault", ta.Gate.Handle())
	return mux
}

// Counts returns how often the table was used.
func (ta *Table) Counts() TableCounts {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return TableCounts{Reads: ta.reads, Writes: ta.writes, Rows: len(ta.rows)}
}

func (ta *Table) read(_ context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.reads++
	if req.Prefix != "" {
		return platform.ReadReply{Rows: ta.list(req)}, nil
	}
	rows := []platform.Row{}
	for _, key := range req.Keys {
		if row, ok := ta.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return platform.ReadReply{Rows: rows}, nil
}

const tableListMax = 1000

func (ta *Table) list(req platform.ReadRequest) []platform.Row {
	rows := []platform.Row{}
	for key, row := range ta.rows {
		if strings.HasPrefix(key, req.Prefix) && key > req.After {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	limit := req.Limit
	if limit <= 0 || limit > tableListMax {
		limit = tableListMax
	}
	return rows[:min(limit, len(rows))]
}

func (ta *Table) commit(_ context.Context, txn platform.Txn) (platform.CommitReply, error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.writes++
	for _, co := range txn.Conds {
		if have := ta.rows[co.Key].Version; have != co.Version {
			return platform.CommitReply{}, &wire.Error{Status: http.StatusConflict, Code: platform.CodeConflict, Message: "row " + co.Key}
		}
	}
	if ta.rows == nil {
		ta.rows = map[string]platform.Row{}
	}
	ta.version++
	for _, put := range txn.Puts {
		if put.Delete {
			delete(ta.rows, put.Key)
			continue
		}
		ta.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: ta.version, WriteID: txn.ID}
	}
	return platform.CommitReply{Version: ta.version}, nil
}

// Objects stands in for the object store. The zero value is empty.
type Objects struct {
	// Gate is the store's fault.
	Gate Gate

	mu   sync.Mutex
	data map[string][]byte
}

// Client returns a client of the store in the same process.
func (ob *Objects) Client() platform.Objects {
	return platform.Objects{
		GetFunc: func(ctx context.Context, key string) ([]byte, error) {
			reply, err := gated(ctx, &ob.Gate, func() (platform.ObjectMessage, error) {
				return ob.get(ctx, platform.ObjectMessage{Key: key})
			})
			if err == nil && !reply.Found {
				err = platform.ErrNotFound
			}
			return reply.Data, err
		},
		PutFunc: func(ctx context.Context, key string, data []byte) error {
			_, err := gated(ctx, &ob.Gate, func() (platform.ObjectMessage, error) {
				return ob.put(ctx, platform.ObjectMessage{Key: key, Data: data})
			})
			return err
		},
	}
}

// Handler serves the store, and its fault at /fault.
func (ob *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /objects/get", ob.Gate.Wrap(wire.Handle(ob.get)))
	mux.Handle("POST /objects/put", ob.Gate.Wrap(wire.Handle(ob.put)))
	mux.Handle("POST /fault", ob.Gate.Handle())
	return mux
}

func (ob *Objects) get(_ context.Context, msg platform.ObjectMessage) (platform.ObjectMessage, error) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	data, ok := ob.data[msg.Key]
	return platform.ObjectMessage{Key: msg.Key, Data: data, Found: ok}, nil
}

func (ob *Objects) put(_ context.Context, msg platform.ObjectMessage) (platform.ObjectMessage, error) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if ob.data == nil {
		ob.data = map[string][]byte{}
	}
	ob.data[msg.Key] = msg.Data
	return platform.ObjectMessage{Key: msg.Key}, nil
}
