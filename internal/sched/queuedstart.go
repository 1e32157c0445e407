package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// A task that is placed once the end of a stopped attempt is known starts only after a round of
// placement and a write, and until then the worker has unused capacity. Where a service is full
// and many interrupted tasks wait, some worker always has. So an interrupted task that fits
// nowhere is queued on a worker that has enough capacity once the attempts which are being
// stopped there have ended. Its start is durable by then, and its order is deferred until the
// worker lists their ends.

// queuedTimeout is added to Limits.StopTime: a task whose order could not be sent by then is
// placed anew. As for an evacuation, it covers the order to stop and the poll that lists the end.
const queuedTimeout = leaveMargin

// placeQueued queues an interrupted long-running task on the worker that will have the fewest
// free cores left, on a slow one only if there is no other, and reports whether there was one. A
// suspect task is queued only where no other attempt is starting.
func (pl *placer) placeQueued(tj *trackedJob, ref job.TaskRef) bool {
	if !pl.ow.enabled(MechQueuedStarts) || !tj.interrupted(ref) {
		return false
	}
	st := &tj.jo.Spec.Steps[ref.Step]
	need, suspect := st.Reserved(), tj.jo.Task(ref).Suspect()
	var best *candidate
	var left int64
	pl.claimStops(tj.jo.Terms.Priority)
	for _, ca := range pl.candidatesWithStops() {
		later := ca.free.Add(ca.stopping)
		if ca.isolated || ca.claimed || ca.cold || !need.Fits(later) || !ca.allowed(tj, ref, st) {
			continue
		}
		if suspect && ca.wk.occupancy(pl.now).starting > 0 {
			continue
		}
		n := later.MilliCores - need.MilliCores
		if best == nil || cmp.Or(cmp.Compare(ca.slowdown, best.slowdown), cmp.Compare(n, left)) < 0 {
			best, left = ca, n
		}
	}
	if best == nil {
		return false
	}
	pl.startAttempt(tj, ref, best, true)
	tj.waitCause = CauseStop
	return true
}

// candidatesWithStops returns the candidates on which attempts are being stopped, computed
// once per round.
func (pl *placer) candidatesWithStops() []*candidate {
	if pl.stopsFound {
		return pl.withStops
	}
	pl.stopsFound = true
	for _, ca := range pl.candidates {
		if ca.stopping = ca.wk.firstStops(); ca.stopping != (worker.Resources{}) {
			pl.withStops = append(pl.withStops, ca)
		}
	}
	return pl.withStops
}

// claimStops keeps capacity that is being freed for the waiting tasks of jobs above a priority
// that fit there, as these start first once it is free.
func (pl *placer) claimStops(priority int) {
	if priority <= pl.claimedPriority {
		return
	}
	pl.claimedPriority = priority
	for _, ca := range pl.candidatesWithStops() {
		ca.claimed = ca.claimed || slices.ContainsFunc(pl.ow.waitingJobs, func(tj *trackedJob) bool {
			return tj.jo.Terms.Priority < priority && tj.waitsFor(ca, pl.now)
		})
	}
}

// waitsFor reports whether a waiting task of the job could start on the worker once the
// attempts that are being stopped there have ended. Fillers are left out, as they use processors
// that others leave idle.
func (tj *trackedJob) waitsFor(ca *candidate, now time.Time) bool {
	for step := range tj.jo.Spec.Steps {
		st, ref := &tj.jo.Spec.Steps[step], job.TaskRef{Step: step}
		if st.Filler || !st.Reserved().Fits(ca.free.Add(ca.stopping)) || !ca.allowed(tj, ref, st) {
			continue
		}
		if tj.countWaiting(step, func(ref job.TaskRef) bool { return !tj.backoffs.Active(ref, now) }) > 0 {
			return true
		}
	}
	return false
}

// firstStops returns the resources of attempts that are being stopped by an order that was
// sent once. An order that had to be repeated may take long to be carried out. Attempts of
// former owners count once they are listed.
func (wk *workerState) firstStops() worker.Resources {
	var sum worker.Resources
	for at := range wk.allAttempts() {
		if !at.haltSentAt.IsZero() && !at.haltRepeated && !at.launchedAt.IsZero() {
			sum = sum.Add(at.step().Reserved())
		}
	}
	return sum
}

// hasCapacityNow reports whether the worker has the capacity for a queued attempt by now. The
// orders of others that were deferred may have been sent already.
func (wk *workerState) hasCapacityNow(at *attempt) bool {
	free := wk.freeBeforeQueued()
	for _, other := range wk.queued {
		if other.deferral != nil {
			free = free.Sub(other.step().Reserved())
		}
	}
	return at.step().Reserved().Fits(free)
}

// freeBeforeQueued returns the capacity that is free if none of the queued attempts has started.
func (wk *workerState) freeBeforeQueued() worker.Resources {
	return wk.Capacity.Sub(wk.reserved.Sub(wk.queuedReserved))
}

// queue adds an attempt to those whose start orders wait.
func (wk *workerState) queue(at *attempt) {
	at.queued = true
	wk.queued = append(wk.queued, at)
	wk.queuedReserved = wk.queuedReserved.Add(at.step().Reserved())
}

// unqueue removes an attempt from those whose start orders wait, if it is one of them.
func (wk *workerState) unqueue(at *attempt) {
	if !at.queued {
		return
	}
	at.queued = false
	wk.queued = slices.DeleteFunc(wk.queued, func(other *attempt) bool { return other == at })
	wk.queuedReserved = wk.queuedReserved.Sub(at.step().Reserved())
}

// mayStartQueued reports whether queued attempts may start on the worker once it has the capacity.
func (wk *workerState) mayStartQueued(now time.Time) bool {
	return !wk.dead && !wk.isEvacuated() && wk.failingSince.IsZero() && !wk.inTrial() && !now.Before(wk.quarantinedUntil)
}

// startQueued sends the start orders of the queued attempts whose start is durable. They are
// deferred if the worker does not have enough capacity yet.
func (wk *workerState) startQueued() {
	now := time.Now()
	if len(wk.queued) == 0 || !wk.mayStartQueued(now) {
		return
	}
	for _, at := range slices.Clone(wk.queued) {
		switch {
		case !at.queued || !at.startWritten || at.deferral != nil:
		case !wk.hasCapacityNow(at):
			wk.ow.deferLaunch(at, now)
		default:
			wk.unqueue(at)
			wk.ow.Metrics.Add(telemetry.QueuedStarts, 1, "outcome", "started")
			wk.ow.beginStart(at)
			wk.ow.launch(at)
		}
	}
}

// tickQueued starts queued attempts that could not start at once, and gives up those for which
// the worker does not get enough capacity in time, or that must not start there any more.
func (wk *workerState) tickQueued(now time.Time) {
	wk.startQueued()
	for _, at := range slices.Clone(wk.queued) {
		switch {
		case !at.queued || !at.startWritten:
		case at.deferral != nil:
			wk.ow.checkDeferral(at, now)
		case wk.refusesStarts() || !wk.failingSince.IsZero():
			wk.ow.abandonQueued(at, abandonedWorker)
		case now.After(at.queuedUntil()):
			wk.ow.abandonQueued(at, "the stopped attempts have not ended in time")
		}
	}
}

// abandonedWorker is why attempts do not stay queued on a worker.
const abandonedWorker = "its worker leaves, is evacuated or does not answer"

// queuedUntil returns until when a queued attempt waits for capacity.
func (at *attempt) queuedUntil() time.Time {
	return at.placedAt.Add(at.wk.ow.Limits.StopTime + queuedTimeout)
}

// abandonQueued ends a queued attempt whose order was not sent.
func (ow *Owner) abandonQueued(at *attempt, why string) {
	ow.Metrics.Add(telemetry.QueuedStarts, 1, "outcome", "abandoned")
	ow.abandonLaunch(at, why)
}
