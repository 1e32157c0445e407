package jobhost

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
)

// TestRequestsThatStopHalfway is the story of peers that go silent within a request.
//
// What a user would see: an entry host whose connections and memory grow with each
// frozen caller, and a planned stop that says "callers cut off". Order of events: a
// caller, or another entry host, sends the header and half the body, and goes silent;
// its kernel goes on, so that no probe of the connection fails. The header had a
// limit, the wait for the owner's answer had one, but the handler first reads the
// whole body, by no deadline.
//
// Evidence: the connections below get no answer, nor their end.
func TestRequestsThatStopHalfway(t *testing.T) {
	to := newTown(t, 1)
	to.configure()
	peers := httptest.NewServer(to.host.peers())
	t.Cleanup(func() { peers.CloseClientConnections(); peers.Close() })
	for _, tc := range []struct{ name, addr, path string }{
		{"caller", strings.TrimPrefix(to.url, "http://"), "/depot/0123456789abcdef"},
		{"entry host", peers.Listener.Addr().String(), "/cell/submit"},
		{"command line", peers.Listener.Addr().String(), "/jobs/submit"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			nc, err := net.Dial("tcp", tc.addr)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = nc.Close() }()
			_, err = io.WriteString(nc, "POST "+tc.path+" HTTP/1.1\r\nHost: "+tc.addr+"\r\nContent-Length: 100\r\n\r\n{\"spec\":")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, nc.SetReadDeadline(time.Now().Add(linetest.EndsWithin)), qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.Body.Close(), qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadRequest)
		})
	}
}
