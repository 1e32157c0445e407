// Package transport has the HTTP client of an entry host towards everything
// outside: other hosts, the platform's store, workers.
//
// Connections may go silent for good, without a reset, while new ones work. A
// request on such a connection shows it by its deadline; but there may be others
// beside it, idle ones of the same time, and each would cost the next request its
// deadline too. So when a request to an address runs into its deadline, the idle
// connections to that address are closed, whether the answer had begun or not.
// Those with a request under way have a deadline of their own.
package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of connections.
const (
	// dialTimeout bounds opening a connection: some 3 ms at most where nothing is
	// wrong.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long a connection is kept that nothing uses.
	idleTimeout = 30 * time.Second
)

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns a client that keeps up to idle connections to each address, and
// logs which it gave up; with a nil log it does not.
func NewClient(idle int, log *slog.Logger) *http.Client {
	di := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return newClient(idle, log, di.DialContext)
}

func newClient(idle int, log *slog.Logger, dial dialFunc) *http.Client {
	ro := &roundTripper{byAddr: map[string]map[*conn]bool{}, log: log}
	ro.Transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return ro.track(nc, addr), nil
		},
		MaxIdleConnsPerHost: idle, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &http.Client{Transport: ro}
}

// roundTripper is a transport that knows its connections.
type roundTripper struct {
	*http.Transport

	log *slog.Logger

	mu     sync.Mutex
	byAddr map[string]map[*conn]bool
}

// RoundTrip implements http.RoundTripper.
func (ro *roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := ro.Transport.RoundTrip(req)
	if err != nil {
		ro.failed(req)
		return resp, err
	}
	resp.Body = &body{ReadCloser: resp.Body, ro: ro, req: req}
	return resp, nil
}

// failed notes that there is no whole answer to a request.
func (ro *roundTripper) failed(req *http.Request) {
	if errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		ro.closeIdle(req.URL.Host)
	}
}

// body is an answer's body, which may run into the request's deadline as well as
// its header.
type body struct {
	io.ReadCloser

	ro  *roundTripper
	req *http.Request
}

// Read implements io.Reader.
func (bo *body) Read(data []byte) (int, error) {
	n, err := bo.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		bo.ro.failed(bo.req)
	}
	return n, err
}

func (ro *roundTripper) track(nc net.Conn, addr string) net.Conn {
	co := &conn{Conn: nc, ro: ro, addr: addr}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.byAddr[addr] == nil {
		ro.byAddr[addr] = map[*conn]bool{}
	}
	ro.byAddr[addr][co] = true
	return co
}

func (ro *roundTripper) forget(co *conn) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	delete(ro.byAddr[co.addr], co)
	if len(ro.byAddr[co.addr]) == 0 {
		delete(ro.byAddr, co.addr)
	}
}

// closeIdle closes the idle connections to an address.
func (ro *roundTripper) closeIdle(addr string) {
	ro.mu.Lock()
	var idle []*conn
	counts := map[use]int{}
	for co := range ro.byAddr[addr] {
		us := co.use()
		counts[us]++
		if us == answered {
			idle = append(idle, co)
		}
	}
	ro.mu.Unlock()
	for _, co := range idle {
		_ = co.Close()
	}
	if ro.log != nil && counts[answered]+counts[unused] > 0 {
		ro.log.Info("connections given up", "addr", addr, "closed", len(idle), "answered", counts[answered],
			"unused", counts[unused], "asked", counts[asked], "why", "a request ran into its deadline")
	}
}

// use is what a connection was last used for.
type use int

// The uses: nothing yet, a request that has no answer, an answer. After an answer no
// request is under way, or the answer goes on.
const (
	unused use = iota
	asked
	answered
)

// conn is a connection that knows whether it waits for an answer.
type conn struct {
	net.Conn

	ro   *roundTripper
	addr string

	mu   sync.Mutex
	last use
}

func (co *conn) use() use {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.last
}

func (co *conn) note(us use) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.last = us
}

// Read implements net.Conn.
func (co *conn) Read(data []byte) (int, error) {
	n, err := co.Conn.Read(data)
	if n > 0 {
		co.note(answered)
	}
	return n, err
}

// Write implements net.Conn.
func (co *conn) Write(data []byte) (int, error) {
	co.note(asked)
	return co.Conn.Write(data)
}

// Close implements net.Conn.
func (co *conn) Close() error {
	co.ro.forget(co)
	return co.Conn.Close()
}
