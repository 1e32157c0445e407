package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// Backoff of long-running tasks that fail. Such tasks are restarted however they end, without a
// limit on failures, so only the time between two starts limits them: without a backoff, a
// task that fails at once is started 50 times a second.
const (
	// backoffInitial is the backoff after the second failure in a row; it doubles with each
	// further one.
	backoffInitial = 100 * time.Millisecond
	// backoffMax limits the backoff: users notice a task that has not run for 6 s.
	backoffMax = 3200 * time.Millisecond
	// backoffDoublings is how many doublings lead from backoffInitial to backoffMax.
	backoffDoublings = 5
)

// backoffs holds the backoffs of a job's long-running tasks. The zero value has none.
type backoffs struct{ tasks map[job.TaskRef]taskBackoff }

// taskBackoff is the backoff of one task.
type taskBackoff struct {
	// failures counts the failures in a row.
	failures int
	// until is when the task may start again.
	until time.Time
}

// recordFailure records that an attempt of a task failed; tasks that are not long-running are
// ignored.
func (bo *backoffs) recordFailure(tj *trackedJob, ref job.TaskRef, now time.Time) {
	if !tj.jo.Spec.Steps[ref.Step].LongRunning {
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

// reset discards the failures of a task.
func (bo *backoffs) reset(ref job.TaskRef) { delete(bo.tasks, ref) }

// active reports whether a task must not start yet.
func (bo *backoffs) active(ref job.TaskRef, now time.Time) bool {
	return now.Before(bo.tasks[ref].until)
}
