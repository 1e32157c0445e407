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

// reached says how far a request got before its deadline.
type reached struct{ dialled, asked, header, whole bool }

// reach sends one request by a connection of its own.
func reach(t *testing.T, addr string, asked *atomic.Int64, timeout time.Duration) reached {
	t.Helper()
	before := asked.Load()
	var re reached
	var dialled atomic.Bool
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		var di net.Dialer
		nc, err := di.DialContext(ctx, network, addr)
		dialled.Store(err == nil)
		return nc, err
	}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr, nil)
	qt.Assert(t, err, qt.IsNil)
	resp, err := tr.RoundTrip(req)
	re.dialled, re.asked = dialled.Load(), asked.Load() > before
	if err != nil {
		return re
	}
	defer func() { _ = resp.Body.Close() }()
	re.header = true
	_, err = io.ReadAll(resp.Body)
	re.whole = err == nil
	return re
}

func TestStalls(t *testing.T) {
	for _, tc := range []struct {
		st   Stall
		want reached
	}{
		{StallDial, reached{}},
		{StallAccept, reached{dialled: true}},
		{StallAnswer, reached{dialled: true, asked: true}},
		{StallHeader, reached{dialled: true, asked: true}},
		{StallBody, reached{dialled: true, asked: true, header: true}},
		{DropRequests, reached{dialled: true}},
		{DropAnswers, reached{dialled: true, asked: true}},
	} {
		t.Run(string(tc.st), func(t *testing.T) {
			t.Parallel()
			var asked atomic.Int64
			hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				asked.Add(1)
				_, _ = w.Write([]byte("answer"))
			}))
			defer hs.Close()
			ln, err := NewProxy(hs.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = ln.Close() }()
			whole := reached{dialled: true, asked: true, header: true, whole: true}
			qt.Assert(t, reach(t, ln.Addr(), &asked, 5*time.Second), qt.Equals, whole)
			qt.Assert(t, ln.Stall(tc.st), qt.IsNil)
			qt.Check(t, reach(t, ln.Addr(), &asked, time.Second), qt.Equals, tc.want)
			ln.Resume()
			qt.Check(t, reach(t, ln.Addr(), &asked, 5*time.Second), qt.Equals, whole)
		})
	}
}
