package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// fillersOf returns a job of fillers.
func fillersOf(tasks int) job.Spec {
	return job.Spec{Steps: []job.Step{{
		Tasks: tasks, Each: worker.Resources{MilliCores: 16_000, MemMB: 60_000}, EstimateMS: 2000, Filler: true, Image: "f",
	}}}
}

// TestFewWorkersAreRatedForFillers guards against rounds whose cost grows with the size of the cell.
func TestFewWorkersAreRatedForFillers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 4*minFillerChoice)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		rated := func() int64 {
			n, err := call(t.Context(), ow, func(answer func(int64)) { answer(ow.lag.Current().Rated) })
			qt.Assert(t, err, qt.IsNil)
			return n
		}
		before := rated()
		la.submit(ow, 1, fillersOf(8))
		qt.Check(t, rated()-before <= minFillerChoice, qt.IsTrue, qt.Commentf("%d rated", rated()-before))
		time.Sleep(time.Second)
		qt.Check(t, la.runningOfJob(1), qt.Equals, 8)
	})
}

// TestFillersUseAllWorkers guards against fillers that wait although workers which were not rated at
// first take them.
func TestFillersUseAllWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 3 * minFillerChoice
		la := newLab(t, workers)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		for n := range 6 {
			la.submit(ow, n, fillersOf(workers/3))
		}
		time.Sleep(2 * time.Second)
		running := 0
		for n := range 6 {
			running += la.runningOfJob(n)
		}
		qt.Check(t, running, qt.Equals, 2*workers)
	})
}
