package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Interference models how the tasks on each worker of a [Fleet] slow each other down, as
// users of the platform describe it: services share the processors allocated to them,
// fillers get the processors that the others leave idle, and both increase the tail
// latency of services. Set its fields, set it in the fleet, and call [Fleet.Advance]
// repeatedly.
//
// The headroom of a service is its latency target divided by its tail latency. It is
// MaxHeadroom without load, falls in proportion to its own load, and falls by the result
// of DropFunc times the share of the worker's processors that each filler uses.
type Interference struct {
	// StepFunc returns the step of an attempt.
	StepFunc func(at worker.Attempt) *job.Step
	// DropFunc returns by how much the headroom of a service falls if a filler uses all
	// processors of the worker, by the images of both.
	DropFunc func(service, filler string) float64
	// LoadFunc returns the share of its processors that a service uses at a time, from
	// 0 to 1.
	LoadFunc func(at worker.Attempt, now time.Time) float64
	// MaxHeadroom is the headroom of a service without load.
	MaxHeadroom float64
	// Window is the period that reported figures cover; 0 reports momentary ones. PaceDelay is
	// the time from an order to set a pace until it takes effect.
	Window, PaceDelay time.Duration
	// Noise is the standard deviation of the logarithm of the random factor on the
	// usage and tail latencies that workers report; 0 means none.
	Noise float64
	// Rand draws the noise; it must be set if Noise is.
	Rand *rand.Rand
}

// minHeadroom limits reported tail latencies to ten times the target.
const minHeadroom = 0.1

// Advance computes the next period of length d for the fillers and services of all workers
// under the fleet's Interference, and ends the fillers whose work is done.
func (fl *Fleet) Advance(d time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, fw := range fl.workers {
		if !fw.dead {
			fl.Interference.advance(fw, d)
		}
	}
}

// AdvanceUntil calls [Fleet.Advance] for each period of length d until ctx ends.
func (fl *Fleet) AdvanceUntil(ctx context.Context, d time.Duration) {
	ti := time.NewTicker(d)
	defer ti.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ti.C:
			fl.Advance(d)
		}
	}
}

// advance computes the next period of one worker.
func (in *Interference) advance(fw *FleetWorker, d time.Duration) {
	now := time.Now()
	idle, wanted := float64(fw.Capacity.MilliCores), 0.0
	for _, ta := range fw.running {
		st := in.StepFunc(ta.run.Attempt)
		each := float64(st.Each.MilliCores)
		switch {
		case st.Filler:
			wanted += each * ta.speed()
		case st.HasTarget():
			idle -= each * in.LoadFunc(ta.run.Attempt, now)
		default:
			idle -= each
		}
	}
	share := 1.0
	if wanted > 0 {
		share = min(max(idle, 0)/wanted, 1)
	}
	in.advanceFillers(fw, share, d)
	in.advanceServices(fw, now, d)
}

// advanceFillers adds the work of the fillers, each of which gets a share of the
// processors that it wants at its pace, and ends those that are done.
func (in *Interference) advanceFillers(fw *FleetWorker, share float64, d time.Duration) {
	for name, ta := range fw.running {
		st := in.StepFunc(ta.run.Attempt)
		if !st.Filler {
			continue
		}
		ta.used = float64(st.Each.MilliCores) * ta.speed() * share
		ta.usage = int64(ta.reported.mean(ta.used, in.Window, d) * in.noise())
		ta.worked += time.Duration(float64(d) * ta.speed() * share)
		if ta.worked >= ta.target {
			fw.end(name, ta.outcome)
		}
	}
}

// advanceServices computes the tail latencies of services beside the fillers, and adds up
// how long they are over their targets, and for how long without interruption.
func (in *Interference) advanceServices(fw *FleetWorker, now time.Time, d time.Duration) {
	for _, ta := range fw.running {
		st := in.StepFunc(ta.run.Attempt)
		if !st.HasTarget() {
			continue
		}
		withoutFillers := in.MaxHeadroom * (1 - in.LoadFunc(ta.run.Attempt, now))
		headroom := withoutFillers - in.headroomDrop(fw, st.Image)
		tail := ta.reported.mean(float64(st.TargetMS)/max(headroom, minHeadroom), in.Window, d)
		ta.usage = max(int64(tail*in.noise()), 1)
		ta.run.ServingTime += d
		ta.overTarget += d
		if headroom >= 1 {
			ta.overTarget = 0
		}
		switch {
		case headroom >= 1:
		case withoutFillers >= 1:
			ta.run.OverTargetByFillers += d
			ta.run.LongestOverTarget = max(ta.run.LongestOverTarget, ta.overTarget)
		default:
			ta.run.OverTargetByLoad += d
		}
	}
}

// headroomDrop returns by how much the running fillers lower a service's headroom.
func (in *Interference) headroomDrop(fw *FleetWorker, image string) float64 {
	sum := 0.0
	for _, ta := range fw.running {
		if st := in.StepFunc(ta.run.Attempt); st.Filler {
			sum += in.DropFunc(image, st.Image) * ta.used / float64(fw.Capacity.MilliCores)
		}
	}
	return sum
}

// setPace sets the pace of a task after the delay of the fleet's [Interference].
func (fw *FleetWorker) setPace(ta *fleetTask, percent int) {
	if in := fw.fl.Interference; in != nil && in.PaceDelay > 0 {
		time.AfterFunc(in.PaceDelay, func() {
			fw.fl.mu.Lock()
			defer fw.fl.mu.Unlock()
			ta.pace, ta.paced = percent, true
		})
		return
	}
	ta.pace, ta.paced = percent, true
}

// recent holds the latest values of a figure, one for each period of the model.
type recent []float64

// mean adds a value and returns the mean of those in the window, where each stands for a period
// of length d.
func (re *recent) mean(value float64, window, d time.Duration) float64 {
	*re = append(*re, value)
	if extra := len(*re) - max(int(window/d), 1); extra > 0 {
		*re = (*re)[extra:]
	}
	sum := 0.0
	for _, x := range *re {
		sum += x
	}
	return sum / float64(len(*re))
}

// noise returns a random factor with a median of 1.
func (in *Interference) noise() float64 {
	if in.Noise == 0 {
		return 1
	}
	return math.Exp(in.Noise * in.Rand.NormFloat64())
}

// speed returns the ordered pace of a task as a part of its full speed.
func (ta *fleetTask) speed() float64 {
	if !ta.paced {
		return 1
	}
	return float64(ta.pace) / 100
}
