package sched

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLoadOverANarrowLink: a cell with many jobs had owners that never served it.
//
// Users saw tasks that lasted end and not run again, with room for them, and all requests
// fail until the end. Order of events: an owner is replaced; some hundred jobs wait, each
// with a payload of some thousand bytes; the next owner reads all of them within four
// seconds or begins anew, and its link is too narrow for that. It keeps the cell, as its
// heartbeats get through.
//
// Evidence: "cell not loaded yet" again and again in the new owner's log, with the
// deadline of its reading as the reason, over a link that is full of answers of the store.
func TestLoadOverANarrowLink(t *testing.T) {
	for name, rate := range map[string]int{"2 Mbit/s": 250_000, "0.2 Mbit/s": 25_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				la := newLab(t, 1)
				la.fleet.RunFunc = runUntilStopped
				ow, end := la.own()
				time.Sleep(time.Second)
				const jobs = 400
				for n := range jobs {
					sp := batch(1, 20)
					sp.Payload = strings.Repeat("x", 4000)
					qt.Assert(t, la.submit(ow, n, sp).Outcome, qt.Equals, Accepted)
				}
				time.Sleep(time.Second)
				end()
				la.readRate = rate
				// The time that the bytes take, and half as much again.
				bytes := jobs * 4500
				most := time.Duration(bytes) * time.Second * 3 / 2 / time.Duration(rate)
				next, loaded, end := la.begin()
				defer end()
				select {
				case err := <-loaded:
					qt.Assert(t, err, qt.IsNil)
				case <-time.After(most):
					t.Fatalf("not loaded after %v", most)
				}
				list, err := next.List(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, list, qt.HasLen, jobs)
			})
		})
	}
}
