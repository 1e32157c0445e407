// Package restart decides when tasks that fail again and again may start again.
//
// Long-running tasks are restarted however they end, without a limit on failures, so only the time
// between two starts limits them: without a backoff, a task that fails at once is started 50 times a
// second. [Backoffs] are kept in memory only, so a task starts at once under a new owner.
package restart

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

const (
	// initial is the backoff after the second failure in a row; it doubles with each
	// further one.
	initial = 100 * time.Millisecond
	// Max limits the backoff: users notice a task that has not run for 6 s.
	Max = 3200 * time.Millisecond
	// doublings is how many doublings lead from initial to Max.
	doublings = 5
)

// Backoffs holds the backoffs of a job's tasks. The zero value has none.
type Backoffs struct{ tasks map[job.TaskRef]taskBackoff }

// taskBackoff is the backoff of one task.
type taskBackoff struct {
	// failures counts the failures in a row.
	failures int
	// until is when the task may start again.
	until time.Time
}

// RecordFailure records that an attempt of a task failed.
func (bo *Backoffs) RecordFailure(ref job.TaskRef, now time.Time) {
	if bo.tasks == nil {
		bo.tasks = map[job.TaskRef]taskBackoff{}
	}
	ta := bo.tasks[ref]
	if ta.failures > 0 {
		ta.until = now.Add(min(initial<<min(ta.failures-1, doublings), Max))
	}
	ta.failures++
	bo.tasks[ref] = ta
}

// Reset discards the failures of a task.
func (bo *Backoffs) Reset(ref job.TaskRef) { delete(bo.tasks, ref) }

// Active reports whether a task must not start yet.
func (bo *Backoffs) Active(ref job.TaskRef, now time.Time) bool {
	return now.Before(bo.tasks[ref].until)
}
