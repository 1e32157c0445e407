package evacuation

import (
	"cmp"
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Limits on the moves of one tick, so that not all tasks of a service are interrupted at once.
const (
	// MaxMoves bounds all moves of a tick.
	MaxMoves = 6
	// MaxRequestedMoves bounds those because of a request. Their workers do not leave, so there
	// is no hurry: at 20 moves a second the writes and starts of other work are not delayed.
	MaxRequestedMoves = 2
)

// Task is a long-running task that runs on a worker which is to be emptied.
type Task struct {
	// Need is the resources that it reserves.
	Need worker.Resources
	// Step is the state of its step, the same pointer for all tasks of a step.
	Step *Step
	// Leaving is set if its worker will leave. A task of a worker that does not leave moves
	// because of a request, and only if that does no harm.
	Leaving bool
	// Contended is set if other tasks wait for capacity on the workers to which it could move.
	Contended bool
}

// Step is the state of a step of long-running tasks.
type Step struct {
	// MaxUnavailable is how many of its tasks may be unavailable at the same time; 0 stands
	// for one. Unavailable is how many are.
	MaxUnavailable, Unavailable int
}

// mayInterrupt reports whether one more task may become unavailable after some already did.
func (st *Step) mayInterrupt(interrupted int) bool {
	return st.Unavailable+interrupted < max(st.MaxUnavailable, 1)
}

// Select returns the indices of the tasks that are to be stopped now, to continue on other
// workers, in the order in which they are to be stopped: first those of workers that leave, in
// their order, then the others, the largest first. Reserve reserves capacity for a task on
// another worker and reports whether there is any.
//
// A task moves because of a request only while its step may miss one more task, and while no
// other task waits for the capacity that it would take.
func Select(tasks []Task, reserve func(index int) bool) []int {
	var selected []int
	requested := 0
	interrupted, noCapacity := map[*Step]int{}, map[*Step]bool{}
	for _, i := range order(tasks) {
		ta := tasks[i]
		if len(selected) == MaxMoves {
			break
		}
		if noCapacity[ta.Step] {
			continue
		}
		if !ta.Leaving && (ta.Contended || requested == MaxRequestedMoves || !ta.Step.mayInterrupt(interrupted[ta.Step])) {
			continue
		}
		if !reserve(i) {
			noCapacity[ta.Step] = true
			continue
		}
		selected = append(selected, i)
		interrupted[ta.Step]++
		if !ta.Leaving {
			requested++
		}
	}
	return selected
}

// order returns the indices of the tasks in the order in which they are considered.
func order(tasks []Task) []int {
	indices := make([]int, len(tasks))
	for i := range indices {
		indices[i] = i
	}
	slices.SortStableFunc(indices, func(a, b int) int {
		ta, tb := tasks[a], tasks[b]
		switch {
		case ta.Leaving && tb.Leaving:
			return 0
		case ta.Leaving:
			return -1
		case tb.Leaving:
			return 1
		}
		return cmp.Or(cmp.Compare(tb.Need.MilliCores, ta.Need.MilliCores), cmp.Compare(tb.Need.MemMB, ta.Need.MemMB))
	})
	return indices
}
