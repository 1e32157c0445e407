package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFullWorkersAreSearchedOnce guards against a search of all full workers for each waiting step.
func TestFullWorkersAreSearchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 4)
		ow := la.startLongRunning(64)
		for n := range 20 {
			sp := longRunningOf(2, 8)
			sp.Steps[0].MaxPerWorker = 1
			la.submit(ow, 10+n, sp)
		}
		time.Sleep(time.Second)
		rated := make(chan int64)
		ow.post(func() {
			before := ow.lag.Current().Rated
			ow.place()
			rated <- ow.lag.Current().Rated - before
		})
		qt.Check(t, <-rated, qt.Equals, int64(len(la.fleetWorkers)))
	})
}
