// Package transport has the HTTP client of an entry host for everything outside: other
// hosts, the platform's store, workers.
//
// A connection may go silent: it delivers nothing any more and is not reset, while new
// connections work. A request on such a connection detects it by its deadline, but idle
// connections of the same age may be silent too, and each would cost the next request its
// deadline. So when a request to
// an address times out, before or within its answer, all connections to that address
// that no request holds are closed. Those in use are left to the deadlines of their
// requests. Where that takes too long, package hedge lets the request be sent again.
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
	// dialTimeout bounds opening a connection, which takes up to 3 ms in normal
	// operation.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns a client that keeps at most the given number of idle connections to
// each address, and logs those that it closes after a timeout. With a nil log it logs
// nothing.
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

// roundTripper is a transport that tracks its connections.
type roundTripper struct {
	*http.Transport

	// fresh opens a new connection for each request.
	fresh *http.Transport
	log   *slog.Logger

	mu sync.Mutex
	// byAddr holds the open connections by address.
	byAddr map[string]map[*conn]bool
}

// RoundTrip implements http.RoundTripper.
func (ro *roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	po, ok := hedge.FromContext(req.Context())
	if !ok {
		return ro.roundTripOnce(ro.Transport, req)
	}
	hr := &hedgedRequest{ro: ro, po: po, results: make(chan result), finished: make(chan struct{})}
	return hr.run(req)
}

// roundTripOnce sends one copy of a request.
func (ro *roundTripper) roundTripOnce(tr *http.Transport, req *http.Request) (*http.Response, error) {
	ho := &connHolder{}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: ho.gotConn})
	sent := req.WithContext(ctx)
	for {
		resp, err := tr.RoundTrip(sent)
		if err == nil {
			resp.Body = &body{ReadCloser: resp.Body, ro: ro, req: req, holder: ho}
			return resp, nil
		}
		unsent := ho.abandonedBeforeUse()
		ho.release()
		next, ok := sent, false
		if unsent && ctx.Err() == nil {
			next, ok = cloneForRetry(sent)
		}
		if !ok {
			ro.requestFailed(req)
			return nil, err
		}
		sent = next
	}
}

// cloneForRetry returns a copy of a request to send again, if its body allows that.
func cloneForRetry(req *http.Request) (*http.Request, bool) {
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

// requestFailed closes idle connections if the request timed out without a complete
// answer.
func (ro *roundTripper) requestFailed(req *http.Request) {
	if errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		ro.closeIdle(req.URL.Host, "a request timed out")
	}
}

// body is an answer's body. The request's deadline may expire while it is read. The
// request holds its connection until the end of the body.
type body struct {
	io.ReadCloser

	ro     *roundTripper
	req    *http.Request
	holder *connHolder
}

// Read implements io.Reader.
func (bo *body) Read(data []byte) (int, error) {
	n, err := bo.ReadCloser.Read(data)
	if err != nil {
		bo.holder.release()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		bo.ro.requestFailed(bo.req)
	}
	return n, err
}

// Close implements io.Closer.
func (bo *body) Close() error {
	defer bo.holder.release()
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

func (ro *roundTripper) untrack(co *conn) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	delete(ro.byAddr[co.addr], co)
	if len(ro.byAddr[co.addr]) == 0 {
		delete(ro.byAddr, co.addr)
	}
}

// closeIdle closes the connections to an address that no request holds, as some of them
// may be silent.
func (ro *roundTripper) closeIdle(addr, why string) {
	ro.mu.Lock()
	var closing []*conn
	counts := map[connState]int{}
	for co := range ro.byAddr[addr] {
		st := co.abandonUnlessBusy()
		counts[st]++
		if st != busy {
			closing = append(closing, co)
		}
	}
	ro.mu.Unlock()
	for _, co := range closing {
		_ = co.Close()
	}
	if ro.log != nil && len(closing) > 0 {
		ro.log.Info("connections given up", "addr", addr, "idle", counts[idle], "unused", counts[unused], "busy", counts[busy], "why", why)
	}
}
