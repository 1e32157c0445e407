package transport

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errAbandoned is returned for a write to a connection that was abandoned before the
// request received it: nothing of the request was sent.
var errAbandoned = errors.New("connection was closed as it may be unresponsive")

// connState is whether and how a connection is used.
type connState string

// The states. An unused connection was opened for a request that another connection
// served first. net/http keeps it, and it may have gone silent like the others.
const (
	unused connState = "unused"
	idle   connState = "idle"
	busy   connState = "busy"
)

// conn is a connection that records which request holds it.
type conn struct {
	net.Conn

	ro   *roundTripper
	addr string

	mu sync.Mutex
	// holder is the request that holds the connection. used is set once a request held
	// it. abandoned is set when it is to be closed, which only happens while no request
	// holds it.
	holder          *connHolder
	used, abandoned bool
}

// abandonUnlessBusy marks the connection as abandoned unless a request holds it, and returns its
// state before. The state depends on which connections net/http hands out, not on reads
// and writes: by those, a connection that was never used looks busy, and one whose
// answer is still coming looks idle. A silent unused connection that is not closed costs
// the next request 3 s, and five of them delay a change by 16.4 s.
func (co *conn) abandonUnlessBusy() connState {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.holder != nil {
		return busy
	}
	co.abandoned = true
	if co.used {
		return idle
	}
	return unused
}

// Write implements net.Conn.
func (co *conn) Write(data []byte) (int, error) {
	if co.isAbandoned() {
		return 0, errAbandoned
	}
	return co.Conn.Write(data)
}

func (co *conn) isAbandoned() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.abandoned
}

// Close implements net.Conn.
func (co *conn) Close() error {
	co.ro.untrack(co)
	return co.Conn.Close()
}

// connHolder is a request's hold on a connection: it holds none, or one at a time.
type connHolder struct {
	co *conn
}

// gotConn records that net/http handed out a connection, before anything is written to
// it.
func (ho *connHolder) gotConn(info httptrace.GotConnInfo) {
	ho.release()
	co, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	co.holder, co.used = ho, true
	ho.co = co
}

// release records that the request no longer needs its connection. Another request may
// hold it already: net/http reuses it once the last byte of the answer is read.
func (ho *connHolder) release() {
	if ho.co == nil {
		return
	}
	ho.co.mu.Lock()
	defer ho.co.mu.Unlock()
	if ho.co.holder == ho {
		ho.co.holder = nil
	}
}

// abandonedBeforeUse reports whether the connection was abandoned before the request
// held it, so that nothing was sent. net/http repeats such a request by itself only if
// the connection had served another before.
func (ho *connHolder) abandonedBeforeUse() bool { return ho.co != nil && ho.co.isAbandoned() }
