package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"

	"github.com/pepperhatch/pepperhatch/internal/queuestats"
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
	done := (now.Sub(tj.acceptedAt) + tj.waitedBefore).Milliseconds() + tj.jo.RemainingMS(tj.expectedMS)
	switch {
	case done <= tj.targetMS:
		return inTime
	case done <= maxLateFactor*tj.targetMS:
		return late
	}
	return tooLate
}

// sortWaitingJobs sorts the waiting jobs by priority, current feasibility, and remaining work for
// their value. When capacity is short, running small jobs first and finishing those that have begun
// lets more jobs meet their targets, but large jobs must not starve. In queues whose large jobs are
// served much less often than the others, two jobs in that order therefore alternate with the
// largest; turns by age would go to jobs that are about to be late. Long-running jobs, which have
// no order by work, take turns by age.
func (ow *Owner) sortWaitingJobs(now time.Time) {
	for _, tj := range ow.waitingJobs {
		tj.feasibility, tj.cost = tj.evaluateFeasibility(now), tj.costPerValue()
		if tj.feasibility == tooLate {
			tj.recordOutcome(false)
		}
	}
	for _, tj := range ow.waitingJobs {
		tj.sortKey = math.MaxInt
	}
	if ow.enabled(MechLeastWork) {
		ow.assignSortKeys(1, func(*trackedJob) bool { return true }, func(a, b *trackedJob) int { return cmp.Compare(a.cost, b.cost) })
	}
	if ow.enabled(MechTurnsByAge) {
		ow.assignSortKeys(bySizePerTurn, func(tj *trackedJob) bool { return tj.jo.LongRunning() }, func(a, b *trackedJob) int { return cmp.Compare(a.order, b.order) })
	}
	if neglecting := ow.queuesNeglectingLargest(); len(neglecting) > 0 && ow.enabled(MechTurnsOfLargest) {
		ow.assignSortKeys(bySizePerTurn, func(tj *trackedJob) bool { return neglecting[tj.jo.Terms.Queue] }, func(a, b *trackedJob) int { return cmp.Compare(b.work, a.work) })
	}
	slices.SortFunc(ow.waitingJobs, compareJobs)
}

// queuesNeglectingLargest returns the queues whose large jobs are served much less often than all.
func (ow *Owner) queuesNeglectingLargest() map[string]bool {
	var queues map[string]bool
	for queue, qu := range ow.queueStats {
		if qu.NeglectsLargest() {
			if queues == nil {
				queues = map[string]bool{}
			}
			queues[queue] = true
		}
	}
	return queues
}

// assignSortKeys ranks the jobs by compare and lowers the sort key of each job that takes a turn to
// its rank multiplied by the parameter every, if that is lower.
func (ow *Owner) assignSortKeys(every int, takesTurn func(*trackedJob) bool, compare func(a, b *trackedJob) int) {
	ow.rankWaitingJobs(compare)
	for _, tj := range ow.waitingJobs {
		if takesTurn(tj) {
			tj.sortKey = min(tj.sortKey, every*tj.rank)
		}
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

// bySizePerTurn is how many jobs are taken in order of their cost for each one that takes a turn.
const bySizePerTurn = 2

// statsOf returns the statistics of a queue.
func (ow *Owner) statsOf(queue string) *queuestats.Queue {
	qu := ow.queueStats[queue]
	if qu == nil {
		qu = &queuestats.Queue{}
		ow.queueStats[queue] = qu
	}
	return qu
}

// costPerValue returns the work that is left of the job for each unit of its value: jobs with the
// lowest bring their callers most in the capacity that there is. That of long-running tasks is
// unbounded, so among jobs of equal priority they are ordered by age: a short task that waits
// behind them misses its target, while they lose only the time that they wait.
func (tj *trackedJob) costPerValue() float64 {
	if tj.jo.LongRunning() {
		return math.Inf(1)
	}
	return tj.ow.costPerValue(tj.jo, tj.work)
}

// costPerValue returns the same for a job that ends by itself, with the given work in all.
func (ow *Owner) costPerValue(jo *job.Job, work int64) float64 {
	return float64(jo.RemainingWork()) / ow.statsOf(jo.Terms.Queue).Value(work)
}

// recordOutcome remembers whether a job was served, once it is known. Long-running jobs have
// none.
func (tj *trackedJob) recordOutcome(served bool) {
	if tj.outcomeKnown || tj.targetMS <= 0 || tj.jo.LongRunning() {
		return
	}
	tj.outcomeKnown = true
	tj.ow.statsOf(tj.jo.Terms.Queue).RecordOutcome(tj.work, served)
}
