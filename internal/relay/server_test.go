package relay

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
)

// slowOwner is an owner that sends frames on a stream and does not read answers until the test
// does.
type slowOwner struct {
	t      *testing.T
	relay  *Server
	conn   net.Conn
	frames *json.Encoder
}

// smallBuffer is the kernel's send buffer for a connection of the relay, in bytes, so small
// that few answers fill it.
const smallBuffer = 64 << 10

func newSlowOwner(t *testing.T) *slowOwner {
	t.Helper()
	ow := &slowOwner{t: t, relay: &Server{Log: slog.New(slog.DiscardHandler)}}
	hs := httptest.NewUnstartedServer(ow.relay)
	hs.Config.ConnState = func(nc net.Conn, st http.ConnState) {
		if st == http.StateNew {
			qt.Check(t, nc.(*net.TCPConn).SetWriteBuffer(smallBuffer), qt.IsNil)
		}
	}
	hs.Start()
	t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
	nc, err := net.Dial("tcp", hs.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = nc.Close() })
	ow.conn = nc
	ow.frames = json.NewEncoder(httputil.NewChunkedWriter(nc))
	_, err = io.WriteString(nc, "POST "+Path+" HTTP/1.1\r\nHost: relay\r\nTransfer-Encoding: chunked\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	status, err := bufio.NewReader(nc).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, "HTTP/1.1 200 OK\r\n")
	return ow
}

// flood sends twice as many orders as answers may be queued; all are answered at once.
func (ow *slowOwner) flood() {
	var fr orderFrame
	for n := range 2 * maxOutboxItems {
		fr.Orders = append(fr.Orders, order{N: int64(n + 1), Kind: "none", Worker: 1})
	}
	qt.Assert(ow.t, ow.frames.Encode(fr), qt.IsNil)
}

// sendUntil sends empty frames until ok returns true.
func (ow *slowOwner) sendUntil(ok func() bool) {
	for !ok() {
		// Write errors don't matter: the relay still has to end the stream.
		_ = ow.frames.Encode(orderFrame{})
		time.Sleep(heartbeatInterval / 8)
	}
}

// gaveUp reports whether the relay has given up the stream.
func (ow *slowOwner) gaveUp() bool {
	ow.relay.mu.Lock()
	defer ow.relay.mu.Unlock()
	for se := range ow.relay.streams {
		return se.ctx.Err() != nil
	}
	return true
}

// TestFullQueueEndsStream guards against a relay that gives up a stream but keeps executing
// the orders on it, so that workers execute orders whose answers never arrive.
//
// An owner read answers too slowly, so that the queue was full. The relay cancelled the stream's
// context and its writer ended, but the reader did not check the context and continued to
// receive frames, as the owner sends heartbeats. Only the owner's own watchdog ended the
// stream.
func TestFullQueueEndsStream(t *testing.T) {
	ow := newSlowOwner(t)
	ow.flood()
	linetest.MustReturn(t, "waiting until the relay gives up the stream", func() { ow.sendUntil(ow.gaveUp) })
	go func() { _, _ = io.Copy(io.Discard, ow.conn) }()
	linetest.MustReturn(t, "stream", func() { ow.sendUntil(func() bool { return !servesStream(ow.relay) }) })
}

// TestOpenStreamStalls stalls the connection to a relay while a stream is open: both sides
// must give up the stream, and the workers must get another path.
func TestOpenStreamStalls(t *testing.T) {
	for _, st := range standin.Stalls {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			nt := newNetwork(t, 2)
			ad := nt.add()
			_, err := nt.poll(ad)
			qt.Assert(t, err, qt.IsNil)
			used := int(ad.Via[1] - '0')
			qt.Assert(t, nt.proxies[used].Stall(st), qt.IsNil)
			t.Cleanup(nt.proxies[used].Resume)
			nt.eventually("the worker is assigned another relay", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
			nt.eventually("the relay serves no stream", func() bool { return !servesStream(nt.relays[used]) })
			ad.Via = nt.pool.RelayFor("i-0", "a")
			_, err = nt.poll(ad)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

// servesStream reports whether a relay serves a stream.
func servesStream(sv *Server) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.streams) > 0
}
