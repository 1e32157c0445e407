package e2e

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/jobapi"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times of services beside fillers.
const (
	// harmAfter is how long fillers may keep a service over its target, paceDelay how long a
	// worker takes until an ordered pace is in effect.
	harmAfter = 4 * time.Second
	paceDelay = 100 * time.Millisecond
	// loadPeriod is the period of the services' own load, which is low at first for lowLoad.
	loadPeriod = 10 * time.Second
	lowLoad    = 3 * time.Second
	loadWaves  = 3
	// modelStep is the time step of the model of workers.
	modelStep  = 20 * time.Millisecond
	fillerWork = time.Minute
)

// Ids of the jobs.
const (
	servicesID = "00000000000000a0"
	fillersID  = "00000000000000a1"
)

// servicesAndFillers are the steps of the jobs: a service and a filler for each worker.
var servicesAndFillers = map[string]job.Step{
	servicesID: {Tasks: fleetWorkers, Each: worker.Resources{MilliCores: 17_000, MemMB: 8000}, LongRunning: true, TargetMS: 24, Image: "s"},
	fillersID:  {Tasks: fleetWorkers, Each: worker.Resources{MilliCores: 14_000, MemMB: 8000}, EstimateMS: fillerWork.Milliseconds(), Checkpoints: true, Filler: true, Image: "f"},
}

// newLoadModel returns a model in which the services exceed their targets because of the fillers
// whenever their own load is high.
func newLoadModel(start time.Time, seed uint64) *standin.Interference {
	return &standin.Interference{
		StepFunc: func(at worker.Attempt) *job.Step {
			id, _, _ := job.ParseTaskID(at.Task)
			st := servicesAndFillers[id]
			return &st
		},
		DropFunc: func(string, string) float64 { return 3 },
		LoadFunc: func(_ worker.Attempt, now time.Time) float64 {
			if now.Sub(start)%loadPeriod < lowLoad {
				return 0.1
			}
			return 0.7
		},
		MaxHeadroom: 6, Noise: 0.1, Rand: rand.New(rand.NewPCG(seed, 1)), Window: 500 * time.Millisecond, PaceDelay: paceDelay,
	}
}

// advance advances the model of workers until ctx ends, and returns the longest time for which it
// did not get to run.
func (cl *jobCluster) advance(ctx context.Context) (stalled time.Duration) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(modelStep)
		now := time.Now()
		cl.fleet.Advance(now.Sub(last))
		stalled = max(stalled, now.Sub(last)-modelStep)
		last = now
	}
	return stalled
}

// TestFillersAreHeldInTimeByProcesses guards against services that stay over their targets beside
// fillers because answers of workers come late and pace orders are lost.
func TestFillersAreHeldInTimeByProcesses(t *testing.T) {
	c := qt.New(t)
	seed := proptest.Seed(t)
	cl := newJobCluster(c)
	cl.fleet.Interference = newLoadModel(time.Now(), seed)
	cl.fleet.Faults = &standin.MessageFaults{Rand: rand.New(rand.NewPCG(seed, 2)), LateAnswers: 0.1, LateBy: 600 * time.Millisecond, LostPaces: 0.1, MaxLostInRow: 1}
	cl.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		if id, _, _ := job.ParseTaskID(at.Task); id == servicesID {
			return -1, ""
		}
		return fillerWork, "done"
	}
	cl.startHosts()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stalled := make(chan time.Duration)
	go func() { stalled <- cl.advance(ctx) }()
	for _, id := range []string{servicesID, fillersID} {
		before := cl.running()
		cl.submitUntilAccepted(jobapi.Submission{ID: id, Queue: "q", Spec: job.Spec{Steps: []job.Step{servicesAndFillers[id]}}})
		cl.await("all tasks run", func() bool { return cl.running() == before+fleetWorkers })
	}
	time.Sleep(loadWaves * loadPeriod)
	cancel()
	// The bound does not count time for which this machine ran nothing.
	bound := harmAfter + <-stalled
	var longest, total time.Duration
	for _, ru := range cl.fleet.Runs() {
		longest, total = max(longest, ru.LongestOverTarget), total+ru.OverTargetByFillers
	}
	c.Logf("longest %v of %v, total %v", longest, bound, total)
	c.Check(total > 0, qt.IsTrue)
	c.Check(longest < bound, qt.IsTrue, qt.Commentf("%v of %v", longest, bound))
}
