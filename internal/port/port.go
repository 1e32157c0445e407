// Package port runs the HTTP servers of an entry host, each with limits on connections,
// requests in flight, the size of a request and the time to receive it. A request over a
// limit is refused at once with a clear error and does not affect other requests.
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

// Limits are the limits of one port.
type Limits struct {
	// MaxConns bounds the open connections, MaxInFlight the requests being served.
	MaxConns    int
	MaxInFlight int
	// MaxBody bounds the body of a request in bytes.
	MaxBody int64
	// ReadTimeout bounds the time to receive a request.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time in which a caller accepts one write of an answer.
	WriteTimeout time.Duration
	// Refuse answers a request that is over a limit, in the protocol of the port's
	// callers; nil means [wire.WriteError].
	Refuse func(w http.ResponseWriter, r *http.Request, err *wire.Error)
}

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	busyRetryAfter    = time.Second
)

// Port is one HTTP server.
type Port struct {
	// Addr is the address that the port listens on.
	Addr string

	srv         *http.Server
	ln          net.Listener
	noKeepAlive atomic.Bool
}

// Listen opens a port. Port number 0 in addr selects a free one.
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
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
	}
	return po, nil
}

// Serve serves until the port is stopped.
func (po *Port) Serve(h http.Handler, lim Limits) error {
	po.srv.Handler = po.withConnectionClose(withLimits(h, lim))
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

func (po *Port) withConnectionClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if po.noKeepAlive.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Stop accepts no new connections and waits for requests in flight until ctx ends; then
// it closes their connections.
func (po *Port) Stop(ctx context.Context) error {
	if err := po.srv.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("stop %s: %w", po.Addr, err), po.srv.Close())
	}
	return nil
}

// withLimits applies the limits to a handler.
func withLimits(h http.Handler, lim Limits) http.Handler {
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
				Message: "too many requests in flight", RetryAfter: busyRetryAfter,
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

// WithTimeouts bounds the time to receive a request's body, and the time in which a
// caller accepts one write of the answer. Zero means no limit.
func WithTimeouts(h http.Handler, read, write time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		if read > 0 && r.Body != http.NoBody {
			_ = rc.SetReadDeadline(time.Now().Add(read))
			r.Body = &timedBody{ReadCloser: r.Body, rc: rc}
		}
		if write > 0 {
			w = &timedWriter{ResponseWriter: w, rc: rc, timeout: write}
			// Bytes that are still buffered are sent after the handler returns.
			defer func() { _ = rc.SetWriteDeadline(time.Now().Add(write)) }()
		}
		h.ServeHTTP(w, r)
	})
}

// timedWriter gives each write of an answer a deadline of its own. A long answer has no
// deadline as a whole.
type timedWriter struct {
	http.ResponseWriter

	rc      *http.ResponseController
	timeout time.Duration
}

// Unwrap implements the interface that [http.ResponseController] uses.
func (tw *timedWriter) Unwrap() http.ResponseWriter { return tw.ResponseWriter }

// Write implements http.ResponseWriter.
func (tw *timedWriter) Write(data []byte) (int, error) {
	defer tw.setDeadline()()
	return tw.ResponseWriter.Write(data)
}

// Flush implements http.Flusher. The interface has no error to return; the next write
// fails too.
func (tw *timedWriter) Flush() {
	defer tw.setDeadline()()
	_ = tw.rc.Flush()
}

// setDeadline sets the deadline of one write, and returns a function that clears it. An
// expired deadline would fail the next write, and in HTTP/2 also an answer without
// writes.
func (tw *timedWriter) setDeadline() (reset func()) {
	_ = tw.rc.SetWriteDeadline(time.Now().Add(tw.timeout))
	return func() { _ = tw.rc.SetWriteDeadline(time.Time{}) }
}

// timedBody clears the read deadline once the body is read, because it would also end a
// long answer.
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
