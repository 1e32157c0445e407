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

// idleConns is the number of connections that are kept.
const idleConns = 4

// testClient is a client of a server behind a proxy whose connections can go silent.
type testClient struct {
	t     *testing.T
	hc    *http.Client
	proxy *standin.Proxy
	// hold keeps requests to /hold waiting until it is closed.
	hold chan struct{}
}

func newTestClient(t *testing.T) *testClient {
	t.Helper()
	cl := &testClient{t: t, hc: NewClient(idleConns, nil), hold: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/half", func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	mux.HandleFunc("/hold", func(http.ResponseWriter, *http.Request) { <-cl.hold })
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	t.Cleanup(hs.CloseClientConnections)
	pr, err := standin.NewProxy(hs.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = pr.Close() })
	cl.proxy = pr
	return cl
}

// get sends one request and returns its error.
func (cl *testClient) get(path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cl.proxy.Addr()+path, nil)
	qt.Assert(cl.t, err, qt.IsNil)
	resp, err := cl.hc.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// warm opens idleConns connections.
func (cl *testClient) warm() {
	var wg sync.WaitGroup
	for range idleConns {
		wg.Go(func() { qt.Check(cl.t, cl.get("/hold", 5*time.Second), qt.IsNil) })
	}
	time.Sleep(100 * time.Millisecond)
	close(cl.hold)
	wg.Wait()
}

func TestIdleConnectionsAreClosedAfterTimeout(t *testing.T) {
	cl := newTestClient(t)
	cl.warm()
	qt.Assert(t, cl.proxy.Blackhole(), qt.Equals, idleConns)
	qt.Assert(t, cl.get("/", 200*time.Millisecond), qt.IsNotNil)
	// The next request must not use another silent connection.
	qt.Assert(t, cl.get("/", 2*time.Second), qt.IsNil)
	qt.Assert(t, cl.proxy.Blackhole(), qt.Equals, 1)
}

func TestRequestsInFlightAreNotClosed(t *testing.T) {
	cl := newTestClient(t)
	held := make(chan error, 1)
	go func() { held <- cl.get("/hold", 5*time.Second) }()
	time.Sleep(100 * time.Millisecond)
	// Another request times out on a connection of its own.
	qt.Assert(t, cl.get("/hold", 200*time.Millisecond), qt.IsNotNil)
	close(cl.hold)
	qt.Assert(t, <-held, qt.IsNil)
}
