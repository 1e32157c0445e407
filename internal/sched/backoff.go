package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// Rests of tasks that last and fail. They are started again however they end, without a
// limit, so what bounds them is the time between two starts: one that failed at once was
// started 50 times a second.
const (
	// restFirst is the rest after the second failure in a row; it doubles with each.
	backoffInitial = 100 * time.Millisecond
	// restMost bounds it: users miss a task that last ran 6 s ago.
	backoffMax = 3200 * time.Millisecond
	// restDoublings is how often restFirst doubles to restMost.
	backoffDoublings = 5
)

// rests has the rests of a job's tasks that last. The zero value has none.
type backoffs struct{ tasks map[job.TaskRef]taskBackoff }

type taskBackoff struct {
	// failures are those in a row.
	failures int
	// until is when the task may begin again.
	until time.Time
}

// failed notes that an attempt of a task failed.
func (bo *backoffs) recordFailure(en *entry, ref job.TaskRef, now time.Time) {
	if !en.jo.Spec.Steps[ref.Step].Endless {
		return
	}
	if bo.tasks == nil {
		bo.tasks = map[job.TaskRef]taskBackoff{}
	}
	ta := bo.tasks[ref]
	if ta.failures > 0 {
		ta.until = now.Add(min(backoffInitial<<min(ta.failures-1, backoffDoublings), backoffMax))
	}
	ta.failures++
	bo.tasks[ref] = ta
}

// lasted forgets the failures of a task.
func (bo *backoffs) reset(ref job.TaskRef) { delete(bo.tasks, ref) }

// resting reports whether a task is not to begin yet.
func (bo *backoffs) active(ref job.TaskRef, now time.Time) bool {
	return now.Before(bo.tasks[ref].until)
}
