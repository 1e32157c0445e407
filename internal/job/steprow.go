package job

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// StepRow is the stored state of one step's tasks. It is rewritten with every change of
// its job and therefore compact: one character per task, and further fields only where
// they differ from the default for that state. A typical task takes some three bytes while
// it runs and one byte before and after; the states of a step whose tasks are all in the
// same state take one byte.
type StepRow struct {
	// States has one character per task, see stateChars, or a single one if all tasks are
	// in the same state.
	States string `json:"s"`
	// Attempts has the numbers of last attempts where they differ from defaultAttempt, for
	// tasks that are not done. The keys of this map and of those below are the indices of
	// the tasks.
	Attempts map[int]int `json:"a,omitempty"`
	// Failures counts the failures of tasks that are not done.
	Failures map[int]int `json:"f,omitempty"`
	// Crashes, PresumedCrashes, Losses and GivenUp are the fields of [Task] of the same
	// names, for tasks that are not done.
	Crashes         map[int]int   `json:"x,omitempty"`
	PresumedCrashes map[int]int   `json:"y,omitempty"`
	Losses          map[int]int   `json:"l,omitempty"`
	GivenUp         map[int][]int `json:"g,omitempty"`
	// EarlierDone has the started tasks of which an earlier attempt is done.
	EarlierDone []int `json:"b,omitempty"`
	// Workers has the incarnations of the workers on which the step's tasks run; On has,
	// for each started task in order, the index of its worker in Workers.
	Workers []worker.Incarnation `json:"w,omitempty"`
	On      []int                `json:"o,omitempty"`
	// RestartMS has the values of [Job.RestartLeaseMS] by the indices of the workers.
	RestartMS map[int]int64 `json:"m,omitempty"`
	// Phases has the phases of the last attempts of started tasks, see encodePhases.
	Phases string `json:"p,omitempty"`
	// Acknowledged has the started tasks whose last attempts are acknowledged, see
	// encodeAcknowledged.
	Acknowledged string `json:"k,omitempty"`
	// Orders has the values of [Job.Orders], and HostPorts those of [Job.HostPorts] in the order of
	// the workers.
	Orders    map[int]StatedOrder `json:"u,omitempty"`
	HostPorts []string            `json:"h,omitempty"`
	// Others has the attempts that may run beside the last ones. Versions of the program
	// that do not know the field find the last attempt in the other fields, stop the other
	// one where a worker lists it, and count its end like that of an attempt that was given
	// up: GivenUp names it too.
	Others map[int]OtherRow `json:"e,omitempty"`
	// Checkpoints has the checkpoint that the next attempt of a waiting task starts from,
	// and the one that the running attempt of a started task started from. Later
	// checkpoints of running attempts are reported by their workers.
	Checkpoints map[int]string `json:"c,omitempty"`
}

// OtherRow is an attempt that may run beside the last one of a task.
type OtherRow struct {
	// Number is its number, On the index of its worker in Workers, and Phase its phase.
	Number int   `json:"n"`
	On     int   `json:"o,omitempty"`
	Phase  Phase `json:"p,omitempty"`
	// LastEnded is set if the last attempt has ended.
	LastEnded bool `json:"l,omitempty"`
}

// stateChars has the character of each state in a row, indexed by TaskState.
const stateChars = "wsdf"

// defaultAttempt is the number of the last attempt of most tasks in a state.
func defaultAttempt(state TaskState) int {
	if state == Waiting {
		return 0
	}
	return 1
}

// newStepRow returns the row of a step's tasks, without the fields that the caller of the job sets.
func newStepRow(tasks []Task) StepRow {
	var sr StepRow
	var states strings.Builder
	for i, ta := range tasks {
		_ = states.WriteByte(stateChars[ta.State])
		if ta.State != Done {
			sr.add(i, ta)
		}
		if ta.Other.Number > 0 {
			sr.addOther(i, ta)
		}
	}
	sr.States = collapse(states.String())
	sr.Phases, sr.Acknowledged = encodePhases(tasks), encodeAcknowledged(tasks)
	return sr
}

// add adds the fields of a task that do not follow from its state.
func (sr *StepRow) add(i int, ta Task) {
	if ta.Attempt != defaultAttempt(ta.State) {
		put(&sr.Attempts, i, ta.Attempt)
	}
	if ta.Failures > 0 {
		put(&sr.Failures, i, ta.Failures)
	}
	if ta.Crashes > 0 {
		put(&sr.Crashes, i, ta.Crashes)
	}
	if ta.PresumedCrashes > 0 {
		put(&sr.PresumedCrashes, i, ta.PresumedCrashes)
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

// addOther adds the attempt of a task that may run beside the last one.
func (sr *StepRow) addOther(i int, ta Task) {
	put(&sr.Others, i, OtherRow{Number: ta.Other.Number, On: sr.index(ta.Other.Worker), Phase: ta.Other.Phase, LastEnded: ta.LastEnded})
	if ta.State == Started {
		put(&sr.GivenUp, i, append(slices.Clone(ta.GivenUp), ta.Other.Number))
	}
}

// other sets the attempt of a task that may run beside the last one.
func (sr *StepRow) other(i int, ta *Task) error {
	or, ok := sr.Others[i]
	if !ok {
		return nil
	}
	over := ta.State == Waiting || ta.State == Abandoned
	if over || or.Number < 1 || or.On < 0 || or.On >= len(sr.Workers) || or.Phase < 0 || int(or.Phase) >= len(phaseChars) {
		return fmt.Errorf("%w: task %d has an invalid second attempt", errRowMismatch, i)
	}
	ta.Other = Attempt{Number: or.Number, Worker: sr.Workers[or.On], Phase: or.Phase}
	ta.LastEnded = or.LastEnded
	if n := len(ta.GivenUp) - 1; n >= 0 && ta.GivenUp[n] == or.Number {
		ta.GivenUp = slices.Clone(ta.GivenUp[:n])
	}
	if len(ta.GivenUp) == 0 {
		ta.GivenUp = nil
	}
	return nil
}

// put sets an entry of a map, which it creates if it is nil.
func put[V any](ma *map[int]V, key int, value V) {
	if *ma == nil {
		*ma = map[int]V{}
	}
	(*ma)[key] = value
}

// index returns the index of a worker in the row's list, and appends the worker if it is
// missing.
func (sr *StepRow) index(inc worker.Incarnation) int {
	if i := slices.Index(sr.Workers, inc); i >= 0 {
		return i
	}
	sr.Workers = append(sr.Workers, inc)
	return len(sr.Workers) - 1
}

// errRowMismatch is the error of a progress row that does not match the spec of its job.
var errRowMismatch = errors.New("row of progress does not fit its job")

// setRestartMS sets RestartMS from values by incarnation.
func (sr *StepRow) setRestartMS(list map[worker.Incarnation]int64) {
	for i, inc := range sr.Workers {
		if ms, ok := list[inc]; ok {
			put(&sr.RestartMS, i, ms)
		}
	}
}

// addRestartMS adds the values of RestartMS to a map by incarnation.
func (sr *StepRow) addRestartMS(list *map[worker.Incarnation]int64) error {
	for i, ms := range sr.RestartMS {
		if i < 0 || i >= len(sr.Workers) {
			return fmt.Errorf("%w: leases of an unknown worker", errRowMismatch)
		}
		if *list == nil {
			*list = map[worker.Incarnation]int64{}
		}
		(*list)[sr.Workers[i]] = ms
	}
	return nil
}

// tasks decodes the row, which must hold n tasks.
func (sr StepRow) tasks(n int) ([]Task, error) {
	states := sr.States
	if len(states) == 1 {
		states = strings.Repeat(states, n)
	}
	if len(states) != n {
		return nil, fmt.Errorf("%w: %d tasks, want %d", errRowMismatch, len(states), n)
	}
	tasks := make([]Task, n)
	on := sr.On
	for i := range tasks {
		state := strings.IndexByte(stateChars, states[i])
		if state < 0 {
			return nil, fmt.Errorf("%w: unknown state %q", errRowMismatch, states[i])
		}
		ta := Task{
			State: TaskState(state), Failures: sr.Failures[i], Crashes: sr.Crashes[i], PresumedCrashes: sr.PresumedCrashes[i], Losses: sr.Losses[i],
			GivenUp: sr.GivenUp[i], Checkpoint: sr.Checkpoints[i],
		}
		ta.Attempt = defaultAttempt(ta.State)
		if number, ok := sr.Attempts[i]; ok {
			ta.Attempt = number
		}
		if ta.State == Started {
			if len(on) == 0 || on[0] < 0 || on[0] >= len(sr.Workers) {
				return nil, fmt.Errorf("%w: started task %d has no worker", errRowMismatch, i)
			}
			ta.Worker, on, ta.Base = sr.Workers[on[0]], on[1:], ta.Checkpoint
			ta.EarlierDone = slices.Contains(sr.EarlierDone, i)
		}
		if err := sr.other(i, &ta); err != nil {
			return nil, err
		}
		tasks[i] = ta
	}
	if err := decodePhases(sr.Phases, tasks); err != nil {
		return nil, err
	}
	return tasks, decodeAcknowledged(sr.Acknowledged, tasks)
}
