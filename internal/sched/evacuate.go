package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Times and limits of evacuations.
const (
	// leaveMargin is added to the time to stop an attempt. It covers the delivery of the
	// order, the poll that lists the end, and the write of the end.
	leaveMargin = 700 * time.Millisecond
	// maxEvacuationsPerTick bounds the moves of long-running tasks per tick, so that the tasks
	// of a step are not all interrupted at once.
	maxEvacuationsPerTick = 6
	// maxReservedWaiting bounds the waiting tasks for which capacity is reserved; each can
	// take a search of all workers.
	maxReservedWaiting = 100
)

// evacuate moves tasks off workers that leave, because they are draining or because their
// entry was removed. A long-running task is stopped as soon as another worker has capacity for
// it. Tasks that end by themselves are left running.
func (ow *Owner) evacuate(now time.Time) {
	if ow.storeDown() {
		return
	}
	evac := evacuation{ow: ow, now: now, noCapacity: map[*job.Step]bool{}}
	for _, wk := range ow.sortedWorkers() {
		if wk.evacuationReason(now) != "" {
			evac.leaving = append(evac.leaving, wk)
		}
	}
	for _, wk := range evac.leaving {
		evac.evacuateWorker(wk)
	}
}

// Reasons of evacuations, as counted in the metrics.
const (
	reasonDraining = "drains"
	reasonUnlisted = "unlisted"
)

// evacuationReason returns why a worker is to be evacuated, or "" if it is not.
func (wk *workerState) evacuationReason(now time.Time) string {
	switch {
	case wk.dead || !wk.failingSince.IsZero():
		return ""
	case wk.Draining:
		// The worker reported this itself; its entry may disappear before it leaves.
		return reasonDraining
	case wk.lostFromList(now):
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
	leaving      []*workerState
	cachedPlacer *placer
	// moves counts the long-running tasks stopped so far, to be started elsewhere.
	moves int
	// noCapacity has the steps whose tasks fit on no worker.
	noCapacity map[*job.Step]bool
}

// evacuateWorker evacuates a worker. Shortly before a draining worker leaves, all its remaining
// attempts are stopped, so that their end and their last checkpoint are known. Otherwise they
// would end there anyway, and that would be known only after their leases have expired.
func (evac *evacuation) evacuateWorker(wk *workerState) {
	cause := wk.evacuationReason(evac.now)
	if cause == reasonUnlisted {
		wk.logEvacuation(evac.now)
	}
	stopAll := cause == reasonDraining && evac.now.After(wk.leavesAt.Add(-evac.ow.Limits.StopTime-leaveMargin))
	for at := range wk.attempts {
		switch {
		case stopAll:
			evac.ow.halt(at, "its worker leaves")
		case at.step().LongRunning && !evac.stopping(at) && evac.moves < maxEvacuationsPerTick:
			evac.move(at, cause)
		}
	}
}

// stopping reports whether an order to stop the attempt may still take effect. After that time
// the order is considered lost.
func (evac *evacuation) stopping(at *attempt) bool {
	return !at.haltSentAt.IsZero() && evac.now.Sub(at.haltSentAt) < evac.ow.Limits.StopTime+leaveMargin
}

// move stops a long-running task if another worker has capacity for it.
func (evac *evacuation) move(at *attempt, cause string) {
	if evac.noCapacity[at.step()] {
		return
	}
	if !evac.placer().reserveElsewhere(at) {
		evac.noCapacity[at.step()] = true
		return
	}
	evac.moves++
	if at.haltSentAt.IsZero() {
		evac.ow.Metrics.Add(telemetry.Evacuated, 1, "why", cause)
	}
	why := "its worker leaves and another has capacity"
	if cause == reasonUnlisted {
		why = "its worker has no entry and another has room"
	}
	evac.ow.halt(at, why)
}

// placer returns a placer from whose free capacity that of the tasks which are being stopped or
// wait was subtracted. Without those reservations, the same free capacity would be counted at
// every tick until a task starts there.
func (evac *evacuation) placer() *placer {
	if evac.cachedPlacer != nil {
		return evac.cachedPlacer
	}
	evac.cachedPlacer = evac.ow.newPlacer()
	for _, wk := range evac.leaving {
		for at := range wk.attempts {
			if at.step().LongRunning && evac.stopping(at) {
				evac.cachedPlacer.reserveElsewhere(at)
			}
		}
	}
	evac.cachedPlacer.reserveForWaiting()
	return evac.cachedPlacer
}

// reserveForWaiting reserves capacity for long-running tasks that wait for placement.
func (pl *placer) reserveForWaiting() {
	remaining := maxReservedWaiting
	for _, tj := range pl.ow.waitingJobs {
		for step := range tj.jo.Spec.Steps {
			if !tj.jo.Spec.Steps[step].LongRunning {
				continue
			}
			for range min(tj.waitingIn(step), remaining) {
				remaining--
				if !pl.reserve(tj, job.TaskRef{Step: step}, nil) {
					break
				}
			}
		}
	}
}

// reserveElsewhere reserves capacity for an attempt on another worker, and reports whether
// there was any.
func (pl *placer) reserveElsewhere(at *attempt) bool { return pl.reserve(at.tj, at.ref, at.wk) }

// reserve reserves capacity for a task on any worker except one, and reports whether there
// was any.
func (pl *placer) reserve(tj *trackedJob, ref job.TaskRef, except *workerState) bool {
	st := &tj.jo.Spec.Steps[ref.Step]
	for _, ca := range pl.candidates {
		if ca.wk == except || !ca.fits(tj, ref, st) {
			continue
		}
		ca.free = ca.free.Sub(st.Reserved())
		return true
	}
	return false
}
