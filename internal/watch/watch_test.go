package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// mirror is a copy of the rows that a watch reported.
type mirror struct {
	t     *testing.T
	table standin.Table
	watch Watch

	mu   sync.Mutex
	rows map[string]string
}

func startMirror(t *testing.T, test func(mi *mirror)) {
	t.Helper()
	startMirrorWithFault(t, standin.Fault{}, test)
}

// startMirrorWithFault starts a mirror of a store that has the fault from the beginning.
func startMirrorWithFault(t *testing.T, fault standin.Fault, test func(mi *mirror)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		mi := &mirror{t: t, rows: map[string]string{}}
		mi.table.Faults.Set(fault)
		mi.watch = Watch{Table: mi.table.Client(), TableName: "op", Prefix: "op/c0/", OnRows: mi.onRows, Log: slog.New(slog.DiscardHandler)}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go mi.watch.Run(ctx)
		test(mi)
	})
}

func (mi *mirror) onRows(rows []store.FeedRow, complete bool) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	if complete {
		clear(mi.rows)
	}
	for _, row := range rows {
		if row.Deleted {
			delete(mi.rows, row.Key)
			continue
		}
		mi.rows[row.Key] = string(row.Value)
	}
}

func (mi *mirror) write(key string, n int) {
	txn := store.NewTxn()
	txn.Puts = []store.Put{{Key: key, Value: json.RawMessage(fmt.Sprint(n)), Delete: n < 0}}
	_, err := mi.table.Client().CommitFunc(context.Background(), txn)
	qt.Assert(mi.t, err, qt.IsNil)
}

func (mi *mirror) assertRows(want map[string]string) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	qt.Assert(mi.t, mi.rows, qt.DeepEquals, want)
}

func TestChangesAreReportedInOrder(t *testing.T) {
	startMirror(t, func(mi *mirror) {
		mi.write("op/c0/a", 1)
		mi.write("op/c1/a", 1)
		mi.write("other/c0/a", 1)
		time.Sleep(10 * time.Millisecond)
		mi.assertRows(map[string]string{"op/c0/a": "1"})
		mi.write("op/c0/a", 2)
		mi.write("op/c0/b", 3)
		time.Sleep(10 * time.Millisecond)
		mi.assertRows(map[string]string{"op/c0/a": "2", "op/c0/b": "3"})
		mi.write("op/c0/a", -1)
		time.Sleep(10 * time.Millisecond)
		mi.assertRows(map[string]string{"op/c0/b": "3"})
	})
}

func TestHistoryLostDuringOutage(t *testing.T) {
	startMirror(t, func(mi *mirror) {
		mi.write("op/c0/a", 1)
		mi.write("op/c0/b", 1)
		time.Sleep(10 * time.Millisecond)
		mi.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		time.Sleep(5 * time.Second)
		mi.table.Faults.Set(standin.Fault{})
		mi.write("op/c0/a", -1)
		mi.table.ForgetHistory()
		time.Sleep(time.Second)
		mi.assertRows(map[string]string{"op/c0/b": "1"})
	})
}

// TestLostHistoryIsRelistedWithoutDelay guards against a host that uses deleted rows for
// up to 1.2 s after the store is back. During an outage of some seconds the retry delays
// grow to 0.6 s. The store returns without its history, the first call is refused for
// that, and the read of all rows that follows must not wait for another long delay.
func TestLostHistoryIsRelistedWithoutDelay(t *testing.T) {
	const longest = maxRetryDelay * 3 / 2
	startMirror(t, func(mi *mirror) {
		for range 50 {
			mi.write("op/c0/a", 1)
			time.Sleep(time.Second)
			mi.assertRows(map[string]string{"op/c0/a": "1"})
			mi.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
			time.Sleep(5 * time.Second)
			mi.table.Faults.Set(standin.Fault{})
			mi.write("op/c0/a", -1)
			mi.table.ForgetHistory()
			time.Sleep(longest + 2*minRetryDelay)
			mi.assertRows(map[string]string{})
		}
	})
}

func TestContactAcrossOutage(t *testing.T) {
	startMirror(t, func(mi *mirror) {
		time.Sleep(5 * time.Second)
		last, since := mi.watch.Contact()
		qt.Assert(t, time.Since(last) <= 2*maxFeedWait, qt.IsTrue)
		qt.Assert(t, time.Since(since) >= 4*time.Second, qt.IsTrue)
		mi.table.Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		time.Sleep(10 * time.Second)
		last, _ = mi.watch.Contact()
		qt.Assert(t, time.Since(last) > 5*time.Second, qt.IsTrue)
		mi.table.Faults.Set(standin.Fault{})
		time.Sleep(3 * time.Second)
		_, since = mi.watch.Contact()
		qt.Assert(t, time.Since(since) < 4*time.Second, qt.IsTrue)
	})
}

func TestAnsweringAcrossOutage(t *testing.T) {
	startMirrorWithFault(t, standin.Fault{Mode: standin.ModeFreeze}, func(mi *mirror) {
		time.Sleep(time.Second)
		qt.Assert(t, mi.watch.Answering(), qt.IsFalse)
		mi.table.Faults.Set(standin.Fault{})
		time.Sleep(maxFeedWait + time.Second)
		qt.Assert(t, mi.watch.Answering(), qt.IsTrue)
		mi.table.Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		time.Sleep(maxFeedWait + answerGrace + time.Second)
		qt.Assert(t, mi.watch.Answering(), qt.IsFalse)
		mi.table.Faults.Set(standin.Fault{})
		time.Sleep(maxFeedWait + 2*time.Second)
		qt.Assert(t, mi.watch.Answering(), qt.IsTrue)
	})
}

func TestRelistReportsOnlyLastState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mi := &mirror{t: t, rows: map[string]string{}}
		reported := 0
		count := func(rows []store.FeedRow, complete bool) {
			reported += len(rows)
			mi.onRows(rows, complete)
		}
		mi.watch = Watch{Table: mi.table.Client(), TableName: "op", Prefix: "op/c0/", RelistOnError: true, OnRows: count, Log: slog.New(slog.DiscardHandler)}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go mi.watch.Run(ctx)
		mi.write("op/c0/a", 0)
		time.Sleep(100 * time.Millisecond)
		mi.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		time.Sleep(3 * time.Second)
		mi.table.Faults.Set(standin.Fault{})
		for n := range 20 {
			mi.write("op/c0/a", n+1)
		}
		time.Sleep(2 * time.Second)
		mi.assertRows(map[string]string{"op/c0/a": "20"})
		qt.Assert(t, reported < 5, qt.IsTrue, qt.Commentf("%d rows reported", reported))
	})
}
