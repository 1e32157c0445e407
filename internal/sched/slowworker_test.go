package sched

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/speed"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// slowLab is a cell of four workers, the first of which takes the factor times as long. Tasks
// take half of their estimate.
type slowLab struct {
	*lab
	ow     *Owner
	factor atomic.Int64
	jobs   int
	// foundAt is when the first worker was first seen to count as slow.
	foundAt time.Time
}

func newSlowLab(t *testing.T, without Mechanism) *slowLab {
	t.Helper()
	sl := &slowLab{lab: newLab(t, 4)}
	sl.factor.Store(1)
	length := func(worker.Attempt) (time.Duration, string) { return time.Second, "done" }
	sl.fleet.RunFunc = length
	sl.fleetWorkers[0].RunFunc = func(worker.Attempt) (time.Duration, string) {
		return time.Duration(sl.factor.Load()) * time.Second, "done"
	}
	ow, end := sl.startOwner()
	t.Cleanup(end)
	ow.post(func() { ow.Without = without })
	sl.ow = ow
	time.Sleep(time.Second)
	return sl
}

// submitFor submits jobs of two tasks each, which use a third of the workers, for a time. It returns
// the largest slowdown of the first worker meanwhile: once its
// tasks were moved, nothing supports the verdict.
func (sl *slowLab) submitFor(d time.Duration) float64 {
	most := 0.0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		sl.jobs++
		sp := batch(1, 2)
		sp.Steps[0].Checkpoints, sp.Steps[0].EstimateMS = false, 2000
		sl.submit(sl.ow, sl.jobs, sp)
		_, slowdown := sl.speeds(sl.ow)
		if most = max(most, slowdown); most >= speed.MinSlowdown && sl.foundAt.IsZero() {
			sl.foundAt = time.Now()
		}
	}
	return most
}

// speeds returns the learnt ratio and the slowdown of the first worker.
func (sl *slowLab) speeds(ow *Owner) (ratio, slowdown float64) {
	got, err := call(context.Background(), ow, func(answer func([2]float64)) {
		wk := ow.workers[sl.fleetWorkers[0].Addr.Incarnation]
		answer([2]float64{ow.durations.model.Ratio(speed.Kind{Queue: "q"}), wk.speed.Slowdown(time.Now())})
	})
	qt.Assert(sl.t, err, qt.IsNil)
	return got[0], got[1]
}

// runsOnFirst counts the runs on the first worker since a time that select.
func (sl *slowLab) runsOnFirst(since time.Time, selects func(*standin.FleetRun) bool) int {
	n := 0
	for _, ru := range sl.fleet.Runs() {
		if ru.Worker == sl.fleetWorkers[0].Addr.Incarnation && ru.From.After(since) && selects(&ru) {
			n++
		}
	}
	return n
}

// TestSlowWorker has a worker turn five times slower. It guards against tasks that go on being
// placed there, tasks that stay there, and an owner that takes an earlier owner's verdict over.
func TestSlowWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newSlowLab(t, 0)
		sl.submitFor(15 * time.Second)
		ratio, slowdown := sl.speeds(sl.ow)
		qt.Assert(t, math.Abs(ratio-0.5) < 0.1, qt.IsTrue, qt.Commentf("ratio %.3f", ratio))
		qt.Assert(t, slowdown, qt.Equals, 1.0)
		// The factor applies to tasks that start, so those that run are awaited.
		time.Sleep(1500 * time.Millisecond)
		sl.factor.Store(5)
		turned := time.Now()
		slowdown = sl.submitFor(4 * time.Second)
		qt.Assert(t, slowdown > 3, qt.IsTrue, qt.Commentf("slowdown %.1f", slowdown))
		placed := func(ru *standin.FleetRun) bool { return ru.From.Before(sl.foundAt.Add(800 * time.Millisecond)) }
		qt.Check(t, sl.runsOnFirst(sl.foundAt.Add(100*time.Millisecond), placed), qt.Equals, 0)
		qt.Check(t, sl.runsOnFirst(turned, func(ru *standin.FleetRun) bool { return ru.Outcome == "stopped" }) > 0, qt.IsTrue)
		next, end := sl.startOwner()
		t.Cleanup(end)
		time.Sleep(200 * time.Millisecond)
		ratio, slowdown = sl.speeds(next)
		qt.Check(t, math.Abs(ratio-0.5) < 0.1, qt.IsTrue, qt.Commentf("ratio %.3f after the takeover", ratio))
		qt.Check(t, slowdown, qt.Equals, 1.0)
		time.Sleep(10 * time.Second)
		sl.assertRunsConsistent()
	})
}

// TestSlowWorkerMechanisms checks that without the mechanisms a slow worker is treated as before.
func TestSlowWorkerMechanisms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newSlowLab(t, MechSlowLast|MechMoveOffSlow)
		sl.submitFor(10 * time.Second)
		sl.factor.Store(5)
		turned := time.Now()
		sl.submitFor(8 * time.Second)
		qt.Check(t, sl.runsOnFirst(turned.Add(2*time.Second), func(*standin.FleetRun) bool { return true }) > 0, qt.IsTrue)
		qt.Check(t, sl.runsOnFirst(turned, func(ru *standin.FleetRun) bool { return ru.Outcome == "stopped" }), qt.Equals, 0)
	})
}

// TestSilentWorkerIsNotSlow guards against a verdict on a worker for the time in which it did not
// answer, or for which its process was replaced.
func TestSilentWorkerIsNotSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sl := newSlowLab(t, 0)
		sl.submitFor(10 * time.Second)
		sl.fleetWorkers[0].Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		qt.Check(t, sl.submitFor(2*time.Second), qt.Equals, 1.0)
		sl.fleetWorkers[0].Faults.Set(standin.Fault{})
		qt.Check(t, sl.submitFor(time.Second), qt.Equals, 1.0)
		sl.fleetWorkers[0] = sl.fleet.Restart(sl.fleetWorkers[0], "10.0.0.9:80", 0)
		sl.ow.SetWorkers(sl.workerEntries(), nil, true)
		time.Sleep(500 * time.Millisecond)
		qt.Check(t, sl.submitFor(3*time.Second), qt.Equals, 1.0)
	})
}

// TestLearntRatioDecidesFeasibility has a job whose tasks take a fifth of their estimate.
func TestLearntRatioDecidesFeasibility(t *testing.T) {
	ow := ownerWithoutLoop(t)
	tj := addJob(ow, 1, job.Step{Tasks: 1, EstimateMS: 1000})
	tj.targetMS = 500
	ow.restoreDurations(storedDurations{durationsRow: durationsRow{Kinds: []speed.KindEstimate{{First: 19, Weights: []int{100}}}}})
	qt.Assert(t, tj.evaluateFeasibility(time.Now()), qt.Equals, inTime)
	ow.Without = MechLearntDurations
	qt.Assert(t, tj.evaluateFeasibility(time.Now()), qt.Equals, late)
}
