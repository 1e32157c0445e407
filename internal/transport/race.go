package transport

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/hedge"
)

// race is one request that is doubled while it has no answer.
type race struct {
	ro *roundTripper
	po hedge.Policy
	// results gets what became of each, over is closed once one has won or none can.
	results chan result
	over    chan struct{}
	// cancels end those sent, waiting counts those without a result.
	cancels []context.CancelFunc
	waiting int
	// err is the first one's error.
	err error
}

// result is what became of one of the requests of a race.
type result struct {
	resp *http.Response
	err  error
	// lane is its number, 0 for the first.
	lane int
}

// turnedAway reports whether a request that was only sent for safety was refused, as
// there is too much to do: others that wait were taken before.
func (re result) turnedAway() bool {
	status := re.resp.StatusCode
	return re.lane > 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
}

// run returns the first answer, or the first error if there is none. Where net/http
// has to wait for an answer on a connection that went silent, a call loses its
// whole deadline: 3 s of a page are all that a host has to be back in touch. With
// it a change was in force 3.01 s after the way to the store was back, with a
// second request after 0.6 s 1.45 s (virtual time, the most of 2175 troubles).
func (ra *race) run(req *http.Request) (*http.Response, error) {
	defer close(ra.over)
	ra.send(ra.ro.Transport, req)
	gap := ra.po.After
	ti := time.NewTimer(ra.po.Wait + gap)
	defer ti.Stop()
	for ra.waiting > 0 {
		select {
		case re := <-ra.results:
			if ra.counts(re) {
				return ra.won(req, re), nil
			}
		case <-ti.C:
			if next, ok := again(req); ok && req.Context().Err() == nil {
				ra.send(ra.ro.fresh, next)
			}
			gap *= 2
			ti.Reset(gap)
		}
	}
	ra.end(-1)
	return nil, ra.err
}

// counts takes in what became of a request, and reports whether it is the answer.
func (ra *race) counts(re result) bool {
	ra.waiting--
	switch {
	case re.err != nil:
		if ra.err == nil || re.lane == 0 {
			ra.err = re.err
		}
		return false
	case ra.waiting > 0 && re.turnedAway():
		ra.cancels[re.lane]()
		_ = re.resp.Body.Close()
		return false
	}
	return true
}

// send sends a request beside those that wait.
func (ra *race) send(tr *http.Transport, req *http.Request) {
	ctx, cancel := context.WithCancel(req.Context())
	lane := len(ra.cancels)
	ra.cancels = append(ra.cancels, cancel)
	ra.waiting++
	go func() {
		resp, err := ra.ro.once(tr, req.WithContext(ctx))
		select {
		case ra.results <- result{resp: resp, err: err, lane: lane}:
		case <-ra.over:
			if err == nil {
				_ = resp.Body.Close()
			}
		}
	}()
}

// won ends all others. If a new connection was quicker, the one before it is silent,
// and so are likely those that nothing uses.
func (ra *race) won(req *http.Request, re result) *http.Response {
	ra.end(re.lane)
	if re.lane > 0 {
		ra.ro.closeIdle(req.URL.Host, "a new connection answered sooner")
	}
	re.resp.Body = &winner{ReadCloser: re.resp.Body, end: ra.cancels[re.lane]}
	return re.resp
}

// end ends all but one.
func (ra *race) end(except int) {
	for lane, cancel := range ra.cancels {
		if lane != except {
			cancel()
		}
	}
}

// winner is the body of the answer that counts.
type winner struct {
	io.ReadCloser

	end context.CancelFunc
}

// Close implements io.Closer.
func (wi *winner) Close() error {
	defer wi.end()
	return wi.ReadCloser.Close()
}
