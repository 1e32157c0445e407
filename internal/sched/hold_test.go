package sched

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// harmAfter is the bound of the lab's owners on how long fillers may keep a service over its target,
// paceDelay how long its workers take until an ordered pace is in effect.
const (
	harmAfter = 4 * time.Second
	paceDelay = 100 * time.Millisecond
)

// Times of services under waves of load in the lab.
const (
	loadPeriod = 16 * time.Second
	lowLoad    = 6 * time.Second
	loadWaves  = 6
	fillerWork = time.Minute
	// lateOrderPhase is the time within a wave at which late orders are carried out.
	lateOrderPhase = lowLoad + 4500*time.Millisecond
	loadStep       = 50 * time.Millisecond
)

// loadPhase returns the time within a wave.
func loadPhase(now time.Time) time.Duration { return time.Duration(now.UnixNano()) % loadPeriod }

// newLoadWavesLab returns a lab whose workers each run a service and a filler. The service exceeds
// its target because of the filler during the second part of each wave of its own load.
func newLoadWavesLab(t *testing.T, workers int, mf *standin.MessageFaults) *lab {
	t.Helper()
	la := newLab(t, workers)
	mf.Rand, mf.MaxLostInRow = rand.New(rand.NewPCG(1, 3)), 2
	mf.ResumeDelayFunc = func() time.Duration { return loadPeriod - loadPhase(time.Now()) + lateOrderPhase }
	la.fleet.Faults = mf
	la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		id, ref, _ := job.ParseTaskID(at.Task)
		if la.spec(id).Steps[ref.Step].LongRunning {
			return -1, ""
		}
		return fillerWork, "done"
	}
	la.fleet.Interference = &standin.Interference{
		StepFunc: func(at worker.Attempt) *job.Step {
			id, ref, _ := job.ParseTaskID(at.Task)
			return &la.spec(id).Steps[ref.Step]
		},
		DropFunc: func(string, string) float64 { return 3 },
		LoadFunc: func(_ worker.Attempt, now time.Time) float64 {
			if loadPhase(now) < lowLoad {
				return 0.1
			}
			return 0.7
		},
		MaxHeadroom: 6, Noise: 0.1, Rand: rand.New(rand.NewPCG(1, 2)), Window: usageWindow, PaceDelay: paceDelay,
	}
	return la
}

// submitServicesAndFillers submits a service and a filler for each worker.
func (la *lab) submitServicesAndFillers(ow *Owner, workers int) {
	for i := range workers {
		la.submit(ow, i, job.Spec{Steps: []job.Step{{
			Tasks: 1, Each: worker.Resources{MilliCores: 17_000, MemMB: 8000}, LongRunning: true, TargetMS: testTargetMS, Image: "s",
		}}})
	}
	time.Sleep(3 * time.Second)
	la.submit(ow, workers, job.Spec{Steps: []job.Step{{
		Tasks: 2 * workers, Each: worker.Resources{MilliCores: 14_000, MemMB: 8000}, EstimateMS: fillerWork.Milliseconds(), Checkpoints: true, Filler: true, Image: "f",
	}}})
}

// longestOverTarget returns the longest time for which fillers kept a service over its target, and
// for how long they did so in total.
func (la *lab) longestOverTarget() (longest, total time.Duration) {
	for _, ru := range la.fleet.Runs() {
		longest, total = max(longest, ru.LongestOverTarget), total+ru.OverTargetByFillers
	}
	return longest, total
}

// assertHeldInTime checks that fillers keep no service over its target for longer than the bound.
// If takeOver is set, another owner takes over in the midst of each time over the target.
func assertHeldInTime(t *testing.T, mf *standin.MessageFaults, takeOver bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const workers = 24
		la := newLoadWavesLab(t, workers, mf)
		ctx, cancel := context.WithCancel(t.Context())
		go la.fleet.AdvanceUntil(ctx, loadStep)
		ow, stop := la.startOwner()
		la.submitServicesAndFillers(ow, workers)
		start := time.Now()
		for wave := range loadWaves {
			if takeOver {
				time.Sleep(time.Until(start.Add(time.Duration(wave)*loadPeriod + loadPeriod/2)))
				stop()
				_, stop = la.startOwner()
			}
			time.Sleep(time.Until(start.Add(time.Duration(wave+1) * loadPeriod)))
		}
		longest, total := la.longestOverTarget()
		t.Logf("longest %v, total %v", longest, total)
		qt.Check(t, total > 0, qt.IsTrue)
		qt.Check(t, longest < harmAfter, qt.IsTrue, qt.Commentf("%v", longest))
		stop()
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Parts of the messages that are disturbed, and by how much.
const (
	disturbedPart = 0.25
	lateAnswerBy  = 600 * time.Millisecond
)

func TestFillersAreHeldInTime(t *testing.T) {
	assertHeldInTime(t, &standin.MessageFaults{}, false)
}

// TestLateAnswersDelayNoHold guards against a deadline that is counted from the first figure over
// the target and checked only when a poll is answered.
func TestLateAnswersDelayNoHold(t *testing.T) {
	assertHeldInTime(t, &standin.MessageFaults{LateAnswers: disturbedPart, LateBy: lateAnswerBy}, false)
}

// TestLostPaceOrdersDelayNoHold guards against orders that are repeated only with the next poll.
func TestLostPaceOrdersDelayNoHold(t *testing.T) {
	assertHeldInTime(t, &standin.MessageFaults{LostPaces: disturbedPart}, false)
}

func TestLateAnswersAndLostPaceOrdersDelayNoHold(t *testing.T) {
	assertHeldInTime(t, &standin.MessageFaults{LateAnswers: disturbedPart, LateBy: lateAnswerBy, LostPaces: disturbedPart}, false)
}

// TestLatePaceOrdersEndNoHold guards against holds that are believed and not checked.
func TestLatePaceOrdersEndNoHold(t *testing.T) {
	assertHeldInTime(t, &standin.MessageFaults{LateResumes: disturbedPart}, false)
}

// TestTakeoversDelayNoHold guards against owners that count the time over the target from their
// own first figure.
func TestTakeoversDelayNoHold(t *testing.T) {
	assertHeldInTime(t, &standin.MessageFaults{}, true)
}
