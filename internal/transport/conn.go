package transport

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errGivenUp is returned for a write to a connection that was given up before the
// request had it: nothing of the request was sent.
var errGivenUp = errors.New("connection was given up as silent")

// use is what a connection is used for.
type use string

// The uses. An unused connection was opened for a request that another one served
// before; net/http keeps it, and it may be as silent as the others.
const (
	unused use = "unused"
	idle   use = "idle"
	busy   use = "busy"
)

// conn is a connection that knows which request has it.
type conn struct {
	net.Conn

	ro   *roundTripper
	addr string

	mu sync.Mutex
	// holder is the request that has it, used is set once one had it, and gone once it
	// was given up, which only happens while none has it.
	holder     *hold
	used, gone bool
}

// giveUp gives the connection up unless a request has it, and returns its use. A
// connection counts by what net/http handed out, not by reads and writes: by these
// one that was never used looked as if it had a request, and cost the next one 3 s
// (five of them 16.4 s until a change was in force, in virtual time), and one whose
// answer goes on looked idle.
func (co *conn) giveUp() use {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.holder != nil {
		return busy
	}
	co.gone = true
	if co.used {
		return idle
	}
	return unused
}

// Write implements net.Conn.
func (co *conn) Write(data []byte) (int, error) {
	if co.isGone() {
		return 0, errGivenUp
	}
	return co.Conn.Write(data)
}

func (co *conn) isGone() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.gone
}

// Close implements net.Conn.
func (co *conn) Close() error {
	co.ro.forget(co)
	return co.Conn.Close()
}

// hold is what one request has: no connection, or one at a time.
type hold struct {
	co *conn
}

// got notes that net/http handed out a connection, before anything is written to it.
func (ho *hold) got(info httptrace.GotConnInfo) {
	ho.leave()
	co, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	co.holder, co.used = ho, true
	ho.co = co
}

// leave notes that the request no longer needs its connection. Another may have it
// already: net/http hands it on at the answer's last byte.
func (ho *hold) leave() {
	if ho.co == nil {
		return
	}
	ho.co.mu.Lock()
	defer ho.co.mu.Unlock()
	if ho.co.holder == ho {
		ho.co.holder = nil
	}
}

// missed reports whether the connection was given up before the request had it, so
// that nothing was sent. net/http sends such a request again by itself only if the
// connection had served another before.
func (ho *hold) missed() bool { return ho.co != nil && ho.co.isGone() }
