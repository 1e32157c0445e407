package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
)

// attempt is what the owner knows of an attempt that runs, or may.
type attempt struct {
	ref    job.TaskRef
	number int
	ho     *workerState
	// en is its job.
	en *entry
	// underWay is set from its placement to the answer to its order.
	underWay bool
	// ordered is set once its order was sent.
	ordered bool
	// launched is when the worker acknowledged the order, or zero.
	launched time.Time
	// sighted is when the last look came back that listed it as running, or zero.
	sighted time.Time
	// inherited is set if a former owner ordered it, worked is for how long it was at work
	// at least when this owner took over.
	inherited bool
	worked    time.Duration
	// ends is set while it is not known whether the order, which was for a life of the
	// worker that has ended, was carried out by this one: how it has ended if not.
	ends job.End
	// settling is set while it is found out what became of an order without
	// an answer.
	settling bool
	// halted is when an order to stop it was last sent, or zero.
	halted time.Time
	// percent is how far it has come, usage the last figure.
	percent int
	usage   int64
	// movedAt is when it was last seen to get on, still counts the looks since.
	movedAt time.Time
	// firstAt is when it was first seen at work, and not held since, first how far it had
	// come then, in per cent.
	firstAt time.Time
	first   int
	still   int
	// replica is what was learnt of a service.
	replica interfere.Replica
	// overSince is since when a service is over its target.
	overSince time.Time
	// overLast is when it last was.
	overLast time.Time
	// pace is the share of its speed that it was told, in per cent, or
	// unknownPace.
	pace int
	// pacing is set while an order to set the pace is under way.
	pacing bool
	// heldSince is since when a filler's pace is so low that it hardly works.
	heldSince time.Time
	// pacedAt is when its pace last changed.
	pacedAt time.Time
	// uses is the part of its declared processor time that a filler uses at full
	// speed, or 0 if that is not known.
	uses float64
}
