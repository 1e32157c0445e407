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

// holder serves a network in which requests to /hold wait for a word.
func holder() (ha http.Handler, release func()) {
	word := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/hold", func(http.ResponseWriter, *http.Request) { <-word })
	return mux, func() { word <- struct{}{} }
}

// TestConnectionsThatWereNeverUsed is the story of changes that came late at single
// hosts, as far as connections go.
//
// What users saw: a host answered by the configuration before, for 3 s longer than it
// may. Order of events: while a request waits for a connection of its own another one
// gets free and serves it, so that the new one is kept and was never used; all
// connections go silent; the call that waits for changes runs into its deadline, and
// the idle connections are closed; the reading that follows takes the one that was
// never used, and loses the 3 s of its own deadline.
//
// Evidence: a host's lines "connections given up .. unused=1" as the first call
// ended, "unused=0" and one more that waits half a second later, and "store answers ..
// took=3.02s". Below, each connection that was never used cost a call its deadline.
//
// The cause was that use was told from reads and writes: a connection without either
// looked like one whose answer is awaited. It now follows what net/http hands out.
func TestConnectionsThatWereNeverUsed(t *testing.T) {
	for spares := range 6 {
		t.Run(fmt.Sprint(spares), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ha, release := holder()
				pi, end := NewPipes(ha)
				defer end()
				hc := NewClientOver(pi, 6)
				defer hc.CloseIdleConnections()
				qt.Assert(t, pi.Spares(hc, spares, release), qt.IsNil)
				pi.Silence()
				get := func() error {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					return read(ctx, hc, "http://"+pi.Addr().String())
				}
				qt.Assert(t, get(), qt.IsNotNil)
				qt.Assert(t, get(), qt.IsNil)
			})
		})
	}
}

// TestNoRequestIsLostToClosing has connections be given up over and over, while requests
// take them: none may fail by it, as one that did might have been carried out.
func TestNoRequestIsLostToClosing(t *testing.T) {
	const callers, requests = 4, 300
	wy := newWay(t)
	ro := wy.hc.Transport.(*roundTripper)
	done := make(chan struct{})
	var closing, asking sync.WaitGroup
	closing.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				ro.closeIdle(wy.line.Addr(), "it is tried")
			}
		}
	})
	for range callers {
		asking.Go(func() {
			for range requests {
				qt.Check(t, wy.get("/", 10*time.Second), qt.IsNil)
			}
		})
	}
	asking.Wait()
	close(done)
	closing.Wait()
}

// TestDoubledRequestThatIsTurnedAway has a peer answer late, and turn away what comes
// beside: the answer to the first request counts, and not that to one that was only sent
// for safety.
func TestDoubledRequestThatIsTurnedAway(t *testing.T) {
	for _, tc := range []struct {
		name   string
		first  int
		second int
		want   int
	}{
		{"the second is turned away", http.StatusOK, http.StatusServiceUnavailable, http.StatusOK},
		{"the second has too many beside it", http.StatusOK, http.StatusTooManyRequests, http.StatusOK},
		{"both are turned away", http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusServiceUnavailable},
		{"the second says that something is gone", http.StatusOK, http.StatusGone, http.StatusGone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var asked atomic.Int64
				pi, end := NewPipes(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
				hc := NewClientOver(pi, 2)
				defer hc.CloseIdleConnections()
				ctx := hedge.NewContext(t.Context(), hedge.Policy{After: 800 * time.Millisecond})
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+pi.Addr().String(), nil)
				qt.Assert(t, err, qt.IsNil)
				resp, err := hc.Do(req)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, resp.Body.Close(), qt.IsNil)
				qt.Check(t, resp.StatusCode, qt.Equals, tc.want)
			})
		})
	}
}
