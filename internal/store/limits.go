package store

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
)

// Limits of the platform's table. A write that exceeds one is refused with [ErrRefused].
const (
	// MaxRowBytes is the largest value of a row.
	MaxRowBytes = 65536
	// MaxEntries is the largest number of conditions and changed rows of a write.
	MaxEntries = 100
	// MaxBodyBytes is the largest body of a write in the platform's encoding.
	MaxBodyBytes = 1_000_000
	// entryOverhead is more than the encoding of an entry takes besides its key and value.
	entryOverhead = 128
)

// ErrRefused is returned for a write that the table will never accept, because it exceeds a limit
// or is malformed. It had no effect, and repeating it is of no use.
var ErrRefused = errors.New("table refuses the request as it is")

// BodySize returns an upper bound of the write's size in the platform's encoding, in bytes.
func (txn Txn) BodySize() int {
	size := entryOverhead
	for _, co := range txn.Conds {
		size += entryOverhead + len(co.Key)
	}
	for _, pu := range txn.Puts {
		size += pu.BodySize()
	}
	return size
}

// BodySize returns an upper bound of the row's size in a write.
func (pu Put) BodySize() int {
	return entryOverhead + len(pu.Key) + base64.StdEncoding.EncodedLen(len(pu.Value))
}

// LargestRow returns the key and the size of the largest value that is written.
func (txn Txn) LargestRow() (key string, bytes int) {
	for _, pu := range txn.Puts {
		if len(pu.Value) >= bytes {
			key, bytes = pu.Key, len(pu.Value)
		}
	}
	return key, bytes
}

// FitRow encodes a row with as many of the first items as fit into limit bytes, and returns it
// with their number. The function row returns the row with the given items.
func FitRow[T any](items []T, limit int, row func([]T) any) (json.RawMessage, int, error) {
	var err error
	encode := func(n int) json.RawMessage {
		value, merr := json.Marshal(row(items[:n]))
		err = errors.Join(err, merr)
		return value
	}
	n := len(items)
	value := encode(n)
	if len(value) > limit {
		n = sort.Search(n, func(n int) bool { return len(encode(n+1)) > limit })
		value = encode(n)
	}
	if err != nil {
		return nil, 0, fmt.Errorf("encode row: %w", err)
	}
	return value, n, nil
}

// FitMap returns as many of the entries, in order of their keys, as fit into limit bytes of JSON.
func FitMap(values map[string]int64, limit int) map[string]int64 {
	size := len("{}")
	for i, key := range slices.Sorted(maps.Keys(values)) {
		// A string can always be encoded.
		name, _ := json.Marshal(key)
		size += len(name) + len(":,") + len(strconv.FormatInt(values[key], 10))
		if size > limit {
			return fitKeys(values, i)
		}
	}
	return values
}

func fitKeys(values map[string]int64, n int) map[string]int64 {
	fit := map[string]int64{}
	for _, key := range slices.Sorted(maps.Keys(values))[:n] {
		fit[key] = values[key]
	}
	return fit
}
