package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/timelimit"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// MaxAnswerBytes limits the size of an answer.
const MaxAnswerBytes = 4 << 20

// NotRunError says that the request has not run.
type NotRunError struct {
	// Step is the operation that failed and Peer the runner's address.
	Step string
	Peer string
	// Reason is full, leaving or another reason sent by the runner if it
	// refused; empty if the runner was not reached.
	Reason string
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (err *NotRunError) Error() string {
	if err.Reason != "" {
		return fmt.Sprintf("%s at runner %s: refused before running: %s", err.Step, err.Peer, err.Reason)
	}
	return fmt.Sprintf("%s at runner %s: not run: %v", err.Step, err.Peer, err.Err)
}

// Unwrap returns the cause.
func (err *NotRunError) Unwrap() error { return err.Err }

// UnknownError says that the request may have run.
type UnknownError struct {
	// Step is the operation that failed and Peer the runner's address.
	Step string
	Peer string
	// Err is the cause.
	Err error
}

// Error implements error.
func (err *UnknownError) Error() string {
	return fmt.Sprintf("%s at runner %s: may have run: %v", err.Step, err.Peer, err.Err)
}

// Unwrap returns the cause.
func (err *UnknownError) Unwrap() error { return err.Err }

// Causes of an [UnknownError] found in a response.
var (
	ErrIDMismatch     = errors.New("answer has the id of another request")
	ErrNoFraming      = errors.New("answer has neither a content length nor chunked encoding")
	ErrNoStatus       = errors.New("answer has neither status done nor refused")
	ErrAnswerTooLarge = errors.New("answer exceeds the maximum size")
)

// Client sends requests to runners. Use [NewClient] to create one; tests
// replace the functions.
type Client struct {
	// RunFunc sends one request to the runner at addr. Its errors are
	// [NotRunError] or [UnknownError].
	RunFunc func(ctx context.Context, addr string, req Request) (Answer, error)
	// SessionFunc opens a session's stream at the runner at addr. next blocks
	// until the next event and returns an error at the end; stop must be called
	// once.
	SessionFunc func(ctx context.Context, addr string, req SessionRequest) (next func() (SessionEvent, error), stop func(), err error)
}

// Limits bounds the connections of a client.
type Limits struct {
	// ConnsPerRunner limits the connections for requests to one runner, and
	// separately those for sessions.
	ConnsPerRunner int
	// DialTimeout limits the time to connect.
	DialTimeout time.Duration
}

// Defaults of [Limits], and other limits of connections.
const (
	defaultConnsPerRunner = 20
	defaultDialTimeout    = 500 * time.Millisecond
	idleConnTimeout       = 30 * time.Second
	sessionHeaderTimeout  = 2 * time.Second
)

// NewClient returns a client that uses net/http. Zero limits mean the defaults.
func NewClient(lim Limits) Client {
	if lim.ConnsPerRunner == 0 {
		lim.ConnsPerRunner = defaultConnsPerRunner
	}
	if lim.DialTimeout == 0 {
		lim.DialTimeout = defaultDialTimeout
	}
	runs := newTransport(lim)
	sessions := newTransport(lim)
	return Client{
		RunFunc: func(ctx context.Context, addr string, req Request) (Answer, error) {
			return run(ctx, runs, addr, req)
		},
		SessionFunc: func(ctx context.Context, addr string, req SessionRequest) (func() (SessionEvent, error), func(), error) {
			return openSession(ctx, sessions, addr, req)
		},
	}
}

// newTransport returns a transport that follows no redirects (only RoundTrip is
// used), requests no compression, and counts the bytes written per connection.
func newTransport(lim Limits) *http.Transport {
	di := &net.Dialer{Timeout: lim.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := di.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     lim.ConnsPerRunner,
		MaxIdleConnsPerHost: lim.ConnsPerRunner,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// countingConn counts the bytes written, to distinguish requests that were not
// sent at all from those sent in part.
type countingConn struct {
	net.Conn

	written atomic.Int64
}

func (cc *countingConn) Write(data []byte) (int, error) {
	// Counted before the write: a failed write may have sent some bytes.
	cc.written.Add(int64(len(data)))
	return cc.Conn.Write(data)
}

// exchangeState records the connections that one exchange uses.
type exchangeState struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64
	conns         atomic.Int64
}

func (es *exchangeState) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		cc, _ := info.Conn.(*countingConn)
		if cc != nil {
			es.writtenBefore.Store(cc.written.Load())
		}
		es.conn.Store(cc)
		es.conns.Add(1)
	}}
}

// nothingSent reports whether no byte of the request was written. net/http
// takes a second connection only if it wrote nothing to the first, so the last
// connection decides.
func (es *exchangeState) nothingSent() bool {
	if es.conns.Load() == 0 {
		return true
	}
	cc := es.conn.Load()
	return cc != nil && cc.written.Load() == es.writtenBefore.Load()
}

// nonReplayableBody is a request body that net/http cannot rewind: without
// GetBody it never resends a request of which it has read any part.
type nonReplayableBody struct{ rd *bytes.Reader }

func (nb nonReplayableBody) Read(data []byte) (int, error) { return nb.rd.Read(data) }
func (nb nonReplayableBody) Close() error                  { return nil }

func run(ctx context.Context, tr http.RoundTripper, addr string, req Request) (Answer, error) {
	ctx, cancel := timelimit.Apply(ctx)
	defer cancel()
	es := &exchangeState{}
	hreq, err := newRequest(httptrace.WithClientTrace(ctx, es.trace()), addr, "/run", req.Body)
	if err != nil {
		return Answer{}, &NotRunError{Step: "build request", Peer: addr, Err: err}
	}
	setHeaders(hreq.Header, req)
	hresp, err := tr.RoundTrip(hreq)
	if err != nil && es.nothingSent() {
		return Answer{}, &NotRunError{Step: "connect", Peer: addr, Err: err}
	}
	if err != nil {
		return Answer{}, &UnknownError{Step: "await answer", Peer: addr, Err: err}
	}
	defer func() { _ = hresp.Body.Close() }()
	return readAnswer(hresp, addr, req.ID)
}

func newRequest(ctx context.Context, addr, path string, body []byte) (*http.Request, error) {
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("create HTTP request: %w", err)
	}
	// net/http replays a POST only if it has an Idempotency-Key header, and
	// cannot resend a body without GetBody.
	hreq.Body = nonReplayableBody{rd: bytes.NewReader(body)}
	hreq.ContentLength = int64(len(body))
	if len(body) == 0 {
		hreq.Body = http.NoBody
	}
	return hreq, nil
}

func setHeaders(hd http.Header, req Request) {
	hd.Set(HeaderID, req.ID)
	hd.Set(HeaderService, req.Service)
	hd.Set(HeaderMethod, req.Method)
	hd.Set(HeaderClass, req.Class.String())
	hd.Set(HeaderDeadline, strconv.FormatInt(time.Until(req.Deadline).Milliseconds(), 10))
	hd.Set("Content-Type", "application/octet-stream")
}

// readAnswer accepts only a complete answer with a status and with the
// request's id. The same holds for a refusal: one for another id proves
// nothing.
func readAnswer(hresp *http.Response, addr, id string) (Answer, error) {
	unknown := func(err error) (Answer, error) {
		return Answer{}, &UnknownError{Step: "read answer", Peer: addr, Err: err}
	}
	chunked := len(hresp.TransferEncoding) > 0 && hresp.TransferEncoding[0] == "chunked"
	if hresp.ContentLength < 0 && !chunked {
		return unknown(ErrNoFraming)
	}
	if hresp.Header.Get(HeaderID) != id {
		return unknown(ErrIDMismatch)
	}
	body, err := readBody(hresp)
	if err != nil {
		return unknown(err)
	}
	leaving := hresp.Header.Get(HeaderLeaving) == "true"
	switch hresp.Header.Get(HeaderStatus) {
	case StatusDone:
		return Answer{Body: body, Leaving: leaving}, nil
	case StatusRefused:
		return Answer{Leaving: leaving}, &NotRunError{Step: "run", Peer: addr, Reason: refusalReason(hresp.Header)}
	}
	return unknown(ErrNoStatus)
}

func refusalReason(hd http.Header) string {
	if reason := hd.Get(HeaderReason); reason != "" {
		return reason
	}
	return StatusRefused
}

func readBody(hresp *http.Response) ([]byte, error) {
	body, err := wire.ReadAll(hresp.Body, hresp.ContentLength, MaxAnswerBytes)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = ErrAnswerTooLarge
	}
	return body, err
}

func openSession(ctx context.Context, tr http.RoundTripper, addr string, req SessionRequest) (func() (SessionEvent, error), func(), error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, nil, fmt.Errorf("encode session request: %w", err)
	}
	sctx, cancel := context.WithCancel(ctx)
	hreq, err := newRequest(sctx, addr, "/session", body)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	// Only the response header has a time limit; the stream does not end.
	head := time.AfterFunc(sessionHeaderTimeout, cancel)
	hresp, err := tr.RoundTrip(hreq)
	head.Stop()
	if err != nil {
		cancel()
		return nil, nil, fmt.Errorf("open session at runner %s: %w", addr, err)
	}
	stop := func() {
		cancel()
		_ = hresp.Body.Close()
	}
	if hresp.StatusCode != http.StatusOK {
		stop()
		return nil, nil, &NotRunError{Step: "open session", Peer: addr, Reason: refusalReason(hresp.Header)}
	}
	frames := &wire.FrameReader{Reader: hresp.Body, MaxBytes: MaxAnswerBytes}
	dec := json.NewDecoder(frames)
	next := func() (SessionEvent, error) {
		var ev SessionEvent
		if err := dec.Decode(&ev); err != nil {
			return ev, fmt.Errorf("read session event from runner %s: %w", addr, err)
		}
		frames.Next()
		return ev, nil
	}
	return next, stop, nil
}
