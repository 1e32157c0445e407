package store_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// value returns a row of the given size.
func value(bytes int) json.RawMessage {
	return json.RawMessage(`"` + strings.Repeat("x", bytes-2) + `"`)
}

func TestWritesOverLimitAreRefused(t *testing.T) {
	rows := func(n, bytes int) store.Txn {
		txn := store.NewTxn()
		for i := range n {
			txn.Puts = append(txn.Puts, store.Put{Key: fmt.Sprint("t/p/", i), Value: value(bytes)})
		}
		return txn
	}
	for name, tc := range map[string]struct {
		txn  store.Txn
		fits bool
	}{
		"row at the limit":       {rows(1, store.MaxRowBytes), true},
		"row over the limit":     {rows(1, store.MaxRowBytes+1), false},
		"entries at the limit":   {rows(store.MaxEntries, 10), true},
		"entries over the limit": {rows(store.MaxEntries+1, 10), false},
		"body below the limit":   {rows(11, 64_000), true},
		"body over the limit":    {rows(12, 64_000), false},
	} {
		t.Run(name, func(t *testing.T) {
			var ta standin.Table
			_, err := ta.Client().Settle(t.Context(), tc.txn)
			if tc.fits {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorIs, store.ErrRefused)
		})
	}
}

func TestBodySizeIsUpperBound(t *testing.T) {
	txn := store.NewTxn()
	txn.Conds = []store.Cond{{Key: strings.Repeat("k", 200), Version: 1 << 60}}
	for _, bytes := range []int{2, 3, 4, 1000, store.MaxRowBytes} {
		txn.Puts = append(txn.Puts, store.Put{Key: strings.Repeat("k", 200), Value: value(bytes)})
	}
	type put struct {
		Table, Part, Key string
		Value            []byte
	}
	encoded := 0
	for _, pu := range txn.Puts {
		data, err := json.Marshal(put{"t", "p", pu.Key, pu.Value})
		qt.Assert(t, err, qt.IsNil)
		encoded += len(data) + 1
	}
	qt.Assert(t, txn.BodySize() >= encoded, qt.IsTrue)
	qt.Assert(t, txn.BodySize() <= encoded+10*200, qt.IsTrue)
}

func TestFitRow(t *testing.T) {
	items := []string{"aa", "bb", "cc"}
	row := func(list []string) any { return list }
	for limit, want := range map[int]string{100: `["aa","bb","cc"]`, 16: `["aa","bb","cc"]`, 15: `["aa","bb"]`, 7: `["aa"]`, 5: `[]`} {
		got, n, err := store.FitRow(items, limit, row)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, want)
		qt.Check(t, n, qt.Equals, strings.Count(want, `"`)/2)
	}
}

func TestFitMap(t *testing.T) {
	all := map[string]int64{"a": 1, "b": 22, "c\n": 3}
	data, err := json.Marshal(all)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, store.FitMap(all, len(data)+1), qt.DeepEquals, all)
	qt.Check(t, store.FitMap(all, len(data)-1), qt.DeepEquals, map[string]int64{"a": 1, "b": 22})
	qt.Check(t, store.FitMap(all, 2), qt.HasLen, 0)
}
