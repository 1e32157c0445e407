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

// TestStoreThatStandsStill has the store stall while a watch waits for changes. The
// watch tells that it has no answer, tells the changes once the store goes on, and
// ends when it is to, also while the store stands still.
func TestStoreThatStandsStill(t *testing.T) {
	for _, st := range standin.Stalls {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			mi := &mirror{t: t, rows: map[string]string{}}
			hs := httptest.NewServer(mi.table.Handler())
			t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
			ln := linetest.NewLine(t, hs.Listener.Addr().String())
			table := store.NewTable("http://"+ln.Addr(), &http.Client{Transport: &http.Transport{}})
			mi.watch = Watch{Table: table, TableName: "op", Prefix: "op/c0/", OnRows: mi.onRows, Log: slog.New(slog.DiscardHandler)}
			ctx, end := context.WithCancel(context.Background())
			defer end()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				mi.watch.Run(ctx)
			}()
			mi.write("op/c0/a", 1)
			linetest.Eventually(t, "told", func() bool { return mi.row("op/c0/a") == "1" })
			qt.Assert(t, ln.Stall(st), qt.IsNil)
			mi.write("op/c0/a", 2)
			linetest.Eventually(t, "no answer", func() bool { return !mi.watch.Answering() })
			ln.Thaw()
			linetest.Eventually(t, "told again", func() bool { return mi.watch.Answering() && mi.row("op/c0/a") == "2" })
			qt.Assert(t, ln.Stall(st), qt.IsNil)
			end()
			linetest.Ends(t, "watch", func() { <-ended })
		})
	}
}

func (mi *mirror) row(key string) string {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.rows[key]
}
