// Package job is the model of a job: steps in a graph, tasks of a step, and
// what became of each task.
//
// A [Job] changes only through its methods, which keep its promises: a task
// has one attempt at a time, a step's tasks start after all tasks of the steps
// before it are done, and a task is given up once it failed as often as its
// queue allows. The package knows no workers, no clock and no store, so that
// its rules can be tested by themselves.
package job

import (
	"errors"
	"fmt"
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Bounds on a job that is handed in.
const (
	// MaxPayload is the longest payload in bytes, as the users state it.
	MaxPayload = 4000
	// MaxSteps and MaxTasks bound the state kept of one job, so that its row
	// stays under the store's 64 KiB at some 60 bytes a task.
	MaxSteps = 64
	MaxTasks = 1000
	// MaxMilliCores, MaxMemMB and MaxAccels are far over any host's size; a
	// greater number is a mistake of the caller.
	MaxMilliCores = 10_000_000
	MaxMemMB      = 100_000_000
	MaxAccels     = 10_000
)

// Step is one step of a job: like tasks that may run side by side.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
	// Each is what every task is given.
	Each worker.Resources `json:"each"`
	// EstimateMS is a rough guess of a task's run time in milliseconds.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After has the numbers of earlier steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints is set if tasks can be resumed from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Label is one that a worker must have; empty asks for none.
	Label string `json:"label,omitempty"`
	// Rack is where the step's data is; elsewhere it runs slower.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker is the most tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int `json:"per_worker,omitempty"`
	// Copies is set if several attempts of a task may run side by side.
	Copies bool `json:"copies,omitempty"`
	// Endless tasks run until the job is cancelled.
	Endless bool `json:"endless,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TargetMS is what the tail of the latency of an endless task's own
	// requests is to stay under, in milliseconds; 0 is no target.
	TargetMS int64 `json:"target_ms,omitempty"`
	// Filler tasks use what processor time the others leave; their share is
	// not reserved.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable is how many endless tasks may be kept away at once.
	MaxUnavailable int `json:"may_miss,omitempty"`
	// Gang tasks work only together.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if a gang runs slower over more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
}

// Schedule repeats the steps of a job.
type Schedule struct {
	// Times is how often; 0 runs the steps once, at once.
	Times int `json:"times,omitempty"`
	// FirstMS is when the first is due, in milliseconds since 1970.
	FirstMS int64 `json:"first_ms,omitempty"`
	// EveryMS is the time between two.
	EveryMS int64 `json:"every_ms,omitempty"`
}

// Spec is a job as its caller wants it.
type Spec struct {
	// Payload is handed to the workers as it is.
	Payload string `json:"payload,omitempty"`
	// Steps are in an order in which each comes after those it waits for.
	Steps []Step `json:"steps"`
	// Schedule repeats them.
	Schedule Schedule `json:"schedule,omitzero"`
}

// Errors of a spec.
var (
	// ErrInvalid is returned for a spec that contradicts itself or is over a
	// bound.
	ErrInvalid = errors.New("invalid job")
	// ErrUnsupported is returned for a spec that asks for something that is
	// not built yet.
	ErrUnsupported = errors.New("not supported yet")
)

// idDigits is the number of hex digits of a job's id.
const idDigits = 16

// ValidID reports whether id has the form of a job's id: 16 hex digits, in small
// letters. It is asked of every task in every look at a worker, so it does without
// a pattern.
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

// Check returns every mistake of the spec, joined, or nil.
func (sp Spec) Check() error {
	var errs []error
	bad := func(wrong bool, kind error, text string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf("%w: %s", kind, fmt.Sprintf(text, args...)))
		}
	}
	bad(len(sp.Payload) > MaxPayload, ErrInvalid, "payload of %d bytes, over %d", len(sp.Payload), MaxPayload)
	bad(len(sp.Steps) == 0 || len(sp.Steps) > MaxSteps, ErrInvalid, "%d steps, want 1 to %d", len(sp.Steps), MaxSteps)
	bad(sp.Schedule != (Schedule{}), ErrUnsupported, "a job that repeats")
	total := 0
	for i := range sp.Steps {
		st := &sp.Steps[i]
		bad(st.Tasks < 1 || st.Tasks > MaxTasks, ErrInvalid, "step %d: %d tasks, want 1 to %d", i, st.Tasks, MaxTasks)
		bad(!st.sized(), ErrInvalid, "step %d: sizes out of bounds", i)
		bad(st.EstimateMS < 0 || st.MaxPerWorker < 0 || st.TargetMS < 0 || st.MaxUnavailable < 0, ErrInvalid, "step %d: negative number", i)
		bad(slices.ContainsFunc(st.After, func(n int) bool { return n < 0 || n >= i }), ErrInvalid, "step %d: waits for a step that is not before it", i)
		bad(st.Gang || st.SameRack, ErrUnsupported, "step %d: gang", i)
		total += max(st.Tasks, 0)
	}
	bad(total > MaxTasks, ErrInvalid, "%d tasks, over %d", total, MaxTasks)
	return errors.Join(errs...)
}

func (st *Step) sized() bool {
	within := func(n, most int64) bool { return n >= 0 && n <= most }
	return within(st.Each.MilliCores, MaxMilliCores) && within(st.Each.MemMB, MaxMemMB) && within(st.Each.Accels, MaxAccels)
}

// HasTarget reports whether the step's tasks serve requests within a target.
func (st *Step) HasTarget() bool { return st.Endless && st.TargetMS > 0 }

// Reserved is what a task of the step takes of a worker's room: a filler's
// processor time is not reserved.
func (st *Step) Reserved() worker.Resources {
	re := st.Each
	if st.Filler {
		re.MilliCores = 0
	}
	return re
}
