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

// TestCallsAfterConnectionsWentSilent is the story of an entry host whose connections to
// the table go silent together.
//
// What operators would see: a change of the configuration that one host follows many
// seconds later than the others, if no peer tells it. Order of events: requests that came
// at once have left eight connections; all go silent, and new ones work. The client keeps
// idle connections without asking whether they answer, so that each costs one look its
// whole time.
//
// Evidence: the second call below ran into its deadline like the first.
//
// The cause was a client of the standard library as it is. The host now has the one that
// gives up what nothing uses once a call ran into its deadline.
func TestTableReadAfterAllConnectionsStall(t *testing.T) {
	const conns = 8
	var table standin.Table
	ha, release := table.Handler(), make(chan struct{})
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		ha.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
	ln := linetest.NewLine(t, hs.Listener.Addr().String())
	tbl := store.NewTable("http://"+ln.Addr(), newHTTPClient(slog.New(slog.DiscardHandler)))
	read := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := tbl.ReadFunc(ctx, store.ReadRequest{Keys: []string{"op/config"}})
		return err
	}
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() { qt.Check(t, read(linetest.EndsWithin), qt.IsNil) })
	}
	time.Sleep(100 * time.Millisecond)
	close(release)
	wg.Wait()
	qt.Assert(t, ln.Silence(), qt.Equals, conns)
	qt.Assert(t, read(200*time.Millisecond), qt.IsNotNil)
	qt.Assert(t, read(pollTimeout), qt.IsNil)
}
