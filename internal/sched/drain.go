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
	leaveMargin = 700 * time.Millisecond
	// evacuationsPerTick bounds the moves of endless tasks at one look, so that
	// a step is not away as a whole.
	maxEvacuationsPerTick = 6
	// waitingMost bounds the waiting tasks for which room is kept, each a search of all
	// workers at worst.
	maxReservedWaiting = 100
)

// evacuate empties workers that leave, by their own word or as their entry is gone for
// good. Endless tasks are stopped as soon as another worker has room for them. What ends
// by itself is left to.
func (ow *Owner) evacuate(now time.Time) {
	if ow.storeDown() {
		return
	}
	ev := evacuation{ow: ow, now: now, noCapacity: map[*job.Step]bool{}}
	for _, ho := range ow.sortedHosts() {
		if ho.evacuationReason(now) != "" {
			ev.leaving = append(ev.leaving, ho)
		}
	}
	for _, ho := range ev.leaving {
		ev.evacuateHost(ho)
	}
}

// Why workers are emptied, as counted.
const (
	reasonDraining = "drains"
	reasonUnlisted = "unlisted"
)

// whyEmpty says why a worker is to be emptied, or is empty.
func (ho *host) evacuationReason(now time.Time) string {
	switch {
	case ho.dead || !ho.failing.IsZero():
		return ""
	case ho.Draining:
		// It said so itself, and its entry may go before it does.
		return reasonDraining
	case ho.lostFromList(now):
		// Its machine may stop at any moment, and nobody can tell when.
		return reasonUnlisted
	}
	return ""
}

// evacuation is the emptying of workers at one look.
type evacuation struct {
	ow  *Owner
	now time.Time
	// leaving are the workers.
	leaving     []*host
	placerCache *placer
	moves       int
	// full has the steps for a task of which no worker has room.
	noCapacity map[*job.Step]bool
}

// empty empties a worker. What has not ended shortly before one leaves that told when is
// stopped, so that it is certain that it ended and where it is to be resumed: it would
// die there all the same, and be known to only once its lease has lapsed.
func (ev *evacuation) evacuateHost(ho *host) {
	cause := ho.evacuationReason(ev.now)
	if cause == reasonUnlisted {
		ho.logEvacuation(ev.now)
	}
	last := cause == reasonDraining && ev.now.After(ho.leaves.Add(-ev.ow.Limits.StopTime-leaveMargin))
	for at := range ho.attempts {
		switch {
		case last:
			ev.ow.halt(at, "its worker leaves")
		case at.step().Endless && !ev.stopping(at) && ev.moves < maxEvacuationsPerTick:
			ev.move(at, cause)
		}
	}
}

// stopping reports whether an order to stop the attempt may still have its effect. One
// that had none by then is taken to be lost.
func (ev *evacuation) stopping(at *attempt) bool {
	return !at.haltSentAt.IsZero() && ev.now.Sub(at.haltSentAt) < ev.ow.Limits.StopTime+leaveMargin
}

// move stops an endless task if another worker has room for it.
func (ev *evacuation) move(at *attempt, cause string) {
	if ev.noCapacity[at.step()] {
		return
	}
	if !ev.placer().reserveElsewhere(at) {
		ev.noCapacity[at.step()] = true
		return
	}
	ev.moves++
	if at.haltSentAt.IsZero() {
		ev.ow.Metrics.Add(telemetry.Emptied, 1, "why", cause)
	}
	why := "its worker leaves and another has room"
	if cause == reasonUnlisted {
		why = "its worker has no entry and another has room"
	}
	ev.ow.halt(at, why)
}

// placer returns the room that is left besides what tasks will take that are being
// stopped, or wait: else one place would be counted again at each look until it is taken.
func (ev *evacuation) placer() *placer {
	if ev.placerCache != nil {
		return ev.placerCache
	}
	ev.placerCache = ev.ow.newPlacer()
	for _, ho := range ev.leaving {
		for at := range ho.attempts {
			if at.step().Endless && ev.stopping(at) {
				ev.placerCache.reserveElsewhere(at)
			}
		}
	}
	ev.placerCache.reserveForWaiting()
	return ev.placerCache
}

// keepForWaiting keeps room for endless tasks that wait for their placement.
func (pl *placer) reserveForWaiting() {
	left := maxReservedWaiting
	for _, en := range pl.ow.active {
		for step := range en.jo.Spec.Steps {
			if !en.jo.Spec.Steps[step].Endless {
				continue
			}
			for range min(en.waitingIn(step), left) {
				left--
				if !pl.reserve(en, job.TaskRef{Step: step}, nil) {
					break
				}
			}
		}
	}
}

// hasRoom reports whether another worker has room for an attempt now, and keeps that room.
func (pl *placer) reserveElsewhere(at *attempt) bool { return pl.reserve(at.en, at.ref, at.ho) }

// keep keeps room for a task on any worker but one, and reports whether there is any.
func (pl *placer) reserve(en *entry, ref job.TaskRef, but *host) bool {
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
