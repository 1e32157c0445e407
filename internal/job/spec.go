// Package job models a job: a graph of steps, the tasks of each step, and the state of
// each task.
//
// A [Job] changes only through its methods, which keep these invariants: a task has at
// most one attempt at a time, or two if its step allows copies; the tasks of a step start
// after all tasks of the steps before it are done; and a task is given up once it has failed
// as often as its queue allows. The package uses no workers, clock or store, so that its
// rules can be tested by themselves.
package job

import (
	"errors"
	"fmt"
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Limits of a submitted job.
const (
	// MaxPayload is the length limit of the payload in bytes, a requirement of the users.
	MaxPayload = 4000
	// MaxSteps and MaxTasks limit the stored state of a job; see [Job.EncodeRow].
	MaxSteps = 64
	MaxTasks = 1000
	// MaxMilliCores, MaxMemMB and MaxAccels are far above the size of any host; a larger
	// number is a mistake of the caller.
	MaxMilliCores = 10_000_000
	MaxMemMB      = 100_000_000
	MaxAccels     = 10_000
)

// Step is one step of a job: tasks of the same kind that may run in parallel.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// Each is the resources of every task.
	Each worker.Resources `json:"each"`
	// EstimateMS is a rough estimate of a task's run time, in milliseconds.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After has the indices of earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set if tasks can be resumed from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Label is a label that a worker must have; empty for none.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the step's data; tasks run slower elsewhere.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 for no limit.
	MaxPerWorker int `json:"per_worker,omitempty"`
	// Copies is set if several attempts of a task may run in parallel.
	Copies bool `json:"copies,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"endless,omitempty"`
	// Image is the name of the program; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMS is the target of the tail latency of the requests that a long-running task
	// serves, in milliseconds; 0 for no target.
	TargetMS int64 `json:"target_ms,omitempty"`
	// Filler tasks use the processor time that other tasks leave idle; none is reserved
	// for them.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable is how many of the step's long-running tasks may be down at the same
	// time.
	MaxUnavailable int `json:"may_miss,omitempty"`
	// Gang tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if a gang runs slower when spread over several racks.
	SameRack bool `json:"same_rack,omitempty"`
}

// Schedule sets repetitions of the steps of a job.
type Schedule struct {
	// Times is the number of repetitions; 0 runs the steps once, immediately.
	Times int `json:"times,omitempty"`
	// FirstMS is when the first repetition is due, in milliseconds since 1970.
	FirstMS int64 `json:"first_ms,omitempty"`
	// EveryMS is the time between two repetitions, in milliseconds.
	EveryMS int64 `json:"every_ms,omitempty"`
}

// Spec is the specification of a job by its caller.
type Spec struct {
	// Payload is passed to the workers unchanged.
	Payload string `json:"payload,omitempty"`
	// Steps are ordered so that each comes after those it waits for.
	Steps []Step `json:"steps"`
	// Schedule sets repetitions of the steps.
	Schedule Schedule `json:"schedule,omitzero"`
}

// Errors of [Spec.Check].
var (
	// ErrInvalid is returned for a spec that is contradictory or exceeds a limit.
	ErrInvalid = errors.New("invalid job")
	// ErrUnsupported is returned for a spec that needs a feature which is not implemented.
	ErrUnsupported = errors.New("not supported yet")
)

// idDigits is the number of hex digits of a job's id.
const idDigits = 16

// ValidID reports whether id has the form of a job's id: 16 lower-case hex digits. It is
// called for every task in every poll of a worker and therefore uses no regular
// expression.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for i := range len(id) {
		digit, letter := id[i]-'0' < 10, id[i]-'a' < 6
		if !digit && !letter {
			return false
		}
	}
	return true
}

// maxReported is the number of errors of a spec that are reported.
const maxReported = 10

// Check returns the first errors of the spec, joined, or nil.
func (sp Spec) Check() error {
	var errs []error
	rejectIf := func(wrong bool, kind error, text string, args ...any) {
		if wrong && len(errs) < maxReported {
			errs = append(errs, fmt.Errorf("%w: %s", kind, fmt.Sprintf(text, args...)))
		}
	}
	rejectIf(len(sp.Payload) > MaxPayload, ErrInvalid, "payload has %d bytes, want at most %d", len(sp.Payload), MaxPayload)
	rejectIf(len(sp.Steps) == 0 || len(sp.Steps) > MaxSteps, ErrInvalid, "%d steps, want 1 to %d", len(sp.Steps), MaxSteps)
	rejectIf(sp.Schedule != (Schedule{}), ErrUnsupported, "repeated job")
	total := 0
	for i := range sp.Steps {
		st := &sp.Steps[i]
		rejectIf(st.Tasks < 1 || st.Tasks > MaxTasks, ErrInvalid, "step %d: %d tasks, want 1 to %d", i, st.Tasks, MaxTasks)
		rejectIf(!st.withinLimits(), ErrInvalid, "step %d: resources out of bounds", i)
		rejectIf(st.EstimateMS < 0 || st.MaxPerWorker < 0 || st.TargetMS < 0 || st.MaxUnavailable < 0, ErrInvalid, "step %d: negative number", i)
		rejectIf(slices.ContainsFunc(st.After, func(n int) bool { return n < 0 || n >= i }), ErrInvalid, "step %d: waits for a step that does not come before it", i)
		rejectIf(st.Gang || st.SameRack, ErrUnsupported, "step %d: gang", i)
		total += max(st.Tasks, 0)
	}
	rejectIf(total > MaxTasks, ErrInvalid, "%d tasks, want at most %d", total, MaxTasks)
	return errors.Join(errs...)
}

func (st *Step) withinLimits() bool {
	within := func(n, most int64) bool { return n >= 0 && n <= most }
	return within(st.Each.MilliCores, MaxMilliCores) && within(st.Each.MemMB, MaxMemMB) && within(st.Each.Accels, MaxAccels)
}

// HasTarget reports whether the step's tasks serve requests and have a latency target.
func (st *Step) HasTarget() bool { return st.LongRunning && st.TargetMS > 0 }

// Reserved returns the resources that a task of the step reserves at a worker. A filler
// reserves no processor time.
func (st *Step) Reserved() worker.Resources {
	re := st.Each
	if st.Filler {
		re.MilliCores = 0
	}
	return re
}
