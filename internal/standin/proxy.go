package standin

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Proxy is a TCP proxy on loopback in front of one address that injects network
// faults. Create one with [NewProxy].
type Proxy struct {
	target string
	lis    net.Listener
	// accepted counts the connections accepted so far.
	accepted atomic.Int64

	mu    sync.Mutex
	conns []*proxyConn
	// backlog holds the connections that fill the kernel's accept queue during
	// [StallDial].
	backlog []net.Conn
	// stall is the fault in force, and resumed is closed at its end. Both are zero
	// while traffic passes.
	stall   Stall
	resumed chan struct{}
}

// proxyConn is one connection through a proxy: its client side and its server side.
type proxyConn struct {
	pr             *Proxy
	client, server net.Conn

	mu         sync.Mutex
	blackholed bool
}

// NewProxy returns a proxy that forwards to an address and listens until it is closed.
func NewProxy(target string) (*Proxy, error) {
	var lc net.ListenConfig
	lis, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	pr := &Proxy{target: target, lis: lis}
	go pr.accept()
	return pr, nil
}

// Addr returns the host and port at which the proxy listens.
func (pr *Proxy) Addr() string { return pr.lis.Addr().String() }

func (pr *Proxy) accept() {
	for {
		client, err := pr.lis.Accept()
		if err != nil {
			return
		}
		pr.accepted.Add(1)
		if st, resumed := pr.currentStall(); st == StallDial || st == StallAccept {
			<-resumed
		}
		var di net.Dialer
		server, err := di.DialContext(context.Background(), "tcp", pr.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		pc := &proxyConn{pr: pr, client: client, server: server}
		pr.mu.Lock()
		pr.conns = append(pr.conns, pc)
		pr.mu.Unlock()
		go pc.forward(client, server, false)
		go pc.forward(server, client, true)
	}
}

// forward copies bytes until either side closes. It reads and discards those of a
// blackholed connection, and doesn't pass on that it was closed.
func (pc *proxyConn) forward(from, to net.Conn, fromServer bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		werr := pc.forwardChunk(buf[:n], to, fromServer)
		if pc.isBlackholed() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil || werr != nil {
			_, _ = pc.client.Close(), pc.server.Close()
			return
		}
	}
}

// forwardChunk writes as much of data as the stall lets pass. The rest is dropped or
// waits until the stall ends, as does the close of the connection, for which data is
// empty.
func (pc *proxyConn) forwardChunk(data []byte, to net.Conn, fromServer bool) error {
	st, resumed := pc.pr.currentStall()
	n := st.passBytes(data, fromServer)
	if n < 0 {
		return pc.write(to, data)
	}
	if err := pc.write(to, data[:n]); err != nil {
		return err
	}
	if st.drops() && len(data) > 0 {
		return nil
	}
	<-resumed
	return pc.write(to, data[n:])
}

func (pc *proxyConn) write(to net.Conn, data []byte) error {
	if len(data) == 0 || pc.isBlackholed() {
		return nil
	}
	_, err := to.Write(data)
	return err
}

func (pc *proxyConn) isBlackholed() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.blackholed
}

// Blackhole drops all further traffic of the connections that are open now, without
// resetting them; new connections work. It returns their number.
func (pr *Proxy) Blackhole() int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for _, pc := range pr.conns {
		pc.mu.Lock()
		pc.blackholed = true
		pc.mu.Unlock()
	}
	n := len(pr.conns)
	pr.conns = nil
	return n
}

// Freeze makes the server appear frozen until [Proxy.Resume], as if its process were
// stopped while its kernel runs: connections can be opened, and what is sent waits.
func (pr *Proxy) Freeze() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.startStall(StallAccept)
}

// startStall begins a stall; the caller holds pr.mu.
func (pr *Proxy) startStall(st Stall) {
	pr.stall = st
	if pr.resumed == nil {
		pr.resumed = make(chan struct{})
	}
}

// Resume ends a stall. What was held back is delivered; what was dropped is not.
func (pr *Proxy) Resume() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.resumed == nil {
		return
	}
	if pr.stall == StallDial {
		pr.restoreBacklog()
	}
	close(pr.resumed)
	pr.stall, pr.resumed = "", nil
}

// currentStall returns the stall in force, "" if there is none, and the channel that
// is closed at its end.
func (pr *Proxy) currentStall() (Stall, <-chan struct{}) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.stall, pr.resumed
}

// Close stops listening; open connections stay until one of their sides closes them.
func (pr *Proxy) Close() error { return pr.lis.Close() }

var _ io.Closer = (*Proxy)(nil)
