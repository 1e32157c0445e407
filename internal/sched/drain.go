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
	// waitingMost bounds the waiting tasks for which room is kept, each a search of all
	// workers at worst.
	waitingMost = 100
)

// evacuate empties workers that leave, by their own word or as their entry is gone for
// good. Endless tasks are stopped as soon as another worker has room for them. What ends
// by itself is left to.
func (ow *Owner) evacuate(now time.Time) {
	if ow.storeDown() {
		return
	}
	ev := evacuation{ow: ow, now: now, full: map[*job.Step]bool{}}
	for _, ho := range ow.sortedWorkers() {
		if ho.whyEmpty(now) != "" {
			ev.leaving = append(ev.leaving, ho)
		}
	}
	for _, ho := range ev.leaving {
		ev.empty(ho)
	}
}

// Why workers are emptied, as counted.
const (
	whyDrains   = "drains"
	whyUnlisted = "unlisted"
)

// whyEmpty says why a worker is to be emptied, or is empty.
func (ho *workerState) whyEmpty(now time.Time) string {
	switch {
	case ho.dead || !ho.failingSince.IsZero():
		return ""
	case ho.Draining:
		// It said so itself, and its entry may go before it does.
		return whyDrains
	case ho.goneForGood(now):
		// Its machine may stop at any moment, and nobody can tell when.
		return whyUnlisted
	}
	return ""
}

// evacuation is the emptying of workers at one look.
type evacuation struct {
	ow  *Owner
	now time.Time
	// leaving are the workers.
	leaving []*workerState
	pl      *placer
	moves   int
	// full has the steps for a task of which no worker has room.
	full map[*job.Step]bool
}

// empty empties a worker. What has not ended shortly before one leaves that told when is
// stopped, so that it is certain that it ended and where it is to be resumed: it would
// die there all the same, and be known to only once its lease has lapsed.
func (ev *evacuation) empty(ho *workerState) {
	cause := ho.whyEmpty(ev.now)
	if cause == whyUnlisted {
		ho.tellEmptied(ev.now)
	}
	last := cause == whyDrains && ev.now.After(ho.leavesAt.Add(-ev.ow.Limits.StopTime-leaveReserve))
	for at := range ho.attempts {
		switch {
		case last:
			ev.ow.halt(at, "its worker leaves")
		case at.step().Endless && !ev.stopping(at) && ev.moves < evacuationsPerTick:
			ev.move(at, cause)
		}
	}
}

// stopping reports whether an order to stop the attempt may still have its effect. One
// that had none by then is taken to be lost.
func (ev *evacuation) stopping(at *attempt) bool {
	return !at.halted.IsZero() && ev.now.Sub(at.halted) < ev.ow.Limits.StopTime+leaveReserve
}

// move stops an endless task if another worker has room for it.
func (ev *evacuation) move(at *attempt, cause string) {
	if ev.full[at.step()] {
		return
	}
	if !ev.placer().hasRoom(at) {
		ev.full[at.step()] = true
		return
	}
	ev.moves++
	if at.halted.IsZero() {
		ev.ow.Metrics.Add(telemetry.Emptied, 1, "why", cause)
	}
	why := "its worker leaves and another has room"
	if cause == whyUnlisted {
		why = "its worker has no entry and another has room"
	}
	ev.ow.halt(at, why)
}

// placer returns the room that is left besides what tasks will take that are being
// stopped, or wait: else one place would be counted again at each look until it is taken.
func (ev *evacuation) placer() *placer {
	if ev.pl != nil {
		return ev.pl
	}
	ev.pl = ev.ow.newPlacer()
	for _, ho := range ev.leaving {
		for at := range ho.attempts {
			if at.step().Endless && ev.stopping(at) {
				ev.pl.hasRoom(at)
			}
		}
	}
	ev.pl.keepForWaiting()
	return ev.pl
}

// keepForWaiting keeps room for endless tasks that wait for their placement.
func (pl *placer) keepForWaiting() {
	left := waitingMost
	for _, en := range pl.ow.active {
		for step := range en.jo.Spec.Steps {
			if !en.jo.Spec.Steps[step].Endless {
				continue
			}
			for range min(en.waitingOf(step), left) {
				left--
				if !pl.keep(en, job.TaskRef{Step: step}, nil) {
					break
				}
			}
		}
	}
}

// hasRoom reports whether another worker has room for an attempt now, and keeps that room.
func (pl *placer) hasRoom(at *attempt) bool { return pl.keep(at.en, at.ref, at.ho) }

// keep keeps room for a task on any worker but one, and reports whether there is any.
func (pl *placer) keep(en *entry, ref job.TaskRef, but *workerState) bool {
	st := &en.jo.Spec.Steps[ref.Step]
	for _, ca := range pl.hosts {
		if ca.ho == but || !ca.fits(en, ref, st) {
			continue
		}
		ca.free = ca.free.Without(st.Reserved())
		return true
	}
	return false
}
