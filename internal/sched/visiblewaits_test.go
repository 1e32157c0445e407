package sched

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// visibleWait is the time between two runs of a long-running task, by the records of the workers.
type visibleWait struct {
	task        string
	need        worker.Resources
	from, until time.Time
	// onOne and onTwo are when one worker, and when two, had the resources that the task needs.
	onOne, onTwo []period
}

// period is the time from From to Until.
type period struct{ From, Until time.Time }

// longest returns the length of the longest period.
func longest(list []period) time.Duration {
	var most time.Duration
	for _, pe := range list {
		most = max(most, pe.Until.Sub(pe.From))
	}
	return most
}

// Users report an interrupted task after reportAfter if it found the capacity throughout reportPeriod.
const (
	reportAfter  = 6 * time.Second
	reportPeriod = 3 * time.Second
)

// visibleWaits returns the waits of interrupted tasks, regardless of labels and limits per worker.
func (la *lab) visibleWaits(cancelled map[string]time.Time) []*visibleWait {
	list := la.interruptions(cancelled)
	for _, fh := range la.freeHistories() {
		for _, vw := range list {
			vw.onOne = append(vw.onOne, fh.periodsWith(vw.need, vw.from, vw.until)...)
		}
	}
	for _, vw := range list {
		vw.onOne, vw.onTwo = atLeast(1, vw.onOne), atLeast(2, vw.onOne)
	}
	return list
}

// interruptions returns the times between runs of long-running tasks, up to their cancelling.
func (la *lab) interruptions(cancelled map[string]time.Time) []*visibleWait {
	var list []*visibleWait
	last := map[string]*visibleWait{}
	for _, ru := range la.fleet.Runs() {
		if vw := last[ru.Task]; vw != nil {
			vw.until = ru.From
			delete(last, ru.Task)
		}
		id, ref, _ := job.ParseTaskID(ru.Task)
		st := la.spec(id).Steps[ref.Step]
		until, gone := cancelled[id]
		if !gone {
			until = time.Now()
		}
		if ru.Until.IsZero() || !st.LongRunning || !ru.Until.Before(until) {
			continue
		}
		vw := &visibleWait{task: ru.Task, need: st.Reserved(), from: ru.Until, until: until}
		last[ru.Task] = vw
		list = append(list, vw)
	}
	return list
}

// freeHistory holds the changes of the free resources of a worker in the order of their times.
type freeHistory struct {
	at   []time.Time
	free []worker.Resources
}

// freeHistories returns the history of each worker, of a lost one up to the end of its last run.
func (la *lab) freeHistories() []freeHistory {
	runs := map[worker.Incarnation][]standin.FleetRun{}
	for _, ru := range la.fleet.Runs() {
		runs[ru.Worker] = append(runs[ru.Worker], ru)
	}
	var list []freeHistory
	for _, fw := range la.fleetWorkers {
		list = append(list, la.freeHistory(fw, runs[fw.Addr.Incarnation]))
	}
	return list
}

func (la *lab) freeHistory(fw *standin.FleetWorker, runs []standin.FleetRun) freeHistory {
	type change struct {
		at   time.Time
		diff worker.Resources
	}
	var changes []change
	var lastEnd time.Time
	for _, ru := range runs {
		need := la.fleet.ResourcesFunc(ru.Attempt)
		changes = append(changes, change{ru.From, worker.Resources{}.Sub(need)})
		if !ru.Until.IsZero() {
			changes = append(changes, change{ru.Until, need})
			lastEnd = latest(lastEnd, ru.Until)
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	fh := freeHistory{at: []time.Time{time.UnixMilli(fw.Addr.Incarnation.StartedMS)}, free: []worker.Resources{fw.Capacity}}
	for _, ch := range changes {
		fh.at, fh.free = append(fh.at, ch.at), append(fh.free, fh.free[len(fh.free)-1].Add(ch.diff))
	}
	if _, err := la.fleet.Agent().PollFunc(context.Background(), fw.Addr, worker.Poll{}); errors.Is(err, worker.ErrNoListener) {
		fh.at, fh.free = append(fh.at, lastEnd), append(fh.free, worker.Resources{})
	}
	return fh
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// periodsWith returns when the worker had the needed resources between two times.
func (fh freeHistory) periodsWith(need worker.Resources, from, until time.Time) []period {
	var list []period
	for i, free := range fh.free {
		pe := period{fh.at[i], until}
		if i+1 < len(fh.at) {
			pe.Until = fh.at[i+1]
		}
		if pe.From.Before(from) {
			pe.From = from
		}
		if pe.Until.After(until) {
			pe.Until = until
		}
		if need.Fits(free) && pe.From.Before(pe.Until) {
			list = append(list, pe)
		}
	}
	return list
}

// atLeast returns when at least n of the periods overlap.
func atLeast(n int, list []period) []period {
	type edge struct {
		at   time.Time
		diff int
	}
	var edges []edge
	for _, pe := range list {
		edges = append(edges, edge{pe.From, 1}, edge{pe.Until, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return b.diff - a.diff
	})
	var joined []period
	open := 0
	for _, ed := range edges {
		was := open
		open += ed.diff
		switch {
		case was < n && open >= n:
			joined = append(joined, period{From: ed.at})
		case was >= n && open < n:
			joined[len(joined)-1].Until = ed.at
		}
	}
	return joined
}
