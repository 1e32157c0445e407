package sched

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLoadOverSlowLink guards against owners that never serve a cell with many jobs. Some
// hundred jobs wait, each with a payload of some thousand bytes, when the owner is replaced.
// If the next owner starts over when it has not read all rows within four seconds, it never
// finishes over a slow link. It keeps the cell, because its heartbeats get through, so tasks
// do not restart and all requests fail.
func TestLoadOverSlowLink(t *testing.T) {
	for name, rate := range map[string]int{"2 Mbit/s": 250_000, "0.2 Mbit/s": 25_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				la := newLab(t, 1)
				la.fleet.RunFunc = runUntilStopped
				ow, end := la.startOwner()
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
				// The transfer time of the bytes plus 50%.
				bytes := jobs * 4500
				timeout := time.Duration(bytes) * time.Second * 3 / 2 / time.Duration(rate)
				next, loaded, end := la.startLoading()
				defer end()
				select {
				case err := <-loaded:
					qt.Assert(t, err, qt.IsNil)
				case <-time.After(timeout):
					t.Fatalf("not loaded after %v", timeout)
				}
				list, err := next.List(t.Context())
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, list, qt.HasLen, jobs)
			})
		})
	}
}
