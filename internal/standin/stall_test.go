package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// progress is how far a request got before its deadline: whether the connection was
// opened, the server received the request, and the client received the header and
// the complete body of the answer.
type progress struct{ connected, received, header, body bool }

// sendRequest sends one request on a new connection. The server counts requests in
// received.
func sendRequest(t *testing.T, addr string, received *atomic.Int64, timeout time.Duration) progress {
	t.Helper()
	before := received.Load()
	var re progress
	var connected atomic.Bool
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		var di net.Dialer
		nc, err := di.DialContext(ctx, network, addr)
		connected.Store(err == nil)
		return nc, err
	}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr, nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := tr.RoundTrip(req)
	re.connected, re.received = connected.Load(), received.Load() > before
	if err != nil {
		return re
	}
	defer func() { _ = resp.Body.Close() }()
	re.header = true
	_, err = io.ReadAll(resp.Body)
	re.body = err == nil
	return re
}

func TestStalls(t *testing.T) {
	for _, tc := range []struct {
		st   Stall
		want progress
	}{
		{StallDial, progress{}},
		{StallAccept, progress{connected: true}},
		{StallAnswer, progress{connected: true, received: true}},
		{StallHeader, progress{connected: true, received: true}},
		{StallBody, progress{connected: true, received: true, header: true}},
		{DropRequests, progress{connected: true}},
		{DropAnswers, progress{connected: true, received: true}},
	} {
		t.Run(string(tc.st), func(t *testing.T) {
			t.Parallel()
			var received atomic.Int64
			hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				received.Add(1)
				_, _ = w.Write([]byte("answer"))
			}))
			defer hs.Close()
			pr, err := NewProxy(hs.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = pr.Close() }()
			complete := progress{connected: true, received: true, header: true, body: true}
			qt.Assert(t, sendRequest(t, pr.Addr(), &received, 5*time.Second), qt.Equals, complete)
			qt.Assert(t, pr.Stall(tc.st), qt.IsNil)
			qt.Check(t, sendRequest(t, pr.Addr(), &received, time.Second), qt.Equals, tc.want)
			pr.Resume()
			qt.Check(t, sendRequest(t, pr.Addr(), &received, 5*time.Second), qt.Equals, complete)
		})
	}
}
