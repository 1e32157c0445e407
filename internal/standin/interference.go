package standin

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Interference has the tasks on each worker of a [Fleet] disturb each other, as the
// users describe it: services share the processors that they were given, fillers
// get what the others leave idle, and both lengthen the tails of services. Set its
// fields, put it into the fleet, and call [Fleet.Advance] again and again.
//
// A service's headroom, its target over its tail, starts from Most at no load,
// falls with its own load, and falls by so much per share of the worker's
// processors that each filler takes.
type Interference struct {
	// StepFunc returns what a task is.
	StepFunc func(at worker.Attempt) *job.Step
	// DropFunc returns by how much the headroom of a service's image falls if a
	// filler's image takes a whole worker.
	DropFunc func(service, filler string) float64
	// LoadFunc returns the share of its processors that a service uses now.
	LoadFunc func(at worker.Attempt, now time.Time) float64
	// Most is the headroom at no load.
	MaxHeadroom float64
	// Rough is the part by which figures are off.
	Noise float64
	// Rng draws what is rough; it must be set if Rough is.
	Rand *rand.Rand
}

// leastHeadroom bounds tails: one is this many times over its target at most.
const leastHeadroom = 0.1

// Advance lets time pass for the fillers and services of all workers. Fillers
// whose work is done end.
func (fl *Fleet) Advance(d time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, fw := range fl.workers {
		if !fw.dead {
			fl.Interference.advance(fw, d)
		}
	}
}

// advance lets time pass on one worker.
func (wo *Interference) advance(fw *FleetWorker, d time.Duration) {
	now := time.Now()
	idle, wanted := float64(fw.Capacity.MilliCores), 0.0
	for _, ta := range fw.running {
		st := wo.StepFunc(ta.run.Attempt)
		each := float64(st.Each.MilliCores)
		switch {
		case st.Filler:
			wanted += each * ta.speed()
		case st.HasTarget():
			idle -= each * wo.LoadFunc(ta.run.Attempt, now)
		default:
			idle -= each
		}
	}
	got := 1.0
	if wanted > 0 {
		got = min(max(idle, 0)/wanted, 1)
	}
	wo.work(fw, got, d)
	wo.serve(fw, now, d)
}

// work has the fillers work at a part of their pace.
func (wo *Interference) work(fw *FleetWorker, got float64, d time.Duration) {
	for name, ta := range fw.running {
		st := wo.StepFunc(ta.run.Attempt)
		if !st.Filler {
			continue
		}
		ta.used = float64(st.Each.MilliCores) * ta.speed() * got
		ta.usage = int64(ta.used * wo.rough())
		ta.worked += time.Duration(float64(d) * ta.speed() * got)
		if ta.worked >= ta.target {
			fw.end(name, ta.how)
		}
	}
}

// serve has the services serve beside the fillers.
func (wo *Interference) serve(fw *FleetWorker, now time.Time, d time.Duration) {
	for _, ta := range fw.running {
		st := wo.StepFunc(ta.run.Attempt)
		if !st.HasTarget() {
			continue
		}
		alone := wo.MaxHeadroom * (1 - wo.LoadFunc(ta.run.Attempt, now))
		left := alone - wo.drops(fw, st.Image)
		ta.usage = max(int64(float64(st.TargetMS)/max(left, leastHeadroom)*wo.rough()), 1)
		ta.run.ServingTime += d
		switch {
		case left >= 1:
		case alone >= 1:
			ta.run.OverTargetByFillers += d
		default:
			ta.run.OverTargetByLoad += d
		}
	}
}

// drops is by how much the fillers at work lower a service's headroom.
func (wo *Interference) drops(fw *FleetWorker, image string) float64 {
	sum := 0.0
	for _, ta := range fw.running {
		if st := wo.StepFunc(ta.run.Attempt); st.Filler {
			sum += wo.DropFunc(image, st.Image) * ta.used / float64(fw.Capacity.MilliCores)
		}
	}
	return sum
}

// rough is a factor about 1.
func (wo *Interference) rough() float64 {
	if wo.Noise == 0 {
		return 1
	}
	return math.Exp(wo.Noise * wo.Rand.NormFloat64())
}

// speed is the part of its speed at which a task was told to work.
func (ta *fleetTask) speed() float64 {
	if !ta.paced {
		return 1
	}
	return float64(ta.pace) / 100
}
