package port

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestsOfOneKind guards against costly requests that are served all at the same time.
func TestRequestsOfOneKind(t *testing.T) {
	c := qt.New(t)
	gate, entered := make(chan struct{}), make(chan struct{})
	url := open(c, AtMost(1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { close(entered); <-gate })).ServeHTTP, Limits{MaxConns: 10})
	first := post(c, url, "Content-Length: 0", 0)
	<-entered
	c.Check(status(c, url, nil), qt.Equals, http.StatusServiceUnavailable)
	close(gate)
	answer, _ := readStatus(first)
	c.Check(answer, qt.Equals, http.StatusOK)
}

// TestRefusalsAreLoggedOnceASecond guards against clients that fill the log.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		pr := NewProcess(testMachine, nil, slog.New(slog.NewTextHandler(&lines, nil)))
		for range 1000 {
			pr.recordRefusal("callers", refuseBytes)
			pr.recordRefusal("callers", refuseConns)
			pr.recordClosed("callers", closeStopped)
			time.Sleep(2 * time.Millisecond)
		}
		qt.Check(t, bytes.Count(lines.Bytes(), []byte("\n")) <= 3*3, qt.IsTrue, qt.Commentf("%s", lines.Bytes()))
	})
}

// TestMachineParts guards against limits that users meet on their machines, or that exceed these.
func TestMachineParts(t *testing.T) {
	for _, tc := range []struct {
		memoryMB int64
		fds      int
		// callers is the least number of connections wanted of callers.
		callers int
	}{
		{64, 800, 100}, {160, 4100, 400}, {184, 4100, 500}, {284, 4100, 900}, {536, 8192, 1500}, {24 << 10, 1 << 20, 10_000},
	} {
		ma := Machine{Memory: tc.memoryMB << 20, Descriptors: tc.fds}
		conns := ma.CallerConns() + ma.PeerConns() + 2*AuxConns
		taken := processBytes + int64(conns)*connBytes + ma.CallerBytes() + ma.PeerBytes()
		qt.Check(t, taken <= ma.Memory, qt.IsTrue, qt.Commentf("%d MB: %d", tc.memoryMB, taken))
		qt.Check(t, 2*conns <= tc.fds+4*AuxConns, qt.IsTrue, qt.Commentf("%d MB: %d connections", tc.memoryMB, conns))
		qt.Check(t, ma.CallerConns() >= tc.callers, qt.IsTrue, qt.Commentf("%d MB: %d connections of callers", tc.memoryMB, ma.CallerConns()))
		// The largest legal body fits, beside small ones.
		qt.Check(t, NewProcess(ma, nil, nil).general.size >= heldPerRequest+heldPerByte*262_144, qt.IsTrue)
	}
}

func TestMemTotal(t *testing.T) {
	kb, err := memTotal([]byte("MemTotal:         188416 kB\nMemFree:  7 kB\n"))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, kb, qt.Equals, int64(188416))
	for _, data := range []string{"", "MemFree: 7 kB\n", "MemTotal: many kB\n", "MemTotal: 0 kB\n"} {
		_, err := memTotal([]byte(data))
		qt.Check(t, err, qt.IsNotNil)
	}
}

// TestReservationsAreBounded guards against a single reservation of more than the process may hold.
func TestReservationsAreBounded(t *testing.T) {
	pr := NewProcess(testMachine, nil, nil)
	_, ok := pr.ReserveForPeer(pr.peers.size + 1)
	qt.Check(t, ok, qt.IsFalse)
	release, ok := pr.ReserveForPeer(pr.peers.size)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = pr.ReserveForPeer(1)
	qt.Check(t, ok, qt.IsFalse)
	release()
	release, ok = pr.ReserveForPeer(1)
	qt.Check(t, ok, qt.IsTrue)
	release()
}

// TestHeaderIsBounded guards against headers that take more than a connection may.
func TestHeaderIsBounded(t *testing.T) {
	c := qt.New(t)
	url := open(c, readAll, Limits{MaxConns: 10})
	for length, want := range map[int]int{defaultMaxHeader / 2: http.StatusOK, 2 * defaultMaxHeader: http.StatusRequestHeaderFieldsTooLarge} {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		c.Assert(err, qt.IsNil)
		req.Header.Set("X-Filler", strings.Repeat("x", length))
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, want)
	}
}

// countingReader counts the bytes that are read from it, of which there is no end.
type countingReader struct{ read atomic.Int64 }

func (cr *countingReader) Read(data []byte) (int, error) {
	cr.read.Add(int64(len(data)))
	return len(data), nil
}

// TestStreamWindowIsBounded guards against HTTP/2 clients that send far ahead on a connection.
func TestStreamWindowIsBounded(t *testing.T) {
	c := qt.New(t)
	gate := make(chan struct{})
	url := open(c, func(http.ResponseWriter, *http.Request) { <-gate }, Limits{MaxConns: 10, MaxBody: 1 << 30})
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	cl := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	var body countingReader
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		resp, err := cl.Post(url, "text/plain", io.NopCloser(&body))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	last := int64(-1)
	eventually(c, func() bool {
		// Until the client has not sent more for a while.
		before := last
		last = body.read.Load()
		time.Sleep(200 * time.Millisecond)
		return last > 0 && last == before
	})
	// The client reads ahead too.
	c.Check(last <= connWindow+512<<10, qt.IsTrue, qt.Commentf("%d bytes", last))
	close(gate)
	<-ended
}

// TestPeersHaveTheirOwnBudget guards against callers that keep out other hosts.
func TestPeersHaveTheirOwnBudget(t *testing.T) {
	pr := NewProcess(testMachine, nil, nil)
	for range 2 {
		_, ok := pr.reserveBody(false, testBody)
		qt.Assert(t, ok, qt.IsTrue)
	}
	_, ok := pr.reserveBody(false, testBody)
	qt.Check(t, ok, qt.IsFalse)
	_, ok = pr.reserveBody(true, testBody)
	qt.Check(t, ok, qt.IsTrue)
	_, ok = pr.ReserveForPeer(1 << 20)
	qt.Check(t, ok, qt.IsTrue)
}

// TestRefusedBodyIsNotAwaited guards against connections that stay open for the rest of a body that was
// refused.
func TestRefusedBodyIsNotAwaited(t *testing.T) {
	c := qt.New(t)
	url := open(c, readAll, Limits{MaxConns: 10, MaxBody: 10})
	conn := post(c, url, "Content-Length: 100000", 1)
	c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Check(err, qt.IsNil)
	c.Check(string(answer), qt.Contains, "413 Request Entity Too Large")
}
