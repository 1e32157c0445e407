package port

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Limited returns a handler that applies the limits of requests to h.
func Limited(h http.Handler, lim Limits) http.Handler {
	if lim.MaxInFlight == 0 {
		lim.MaxInFlight = lim.MaxConns
	}
	slots := make(chan struct{}, lim.MaxInFlight)
	timed := WithTimeouts(h, lim.ReadTimeout, lim.WriteTimeout)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if lim.StreamPath != "" && r.URL.Path == lim.StreamPath {
			h.ServeHTTP(w, r)
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			lim.refuse(w, r, refuseInFlight, busy("too many requests in flight"))
			return
		}
		defer func() { <-slots }()
		if r.Body == http.NoBody {
			timed.ServeHTTP(w, r)
			return
		}
		lim.serveBody(timed, w, r)
	})
}

// serveBody serves a request with a body, once what it holds is reserved.
func (lim Limits) serveBody(h http.Handler, w http.ResponseWriter, r *http.Request) {
	most := min(lim.maxBody(), lim.Process.largestBody())
	if r.ContentLength > most {
		lim.refuse(w, r, refuseTooLarge, &wire.Error{
			Status: http.StatusRequestEntityTooLarge, Code: wire.CodeTooLarge, Message: fmt.Sprintf("body is over %d bytes", most),
		})
		return
	}
	co := connOf(r)
	co.enter(phaseReceiving)
	an := &answer{ResponseWriter: w}
	bo := &body{ReadCloser: r.Body, lim: &lim, co: co, announced: r.ContentLength >= 0, most: most}
	bo.refuse = func() {
		lim.refuse(w, r, refuseBytes, errNoBytes())
		an.refused.Store(true)
	}
	first := r.ContentLength
	if !bo.announced {
		first = min(smallBody, most)
	}
	if !bo.reserve(first) {
		lim.refuse(w, r, refuseBytes, errNoBytes())
		return
	}
	defer bo.release()
	received := r.Body
	// The server looks at its own body to decide how to close the connection.
	defer func() { r.Body = received }()
	r.Body = http.MaxBytesReader(w, bo, most)
	h.ServeHTTP(an, r)
}

// answer is the answer of a handler. Once the port has refused the request, it discards what the
// handler answers about the body that it could not read.
type answer struct {
	http.ResponseWriter

	refused atomic.Bool
}

// Unwrap implements the interface that [http.ResponseController] uses.
func (an *answer) Unwrap() http.ResponseWriter { return an.ResponseWriter }

// Header implements http.ResponseWriter.
func (an *answer) Header() http.Header {
	if an.refused.Load() {
		return http.Header{}
	}
	return an.ResponseWriter.Header()
}

// WriteHeader implements http.ResponseWriter.
func (an *answer) WriteHeader(status int) {
	if !an.refused.Load() {
		an.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (an *answer) Write(data []byte) (int, error) {
	if an.refused.Load() {
		return len(data), nil
	}
	return an.ResponseWriter.Write(data)
}

// AtMost returns a handler that serves at most n requests at the same time, and refuses others.
func AtMost(n int, h http.Handler) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		default:
			wire.WriteError(w, busy("too many requests of this kind in flight"))
		}
	})
}

// busy returns the answer to a request that would exceed what the process can hold now.
func busy(message string) *wire.Error {
	return &wire.Error{Status: http.StatusServiceUnavailable, Code: wire.CodeBusy, Message: message, RetryAfter: busyRetryAfter}
}

func errNoBytes() *wire.Error { return busy("no memory for the body") }

// lingerTime is how long a connection stays open for a client to read why it was refused.
const lingerTime = time.Second

// refuse answers a request that is over a limit, counts it, and closes its connection; the body is
// discarded.
func (lim Limits) refuse(w http.ResponseWriter, r *http.Request, reason string, err *wire.Error) {
	lim.Process.recordRefusal(lim.Name, reason)
	if r.Body != http.NoBody {
		if r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		// After the answer the server reads on for this long: closing a connection with bytes that
		// were not read takes the answer from the client.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	}
	if lim.Refuse != nil {
		lim.Refuse(w, r, err)
		return
	}
	wire.WriteError(w, err)
}

// bodyStep is by how much the reservation for a body of unknown length grows, as a factor.
const bodyStep = 4

// body is the body of a request. What the request holds is reserved before its bytes are read.
type body struct {
	io.ReadCloser

	lim *Limits
	co  *conn
	// refuse answers the request if the budget does not allow the rest of its body.
	refuse func()
	// announced says that the length is known; most bounds it in bytes.
	announced bool
	most      int64
	// read is the number of bytes that were read, reserved the length for which held has been
	// reserved.
	read, reserved int64
	held           *reservation
}

// reserve reserves what a request with a body of n bytes holds, in place of what was reserved.
func (bo *body) reserve(n int64) bool {
	bo.release()
	held, ok := bo.lim.Process.reserveBody(bo.lim.Peers, n)
	bo.held, bo.reserved = held, n
	bo.co.hold(held)
	return ok
}

func (bo *body) release() {
	bo.co.hold(nil)
	bo.held.release()
	bo.held = nil
}

// Read implements io.Reader. Beyond what the budget allows it answers the request, and returns a
// [wire.Error].
func (bo *body) Read(data []byte) (int, error) {
	if !bo.announced && bo.read == bo.reserved && bo.reserved < bo.most {
		if !bo.reserve(min(bodyStep*bo.reserved, bo.most)) {
			bo.refuse()
			return 0, errNoBytes()
		}
	}
	if left := bo.reserved - bo.read; left > 0 {
		data = data[:min(int64(len(data)), left)]
	}
	n, err := bo.ReadCloser.Read(data)
	bo.read += int64(n)
	if errors.Is(err, io.EOF) {
		bo.co.enter(phaseServing)
	}
	return n, err
}
