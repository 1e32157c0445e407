package sched

import (
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// placeInterrupted starts the interrupted long-running tasks of jobs of one priority. Their
// services are down until they run again, so they start before tasks that never ran: where
// capacity is short, many of those wait too, and short tasks take each piece that becomes
// free. The smallest tasks start first, so that as many as possible run again. For each task
// that does not fit, a worker's capacity is reserved.
func (pl *placer) placeInterrupted(list []*entry) {
	var steps []longRunningStep
	for _, en := range list {
		for step := range en.jo.Spec.Steps {
			if en.jo.Spec.Steps[step].Endless && en.jo.Ready(step) && en.waitingInterrupted(step) > 0 {
				steps = append(steps, longRunningStep{en, step})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b longRunningStep) int { return compareSizes(b.spec(), a.spec()) })
	for _, ls := range steps {
		pl.placeStep(ls.en, ls.step, true)
	}
}

// longRunningStep is a step of long-running tasks.
type longRunningStep struct {
	en   *entry
	step int
}

func (ls longRunningStep) spec() *job.Step { return &ls.en.jo.Spec.Steps[ls.step] }

// interrupted reports whether a task is long-running and was started before, or was about to
// be.
func (en *entry) interrupted(ref job.TaskRef) bool {
	return en.jo.Spec.Steps[ref.Step].Endless && en.jo.Task(ref).Attempt > 0
}
