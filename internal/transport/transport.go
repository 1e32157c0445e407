// Package transport has the HTTP client of an entry host towards everything
// outside: other hosts, the platform's store, workers.
//
// Connections may go silent for good, without a reset, while new ones work. A
// request on such a connection shows it by its deadline; but there may be others
// beside it, idle ones of the same time, and each would cost the next request its
// deadline too. So when a request to an address runs into its deadline, the
// connections to that address that no request has are closed, whether the answer had
// begun or not. Those that a request has are left to its own deadline; where that is
// more than can be waited for, package hedge has the request be doubled.
package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/hedge"
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
	tracked := func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return ro.track(nc, addr), nil
	}
	ro.Transport = &http.Transport{
		DialContext: tracked, MaxIdleConnsPerHost: idle, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	ro.fresh = &http.Transport{DialContext: tracked, DisableKeepAlives: true, DisableCompression: true}
	return &http.Client{Transport: ro}
}

// roundTripper is a transport that knows its connections.
type roundTripper struct {
	*http.Transport

	// fresh opens a connection for each request.
	fresh *http.Transport
	log   *slog.Logger

	mu     sync.Mutex
	byAddr map[string]map[*conn]bool
}

// RoundTrip implements http.RoundTripper.
func (ro *roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	po, ok := hedge.FromContext(req.Context())
	if !ok {
		return ro.once(ro.Transport, req)
	}
	ra := &race{ro: ro, po: po, results: make(chan result), over: make(chan struct{})}
	return ra.run(req)
}

// once sends a request on one connection.
func (ro *roundTripper) once(tr *http.Transport, req *http.Request) (*http.Response, error) {
	ho := &hold{}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: ho.got})
	sent := req.WithContext(ctx)
	for {
		resp, err := tr.RoundTrip(sent)
		if err == nil {
			resp.Body = &body{ReadCloser: resp.Body, ro: ro, req: req, hold: ho}
			return resp, nil
		}
		missed := ho.missed()
		ho.leave()
		next, ok := sent, false
		if missed && ctx.Err() == nil {
			next, ok = again(sent)
		}
		if !ok {
			ro.failed(req)
			return nil, err
		}
		sent = next
	}
}

// again returns a request that is sent once more, if that can be done.
func again(req *http.Request) (*http.Request, bool) {
	next := req.Clone(req.Context())
	if req.Body == nil || req.Body == http.NoBody {
		return next, true
	}
	if req.GetBody == nil {
		return nil, false
	}
	data, err := req.GetBody()
	next.Body = data
	return next, err == nil
}

// failed notes that there is no whole answer to a request.
func (ro *roundTripper) failed(req *http.Request) {
	if errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		ro.closeIdle(req.URL.Host, "a request ran into its deadline")
	}
}

// body is an answer's body, which may run into the request's deadline as well as
// its header. The request has its connection until the body's end.
type body struct {
	io.ReadCloser

	ro   *roundTripper
	req  *http.Request
	hold *hold
}

// Read implements io.Reader.
func (bo *body) Read(data []byte) (int, error) {
	n, err := bo.ReadCloser.Read(data)
	if err != nil {
		bo.hold.leave()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		bo.ro.failed(bo.req)
	}
	return n, err
}

// Close implements io.Closer.
func (bo *body) Close() error {
	defer bo.hold.leave()
	return bo.ReadCloser.Close()
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

// closeIdle closes the connections to an address that no request has, as some are
// silent.
func (ro *roundTripper) closeIdle(addr, why string) {
	ro.mu.Lock()
	var given []*conn
	counts := map[use]int{}
	for co := range ro.byAddr[addr] {
		us := co.giveUp()
		counts[us]++
		if us != busy {
			given = append(given, co)
		}
	}
	ro.mu.Unlock()
	for _, co := range given {
		_ = co.Close()
	}
	if ro.log != nil && len(given) > 0 {
		ro.log.Info("connections given up", "addr", addr, "idle", counts[idle], "unused", counts[unused], "busy", counts[busy], "why", why)
	}
}
