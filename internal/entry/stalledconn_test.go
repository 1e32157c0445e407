package entry

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// TestTableReadAfterAllConnectionsStall guards against an entry host that applies a change
// of the configuration many seconds late. Concurrent requests leave eight idle connections
// to the table, and all of them stall while new ones work. A plain client of the standard
// library tries one stalled connection per poll, each until the poll's timeout. The host's
// client must time out once only.
func TestTableReadAfterAllConnectionsStall(t *testing.T) {
	const conns = 8
	var table standin.Table
	ha, release := table.Handler(), make(chan struct{})
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		ha.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
	ln := linetest.NewProxy(t, hs.Listener.Addr().String())
	tbl := store.NewTable("http://"+ln.Addr(), newHTTPClient(slog.New(slog.DiscardHandler)))
	read := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := tbl.ReadFunc(ctx, store.ReadRequest{Keys: []string{"op/config"}})
		return err
	}
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() { qt.Check(t, read(linetest.HangTimeout), qt.IsNil) })
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	wg.Wait()
	qt.Assert(t, ln.Blackhole(), qt.Equals, conns)
	qt.Assert(t, read(200*time.Millisecond), qt.IsNotNil)
	qt.Assert(t, read(pollTimeout), qt.IsNil)
}
