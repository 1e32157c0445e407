package sched

import (
	"cmp"
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/looplag"
)

// The cost of an event must depend on what the event changes and not on the size of the cell, because
// all other events wait meanwhile. The iterators here count what they visit, and tests bound the
// visits. The loop uses them to iterate over all workers, all jobs, or all attempts at a worker.

// allWorkers returns the workers in a stable order, by id and start.
func (ow *Owner) allWorkers() iter.Seq[*workerState] {
	return func(yield func(*workerState) bool) {
		for i, wk := range ow.sortedWorkers() {
			if !yield(wk) {
				ow.lag.RecordVisits(i + 1)
				return
			}
		}
		ow.lag.RecordVisits(len(ow.workers))
	}
}

// allJobs returns the jobs in memory, ended ones included.
func (ow *Owner) allJobs() iter.Seq[*trackedJob] {
	return func(yield func(*trackedJob) bool) {
		ow.lag.RecordVisits(len(ow.jobs))
		for _, tj := range ow.jobs {
			if !yield(tj) {
				return
			}
		}
	}
}

// allAttempts returns the attempts that run at the worker, or may run there.
func (wk *workerState) allAttempts() iter.Seq[*attempt] {
	return func(yield func(*attempt) bool) {
		wk.ow.lag.RecordVisits(len(wk.attempts))
		for at := range wk.attempts {
			if !yield(at) {
				return
			}
		}
	}
}

// beginPart records that the loop begins a part of its work, and returns the time.
func (ow *Owner) beginPart(pa looplag.Part) time.Time {
	if ow.chargeFunc != nil {
		ow.chargeFunc(ow.lag.Current())
	}
	now := time.Now()
	ow.lag.Begin(pa, now)
	return now
}

// sortedWorkers returns the workers in a stable order, by id and start.
func (ow *Owner) sortedWorkers() []*workerState {
	if ow.sortedWorkerCache != nil {
		return ow.sortedWorkerCache
	}
	list := make([]*workerState, 0, len(ow.workers))
	for _, wk := range ow.workers {
		list = append(list, wk)
	}
	slices.SortFunc(list, func(a, b *workerState) int {
		return cmp.Or(strings.Compare(a.incarnation.ID, b.incarnation.ID), cmp.Compare(a.incarnation.StartedMS, b.incarnation.StartedMS))
	})
	ow.sortedWorkerCache = list
	return list
}
