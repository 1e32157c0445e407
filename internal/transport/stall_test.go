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

func TestPeersThatStandStill(t *testing.T) {
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	t.Cleanup(hs.Close)
	linetest.Check(t, hs.Listener.Addr().String(), func(addr string) linetest.Call {
		hc := NewClient(idleConns, nil)
		return func(ctx context.Context) error { return read(ctx, hc, "http://"+addr) }
	})
}

// read gets the whole answer to a request.
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

// TestConnectionsBesideAnAnswerThatStops is the story of connections that go silent
// together while one of them has half an answer.
//
// What a user would see: after a cut, each call of an entry host to its store runs
// into its deadline, once for each connection that was kept. Order of events: four
// connections are kept; an answer has begun on one; all go silent. The request's
// deadline ends the reading of its body, of which the transport knew nothing: it
// closed idle connections only if the deadline came before the header. So the next
// request took an idle connection that was as silent.
//
// Evidence: the second request below runs into its deadline too.
func TestConnectionsBesideAnAnswerThatStops(t *testing.T) {
	wy := newWay(t)
	wy.warm()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+wy.line.Addr()+"/half", nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := wy.hc.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	qt.Assert(t, wy.line.Silence(), qt.Equals, idleConns)
	_, err = io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNotNil)
	// The next one finds none of the others.
	qt.Assert(t, wy.get("/", 2*time.Second), qt.IsNil)
	qt.Assert(t, wy.line.Silence(), qt.Equals, 1)
}

// TestAnswersThatComeAreLeftAlone is the story of an answer that is cut off by another
// request.
//
// What a user would see: over a full link a long list never comes whole, as each
// deadline of any other request to the same address ends it. Order of events: half an
// answer has come on one connection; a request on another runs into its deadline; the
// connections that nothing uses are closed, and the one on which the last thing was a
// read counted as such, though its answer goes on.
//
// Evidence: below, the rest of the answer never comes.
func TestAnswersThatComeAreLeftAlone(t *testing.T) {
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
