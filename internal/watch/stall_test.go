package watch

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// TestWatchOfStalledStore stalls the store while a watch waits for changes. The watch
// must report that the store does not answer, report the changes once the store
// continues, and end on request even while the store is stalled.
func TestWatchOfStalledStore(t *testing.T) {
	for _, st := range standin.Stalls {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			mi := &mirror{t: t, rows: map[string]string{}}
			hs := httptest.NewServer(mi.table.Handler())
			t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
			ln := linetest.NewProxy(t, hs.Listener.Addr().String())
			table := store.NewTable("http://"+ln.Addr(), &http.Client{Transport: &http.Transport{}})
			mi.watch = Watch{Table: table, TableName: "op", Prefix: "op/c0/", OnRows: mi.onRows, Log: slog.New(slog.DiscardHandler)}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				mi.watch.Run(ctx)
			}()
			mi.write("op/c0/a", 1)
			linetest.Eventually(t, "first change reported", func() bool { return mi.row("op/c0/a") == "1" })
			qt.Assert(t, ln.Stall(st), qt.IsNil)
			mi.write("op/c0/a", 2)
			linetest.Eventually(t, "missing answers detected", func() bool { return !mi.watch.Answering() })
			ln.Resume()
			linetest.Eventually(t, "second change reported", func() bool { return mi.watch.Answering() && mi.row("op/c0/a") == "2" })
			qt.Assert(t, ln.Stall(st), qt.IsNil)
			cancel()
			linetest.MustReturn(t, "watch", func() { <-done })
		})
	}
}

func (mi *mirror) row(key string) string {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.rows[key]
}
