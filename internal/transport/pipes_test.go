package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// roundTrip is how long opening a connection takes: 1.4 ms one way.
const roundTrip = 3 * time.Millisecond

// Pipes is a network in memory between clients and one server, so that tests of
// connections run in virtual time.
type Pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once

	mu   sync.Mutex
	open []*pipe
	// gate has connections be opened once it is closed; nil has them opened at once.
	gate chan struct{}
	// lost has connections be opened of which nothing is heard again.
	lost bool
}

// NewPipes returns a network with a server that serves a handler, and what ends both.
func NewPipes(ha http.Handler) (pi *Pipes, end func()) {
	pi = &Pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
	hs := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}
	go func() { _ = hs.Serve(pi) }()
	return pi, func() {
		_ = hs.Close()
		pi.mu.Lock()
		defer pi.mu.Unlock()
		for _, one := range pi.open {
			_ = one.Close()
		}
	}
}

// Accept implements net.Listener.
func (pi *Pipes) Accept() (net.Conn, error) {
	select {
	case nc := <-pi.accepted:
		return nc, nil
	case <-pi.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (pi *Pipes) Close() error {
	pi.once.Do(func() { close(pi.closed) })
	return nil
}

// Addr implements net.Listener.
func (pi *Pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Dial opens a connection.
func (pi *Pipes) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	pi.mu.Lock()
	gate := pi.gate
	pi.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	time.Sleep(roundTrip)
	near, far := net.Pipe()
	select {
	case pi.accepted <- far:
	case <-pi.closed:
		return nil, net.ErrClosed
	}
	one := &pipe{Conn: near, ended: make(chan struct{})}
	pi.mu.Lock()
	defer pi.mu.Unlock()
	one.silent = pi.lost
	pi.open = append(pi.open, one)
	return one, nil
}

// Silence has all connections that are open go silent for good.
func (pi *Pipes) Silence() {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	for _, one := range pi.open {
		one.hush()
	}
}

// Lose has connections that are opened from now on be silent, or no longer.
func (pi *Pipes) Lose(lost bool) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	pi.lost = lost
}

// Gate has connections wait to be opened until what it returns is called.
func (pi *Pipes) Gate() (open func()) {
	gate := make(chan struct{})
	pi.mu.Lock()
	defer pi.mu.Unlock()
	pi.gate = gate
	return func() {
		pi.mu.Lock()
		defer pi.mu.Unlock()
		pi.gate = nil
		close(gate)
	}
}

// pipe is a client's end of a connection. A silent one takes what is written, and
// gives nothing to read.
type pipe struct {
	net.Conn

	mu     sync.Mutex
	silent bool
	once   sync.Once
	ended  chan struct{}
}

func (one *pipe) hush() {
	one.mu.Lock()
	defer one.mu.Unlock()
	one.silent = true
}

func (one *pipe) hushed() bool {
	one.mu.Lock()
	defer one.mu.Unlock()
	return one.silent
}

// Read implements net.Conn.
func (one *pipe) Read(data []byte) (int, error) {
	n, err := one.Conn.Read(data)
	if one.hushed() {
		<-one.ended
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (one *pipe) Write(data []byte) (int, error) {
	if one.hushed() {
		return len(data), nil
	}
	return one.Conn.Write(data)
}

// Close implements net.Conn.
func (one *pipe) Close() error {
	one.once.Do(func() { close(one.ended) })
	return one.Conn.Close()
}

// errSpares: connections could not be left unused.
var errSpares = errors.New("requests for spare connections failed")

// Spares has a client open connections to the server that it never uses: requests wait
// for connections of their own, and are served by one that gets free before. Where
// /hold waits until release is called.
func (pi *Pipes) Spares(hc *http.Client, n int, release func()) error {
	url := "http://" + pi.Addr().String()
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
	open := pi.Gate()
	for range n {
		ask("/")
	}
	time.Sleep(time.Millisecond)
	release()
	wg.Wait()
	open()
	time.Sleep(2 * roundTrip)
	for range n + 1 {
		if err := <-errs; err != nil {
			return errors.Join(errSpares, err)
		}
	}
	return nil
}

var _ net.Listener = (*Pipes)(nil)
