// Package background runs the periodic work of an event loop that may be late: reports, learning,
// and improvements of what already runs. It gives way to everything else. While the loop is busy,
// a piece of work runs only once it is late by its longest delay, and one piece at a time.
//
// A piece that has begun is not interrupted, so each must be short.
package background

import "time"

// Work is a piece of periodic work.
type Work struct {
	// Name names the work in logs and metrics.
	Name string
	// Interval is the time between two runs, MaxDelay how much later a run may be while the loop
	// is busy.
	Interval, MaxDelay time.Duration
	// Run does the work.
	Run func(now time.Time)
}

// Schedule runs pieces of work. The zero value has none.
type Schedule struct {
	// RanFunc is called after each run with its delay. It may be nil.
	RanFunc func(name string, delay time.Duration)

	items []item
	// nextDue is the earliest time at which a piece is due.
	nextDue time.Time
}

// item is a piece of work, and when it is due.
type item struct {
	Work

	due time.Time
}

// Add adds pieces of work that are due from now on.
func (sc *Schedule) Add(now time.Time, list ...Work) {
	for _, wo := range list {
		sc.items = append(sc.items, item{Work: wo, due: now})
	}
	sc.nextDue = now
}

// Run runs the pieces that are due, in the order in which they were added. If busy is set, it runs only the one that is late by the most beyond its longest delay.
func (sc *Schedule) Run(now time.Time, busy bool) {
	if len(sc.items) == 0 || now.Before(sc.nextDue) {
		return
	}
	if busy {
		// The loop may be idle by the next call, so nextDue stays as it is.
		if it := sc.latest(now); it != nil {
			sc.run(it, now)
		}
		return
	}
	for i := range sc.items {
		if it := &sc.items[i]; !now.Before(it.due) {
			sc.run(it, now)
		}
	}
	sc.updateNextDue()
}

// latest returns the piece that is late by the most beyond its longest delay, or nil.
func (sc *Schedule) latest(now time.Time) *item {
	var latest *item
	most := time.Duration(0)
	for i := range sc.items {
		it := &sc.items[i]
		if late := now.Sub(it.due) - it.MaxDelay; late >= most {
			latest, most = it, late
		}
	}
	return latest
}

func (sc *Schedule) run(it *item, now time.Time) {
	delay := now.Sub(it.due)
	it.due = now.Add(it.Interval)
	it.Work.Run(now)
	if sc.RanFunc != nil {
		sc.RanFunc(it.Name, delay)
	}
}

// updateNextDue sets the time until which Run has nothing to do.
func (sc *Schedule) updateNextDue() {
	sc.nextDue = sc.items[0].due
	for _, it := range sc.items[1:] {
		if it.due.Before(sc.nextDue) {
			sc.nextDue = it.due
		}
	}
}

// Delay returns by how much the piece of work that has been due for longest is late.
func (sc *Schedule) Delay(now time.Time) (name string, delay time.Duration) {
	for _, it := range sc.items {
		if late := now.Sub(it.due); late > delay {
			name, delay = it.Name, late
		}
	}
	return name, delay
}
