package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits and times of the store, as the settings and the pages give them.
const (
	maxEntries   = 100
	maxBody      = 1 << 20
	maxRowBytes  = 65536
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	answerTime   = 4 * time.Millisecond
	txTime       = 8 * time.Millisecond
	maxFeedWait  = 30 * time.Second
)

// rowName names a row of the store.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowName

	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// metadataStore is the platform's store of rows.
type metadataStore struct {
	mu      sync.Mutex
	rows    map[rowName]row
	history []row
	ver     int64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// tooLarge counts the writes refused because a row exceeds maxRowBytes; largest is the
	// size of the largest such row.
	tooLarge, largest int
	began             time.Time
	fault             claimFault
}

func newStore() *metadataStore {
	return &metadataStore{rows: map[rowName]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, began: time.Now(), fault: claimFault{claimed: make(chan struct{})}}
}

// ServeHTTP implements http.Handler.
func (ms *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	if ms.fault.silent() {
		neverAnswer(r)
		return
	}
	switch r.URL.Path {
	case "/pepperhatch/rows-tx":
		ms.serveTx(w, r)
	case "/pepperhatch/rows-get":
		ms.serveGet(w, r)
	case "/pepperhatch/rows-feed":
		ms.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type txRequest struct {
	Conds   []row     `json:"expected-rev"`
	Puts    []row     `json:"put"`
	Removes []rowName `json:"remove"`
}

func (ms *metadataStore) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx txRequest
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(&tx); err != nil || len(tx.Conds)+len(tx.Puts)+len(tx.Removes) > maxEntries {
		reply(w, http.StatusBadRequest, map[string]any{"error": "body or number of entries"})
		return
	}
	part, ok := tx.part()
	if !ok {
		reply(w, http.StatusBadRequest, map[string]any{"error": "more than one part"})
		return
	}
	if size := tx.largestValue(); size > maxRowBytes {
		ms.mu.Lock()
		ms.tooLarge++
		ms.largest = max(ms.largest, size)
		ms.mu.Unlock()
		reply(w, http.StatusBadRequest, map[string]any{"error": "value exceeds row_bytes"})
		return
	}
	// The writes of one part are carried out in turn.
	lock := ms.partLock(part)
	lock.Lock()
	time.Sleep(txTime)
	rows, ver := ms.apply(tx)
	lock.Unlock()
	if rows == nil && ms.fault.losesAnswer(tx) || ms.fault.silent() {
		neverAnswer(r)
		return
	}
	if rows != nil {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": rows, "ver": ver, "now_ms": ms.now()})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ver": ver, "now_ms": ms.now()})
}

func (tx txRequest) part() (string, bool) {
	parts := map[string]bool{}
	for _, ro := range slices.Concat(tx.Conds, tx.Puts) {
		parts[ro.Part] = true
	}
	for _, na := range tx.Removes {
		parts[na.Part] = true
	}
	for part := range parts {
		return part, len(parts) == 1
	}
	return "", true
}

func (tx txRequest) largestValue() int {
	size := 0
	for _, ro := range tx.Puts {
		size = max(size, len(ro.Value))
	}
	return size
}

func (ms *metadataStore) partLock(part string) *sync.Mutex {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.parts[part] == nil {
		ms.parts[part] = &sync.Mutex{}
	}
	return ms.parts[part]
}

// apply carries out a transaction. If a condition does not hold it changes nothing and returns
// the current rows that the conditions name.
func (ms *metadataStore) apply(tx txRequest) ([]row, int64) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	current, held := []row{}, true
	for _, co := range tx.Conds {
		ro, ok := ms.rows[co.rowName]
		if ok {
			current = append(current, ro)
		}
		held = held && ro.Ver == co.Ver
	}
	if !held {
		return current, ms.ver
	}
	ms.ver++
	for _, ro := range tx.Puts {
		ro.Ver = ms.ver
		ms.rows[ro.rowName] = ro
		ms.history = append(ms.history, ro)
	}
	for _, na := range tx.Removes {
		delete(ms.rows, na)
		ms.history = append(ms.history, row{rowName: na, Ver: ms.ver, Gone: true})
	}
	close(ms.changed)
	ms.changed = make(chan struct{})
	return nil, ms.ver
}

// put and remove write one row as the operator or a runner does.
func (ms *metadataStore) put(table, key string, body any) {
	value, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ms.apply(txRequest{Puts: []row{{rowName: rowName{Table: table, Key: key}, Value: value}}})
}

func (ms *metadataStore) remove(table, key string) {
	ms.apply(txRequest{Removes: []rowName{{Table: table, Key: key}}})
}

// value returns the value of a row, or nil.
func (ms *metadataStore) value(na rowName) []byte {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.rows[na].Value
}

func (ms *metadataStore) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	names := slices.SortedFunc(maps.Keys(ms.rows), func(a, b rowName) int {
		switch {
		case a.Key < b.Key:
			return -1
		case a.Key > b.Key:
			return 1
		}
		return 0
	})
	rows, size, more := []row{}, 0, false
	for _, na := range names {
		if na.Table != query.Get("table") || na.Part != query.Get("part") || na.Key < query.Get("from") {
			continue
		}
		if query.Has("target-version") && na.Key >= query.Get("target-version") {
			continue
		}
		if len(rows) >= limit || size > maxPageBytes-2*maxRowBytes {
			more = true
			break
		}
		rows, size = append(rows, ms.rows[na]), size+len(ms.rows[na].Value)*4/3
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows, "more": more, "ver": ms.ver, "now_ms": ms.now()})
}

func (ms *metadataStore) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("start-after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	ti := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	defer ti.Stop()
	for {
		rows, ver, changed := ms.changesAfter(query.Get("table"), after)
		if ms.fault.silent() {
			neverAnswer(r)
			return
		}
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": ms.now()})
			return
		}
		select {
		case <-changed:
		case <-ti.C:
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": ms.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (ms *metadataStore) changesAfter(table string, after int64) ([]row, int64, <-chan struct{}) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	rows := []row{}
	first, _ := slices.BinarySearchFunc(ms.history, after+1, func(ro row, ver int64) int { return int(ro.Ver - ver) })
	for _, ro := range ms.history[first:] {
		if ro.Table == table {
			rows = append(rows, ro)
		}
	}
	return rows, ms.ver, ms.changed
}

func (ms *metadataStore) now() int64 { return time.Since(ms.began).Milliseconds() }

// refusedRows returns how many writes had a row that is too large, and the largest size.
func (ms *metadataStore) refusedRows() (count, largest int) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.tooLarge, ms.largest
}

// reply sends an answer with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
