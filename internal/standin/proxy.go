package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Line is a TCP proxy on loopback before one address, which injects faults of the
// network. Make one with [NewProxy].
type Proxy struct {
	to string
	li net.Listener
	// accepted counts connections that the line took.
	accepted atomic.Int64

	mu    sync.Mutex
	conns []*lineConn
	// queued fill the kernel's queue of connections during [StallDial].
	queued []net.Conn
	// stall is what the peer does, thawed is closed at its end; both are zero while
	// the peer answers.
	stall  Stall
	thawed chan struct{}
}

// lineConn is one connection through a line, both ends.
type lineConn struct {
	ln        *Proxy
	near, far net.Conn

	mu     sync.Mutex
	silent bool
}

// NewProxy returns a line to an address, which listens until it is closed.
func NewProxy(to string) (*Proxy, error) {
	var lc net.ListenConfig
	li, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ln := &Proxy{to: to, li: li}
	go ln.accept()
	return ln, nil
}

// Addr is where the line listens.
func (ln *Proxy) Addr() string { return ln.li.Addr().String() }

func (ln *Proxy) accept() {
	for {
		near, err := ln.li.Accept()
		if err != nil {
			return
		}
		ln.accepted.Add(1)
		if st, thawed := ln.stalled(); st == StallDial || st == StallAccept {
			<-thawed
		}
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
		go lc.pass(near, far, false)
		go lc.pass(far, near, true)
	}
}

// pass passes bytes on until either end closes; those of a silent connection are
// taken and lost, and so is its end.
func (lc *lineConn) pass(from, to net.Conn, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		werr := lc.through(buf[:n], to, answers)
		if lc.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil || werr != nil {
			_, _ = lc.near.Close(), lc.far.Close()
			return
		}
	}
}

// through passes data on as far as the line's stall lets it. The rest is lost, or
// waits until the stall is over, and so does the end of the connection.
func (lc *lineConn) through(data []byte, to net.Conn, answers bool) error {
	st, thawed := lc.ln.stalled()
	n := st.lets(data, answers)
	if n < 0 {
		return lc.write(to, data)
	}
	if err := lc.write(to, data[:n]); err != nil {
		return err
	}
	if st.loses() && len(data) > 0 {
		return nil
	}
	<-thawed
	return lc.write(to, data[n:])
}

func (lc *lineConn) write(to net.Conn, data []byte) error {
	if len(data) == 0 || lc.isSilent() {
		return nil
	}
	_, err := to.Write(data)
	return err
}

func (lc *lineConn) isSilent() bool {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	return lc.silent
}

// Silence has the connections that are open now go silent for good, without a
// reset; new ones work. It returns how many there were.
func (ln *Proxy) Blackhole() int {
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

// Freeze has the host behind the line stand still until [Proxy.Resume], as a machine
// does whose kernel goes on: connections can be opened, and what is sent waits.
func (ln *Proxy) Freeze() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.stop(StallAccept)
}

// stop begins a stall; ln.mu is held.
func (ln *Proxy) stop(st Stall) {
	ln.stall = st
	if ln.thawed == nil {
		ln.thawed = make(chan struct{})
	}
}

// Resume has the host behind the line go on.
func (ln *Proxy) Resume() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.thawed == nil {
		return
	}
	if ln.stall == StallDial {
		ln.reopen()
	}
	close(ln.thawed)
	ln.stall, ln.thawed = "", nil
}

// stalled returns the line's stall, if there is one, and what is closed at its end.
func (ln *Proxy) stalled() (Stall, <-chan struct{}) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.stall, ln.thawed
}

// Close ends the line; open connections stay until their ends close them.
func (ln *Proxy) Close() error { return ln.li.Close() }

var _ io.Closer = (*Proxy)(nil)
