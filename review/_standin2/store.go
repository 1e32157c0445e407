package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the platform's store, in the form of its protocol.
type storeRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (ro storeRow) id() rowKey { return rowKey{ro.Table, ro.Part, ro.Key} }

// platformStore is a linearizable store in memory. It takes txTime for a write and forgets no
// history.
type platformStore struct {
	ln      net.Listener
	started time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowKey]storeRow
	changes []storeRow
	changed chan struct{}
}

// Limits and times of the store, as on the page of the protocol and in the site's sheet.
const (
	maxEntries = 100
	maxRows    = 500
	maxPage    = 1 << 20
	maxKey     = 200
	maxValue   = 65536
	maxWait    = 30 * time.Second
	txTime     = 8 * time.Millisecond
)

func newStore(addr string) (*platformStore, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	st := &platformStore{ln: ln, started: time.Now(), rows: map[rowKey]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pepperhatch/rows-tx", st.tx)
	mux.HandleFunc("GET /pepperhatch/rows-get", st.get)
	mux.HandleFunc("GET /pepperhatch/rows-parts", st.parts)
	mux.HandleFunc("GET /pepperhatch/rows-feed", st.feed)
	go func() { _ = http.Serve(ln, mux) }()
	return st, nil
}

// answerJSON sends an answer with the version of the store and its steady clock.
func (st *platformStore) answerJSON(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(st.started).Milliseconds() + 1
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (st *platformStore) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Conds   []storeRow `json:"expected-rev"`
		Puts    []storeRow `json:"put"`
		Removes []storeRow `json:"remove"`
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPage)).Decode(&body) != nil || len(body.Conds)+len(body.Puts)+len(body.Removes) > maxEntries {
		st.answerJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	all := append(append(append([]storeRow{}, body.Conds...), body.Puts...), body.Removes...)
	for _, ro := range all {
		if ro.Part != all[0].Part || len(ro.Key) > maxKey || len(ro.Value) > maxValue {
			st.answerJSON(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	time.Sleep(txTime)
	st.mu.Lock()
	defer st.mu.Unlock()
	current, held := []storeRow{}, true
	for _, co := range body.Conds {
		ro := st.rows[co.id()]
		if ro.Ver != 0 {
			current = append(current, ro)
		}
		held = held && ro.Ver == co.Ver
	}
	if !held {
		st.answerJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": st.ver})
		return
	}
	st.apply(body.Puts, body.Removes)
	st.answerJSON(w, http.StatusOK, map[string]any{"ver": st.ver})
}

// apply changes rows in one transaction; the caller holds the lock.
func (st *platformStore) apply(puts, removes []storeRow) {
	st.ver++
	for _, ro := range puts {
		ro.Ver, ro.Gone = st.ver, false
		st.rows[ro.id()] = ro
		st.changes = append(st.changes, ro)
	}
	for _, ro := range removes {
		if st.rows[ro.id()].Ver == 0 {
			continue
		}
		delete(st.rows, ro.id())
		st.changes = append(st.changes, storeRow{Table: ro.Table, Part: ro.Part, Key: ro.Key, Ver: st.ver, Gone: true})
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// put writes a row as the operator and the runners do.
func (st *platformStore) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply([]storeRow{{Table: table, Key: key, Value: data}}, nil)
}

func (st *platformStore) remove(table, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.apply(nil, []storeRow{{Table: table, Key: key}})
}

// page returns the first rows that fit into an answer, and whether there are more.
func page(rows []storeRow, limit int) ([]storeRow, bool) {
	size := 0
	for i, ro := range rows {
		size += len(ro.Key) + 2*len(ro.Value) + 100
		if i >= limit || size > maxPage && i > 0 {
			return rows[:i], true
		}
	}
	return rows, false
}

func (st *platformStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	rows := []storeRow{}
	for id, ro := range st.rows {
		if id.table != q.Get("table") || id.part != q.Get("part") || id.key < q.Get("from") || q.Has("target-version") && id.key >= q.Get("target-version") {
			continue
		}
		rows = append(rows, ro)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	rows, more := page(rows, limit)
	st.answerJSON(w, http.StatusOK, map[string]any{"rows": rows, "more": more, "ver": st.ver})
}

func (st *platformStore) parts(w http.ResponseWriter, r *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	seen := map[string]bool{}
	parts := []string{}
	for id := range st.rows {
		if id.table == r.URL.Query().Get("table") && !seen[id.part] {
			seen[id.part] = true
			parts = append(parts, id.part)
		}
	}
	sort.Strings(parts)
	st.answerJSON(w, http.StatusOK, map[string]any{"parts": parts, "more": false, "ver": st.ver})
}

func (st *platformStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("start-after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	deadline := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for {
		st.mu.Lock()
		rows, ver := st.since(q.Get("table"), after)
		changed := st.changed
		st.mu.Unlock()
		if len(rows) > 0 {
			st.answerJSON(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
			continue
		case <-deadline.C:
		case <-r.Context().Done():
			return
		}
		st.answerJSON(w, http.StatusOK, map[string]any{"rows": []storeRow{}, "ver": ver})
		return
	}
}

// since returns the changes of a table after a version, and the version to continue from; the
// caller holds the lock.
func (st *platformStore) since(table string, after int64) ([]storeRow, int64) {
	rows, ver := []storeRow{}, st.ver
	for _, ro := range st.changes {
		if ro.Table != table || ro.Ver <= after {
			continue
		}
		if len(rows) >= maxRows && ro.Ver > rows[len(rows)-1].Ver {
			return rows, rows[len(rows)-1].Ver
		}
		rows = append(rows, ro)
	}
	return rows, ver
}

// value returns the value of a row as text, for the record.
func (st *platformStore) value(table, part, key string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return strings.TrimSpace(string(st.rows[rowKey{table, part, key}].Value))
}
