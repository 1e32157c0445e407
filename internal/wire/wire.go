// Package wire sends JSON messages over HTTP between processes of the system, and
// between them and the platform, runners and workers.
//
// Each message is one POST with a bounded body. A handler is a function from request to
// reply; errors are sent as [Error], so that the caller sees the code that the handler
// returned. The package never sends a message twice: the caller decides whether a retry
// is safe. A message without a deadline gets that of [timelimit.Apply].
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/timelimit"
)

// MaxBody bounds the body of a request or reply, in bytes.
const MaxBody = 8 << 20

// maxMessage bounds the message of an error that is sent, in bytes: it may quote the request.
const maxMessage = 1000

// Error codes of this package.
const (
	CodeMalformed = "malformed"
	CodeTooLarge  = "too-large"
	CodeInternal  = "internal"
	// CodeBusy: a limit of the port refused the request, which had no effect.
	CodeBusy = "busy"
)

// Error is a failure reported by the peer. After any other error of [Post] it is not
// known whether the message was handled.
type Error struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code is a stable word that identifies the failure.
	Code string `json:"code"`
	// Message describes the failure to a person.
	Message string `json:"message"`
	// RetryAfter is the time after which to retry; zero means that none was given.
	RetryAfter time.Duration `json:"-"`
}

// errorBody is the body of an answer with an error. The header Retry-After has whole seconds,
// rounded up, so that callers who read only the header come late rather than early.
type errorBody struct {
	*Error
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (err *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", err.Code, err.Status, err.Message)
}

// Code returns the code of the [Error] in err's chain, or "".
func Code(err error) string {
	var werr *Error
	if errors.As(err, &werr) {
		return werr.Code
	}
	return ""
}

// Post sends req as JSON to url and decodes the reply.
func Post[Req, Resp any](ctx context.Context, cl *http.Client, url string, req Req) (Resp, error) {
	var resp Resp
	ctx, cancel := timelimit.Apply(ctx)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return resp, fmt.Errorf("encode request for %s: %w", url, err)
	}
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return resp, fmt.Errorf("create request for %s: %w", url, err)
	}
	hreq.Header.Set("Content-Type", "application/json")
	hresp, err := cl.Do(hreq)
	if err != nil {
		return resp, fmt.Errorf("post: %w", err)
	}
	defer func() { _ = hresp.Body.Close() }()
	data, err := ReadAll(hresp.Body, hresp.ContentLength, MaxBody)
	if err != nil {
		return resp, fmt.Errorf("read reply of %s: %w", url, err)
	}
	if hresp.StatusCode != http.StatusOK {
		return resp, fmt.Errorf("post %s: %w", url, decodeError(hresp, data))
	}
	if err := json.Unmarshal(data, &resp); err != nil {
		return resp, fmt.Errorf("decode reply of %s: %w", url, err)
	}
	return resp, nil
}

func decodeError(hresp *http.Response, data []byte) *Error {
	werr := &Error{Code: CodeInternal, Message: string(bytes.TrimSpace(data))}
	body := errorBody{Error: werr}
	_ = json.Unmarshal(data, &body)
	werr.Status = hresp.StatusCode
	if sec, err := strconv.Atoi(hresp.Header.Get("Retry-After")); err == nil {
		werr.RetryAfter = time.Duration(sec) * time.Second
	}
	if body.RetryAfterMS > 0 {
		werr.RetryAfter = time.Duration(body.RetryAfterMS) * time.Millisecond
	}
	return werr
}

// Handle returns an HTTP handler that calls fn. An error with an [Error] in its chain is
// sent as that, any other as an internal error.
func Handle[Req, Resp any](fn func(context.Context, Req) (Resp, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := decode(w, r, &req); err != nil {
			WriteError(w, err)
			return
		}
		resp, err := fn(r.Context(), req)
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteReply(w, resp)
	})
}

func decode(w http.ResponseWriter, r *http.Request, req any) error {
	data, err := ReadAll(r.Body, r.ContentLength, MaxBody)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		w.Header().Set("Connection", "close")
		return &Error{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Message: err.Error()}
	case err != nil:
		return &Error{Status: http.StatusBadRequest, Code: CodeMalformed, Message: err.Error()}
	}
	if len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, req); err != nil {
		return &Error{Status: http.StatusBadRequest, Code: CodeMalformed, Message: err.Error()}
	}
	return nil
}

// WriteReply sends resp as JSON with a Content-Length.
func WriteReply(w http.ResponseWriter, resp any) {
	data, err := json.Marshal(resp)
	if err != nil {
		WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// WriteError sends err as an [Error], with CodeInternal if it has none in its chain.
func WriteError(w http.ResponseWriter, err error) {
	var werr *Error
	if !errors.As(err, &werr) {
		werr = &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: err.Error()}
	}
	if werr.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(werr.RetryAfter)))
	}
	sent := *werr
	sent.Message = sent.Message[:min(len(sent.Message), maxMessage)]
	data, _ := json.Marshal(errorBody{Error: &sent, RetryAfterMS: werr.RetryAfter.Milliseconds()})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(max(werr.Status, http.StatusBadRequest))
	_, _ = w.Write(data)
}

func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
