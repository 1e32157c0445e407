package port

import (
	"errors"
	"io"
	"net/http"
	"time"
)

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
