package headroom

import "slices"

// Shares of a service's capacity.
const (
	// busyShare is the reserved share from which on workers are selected. Below it there is
	// capacity for both kinds of work.
	busyShare = 0.5
	// maxShare bounds the share of the capacity on selected workers: where short work alone
	// could fill a service, long-running work of the same priority gets the rest.
	maxShare = 0.5
)

// Worker is the capacity of a worker that accepts new tasks, in thousandths of a core.
type Worker struct {
	// Capacity is all that it has. Reserved is the part that tasks reserve, and LongRunning the
	// part of it that long-running tasks do.
	Capacity, Reserved, LongRunning int64
	// Cold is set if short tasks start slowly there for a while.
	Cold bool
}

// Selection is a set of workers, given by their indices in a list. The zero value is empty.
type Selection struct {
	chosen []bool
	// last is the last worker selected, and slack what it has beyond the need.
	last  int
	slack int64
	// Need is what is to be covered, in thousandths of a core.
	Need int64
	// Workers counts them. Covered is the capacity for short tasks that they have, in thousandths
	// of a core: what long-running tasks do not use, in whole tasks.
	Workers int
	Covered int64
}

// Contains reports whether the worker with the index is selected.
func (se Selection) Contains(index int) bool { return index < len(se.chosen) && se.chosen[index] }

// Allows reports whether a new long-running task that reserves the given capacity may go to the
// worker: it is not selected, or covers more than is needed of it.
func (se Selection) Allows(index int, milliCores int64) bool {
	return !se.Contains(index) || index == se.last && milliCores <= se.slack
}

// With returns the selection once a new long-running task has gone to the worker.
func (se Selection) With(index int, milliCores int64) Selection {
	if se.Contains(index) && index == se.last {
		se.slack -= milliCores
	}
	return se
}

// Select selects the workers that get no new long-running task: those with the most capacity not
// used by long-running tasks, until the need is covered. They stay the same from one round to the
// next, as other workers get long-running tasks meanwhile. Cold workers are selected after all
// others: a data centre whose evacuation was withdrawn has the most unused capacity, but is slow
// until it is warm. For equal sizes of a task, a larger demand selects a superset. It selects none
// while much of the capacity is free, and at most half of the capacity.
func Select(list []Worker, lo Load) Selection {
	var capacity, reserved int64
	for _, wk := range list {
		capacity += wk.Capacity
		reserved += wk.Reserved
	}
	need, task := lo.Need(), max(lo.Task(), 1)
	if need < negligible || float64(reserved) < busyShare*float64(capacity) {
		return Selection{}
	}
	se, limit := Selection{chosen: make([]bool, len(list)), Need: need}, int64(maxShare*float64(capacity))
	for _, index := range byUnused(list) {
		wk := list[index]
		usable := wk.unused() / task * task
		if usable == 0 {
			// Cold workers come last, so others may follow.
			continue
		}
		limit -= wk.Capacity
		if se.Covered >= need || limit < 0 {
			break
		}
		se.chosen[index], se.last = true, index
		se.slack = wk.unused() - (need-se.Covered+task-1)/task*task
		se.Workers++
		se.Covered += usable
	}
	return se
}

// unused returns the capacity that long-running tasks do not use.
func (wk Worker) unused() int64 { return max(wk.Capacity-wk.LongRunning, 0) }

const (
	// indexBits is the number of bits for an index in a sort key.
	indexBits = 20
	// coldKey is added to the sort key of a cold worker. It exceeds the key of any other.
	coldKey = 1 << 62
)

// byUnused returns the indices of the workers, cold ones last, then the most unused capacity first
// and the lowest index among equals. Sorting numbers takes a fraction of the time of sorting with a comparison
// function.
func byUnused(list []Worker) []int {
	keys := make([]int64, len(list))
	for i, wk := range list {
		keys[i] = -wk.unused()<<indexBits + int64(i)
		if wk.Cold {
			keys[i] += coldKey
		}
	}
	slices.Sort(keys)
	order := make([]int, len(list))
	for i, key := range keys {
		order[i] = int(key & (1<<indexBits - 1))
	}
	return order
}
