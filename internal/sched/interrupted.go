package sched

import (
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// placeInterrupted starts the tasks that last and ran before, of jobs of one priority. What
// they served is missed until they run again, so they go before tasks that never ran: those
// of other jobs that last are many where room is short, and short tasks take each part of
// it that gets free. The smallest go first, so that as many as can run again. A worker's room is kept for each that finds none.
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

// longRunningStep is a step whose tasks last.
type longRunningStep struct {
	en   *entry
	step int
}

func (ls longRunningStep) spec() *job.Step { return &ls.en.jo.Spec.Steps[ls.step] }

// interrupted reports whether a task lasts, and has run before or was to.
func (en *entry) interrupted(ref job.TaskRef) bool {
	return en.jo.Spec.Steps[ref.Step].Endless && en.jo.Task(ref).Attempt > 0
}
