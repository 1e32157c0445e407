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

// TestUnfinishedRequests guards against requests whose body never completes. A client that
// freezes after half the body keeps its connection alive, as its kernel still answers
// keep-alive probes. Without a deadline for the body, the host's connections and memory
// grow with each such client, and a planned stop has to cut them off.
func TestUnfinishedRequests(t *testing.T) {
	th := newTestHost(t, 1)
	th.configure()
	peers := httptest.NewServer(th.host.peerHandler())
	t.Cleanup(func() { peers.CloseClientConnections(); peers.Close() })
	for _, tc := range []struct{ name, addr, path string }{
		{"caller", strings.TrimPrefix(th.url, "http://"), "/depot/0123456789abcdef"},
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
			qt.Assert(t, nc.SetReadDeadline(time.Now().Add(linetest.HangTimeout)), qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.Body.Close(), qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadRequest)
		})
	}
}
