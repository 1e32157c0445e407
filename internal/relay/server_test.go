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

// slowOwner is an owner that sends frames on a stream and takes no answers until it
// is told to.
type slowOwner struct {
	t      *testing.T
	relay  *Server
	conn   net.Conn
	frames *json.Encoder
}

// tightBuffer bounds what the relay's kernel takes for a connection, in bytes, so that
// few answers fill it.
const tightBuffer = 64 << 10

func newSlowOwner(t *testing.T) *slowOwner {
	t.Helper()
	ow := &slowOwner{t: t, relay: &Server{Log: slog.New(slog.DiscardHandler)}}
	hs := httptest.NewUnstartedServer(ow.relay)
	hs.Config.ConnState = func(nc net.Conn, st http.ConnState) {
		if st == http.StateNew {
			qt.Check(t, nc.(*net.TCPConn).SetWriteBuffer(tightBuffer), qt.IsNil)
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

// flood sends more orders, all answered at once, than may wait for the owner.
func (ow *slowOwner) flood() {
	var fr orderFrame
	for n := range 2 * maxOutboxItems {
		fr.Orders = append(fr.Orders, order{N: int64(n + 1), Kind: "none", Worker: 1})
	}
	qt.Assert(ow.t, ow.frames.Encode(fr), qt.IsNil)
}

// sendUntil sends frames until something is so.
func (ow *slowOwner) sendUntil(ok func() bool) {
	for !ok() {
		// What the relay no longer takes tells nothing: it still has to end.
		_ = ow.frames.Encode(orderFrame{})
		time.Sleep(heartbeatInterval / 8)
	}
}

// given reports whether the relay has given the stream up.
func (ow *slowOwner) given() bool {
	ow.relay.mu.Lock()
	defer ow.relay.mu.Unlock()
	for se := range ow.relay.streams {
		return se.ctx.Err() != nil
	}
	return true
}

// TestStreamGivenUp is the story of a relay that gives a stream up, and goes on with it.
//
// What a user would see: workers obey an owner's orders, and no answer to any of them
// comes back. Order of events: an owner takes answers slowly, so that too many wait; the
// relay ends the stream's context, and its writer ends; but the reader, which the end of
// the stream waits for, looks at no context: it waits for the next frame, which comes, as
// the owner beats. Nobody but the owner ends the stream, by its own watchdog.
//
// Evidence: the log has "ending the stream of an owner", and not "no longer relaying".
func TestStreamGivenUp(t *testing.T) {
	ow := newSlowOwner(t)
	ow.flood()
	linetest.Ends(t, "waiting until the stream is given up", func() { ow.sendUntil(ow.given) })
	go func() { _, _ = io.Copy(io.Discard, ow.conn) }()
	linetest.Ends(t, "stream", func() { ow.sendUntil(func() bool { return !serves(ow.relay) }) })
}

// TestOpenStreamsThatStall has the way to a relay stall while a stream is open: both
// sides give it up, and the workers have another way.
func TestOpenStreamsThatStall(t *testing.T) {
	for _, st := range standin.Stalls {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			nt := newNetwork(t, 2)
			ad := nt.add()
			_, err := nt.look(ad)
			qt.Assert(t, err, qt.IsNil)
			used := int(ad.Via[1] - '0')
			qt.Assert(t, nt.lines[used].Stall(st), qt.IsNil)
			t.Cleanup(nt.lines[used].Thaw)
			nt.eventually("another relay is wanted", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
			nt.eventually("the relay serves no stream", func() bool { return !serves(nt.relays[used]) })
			ad.Via = nt.pool.RelayFor("i-0", "a")
			_, err = nt.look(ad)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

// serves reports whether a relay serves a stream.
func serves(sv *Server) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return len(sv.streams) > 0
}
