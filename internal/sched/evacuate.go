package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Limits on evacuations.
const (
	// leaveMargin is added to the time to stop an attempt. It covers the delivery of the
	// order, the poll that lists the end, and the write of the end.
	leaveMargin = 700 * time.Millisecond
	// maxEvacuationsPerTick bounds the moves of endless tasks per tick, so that the tasks of
	// a step are not all interrupted at once.
	maxEvacuationsPerTick = 6
	// maxReservedWaiting bounds the waiting tasks for which capacity is reserved; each can
	// take a search of all workers.
	maxReservedWaiting = 100
)

// evacuate moves tasks off workers that leave, because they are draining or because their
// entry was removed. An endless task is stopped as soon as another worker has capacity for
// it. Tasks that end by themselves are left running.
func (ow *Owner) evacuate(now time.Time) {
	if ow.storeDown() {
		return
	}
	ev := evacuation{ow: ow, now: now, noCapacity: map[*job.Step]bool{}}
	for _, ho := range ow.sortedWorkers() {
		if ho.evacuationReason(now) != "" {
			ev.leaving = append(ev.leaving, ho)
		}
	}
	for _, ho := range ev.leaving {
		ev.evacuateHost(ho)
	}
}

// Reasons of evacuations, as counted in the metrics.
const (
	reasonDraining = "drains"
	reasonUnlisted = "unlisted"
)

// evacuationReason returns why a worker is to be evacuated, or "" if it is not.
func (ho *workerState) evacuationReason(now time.Time) string {
	switch {
	case ho.dead || !ho.failingSince.IsZero():
		return ""
	case ho.Draining:
		// The worker reported this itself; its entry may disappear before it leaves.
		return reasonDraining
	case ho.lostFromList(now):
		// Its host may stop at any moment without notice.
		return reasonUnlisted
	}
	return ""
}

// evacuation is the evacuation of workers during one tick.
type evacuation struct {
	ow  *Owner
	now time.Time
	// leaving are the workers to be evacuated.
	leaving     []*workerState
	placerCache *placer
	moves       int
	// noCapacity has the steps whose tasks fit on no worker.
	noCapacity map[*job.Step]bool
}

// evacuateHost evacuates a worker. Shortly before a draining worker leaves, all its remaining
// attempts are stopped, so that their end and their last checkpoint are known. Otherwise they
// would end there anyway, and that would be known only after their leases have expired.
func (ev *evacuation) evacuateHost(ho *workerState) {
	cause := ho.evacuationReason(ev.now)
	if cause == reasonUnlisted {
		ho.logEvacuation(ev.now)
	}
	stopAll := cause == reasonDraining && ev.now.After(ho.leavesAt.Add(-ev.ow.Limits.StopTime-leaveMargin))
	for at := range ho.attempts {
		switch {
		case stopAll:
			ev.ow.halt(at, "its worker leaves")
		case at.step().Endless && !ev.stopping(at) && ev.moves < maxEvacuationsPerTick:
			ev.move(at, cause)
		}
	}
}

// stopping reports whether an order to stop the attempt may still take effect. After that
// time the order counts as lost.
func (ev *evacuation) stopping(at *attempt) bool {
	return !at.haltSentAt.IsZero() && ev.now.Sub(at.haltSentAt) < ev.ow.Limits.StopTime+leaveMargin
}

// move stops an endless task if another worker has capacity for it.
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
		ev.ow.Metrics.Add(telemetry.Evacuated, 1, "why", cause)
	}
	why := "its worker leaves and another has room"
	if cause == reasonUnlisted {
		why = "its worker has no entry and another has room"
	}
	ev.ow.halt(at, why)
}

// placer returns the remaining capacity after that of the tasks which are being stopped or
// wait. Without those reservations, one free place would be counted at every tick until it is
// taken.
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

// reserveForWaiting reserves capacity for endless tasks that wait for placement.
func (pl *placer) reserveForWaiting() {
	remaining := maxReservedWaiting
	for _, en := range pl.ow.active {
		for step := range en.jo.Spec.Steps {
			if !en.jo.Spec.Steps[step].Endless {
				continue
			}
			for range min(en.waitingIn(step), remaining) {
				remaining--
				if !pl.reserve(en, job.TaskRef{Step: step}, nil) {
					break
				}
			}
		}
	}
}

// reserveElsewhere reserves capacity for an attempt on another worker, and reports whether
// there was any.
func (pl *placer) reserveElsewhere(at *attempt) bool { return pl.reserve(at.en, at.ref, at.ho) }

// reserve reserves capacity for a task on any worker except one, and reports whether there
// was any.
func (pl *placer) reserve(en *entry, ref job.TaskRef, except *workerState) bool {
	st := &en.jo.Spec.Steps[ref.Step]
	for _, ca := range pl.hosts {
		if ca.ho == except || !ca.fits(en, ref, st) {
			continue
		}
		ca.free = ca.free.Sub(st.Reserved())
		return true
	}
	return false
}
