package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// Times of a worker that leaves.
const (
	// leaveReserve is added to the time to stop: the order's way, the look that
	// lists the end, and its write.
	leaveReserve = 700 * time.Millisecond
	// evacuationsPerTick bounds the moves of endless tasks at one look, so that
	// a step is not away as a whole.
	evacuationsPerTick = 6
)

// evacuate empties workers that leave. Endless tasks are stopped as soon as
// another worker has room for them. What ends by itself is left to; what has
// not shortly before the worker leaves is stopped, so that it is certain that
// it ended and where it is to be resumed: it would die there all the same, and
// be known to only once its lease has lapsed.
func (ow *Owner) evacuate(now time.Time) {
	if ow.storeDown() {
		return
	}
	var pl *placer
	moves := 0
	for _, ho := range ow.sortedHosts() {
		if !ho.Draining || ho.gone || ho.dead || !ho.failing.IsZero() {
			continue
		}
		last := now.After(ho.leaves.Add(-ow.Limits.StopTime - leaveReserve))
		for at := range ho.attempts {
			if last {
				ow.halt(at, "its worker leaves")
				continue
			}
			if !at.step().Endless || !at.halted.IsZero() || moves == evacuationsPerTick {
				continue
			}
			if pl == nil {
				pl = ow.newPlacer()
			}
			if pl.hasRoom(at) {
				moves++
				ow.halt(at, "its worker leaves and another has room")
			}
		}
	}
}

// hasRoom reports whether any worker has room for an attempt now, and keeps
// that room.
func (pl *placer) hasRoom(at *attempt) bool {
	for _, ca := range pl.hosts {
		if ca.ho == at.ho || !ca.fits(at.en, job.TaskRef{Step: at.ref.Step, Index: at.ref.Index}, at.step()) {
			continue
		}
		ca.free = ca.free.Without(at.step().Reserved())
		return true
	}
	return false
}
