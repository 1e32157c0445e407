package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/evacuation"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Times and limits of evacuations.
const (
	// leaveMargin is added to the time to stop an attempt. It covers the delivery of the
	// order, the poll that lists the end, and the write of the end.
	leaveMargin = 700 * time.Millisecond
	// maxReservedWaiting bounds the waiting tasks for which capacity is reserved; each can
	// take a search of all workers.
	maxReservedWaiting = 100
)

// evacuate moves tasks off workers that leave, because they are draining or because their
// entry was removed, and off those of evacuated data centres. A long-running task is stopped as
// soon as another worker has capacity for it, see [evacuation.Select]. Tasks that end by
// themselves are left running.
func (ow *Owner) evacuate(now time.Time) {
	if ow.storeDown() {
		return
	}
	em := emptying{ow: ow, now: now, storeUnhealthy: ow.storeUnhealthy(now)}
	for _, wk := range ow.scan.leaving {
		if cause := wk.evacuationReason(now); cause != "" {
			em.workers = append(em.workers, wk)
			em.add(wk, cause)
		}
	}
	if len(em.tasks) == 0 {
		return
	}
	for _, i := range evacuation.Select(em.tasks, em.reserve) {
		em.move(em.attempts[i])
	}
}

// Reasons of evacuations, as counted in the metrics.
const (
	reasonDraining  = "drains"
	reasonUnlisted  = "unlisted"
	reasonEvacuated = "evacuated"
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
	case wk.isEvacuated() && !wk.unlisted:
		return reasonEvacuated
	}
	return ""
}

// emptying is the evacuation of workers during one tick.
type emptying struct {
	ow  *Owner
	now time.Time
	// storeUnhealthy is set while the store does not serve the owner. A task that moves because of
	// a request has time to wait until it may start again.
	storeUnhealthy bool
	// workers are the workers to be evacuated.
	workers []*workerState
	// tasks are the long-running tasks there that may be moved now, attempts has their attempts
	// at the same indices, and steps their steps.
	tasks    []evacuation.Task
	attempts []*attempt
	steps    map[longRunningStep]*evacuation.Step
	// contended has the services with tasks that wait for capacity, nil until it is needed.
	contended    map[string]bool
	cachedPlacer *placer
}

// add adds the long-running tasks of a worker. Shortly before a draining worker leaves, all its
// remaining attempts are stopped instead, so that their end and their last checkpoint are known.
// Otherwise they would end there anyway, and that would be known only after their leases have
// expired.
func (em *emptying) add(wk *workerState, cause string) {
	if cause == reasonUnlisted {
		wk.logEvacuation(em.now)
	}
	stopAll := cause == reasonDraining && em.now.After(wk.leavesAt.Add(-em.ow.Limits.StopTime-leaveMargin))
	for at := range wk.allAttempts() {
		switch {
		case stopAll:
			em.ow.halt(at, "its worker leaves")
		case !at.step().LongRunning || at.stopping(em.now):
		case cause != reasonEvacuated || (at.serves() && !em.storeUnhealthy):
			ta := evacuation.Task{Need: at.step().Reserved(), Step: em.step(at), Leaving: cause != reasonEvacuated}
			ta.Contended = !ta.Leaving && em.isContended(wk.Service)
			em.tasks = append(em.tasks, ta)
			em.attempts = append(em.attempts, at)
		}
	}
}

// isContended reports whether tasks of a service wait for capacity.
func (em *emptying) isContended(service string) bool {
	if em.contended == nil {
		em.contended = em.ow.contendedServices()
	}
	return em.contended[service]
}

// step returns the state of the step of an attempt.
func (em *emptying) step(at *attempt) *evacuation.Step {
	key := longRunningStep{at.tj, at.ref.Step}
	st := em.steps[key]
	if st == nil {
		st = at.tj.evacuationStep(at.ref.Step)
		if em.steps == nil {
			em.steps = map[longRunningStep]*evacuation.Step{}
		}
		em.steps[key] = st
	}
	return st
}

// stopping reports whether an order to stop the attempt may still take effect. After that time
// the order is considered lost.
func (at *attempt) stopping(now time.Time) bool {
	return !at.haltSentAt.IsZero() && now.Sub(at.haltSentAt) < at.wk.ow.Limits.StopTime+leaveMargin
}

// reserve reserves capacity for a task on another worker, and reports whether there was any. A
// task of a worker that does not leave has time to wait for a warm one.
func (em *emptying) reserve(index int) bool {
	if em.tasks[index].Leaving {
		return em.placer().reserveElsewhere(em.attempts[index])
	}
	return em.placer().reserveWarm(em.attempts[index])
}

// move stops a long-running task for which another worker has capacity.
func (em *emptying) move(at *attempt) {
	cause := at.wk.evacuationReason(em.now)
	if at.haltSentAt.IsZero() {
		em.ow.Metrics.Add(telemetry.Evacuated, 1, "why", cause)
	}
	why := "its worker leaves and another has capacity"
	switch cause {
	case reasonUnlisted:
		why = "its worker has no entry and another has room"
	case reasonEvacuated:
		why = "its data centre is evacuated and another worker has capacity"
	}
	em.ow.halt(at, why)
	at.moving = cause == reasonEvacuated
}

// placer returns a placer from whose free capacity that of the tasks which are being stopped or
// wait was subtracted. Without those reservations, the same free capacity would be counted at
// every tick until a task starts there.
func (em *emptying) placer() *placer {
	if em.cachedPlacer != nil {
		return em.cachedPlacer
	}
	em.cachedPlacer = em.ow.newPlacer()
	for _, wk := range em.workers {
		for at := range wk.allAttempts() {
			if at.step().LongRunning && at.stopping(em.now) {
				em.cachedPlacer.reserveElsewhere(at)
			}
		}
	}
	em.cachedPlacer.reserveForWaiting()
	return em.cachedPlacer
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
				if !pl.reserve(tj, job.TaskRef{Step: step}, func(*candidate) bool { return true }) {
					break
				}
			}
		}
	}
}

// reserveElsewhere reserves capacity for an attempt on another worker, and reports whether
// there was any.
func (pl *placer) reserveElsewhere(at *attempt) bool {
	return pl.reserve(at.tj, at.ref, func(ca *candidate) bool { return ca.wk != at.wk })
}

// reserveWarm reserves capacity for an attempt on another worker that is warm, and reports whether
// there was any. It leaves the headroom for short work, as new long-running tasks do: the task can
// stay where it is.
func (pl *placer) reserveWarm(at *attempt) bool {
	var hp *headroomPlan
	if pl.ow.enabled(MechHeadroom) {
		hp = pl.headroomPlan(at.tj)
	}
	return pl.reserve(at.tj, at.ref, func(ca *candidate) bool {
		return ca.wk != at.wk && !ca.cold && hp.allows(ca, at.step())
	})
}

// stepOnWorker is a step of long-running tasks on one worker.
type stepOnWorker struct {
	longRunningStep

	wk *workerState
}

// reserve reserves capacity for a task on a worker that qualifies, and reports whether there was
// any.
func (pl *placer) reserve(tj *trackedJob, ref job.TaskRef, qualifies func(*candidate) bool) bool {
	st := &tj.jo.Spec.Steps[ref.Step]
	for _, ca := range pl.candidates {
		key := stepOnWorker{longRunningStep{tj, ref.Step}, ca.wk}
		if !qualifies(ca) || !ca.fits(tj, ref, st) || (st.MaxPerWorker > 0 && tj.countAt(ref.Step, ca.wk)+pl.reservedFor[key] >= st.MaxPerWorker) {
			continue
		}
		ca.free = ca.free.Sub(st.Reserved())
		if pl.reservedFor == nil {
			pl.reservedFor = map[stepOnWorker]int{}
		}
		pl.reservedFor[key]++
		return true
	}
	return false
}
