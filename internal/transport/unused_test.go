package transport

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/hedge"
)

// holdHandler returns a handler whose requests to /hold wait, and a function that
// releases one of them.
func holdHandler() (ha http.Handler, release func()) {
	released := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/hold", func(http.ResponseWriter, *http.Request) { <-released })
	return mux, func() { released <- struct{}{} }
}

// TestUnusedConnectionsAreClosedAfterTimeout guards against a host that uses an old
// configuration for 3 s longer than allowed. While a request waits for a new connection,
// another one becomes free and serves it, so that the new one is kept unused. All
// connections go silent, the call that waits for changes times out, and the idle
// connections are closed. If the unused one is kept, the next request takes it and loses
// the 3 s of its own deadline.
//
// This happened when the state of a connection was derived from reads and writes: one
// without either looked like one that waits for an answer.
func TestUnusedConnectionsAreClosedAfterTimeout(t *testing.T) {
	for count := range 6 {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ha, release := holdHandler()
				nw, end := NewNetwork(ha)
				defer end()
				hc := NewClientOver(nw, 6)
				defer hc.CloseIdleConnections()
				qt.Assert(t, nw.OpenUnused(hc, count, release), qt.IsNil)
				nw.Silence()
				get := func() error {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					return read(ctx, hc, "http://"+nw.Addr().String())
				}
				qt.Assert(t, get(), qt.IsNotNil)
				qt.Assert(t, get(), qt.IsNil)
			})
		})
	}
}

// TestClosingConnectionsFailsNoRequest closes connections all the time while requests
// take them. No request may fail by it, because a request that fails may have been
// executed.
func TestClosingConnectionsFailsNoRequest(t *testing.T) {
	const callers, requests = 4, 300
	cl := newTestClient(t)
	ro := cl.hc.Transport.(*roundTripper)
	done := make(chan struct{})
	var closing, asking sync.WaitGroup
	closing.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				ro.closeIdle(cl.proxy.Addr(), "test")
			}
		}
	})
	for range callers {
		asking.Go(func() {
			for range requests {
				qt.Check(t, cl.get("/", 10*time.Second), qt.IsNil)
			}
		})
	}
	asking.Wait()
	close(done)
	closing.Wait()
}

// TestRefusedHedgeDoesNotCount has a peer answer the first copy late and refuse the
// second because it is overloaded: the answer to the first copy counts.
func TestRefusedHedgeDoesNotCount(t *testing.T) {
	for _, tc := range []struct {
		name   string
		first  int
		second int
		want   int
	}{
		{"the second is unavailable", http.StatusOK, http.StatusServiceUnavailable, http.StatusOK},
		{"the second has too many requests", http.StatusOK, http.StatusTooManyRequests, http.StatusOK},
		{"both are refused", http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusServiceUnavailable},
		{"the second has a definite error", http.StatusOK, http.StatusGone, http.StatusGone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked atomic.Int64
				nw, end := NewNetwork(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if asked.Add(1) == 1 {
						time.Sleep(time.Second)
						w.WriteHeader(tc.first)
						return
					}
					w.WriteHeader(tc.second)
				}))
				defer func() {
					end()
					time.Sleep(time.Second)
				}()
				hc := NewClientOver(nw, 2)
				defer hc.CloseIdleConnections()
				ctx := hedge.NewContext(t.Context(), hedge.Policy{After: 800 * time.Millisecond})
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nw.Addr().String(), nil)
				qt.Assert(t, err, qt.IsNil)
				resp, err := hc.Do(req)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, resp.Body.Close(), qt.IsNil)
				qt.Check(t, resp.StatusCode, qt.Equals, tc.want)
			})
		})
	}
}
