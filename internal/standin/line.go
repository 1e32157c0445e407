package standin

import (
	"context"
	"io"
	"net"
	"sync"
)

// Line is a TCP proxy on loopback before one address, which injects faults of the
// network. Make one with [NewLine].
type Line struct {
	to string
	li net.Listener

	mu    sync.Mutex
	conns []*lineConn
	// thawed is closed when the line is no longer frozen; nil while it is not.
	thawed chan struct{}
}

// lineConn is one connection through a line, both ends.
type lineConn struct {
	ln        *Line
	near, far net.Conn

	mu     sync.Mutex
	silent bool
}

// NewLine returns a line to an address, which listens until it is closed.
func NewLine(to string) (*Line, error) {
	var lc net.ListenConfig
	li, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ln := &Line{to: to, li: li}
	go ln.accept()
	return ln, nil
}

// Addr is where the line listens.
func (ln *Line) Addr() string { return ln.li.Addr().String() }

func (ln *Line) accept() {
	for {
		near, err := ln.li.Accept()
		if err != nil {
			return
		}
		ln.awaitThaw()
		var di net.Dialer
		far, err := di.DialContext(context.Background(), "tcp", ln.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		lc := &lineConn{ln: ln, near: near, far: far}
		ln.mu.Lock()
		ln.conns = append(ln.conns, lc)
		ln.mu.Unlock()
		go lc.pass(near, far)
		go lc.pass(far, near)
	}
}

// pass passes bytes on until either end closes; those of a silent connection are
// taken and lost, and so is its end.
func (lc *lineConn) pass(from, to net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		lc.ln.awaitThaw()
		lc.mu.Lock()
		silent := lc.silent
		lc.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			_, _ = lc.near.Close(), lc.far.Close()
			return
		}
	}
}

// Silence has the connections that are open now go silent for good, without a
// reset; new ones work. It returns how many there were.
func (ln *Line) Silence() int {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for _, lc := range ln.conns {
		lc.mu.Lock()
		lc.silent = true
		lc.mu.Unlock()
	}
	n := len(ln.conns)
	ln.conns = nil
	return n
}

// Freeze has the host behind the line stand still until [Line.Thaw], as a machine
// does whose kernel goes on: connections can be opened, and what is sent waits.
func (ln *Line) Freeze() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.thawed == nil {
		ln.thawed = make(chan struct{})
	}
}

// Thaw has the host behind the line go on.
func (ln *Line) Thaw() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.thawed != nil {
		close(ln.thawed)
		ln.thawed = nil
	}
}

// awaitThaw returns once the line is not frozen.
func (ln *Line) awaitThaw() {
	ln.mu.Lock()
	thawed := ln.thawed
	ln.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// Close ends the line; open connections stay until their ends close them.
func (ln *Line) Close() error { return ln.li.Close() }

var _ io.Closer = (*Line)(nil)
