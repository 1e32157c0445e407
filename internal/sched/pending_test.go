package sched

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// assertPending checks the number of pending jobs of the queue.
func (la *lab) assertPending(ow *Owner, want int) {
	la.t.Helper()
	n, err := ow.Pending(context.Background(), "q")
	qt.Assert(la.t, err, qt.IsNil)
	qt.Assert(la.t, n, qt.Equals, want)
}

// TestJobsThatNeverBeganArePending guards against accepted jobs that are not counted as pending once orders to start
// their tasks were sent, although no worker has begun one: the only worker is lost, or refuses them.
func TestJobsThatNeverBeganArePending(t *testing.T) {
	const jobs = 4
	for _, takeover := range []bool{false, true} {
		for _, back := range []bool{false, true} {
			t.Run(fmt.Sprintf("takeover %v/worker is back %v", takeover, back), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					la := newLab(t, 1)
					ow, end := la.startOwner()
					defer func() { end() }()
					time.Sleep(time.Second)
					la.submit(ow, 100, batch(1, 1))
					time.Sleep(3 * time.Second)
					la.assertPending(ow, 0)
					la.fleetWorkers[0].Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
					for i := range jobs {
						la.submit(ow, 1+i, batch(1, 1))
					}
					time.Sleep(5 * time.Second)
					la.assertPending(ow, jobs)
					if takeover {
						end()
						ow, end = la.startOwner()
					}
					time.Sleep(15 * time.Second)
					la.assertPending(ow, jobs)
					if back {
						la.fleetWorkers[0].Faults.Set(standin.Fault{})
						time.Sleep(30 * time.Second)
						la.assertPending(ow, 0)
					}
				})
			})
		}
	}
}
