package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// Limits on moving fillers.
const (
	// heldMaxPace is the pace in per cent up to which a filler counts as held.
	heldMaxPace = 35
	// moveAfter is how long a filler is held before it is moved to a better worker.
	moveAfter = 400 * time.Millisecond
	// movesPerTick limits the moves in one tick of the loop, so that not all fillers go to
	// the same worker.
	movesPerTick = 8
	// maxLostPercent is the progress in per cent up to which a filler without checkpoints
	// is moved although its work is lost.
	maxLostPercent = 15
	// nearlyDonePercent is the progress in per cent from which on a filler is not moved.
	nearlyDonePercent = 85
)

// moveHeld stops fillers that are held because of services, if another worker can run them
// without harm; they resume there from their checkpoints.
func (ow *Owner) moveHeld(now time.Time) {
	if !ow.enabled(MechMove) || ow.storeDown() {
		return
	}
	var pl *placer
	moves := 0
	ow.lag.RecordVisits(len(ow.throttled))
	for at := range ow.throttled {
		if moves == movesPerTick || !at.worthMoving(now) {
			continue
		}
		if pl == nil {
			pl = ow.newPlacer()
		}
		if pl.reserveIdleElsewhere(at) {
			moves++
			at.tj.timeBreakdown.moved++
			ow.halt(at, "held because of a service, and another worker can run it")
		}
	}
}

// worthMoving reports whether the attempt is held and loses little work by a move.
func (at *attempt) worthMoving(now time.Time) bool {
	if at.throttledSince.IsZero() || now.Sub(at.throttledSince) < moveAfter || !at.haltSentAt.IsZero() {
		return false
	}
	if at.progress >= nearlyDonePercent {
		return false
	}
	return at.step().Checkpoints || at.progress <= maxLostPercent
}

// reserveIdleElsewhere reports whether another worker can run the filler without harm to its
// services, and subtracts the filler from the idle time there.
func (pl *placer) reserveIdleElsewhere(at *attempt) bool {
	for _, ca := range pl.candidates {
		if ca.wk == at.wk || ca.cold || ca.slowdown > 0 || !ca.fits(at.tj, job.TaskRef{Step: at.ref.Step, Index: at.ref.Index}, at.step()) || !ca.acceptsFiller(at.step()) {
			continue
		}
		ca.idle -= likelyUse(at.step())
		return true
	}
	return false
}
