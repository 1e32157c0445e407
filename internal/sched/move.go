package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// Moves of fillers.
const (
	// heldPace is the pace in per cent under which a filler counts as held.
	heldPace = 35
	// heldAfter is how long it is held before it is moved to a better place.
	heldAfter = 400 * time.Millisecond
	// movesPerTick bounds the moves at one look, so that not all go to the
	// same place.
	movesPerTick = 8
	// worthLosing is how far a filler without checkpoints may have come, in
	// per cent, to be moved all the same.
	worthLosing = 15
	// nearlyDone is how far a filler has come, in per cent, that is not moved.
	nearlyDone = 85
)

// moveHeld stops fillers that are held for the sake of services, if another
// worker would welcome them; they go on there from their checkpoints.
func (ow *Owner) moveHeld(now time.Time) {
	if !ow.uses(MechMove) || ow.storeDown() {
		return
	}
	var pl *placer
	moves := 0
	for _, ho := range ow.sortedWorkers() {
		for at := range ho.attempts {
			if moves == movesPerTick || !at.movable(now) {
				continue
			}
			if pl == nil {
				pl = ow.newPlacer()
			}
			if pl.welcomes(at) {
				moves++
				at.en.spent.moved++
				ow.halt(at, "held for the sake of a service, and another worker has room")
			}
		}
	}
}

// movable reports whether the attempt is held and loses little by a move.
func (at *attempt) movable(now time.Time) bool {
	if at.heldSince.IsZero() || now.Sub(at.heldSince) < heldAfter || !at.halted.IsZero() {
		return false
	}
	if at.percent >= nearlyDone {
		return false
	}
	return at.step().Checkpoints || at.percent <= worthLosing
}

// welcomes reports whether any worker but its own would welcome a filler now,
// and keeps its room there.
func (pl *placer) welcomes(at *attempt) bool {
	for _, ca := range pl.hosts {
		if ca.ho == at.ho || !ca.fits(at.en, job.TaskRef{Step: at.ref.Step, Index: at.ref.Index}, at.step()) || !ca.suits(at.step()) {
			continue
		}
		ca.idle -= likelyUse(at.step())
		return true
	}
	return false
}
