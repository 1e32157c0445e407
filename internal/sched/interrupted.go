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
func (pl *placer) placeInterrupted(list []*trackedJob) {
	var steps []longRunningStep
	for _, tj := range list {
		for step := range tj.jo.Spec.Steps {
			if tj.jo.Spec.Steps[step].LongRunning && tj.jo.Ready(step) && tj.waitingInterrupted(step) > 0 {
				steps = append(steps, longRunningStep{tj, step})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b longRunningStep) int { return compareSizes(b.spec(), a.spec()) })
	for _, ls := range steps {
		pl.placeStep(ls.tj, ls.step, true)
	}
	pl.placePostponed()
}

// placeOrPostponeSuspect places a suspect task, except an interrupted one that needs a worker to
// itself while it starts: these are placed last. Nothing else starts on that worker meanwhile,
// so before the others they would keep these from all workers with capacity, one after the
// other.
func (pl *placer) placeOrPostponeSuspect(tj *trackedJob, ref job.TaskRef) {
	if tj.interrupted(ref) && tj.jo.Task(ref).Isolated() {
		pl.postponed = append(pl.postponed, taskKey{tj, ref})
		return
	}
	pl.placeSuspect(tj, ref)
}

// placePostponed places the tasks that placeOrPostponeSuspect postponed.
func (pl *placer) placePostponed() {
	for _, tk := range pl.postponed {
		if pl.windowFull(tk.tj) {
			tk.tj.waitCause = CauseOrder
			break
		}
		pl.placeSuspect(tk.tj, tk.ref)
	}
	pl.postponed = nil
}

// longRunningStep is a step of long-running tasks.
type longRunningStep struct {
	tj   *trackedJob
	step int
}

func (ls longRunningStep) spec() *job.Step { return &ls.tj.jo.Spec.Steps[ls.step] }

// interrupted reports whether a task is long-running and was started before, or was about to
// be.
func (tj *trackedJob) interrupted(ref job.TaskRef) bool {
	return tj.jo.Spec.Steps[ref.Step].LongRunning && tj.jo.Task(ref).Attempt > 0
}
