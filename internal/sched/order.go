package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// compareJobs compares by priority, then by feasibility, then by sort key.
func compareJobs(a, b *trackedJob) int {
	return cmp.Or(compareGroups(a, b), cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.order, b.order))
}

// compareGroups compares by priority, then by feasibility.
func compareGroups(a, b *trackedJob) int {
	return cmp.Or(cmp.Compare(a.jo.Terms.Priority, b.jo.Terms.Priority), cmp.Compare(a.feasibility, b.feasibility))
}

// feasibility is whether a job can still meet its target time. When capacity is short, jobs
// that can meet theirs run before those that cannot.
type feasibility int8

// Degrees of feasibility, best first.
const (
	inTime feasibility = iota
	late
	tooLate
)

// maxLateFactor is how many times its target a job may take and still be of value to its
// caller; the users specify it.
const maxLateFactor = 3

// evaluateFeasibility returns the job's feasibility at the given time.
func (tj *trackedJob) evaluateFeasibility(now time.Time) feasibility {
	// A long-running job is of value whenever it runs.
	if tj.targetMS <= 0 || tj.jo.LongRunning() || !tj.ow.enabled(MechFeasibleFirst) {
		return inTime
	}
	done := now.Sub(tj.acceptedAt).Milliseconds() + tj.jo.RemainingMS()
	switch {
	case done <= tj.targetMS:
		return inTime
	case done <= maxLateFactor*tj.targetMS:
		return late
	}
	return tooLate
}

// sortWaitingJobs sorts the waiting jobs by priority, current feasibility, and remaining work.
// When capacity is short, running small jobs first and finishing those that have begun lets
// more jobs meet their targets, but large jobs must not starve. Therefore two jobs by remaining
// work alternate with one by age.
func (ow *Owner) sortWaitingJobs(now time.Time) {
	for _, tj := range ow.waitingJobs {
		tj.feasibility, tj.workLeft = tj.evaluateFeasibility(now), tj.remainingWork()
	}
	for _, tj := range ow.waitingJobs {
		tj.sortKey = math.MaxInt
	}
	if ow.enabled(MechLeastWork) {
		ow.assignSortKeys(1, func(a, b *trackedJob) int { return cmp.Compare(a.workLeft, b.workLeft) })
	}
	if ow.enabled(MechTurnsByAge) {
		ow.assignSortKeys(bySizePerAge, func(a, b *trackedJob) int { return cmp.Compare(a.order, b.order) })
	}
	slices.SortFunc(ow.waitingJobs, compareJobs)
}

// remainingWork is the work that is left of the job. That of long-running tasks is unbounded,
// so among jobs of equal priority they are ordered by age: a short task that waits behind them
// misses its target, while they lose only the time that they wait.
func (tj *trackedJob) remainingWork() int64 {
	if tj.jo.LongRunning() {
		return math.MaxInt64
	}
	return tj.jo.RemainingWork()
}

// assignSortKeys ranks the jobs by compare and lowers each job's sort key to its rank
// multiplied by the parameter every, if that is lower.
func (ow *Owner) assignSortKeys(every int, compare func(a, b *trackedJob) int) {
	ow.rankWaitingJobs(compare)
	for _, tj := range ow.waitingJobs {
		tj.sortKey = min(tj.sortKey, every*tj.rank)
	}
}

// rankWaitingJobs ranks each job among those of its priority and feasibility.
func (ow *Owner) rankWaitingJobs(compare func(a, b *trackedJob) int) {
	slices.SortFunc(ow.waitingJobs, func(a, b *trackedJob) int {
		return cmp.Or(compareGroups(a, b), compare(a, b), cmp.Compare(a.order, b.order))
	})
	for i, tj := range ow.waitingJobs {
		tj.rank = 0
		if i > 0 && compareGroups(ow.waitingJobs[i-1], tj) == 0 {
			tj.rank = ow.waitingJobs[i-1].rank + 1
		}
	}
}

// bySizePerAge is how many jobs are taken by remaining work for each one taken by age. When
// none were taken by age, the largest tenth of the jobs was served less than half as often as
// the average.
const bySizePerAge = 2
