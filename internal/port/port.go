// Package port runs the HTTP servers of an entry host, each within bounds: on
// connections, requests in flight, the size of a request and the time to send
// it. What is over a bound gets a clear refusal at once and costs nobody else
// anything.
package port

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Limits bound one port.
type Limits struct {
	// MaxConns bounds open connections, InFlight requests being served.
	MaxConns    int
	MaxInFlight int
	// MaxBody bounds a request in bytes.
	MaxBody int64
	// ReadTimeout bounds the time to receive a request.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time in which a caller takes a part of an answer.
	WriteTimeout time.Duration
	// Refuse answers a request that is over a bound, in the form that the
	// port's callers understand; nil answers as package wire does.
	Refuse func(w http.ResponseWriter, r *http.Request, err *wire.Error)
}

const (
	readHeaderTime = 5 * time.Second
	idleTime       = 2 * time.Minute
	maxHeader      = 64 << 10
	busyRetry      = time.Second
)

// Port is one listening server.
type Port struct {
	// Addr is the address listened on.
	Addr string

	srv     *http.Server
	ln      net.Listener
	closing atomic.Bool
}

// Listen opens a port. An address with port 0 gets a free one.
func Listen(addr string, lim Limits) (*Port, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	po := &Port{Addr: ln.Addr().String(), ln: netutil.LimitListener(ln, lim.MaxConns)}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	po.srv = &http.Server{
		ReadHeaderTimeout: readHeaderTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeader,
		Protocols:         protocols,
	}
	return po, nil
}

// Serve serves until the port is stopped.
func (po *Port) Serve(h http.Handler, lim Limits) error {
	po.srv.Handler = po.ending(bound(h, lim))
	err := po.srv.Serve(po.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", po.Addr, err)
}

// DisableKeepAlives has every answer close its connection, so that callers come back over
// another. A connection that is closed while idle can meet a request on its
// way, which is then lost without a word.
func (po *Port) DisableKeepAlives() { po.closing.Store(true) }

func (po *Port) ending(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if po.closing.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Stop takes no new connections and waits for requests in flight, until ctx
// ends.
func (po *Port) Stop(ctx context.Context) error {
	if err := po.srv.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("stop %s: %w", po.Addr, err), po.srv.Close())
	}
	return nil
}

// bound puts the limits before a handler.
func bound(h http.Handler, lim Limits) http.Handler {
	slots := make(chan struct{}, lim.MaxInFlight)
	timed := WithTimeouts(h, lim.ReadTimeout, lim.WriteTimeout)
	refuse := lim.Refuse
	if refuse == nil {
		refuse = func(w http.ResponseWriter, _ *http.Request, err *wire.Error) { wire.WriteError(w, err) }
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		default:
			refuse(w, r, &wire.Error{
				Status: http.StatusServiceUnavailable, Code: wire.CodeBusy,
				Message: "too many requests in flight", RetryAfter: busyRetry,
			})
			return
		}
		defer func() { <-slots }()
		if r.ContentLength > lim.MaxBody {
			refuse(w, r, &wire.Error{
				Status: http.StatusRequestEntityTooLarge, Code: wire.CodeTooLarge,
				Message: fmt.Sprintf("body is over %d bytes", lim.MaxBody),
			})
			return
		}
		if r.Body != http.NoBody {
			r.Body = http.MaxBytesReader(w, r.Body, lim.MaxBody)
		}
		timed.ServeHTTP(w, r)
	})
}

// WithTimeouts bounds the time to receive a request's body, and the time in which a caller
// takes a part of the answer. Zero bounds nothing.
func WithTimeouts(h http.Handler, read, write time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		if read > 0 && r.Body != http.NoBody {
			_ = rc.SetReadDeadline(time.Now().Add(read))
			r.Body = &timedBody{ReadCloser: r.Body, rc: rc}
		}
		if write > 0 {
			w = &timedAnswer{ResponseWriter: w, rc: rc, most: write}
			// What is left is sent once the handler has returned.
			defer func() { _ = rc.SetWriteDeadline(time.Now().Add(write)) }()
		}
		h.ServeHTTP(w, r)
	})
}

// timedAnswer has each part of an answer be taken in time. A long answer has no
// deadline as a whole.
type timedAnswer struct {
	http.ResponseWriter

	rc   *http.ResponseController
	most time.Duration
}

// Unwrap is for [http.ResponseController].
func (ta *timedAnswer) Unwrap() http.ResponseWriter { return ta.ResponseWriter }

// Write implements http.ResponseWriter.
func (ta *timedAnswer) Write(data []byte) (int, error) {
	defer ta.limit()()
	return ta.ResponseWriter.Write(data)
}

// Flush implements http.Flusher. That its error is lost is the interface's: what
// follows fails too.
func (ta *timedAnswer) Flush() {
	defer ta.limit()()
	_ = ta.rc.Flush()
}

// limit sets the deadline of one part, and returns what lifts it: one that is over
// would end the next part, and in HTTP/2 also an answer that is quiet.
func (ta *timedAnswer) limit() (lift func()) {
	_ = ta.rc.SetWriteDeadline(time.Now().Add(ta.most))
	return func() { _ = ta.rc.SetWriteDeadline(time.Time{}) }
}

// timedBody lifts the read deadline once the body is read, since it would end
// a long answer too.
type timedBody struct {
	io.ReadCloser

	rc *http.ResponseController
}

func (tb *timedBody) Read(data []byte) (int, error) {
	n, err := tb.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		_ = tb.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}
