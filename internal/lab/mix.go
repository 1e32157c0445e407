// Package lab simulates days of a synthetic deployment in virtual time, with the real
// owner of a cell and stand-ins for everything else, to measure the gain of a policy
// or of better knowledge.
//
// It is simpler than production: the only owner never fails, the store always answers,
// and workers fail only by restarting. So it compares policies, but doesn't predict
// what users get. Besides the real policy it simulates bounds: an owner that knows how
// images disturb each other, one that knows the true run times, and workers without
// disturbance. Only tests have virtual time, so it is run by its tests:
//
//	go test ./internal/lab -run TestExperiment -v -lab -lab.seeds 8
package lab

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
)

// LogNormal is a log-normal distribution with the given mean and the standard deviation
// Sigma of the logarithm. Samples are cut off at Max if that is not 0.
type LogNormal struct {
	Mean  float64 `json:"mean"`
	Sigma float64 `json:"off"`
	Max   float64 `json:"most"`
}

// sample returns a random number.
func (ln LogNormal) sample(rn *rand.Rand) float64 {
	x := ln.Mean * math.Exp(ln.Sigma*rn.NormFloat64()-ln.Sigma*ln.Sigma/2)
	if ln.Max > 0 {
		x = min(x, ln.Max)
	}
	return x
}

// sampleCount returns a random whole number, at least 1.
func (ln LogNormal) sampleCount(rn *rand.Rand) int { return max(int(math.Round(ln.sample(rn))), 1) }

// BatchJobs describes the batch jobs of one class.
type BatchJobs struct {
	// Rate is the mean number of arrivals per second, Value that of a job of mean work
	// that is in time.
	Rate  float64 `json:"per_second"`
	Value float64 `json:"worth"`
	// Steps is the number of steps per job, Tasks that of tasks per step.
	Steps LogNormal `json:"steps"`
	Tasks LogNormal `json:"tasks"`
	// RunMS is the true run time of a step's tasks in milliseconds, EstimateSigma the
	// standard deviation of the logarithm of estimate over true run time.
	RunMS         LogNormal `json:"run_ms"`
	EstimateSigma float64   `json:"declared"`
	// MilliCores and MemMB are the resources of a task.
	MilliCores LogNormal `json:"milli_cores"`
	MemMB      float64   `json:"mem_mb"`
	// Stretch and AllowanceMS are those of the queue, which determine target durations.
	Stretch     float64 `json:"stretch"`
	AllowanceMS int64   `json:"allowance_ms"`
	// Priority is that of the queue, Filler says whether the tasks are fillers, and
	// Images is the number of different images of fillers.
	Priority int  `json:"priority"`
	Filler   bool `json:"filler"`
	Images   int  `json:"images"`
}

// Services describes the services, which are submitted at the start.
type Services struct {
	// Jobs is the number of services, Tasks that of tasks per service, and Value that of
	// a service per second in which all its tasks run within the latency target.
	Jobs  int       `json:"jobs"`
	Tasks LogNormal `json:"tasks"`
	Value float64   `json:"worth"`
	// MilliCores and MemMB are the resources of a task.
	MilliCores LogNormal `json:"milli_cores"`
	MemMB      float64   `json:"mem_mb"`
	// Images is the number of different images, TargetMS the latency target, and
	// Headroom the ratio of the target to the tail latency at no load.
	Images   int     `json:"images"`
	TargetMS int64   `json:"target_ms"`
	Headroom float64 `json:"headroom"`
	// Load is the mean fraction of their processor allocation in use. It varies as a
	// sine with relative amplitude Swing and a period of SwingS seconds.
	Load   float64 `json:"load"`
	Swing  float64 `json:"swing"`
	SwingS float64 `json:"swing_s"`
	// SpreadFraction is the fraction of services with at most one task per worker.
	SpreadFraction float64 `json:"apart"`
}

// Mix is a deployment and its load.
type Mix struct {
	Name string `json:"name"`
	// Seconds is for how long batch jobs arrive.
	Seconds int `json:"seconds"`
	// Workers is the number of workers. MilliCores and MemMB are their resources; a
	// third of them have half as much again.
	Workers    int   `json:"workers"`
	MilliCores int64 `json:"milli_cores"`
	MemMB      int64 `json:"mem_mb"`
	// HeavyFraction is the fraction of pairs of a service's and a filler's image with
	// heavy disturbance. If the filler takes a whole worker, headroom drops by about
	// HeavyDrop, for other pairs by about LightDrop.
	HeavyFraction float64 `json:"heavy"`
	HeavyDrop     float64 `json:"heavy_drop"`
	LightDrop     float64 `json:"light_drop"`
	// MeasurementNoise is the standard deviation of the logarithm of reported over true
	// figures of the workers.
	MeasurementNoise float64 `json:"rough"`

	// Restarts describes worker restarts.
	Restarts Restarts `json:"restarts"`

	Services Services  `json:"services"`
	Fillers  BatchJobs `json:"fillers"`
	Short    BatchJobs `json:"short"`
}

// Restarts describes how workers restart under their IDs: every IntervalS seconds each
// with probability Fraction, with a downtime of up to MaxDowntimeMS milliseconds. With
// IntervalS 0 no worker restarts.
type Restarts struct {
	IntervalS     float64 `json:"every_s"`
	Fraction      float64 `json:"share"`
	MaxDowntimeMS int64   `json:"away_ms"`
}

// ReadMix reads a mix from a JSON file. Fields that the file leaves out are those of
// [DefaultMix].
func ReadMix(path string) (Mix, error) {
	mi := DefaultMix()
	data, err := os.ReadFile(path)
	if err != nil {
		return mi, fmt.Errorf("read mix: %w", err)
	}
	if err := json.Unmarshal(data, &mi); err != nil {
		return mi, fmt.Errorf("decode mix %s: %w", path, err)
	}
	return mi, nil
}

// DefaultMix returns a mix whose fillers ask for about the resources that the services
// leave.
func DefaultMix() Mix {
	return Mix{
		Name: "usual", Seconds: 30, Workers: 40, MilliCores: 40_000, MemMB: 160_000,
		HeavyFraction: 0.5, HeavyDrop: 11, LightDrop: 0.8, MeasurementNoise: 0.15,
		Services: Services{
			Jobs: 32, Tasks: LogNormal{Mean: 6, Sigma: 0.3, Max: 12}, Value: 0.2, MilliCores: LogNormal{Mean: 7500, Sigma: 0.25, Max: 12_000}, MemMB: 16_000,
			Images: 6, TargetMS: 40, Headroom: 5.5, Load: 0.45, Swing: 0.5, SwingS: 12, SpreadFraction: 0.5,
		},
		Fillers: BatchJobs{
			Rate: 6, Value: 1.2, Steps: LogNormal{Mean: 2, Sigma: 0.3, Max: 4}, Tasks: LogNormal{Mean: 8, Sigma: 0.5, Max: 30},
			RunMS: LogNormal{Mean: 1800, Sigma: 0.5, Max: 4500}, EstimateSigma: 0.8, MilliCores: LogNormal{Mean: 4000, Sigma: 0.3, Max: 8000}, MemMB: 8000,
			Stretch: 2, AllowanceMS: 1000, Priority: 2, Filler: true, Images: 9,
		},
		Short: BatchJobs{
			Rate: 4, Value: 0.4, Steps: LogNormal{Mean: 1.5, Sigma: 0.3, Max: 3}, Tasks: LogNormal{Mean: 5, Sigma: 0.6, Max: 20},
			RunMS: LogNormal{Mean: 700, Sigma: 0.4, Max: 2000}, EstimateSigma: 0.5, MilliCores: LogNormal{Mean: 2500, Sigma: 0.4, Max: 8000}, MemMB: 5000,
			Stretch: 1.5, AllowanceMS: 250,
		},
	}
}
