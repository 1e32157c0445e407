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
	restFirst = 100 * time.Millisecond
	// restMost bounds it: users miss a task that last ran 6 s ago.
	restMost = 3200 * time.Millisecond
	// restDoublings is how often restFirst doubles to restMost.
	restDoublings = 5
)

// rests has the rests of a job's tasks that last. The zero value has none.
type rests struct{ tasks map[job.TaskRef]rest }

type rest struct {
	// failures are those in a row.
	failures int
	// until is when the task may begin again.
	until time.Time
}

// failed notes that an attempt of a task failed.
func (re *rests) failed(en *entry, ref job.TaskRef, now time.Time) {
	if !en.jo.Spec.Steps[ref.Step].Endless {
		return
	}
	if re.tasks == nil {
		re.tasks = map[job.TaskRef]rest{}
	}
	ta := re.tasks[ref]
	if ta.failures > 0 {
		ta.until = now.Add(min(restFirst<<min(ta.failures-1, restDoublings), restMost))
	}
	ta.failures++
	re.tasks[ref] = ta
}

// lasted forgets the failures of a task.
func (re *rests) lasted(ref job.TaskRef) { delete(re.tasks, ref) }

// resting reports whether a task is not to begin yet.
func (re *rests) resting(ref job.TaskRef, now time.Time) bool { return now.Before(re.tasks[ref].until) }
