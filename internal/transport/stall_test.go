package transport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
)

func TestStalledPeers(t *testing.T) {
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	t.Cleanup(hs.Close)
	linetest.Check(t, hs.Listener.Addr().String(), func(addr string) linetest.Call {
		hc := NewClient(idleConns, nil)
		return func(ctx context.Context) error { return read(ctx, hc, "http://"+addr) }
	})
}

// read sends a request and reads the whole answer.
func read(ctx context.Context, hc *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := hc.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

// TestTimeoutInBodyClosesIdleConnections guards against an entry host whose calls to its
// store time out one after the other after a network fault, once for each connection
// that was kept. Four connections are kept, an answer has begun on one, and all go
// silent. The request's deadline expires while the body of the answer is read. If only a
// timeout before the header closed idle connections, the next request would take another
// silent one.
func TestTimeoutInBodyClosesIdleConnections(t *testing.T) {
	cl := newTestClient(t)
	cl.warm()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cl.proxy.Addr()+"/half", nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := cl.hc.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	qt.Assert(t, cl.proxy.Blackhole(), qt.Equals, idleConns)
	_, err = io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNotNil)
	// The next request must not use another silent connection.
	qt.Assert(t, cl.get("/", 2*time.Second), qt.IsNil)
	qt.Assert(t, cl.proxy.Blackhole(), qt.Equals, 1)
}

// TestTimeoutDoesNotCutOffOtherAnswers guards against a long list that never completes
// over a full link, because the timeout of any other request to the same address cuts it
// off. Half an answer has arrived on one connection when a request on another times out.
// The connections without a request are closed, and one whose last operation was a read
// must not be taken for such a connection while its answer is still coming.
func TestTimeoutDoesNotCutOffOtherAnswers(t *testing.T) {
	rest := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/half", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		<-rest
		_, _ = w.Write([]byte(" and half"))
	})
	mux.HandleFunc("/never", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	hs := httptest.NewServer(mux)
	t.Cleanup(hs.Close)
	hc := NewClient(idleConns, nil)
	resp, err := hc.Get(hs.URL + "/half")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	qt.Assert(t, read(ctx, hc, hs.URL+"/never"), qt.IsNotNil)
	close(rest)
	answer, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(answer), qt.Equals, "half and half")
}
