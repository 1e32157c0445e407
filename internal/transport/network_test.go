package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// dialTime is the time to open a connection, at 1.4 ms one way.
const dialTime = 3 * time.Millisecond

// Network is an in-memory network between clients and one server, so that tests of
// connections run in virtual time.
type Network struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once

	mu   sync.Mutex
	open []*pipe
	// gate delays the opening of connections until it is closed; nil delays none.
	gate chan struct{}
	// silent makes new connections silent from the start.
	silent bool
}

// NewNetwork returns a network with a server for ha, and a function that closes both.
func NewNetwork(ha http.Handler) (nw *Network, end func()) {
	nw = &Network{accepted: make(chan net.Conn), closed: make(chan struct{})}
	hs := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}
	go func() { _ = hs.Serve(nw) }()
	return nw, func() {
		_ = hs.Close()
		nw.mu.Lock()
		defer nw.mu.Unlock()
		for _, pp := range nw.open {
			_ = pp.Close()
		}
	}
}

// Accept implements net.Listener.
func (nw *Network) Accept() (net.Conn, error) {
	select {
	case nc := <-nw.accepted:
		return nc, nil
	case <-nw.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (nw *Network) Close() error {
	nw.once.Do(func() { close(nw.closed) })
	return nil
}

// Addr implements net.Listener.
func (nw *Network) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Dial opens a connection to the server.
func (nw *Network) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	nw.mu.Lock()
	gate := nw.gate
	nw.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	time.Sleep(dialTime)
	near, far := net.Pipe()
	select {
	case nw.accepted <- far:
	case <-nw.closed:
		return nil, net.ErrClosed
	}
	pp := &pipe{Conn: near, ended: make(chan struct{})}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	pp.silent = nw.silent
	nw.open = append(nw.open, pp)
	return pp, nil
}

// Silence makes all open connections silent for good.
func (nw *Network) Silence() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for _, pp := range nw.open {
		pp.silence()
	}
}

// SilenceNew sets whether connections opened from now on are silent.
func (nw *Network) SilenceNew(silent bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.silent = silent
}

// HoldDials delays the opening of connections until the returned function is called.
func (nw *Network) HoldDials() (open func()) {
	gate := make(chan struct{})
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.gate = gate
	return func() {
		nw.mu.Lock()
		defer nw.mu.Unlock()
		nw.gate = nil
		close(gate)
	}
}

// pipe is the client's end of a connection. A silent one accepts writes and discards
// them, and never returns anything read.
type pipe struct {
	net.Conn

	mu     sync.Mutex
	silent bool
	once   sync.Once
	ended  chan struct{}
}

func (pp *pipe) silence() {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	pp.silent = true
}

func (pp *pipe) isSilent() bool {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	return pp.silent
}

// Read implements net.Conn.
func (pp *pipe) Read(data []byte) (int, error) {
	n, err := pp.Conn.Read(data)
	if pp.isSilent() {
		<-pp.ended
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (pp *pipe) Write(data []byte) (int, error) {
	if pp.isSilent() {
		return len(data), nil
	}
	return pp.Conn.Write(data)
}

// Close implements net.Conn.
func (pp *pipe) Close() error {
	pp.once.Do(func() { close(pp.ended) })
	return pp.Conn.Close()
}

// errOpenUnused is returned if the requests that leave connections unused fail.
var errOpenUnused = errors.New("requests that open unused connections failed")

// OpenUnused makes a client open n connections to the server that it never uses:
// requests wait for connections of their own, and are served by another connection that
// becomes free first. The server's /hold has to wait until release is called.
func (nw *Network) OpenUnused(hc *http.Client, n int, release func()) error {
	url := "http://" + nw.Addr().String()
	var wg sync.WaitGroup
	errs := make(chan error, n+1)
	ask := func(path string) {
		wg.Go(func() {
			resp, err := hc.Get(url + path)
			if err != nil {
				errs <- err
				return
			}
			errs <- resp.Body.Close()
		})
	}
	ask("/hold")
	time.Sleep(time.Millisecond)
	open := nw.HoldDials()
	for range n {
		ask("/")
	}
	time.Sleep(time.Millisecond)
	release()
	wg.Wait()
	open()
	time.Sleep(2 * dialTime)
	for range n + 1 {
		if err := <-errs; err != nil {
			return errors.Join(errOpenUnused, err)
		}
	}
	return nil
}

var _ net.Listener = (*Network)(nil)
