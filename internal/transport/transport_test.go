package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// idleConns is how many connections are kept.
const idleConns = 4

// way is a client before a server, with a line between them that can go silent.
type way struct {
	t    *testing.T
	hc   *http.Client
	line *standin.Line
	// hold has requests to /hold wait until it is closed.
	hold chan struct{}
}

func newWay(t *testing.T) *way {
	t.Helper()
	wy := &way{t: t, hc: NewClient(idleConns, nil), hold: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/half", func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	mux.HandleFunc("/hold", func(http.ResponseWriter, *http.Request) { <-wy.hold })
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	t.Cleanup(hs.CloseClientConnections)
	ln, err := standin.NewLine(hs.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	wy.line = ln
	return wy
}

// get sends one request and returns its error.
func (wy *way) get(path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+wy.line.Addr()+path, nil)
	qt.Assert(wy.t, err, qt.IsNil)
	resp, err := wy.hc.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// warm opens all connections that are kept.
func (wy *way) warm() {
	var wg sync.WaitGroup
	for range idleConns {
		wg.Go(func() { qt.Check(wy.t, wy.get("/hold", 5*time.Second), qt.IsNil) })
	}
	time.Sleep(100 * time.Millisecond)
	close(wy.hold)
	wg.Wait()
}

func TestSilentConnections(t *testing.T) {
	wy := newWay(t)
	wy.warm()
	qt.Assert(t, wy.line.Silence(), qt.Equals, idleConns)
	qt.Assert(t, wy.get("/", 200*time.Millisecond), qt.IsNotNil)
	// The next one finds none of the others.
	qt.Assert(t, wy.get("/", 2*time.Second), qt.IsNil)
	qt.Assert(t, wy.line.Silence(), qt.Equals, 1)
}

func TestRequestsUnderWayAreLeftAlone(t *testing.T) {
	wy := newWay(t)
	held := make(chan error, 1)
	go func() { held <- wy.get("/hold", 5*time.Second) }()
	time.Sleep(100 * time.Millisecond)
	// Another request runs into its deadline on a connection of its own.
	qt.Assert(t, wy.get("/hold", 200*time.Millisecond), qt.IsNotNil)
	close(wy.hold)
	qt.Assert(t, <-held, qt.IsNil)
}
