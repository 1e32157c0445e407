package job

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// StepRow is the progress of one step's tasks as it is written. It is written anew
// with every change of its job, so it is kept short: a character a task, and the
// rest only where it does not follow from that. A task that goes its usual way takes
// some three bytes while it runs, and one before and after that; a step whose tasks
// are all in one state takes one.
type StepRow struct {
	// States has a character a task, see stateChars, or one for all if they are
	// alike.
	States string `json:"s"`
	// Attempts has the last attempts' numbers of tasks that are not done, where they
	// are not the usual ones: 0 of a task that waits, 1 of any other. Its keys, and
	// those of the maps below, are the tasks' indices.
	Attempts map[int]int `json:"a,omitempty"`
	// Failures has how often tasks failed that are not done, if they did.
	Failures map[int]int `json:"f,omitempty"`
	// Crashes, Losses and GivenUp have what the ends of workers left behind of tasks that
	// are not done, see Task.
	Crashes map[int]int   `json:"x,omitempty"`
	Losses  map[int]int   `json:"l,omitempty"`
	GivenUp map[int][]int `json:"g,omitempty"`
	// EarlierDone has the started tasks of which an attempt before was done.
	EarlierDone []int `json:"b,omitempty"`
	// Workers are the incarnations of those on which the step's tasks run; On has,
	// for each started task in turn, the index of its worker there.
	Workers []worker.Incarnation `json:"w,omitempty"`
	On      []int                `json:"o,omitempty"`
	// Phases has how far attempts under way were seen to come, see proofsOf.
	Phases string `json:"p,omitempty"`
	// Checkpoints has what next attempts start from, and what those under way
	// started from. What the latter made since is told by their workers.
	Checkpoints map[int]string `json:"c,omitempty"`
}

// stateChars has the characters of the states, by their value.
const stateChars = "wsdf"

// usualAttempt is the number of the last attempt of most tasks in a state.
func usualAttempt(state TaskState) int {
	if state == Waiting {
		return 0
	}
	return 1
}

// newStepRow returns the row of a step's tasks.
func newStepRow(tasks []Task) StepRow {
	var sr StepRow
	var states strings.Builder
	for i, ta := range tasks {
		_ = states.WriteByte(stateChars[ta.State])
		if ta.State != Done {
			sr.add(i, ta)
		}
	}
	sr.States = shorten(states.String())
	sr.Phases = proofsOf(tasks)
	return sr
}

// add adds what does not follow from a task's state.
func (sr *StepRow) add(i int, ta Task) {
	if ta.Attempt != usualAttempt(ta.State) {
		put(&sr.Attempts, i, ta.Attempt)
	}
	if ta.Failures > 0 {
		put(&sr.Failures, i, ta.Failures)
	}
	if ta.Crashes > 0 {
		put(&sr.Crashes, i, ta.Crashes)
	}
	if ta.Losses > 0 {
		put(&sr.Losses, i, ta.Losses)
	}
	if len(ta.GivenUp) > 0 {
		put(&sr.GivenUp, i, slices.Clone(ta.GivenUp))
	}
	checkpoint := ta.Checkpoint
	if ta.State == Started {
		sr.On = append(sr.On, sr.index(ta.Worker))
		if ta.EarlierDone {
			sr.EarlierDone = append(sr.EarlierDone, i)
		}
		checkpoint = ta.Base
	}
	if checkpoint != "" {
		put(&sr.Checkpoints, i, checkpoint)
	}
}

// put sets an entry of a map that may be nil.
func put[V any](ma *map[int]V, key int, value V) {
	if *ma == nil {
		*ma = map[int]V{}
	}
	(*ma)[key] = value
}

// index returns where a worker stands in the row's list, and adds it.
func (sr *StepRow) index(incarnation worker.Incarnation) int {
	if i := slices.Index(sr.Workers, incarnation); i >= 0 {
		return i
	}
	sr.Workers = append(sr.Workers, incarnation)
	return len(sr.Workers) - 1
}

// errRow: a row does not fit what it is of.
var errRow = errors.New("row of progress does not fit its job")

// tasks returns the tasks of the row, of which there must be n.
func (sr StepRow) tasks(n int) ([]Task, error) {
	states := sr.States
	if len(states) == 1 {
		states = strings.Repeat(states, n)
	}
	if len(states) != n {
		return nil, fmt.Errorf("%w: %d tasks, want %d", errRow, len(states), n)
	}
	tasks := make([]Task, n)
	on := sr.On
	for i := range tasks {
		state := strings.IndexByte(stateChars, states[i])
		if state < 0 {
			return nil, fmt.Errorf("%w: state %q", errRow, states[i])
		}
		ta := Task{State: TaskState(state), Failures: sr.Failures[i], Crashes: sr.Crashes[i], Losses: sr.Losses[i], GivenUp: sr.GivenUp[i], Checkpoint: sr.Checkpoints[i]}
		ta.Attempt = usualAttempt(ta.State)
		if number, ok := sr.Attempts[i]; ok {
			ta.Attempt = number
		}
		if ta.State == Started {
			if len(on) == 0 || on[0] < 0 || on[0] >= len(sr.Workers) {
				return nil, fmt.Errorf("%w: task %d runs on no worker", errRow, i)
			}
			ta.Worker, on, ta.Base = sr.Workers[on[0]], on[1:], ta.Checkpoint
			ta.EarlierDone = slices.Contains(sr.EarlierDone, i)
		}
		tasks[i] = ta
	}
	if err := takeProofs(sr.Phases, tasks); err != nil {
		return nil, err
	}
	return tasks, nil
}
