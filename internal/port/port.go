// Package port runs the HTTP servers of a process: all of them, so that each has limits on
// connections, on requests in flight, on the size of a request and the time to receive it, and on
// the bytes that all requests of the process hold together. A request over a limit is refused at
// once with a clear error and does not affect other requests.
//
// At the limit of connections, or when a body would exceed the budget of bytes, the connection whose
// request makes the least progress is closed: first a request that has stopped arriving, then one
// that arrives slowly, then a connection without a request. Requests that have arrived are never
// ended. Half of the budget is for requests with small bodies only, so that large bodies can't keep
// them out.
package port

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Limits are the limits of one port.
type Limits struct {
	// Name is the name of the port in logs and metrics.
	Name string
	// Process has the limits that all ports of the process share. Nil means that there are none.
	Process *Process
	// Peers is set for a port of other hosts, whose requests have a budget of their own.
	Peers bool
	// MaxConns bounds the open connections, MaxInFlight the requests being served; zero means
	// that only MaxConns bounds them.
	MaxConns    int
	MaxInFlight int
	// MaxBody bounds the body of a request in bytes. MaxBodyFunc, if set, returns the bound
	// instead.
	MaxBody     int64
	MaxBodyFunc func() int64
	// HeaderTimeout bounds the time to receive the header of a request, IdleTimeout the time
	// between two requests on a connection, and MaxHeader the header in bytes. Zero means the
	// default.
	HeaderTimeout, IdleTimeout time.Duration
	MaxHeader                  int
	// ReadTimeout bounds the time to receive a request.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time in which a caller accepts one write of an answer.
	WriteTimeout time.Duration
	// HTTP1Only disables HTTP/2.
	HTTP1Only bool
	// SmallWindow bounds the bytes that the kernel receives ahead of the process on each
	// connection, which count as memory of the machine.
	SmallWindow bool
	// StreamPath is the path of requests that last as long as their connection. No limits of
	// bodies and times apply to them.
	StreamPath string
	// Refuse answers a request that is over a limit, in the protocol of the port's
	// callers; nil means [wire.WriteError].
	Refuse func(w http.ResponseWriter, r *http.Request, err *wire.Error)
}

// Defaults of limits, and limits that are the same for all ports.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// defaultMaxHeader bounds the header of a request, in bytes.
	defaultMaxHeader = 16 << 10
	busyRetryAfter   = time.Second
	// smallWindow is the receive buffer of a connection with SmallWindow, in bytes; the kernel
	// doubles it.
	smallWindow = connBytes / 2
	// maxStreams bounds the streams of an HTTP/2 connection, streamWindow what a client may send
	// ahead on one, and connWindow on all streams of a connection, in bytes.
	maxStreams   = 100
	streamWindow = 64 << 10
	connWindow   = 64 << 10
)

// maxBody returns the bound on a body in bytes.
func (lim Limits) maxBody() int64 {
	if lim.MaxBodyFunc != nil {
		return lim.MaxBodyFunc()
	}
	return lim.MaxBody
}

// Port is one HTTP server.
type Port struct {
	// Addr is the address that the port listens on.
	Addr string

	name        string
	process     *Process
	conns       connTable
	srv         *http.Server
	ln          net.Listener
	noKeepAlive atomic.Bool
}

// Listen opens a port. Port number 0 in addr selects a free one.
func Listen(addr string, lim Limits) (*Port, error) {
	lc := net.ListenConfig{}
	if lim.SmallWindow {
		lc.Control = setSmallWindow
	}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	po := &Port{Addr: ln.Addr().String(), name: lim.Name, process: lim.Process, conns: connTable{max: lim.MaxConns}}
	po.ln = &listener{Listener: ln, po: po, refusing: make(chan struct{}, maxRefusing)}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(!lim.HTTP1Only)
	po.srv = &http.Server{
		ReadHeaderTimeout: orDefault(lim.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       orDefault(lim.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:    orDefault(lim.MaxHeader, defaultMaxHeader),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connWindow},
		ConnContext:       func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
		ConnState:         recordState,
		ErrorLog:          lim.Process.errorLog(),
	}
	if pr := lim.Process; pr != nil {
		pr.mu.Lock()
		pr.ports = append(pr.ports, po)
		pr.mu.Unlock()
	}
	return po, nil
}

// setSmallWindow sets the receive buffer of a listening socket, which accepted sockets inherit. The
// limit on memory holds without it where the kernel has no such option.
func setSmallWindow(_, _ string, rc syscall.RawConn) error {
	return rc.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
	})
}

func orDefault[T time.Duration | int](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}

// recordState records that the header of a request is complete or that an HTTP/2 connection has
// streams, and that a connection waits for its next request.
func recordState(nc net.Conn, state http.ConnState) {
	co, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		co.enter(phaseServing)
	case http.StateIdle:
		co.enter(phaseIdle)
	}
}

// Serve serves until the port is stopped.
func (po *Port) Serve(h http.Handler, lim Limits) error { return po.ServeLimited(Limited(h, lim)) }

// ServeLimited is like [Port.Serve], for a handler made by [Limited].
func (po *Port) ServeLimited(h http.Handler) error {
	po.srv.Handler = po.withConnectionClose(h)
	err := po.srv.Serve(po.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", po.Addr, err)
}

// DisableKeepAlives makes every HTTP/1 answer close its connection, so that callers open
// a new one. Closing an idle connection instead could lose a request that is already on
// its way, without an error from the server.
func (po *Port) DisableKeepAlives() { po.noKeepAlive.Store(true) }

// Drain makes every answer close its connection, and closes connections without a request.
func (po *Port) Drain() { po.srv.SetKeepAlivesEnabled(false) }

func (po *Port) withConnectionClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if po.noKeepAlive.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Shutdown accepts no new connections and waits for requests in flight until ctx ends.
func (po *Port) Shutdown(ctx context.Context) error {
	if err := po.srv.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop %s: %w", po.Addr, err)
	}
	return nil
}

// Stop is like [Port.Shutdown], but closes the connections of requests that are in flight
// when ctx ends.
func (po *Port) Stop(ctx context.Context) error {
	if err := po.Shutdown(ctx); err != nil {
		return errors.Join(err, po.srv.Close())
	}
	return nil
}
