// Package queuestats has what an owner knows of the jobs of a queue: how much work they are, from which
// follows what a job is worth to its caller, and whether the largest ones are served.
//
// Works are those that callers estimate, as what a job is worth does not depend on how long it takes.
// The mean is over all jobs that the owner has known, so it follows a change of the load slowly.
package queuestats

// Users' weights of a job within its queue.
const (
	// fixedValue is the part of the value of a job of mean work that every job has, whatever its
	// work; the rest is proportional to its work.
	fixedValue = 0.3
	// maxValue is the largest value of a job, as a multiple of that of one of mean work.
	maxValue = 4
)

// Queue is what the owner knows of the jobs of a queue so far. The zero value knows none.
type Queue struct {
	// jobs counts the jobs that end by themselves, work is the sum of their work.
	jobs int64
	work float64
	// outcomes has which of the last ones were served.
	outcomes outcomes
}

// Add counts a job of the given work.
func (qu *Queue) Add(work int64) {
	qu.jobs++
	qu.work += float64(work)
}

// Value returns what a job of the given work is worth to its caller, as a multiple of one of mean
// work.
func (qu *Queue) Value(work int64) float64 {
	if qu.work <= 0 {
		return 1
	}
	mean := qu.work / float64(qu.jobs)
	return min(fixedValue+(1-fixedValue)*float64(work)/mean, maxValue)
}

// RecordOutcome remembers whether a job of the given work was served.
func (qu *Queue) RecordOutcome(work int64, served bool) {
	qu.outcomes.add(Outcome{Work: work, Served: served})
}

// Outcomes returns the outcomes that are remembered, in no order. The list must not be changed.
func (qu *Queue) Outcomes() []Outcome { return qu.outcomes.list }

// NeglectsLargest reports whether large jobs are served much less often than all.
func (qu *Queue) NeglectsLargest() bool { return qu.outcomes.neglectsLargest() }
