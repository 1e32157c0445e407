package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
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

// evacuate empties workers that leave, by their own word or as their entry is gone for
// good. Endless tasks are stopped as soon as another worker has room for them. What ends
// by itself is left to.
func (ow *Owner) evacuate(now time.Time) {
	if ow.storeDown() {
		return
	}
	ev := evacuation{ow: ow, now: now}
	for _, ho := range ow.sortedHosts() {
		switch {
		case ho.dead || !ho.failing.IsZero():
		case ho.Draining:
			// It said so itself, and its entry may go before it does.
			ev.leave(ho)
		case ho.goneForGood(now):
			// Its machine may stop at any moment, and nobody can tell when.
			ho.tellEmptied(now)
			ev.empty(ho, whyUnlisted, "its worker has no entry and another has room")
		}
	}
}

// Why lasting tasks are moved, as counted.
const (
	whyDrains   = "drains"
	whyUnlisted = "unlisted"
)

// evacuation is the emptying of workers at one look.
type evacuation struct {
	ow    *Owner
	now   time.Time
	pl    *placer
	moves int
}

// leave empties a worker that said when it leaves. What has not ended shortly before is
// stopped, so that it is certain that it ended and where it is to be resumed: it would
// die there all the same, and be known to only once its lease has lapsed.
func (ev *evacuation) leave(ho *host) {
	if !ev.now.After(ho.leaves.Add(-ev.ow.Limits.StopTime - leaveReserve)) {
		ev.empty(ho, whyDrains, "its worker leaves and another has room")
		return
	}
	for at := range ho.attempts {
		ev.ow.halt(at, "its worker leaves")
	}
}

// empty moves the endless tasks of a worker for which another has room.
func (ev *evacuation) empty(ho *host, cause, why string) {
	for at := range ho.attempts {
		if !at.step().Endless || !at.halted.IsZero() || ev.moves == evacuationsPerTick {
			continue
		}
		if ev.pl == nil {
			ev.pl = ev.ow.newPlacer()
		}
		if ev.pl.hasRoom(at) {
			ev.moves++
			ev.ow.Metrics.Add(telemetry.Emptied, 1, "why", cause)
			ev.ow.halt(at, why)
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
