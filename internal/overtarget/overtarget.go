// Package overtarget tracks for how long a service may have exceeded its latency target.
//
// Workers report the tail latency of a service as an approximate figure of a recent window. A
// deadline for the service to be back below its target has to count from the last moment at which
// it is known to have been below, not from the first figure above: between the two lie a window,
// the interval between figures and the time that answers took.
//
// The package sees figures and times only, and makes no decisions.
package overtarget

import "time"

// Window is the period that a figure covers.
const Window = 500 * time.Millisecond

// Limits between figures, as parts of the target.
const (
	// overPart is the part above which the service may exceed its target, as figures are
	// inexact. clearPart is the part up to which one figure shows that it does not.
	overPart  = 0.9
	clearPart = 0.85
	// clearFigures is how many figures up to overPart in a row show it once one was above, and
	// clearAfter the time that must have passed since that one: windows overlap, and one figure
	// may be low by chance.
	clearFigures = 2
	clearAfter   = time.Second
)

// Tracker tracks one service. The zero value knows nothing: the service counts as having exceeded
// its target forever once a figure is above.
type Tracker struct {
	// below is the last time at which the service is known to have been below its target.
	below time.Time
	// over is set if it may exceed its target; overAt is the time of the last figure that said so,
	// and low counts the figures since.
	over   bool
	overAt time.Time
	low    int
}

// RecordBelow records that the service did not exceed its target at a time, as it did not run or
// serve.
func (tr *Tracker) RecordBelow(at time.Time) {
	tr.over, tr.low = false, 0
	tr.advance(at)
}

// RecordFigure records a figure, which is the given part of the target and was taken no earlier
// than at.
func (tr *Tracker) RecordFigure(at time.Time, part float64) {
	switch {
	case part > overPart:
		tr.over, tr.low = true, 0
		tr.overAt = later(tr.overAt, at)
	case !tr.over && part <= clearPart:
		tr.advance(at.Add(-Window))
	case tr.over:
		tr.low++
		if tr.low >= clearFigures && at.Sub(tr.overAt) > clearAfter {
			tr.over = false
			tr.advance(at.Add(-Window))
		}
	}
}

func (tr *Tracker) advance(at time.Time) { tr.below = later(tr.below, at) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Over reports whether the service may exceed its target.
func (tr *Tracker) Over() bool { return tr.over }

// Below returns the last time at which the service is known to have been below its target, zero if
// there is none.
func (tr *Tracker) Below() time.Time { return tr.below }
