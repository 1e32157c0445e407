package sched

import (
	"errors"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// A worker's process may restart under the same id. The owner keeps its state by incarnation,
// so the processes of a worker are separate workers to it. They differ from other workers in
// one respect: an order for one incarnation is carried out by whichever has the id when the
// order arrives. So an attempt that was ordered from an ended incarnation counts as running on
// the next one until that has answered a poll with a higher fencing token. By then it either
// has carried out the order and lists the attempt, or never will.

// maxOrderDelay is how long after it was sent an unanswered order may still be carried out.
const maxOrderDelay = 5 * time.Second

// workerOfEntry returns the worker of an entry, or nil. An entry without the start time of the
// process belongs to the only incarnation that is known.
func (ow *Owner) workerOfEntry(li WorkerEntry) *workerState {
	if ho := ow.hosts[li.Incarnation]; ho != nil || li.Incarnation.StartedMS != 0 {
		return ho
	}
	return ow.soleIncarnation(li.Incarnation.ID)
}

// soleIncarnation returns the incarnation of a worker that is not known to have ended. It
// returns nil if there is none, or more than one.
func (ow *Owner) soleIncarnation(id string) *workerState {
	var only *workerState
	for _, ho := range ow.byID[id] {
		if ho.dead {
			continue
		}
		if only != nil {
			return nil
		}
		only = ho
	}
	return only
}

// unlistOthers marks the other incarnations of the worker as unlisted. Which of them runs is
// decided by their answers, as entries may come late.
func (ho *workerState) unlistOthers() {
	for _, other := range slices.Clone(ho.ow.byID[ho.incarnation.ID]) {
		if other != ho {
			other.markUnlisted()
		}
	}
}

// handleOtherIncarnation handles that another incarnation answered a request to this one.
func (ho *workerState) handleOtherIncarnation(answered worker.Incarnation) {
	if ho.dead || answered == ho.incarnation {
		return
	}
	next := ho.ow.hosts[answered]
	if next != nil && next.dead {
		next.deregister()
		next = nil
	}
	switch {
	case next != nil:
		ho.supersedeBy(next)
	case ho.incarnation.StartedMS == 0:
		ho.setIncarnation(answered)
	default:
		ho.supersedeBy(ho.addSuccessor(answered))
	}
}

// reportIncarnation handles the error of an order or a poll, in which another incarnation may
// have answered. It may be called from any goroutine.
func (ho *workerState) reportIncarnation(err error) {
	if le := (*worker.IncarnationError)(nil); errors.As(err, &le) {
		ho.ow.post(func() { ho.handleOtherIncarnation(le.Answered) })
	}
}

// setIncarnation sets the incarnation of a worker whose entry does not have it.
func (ho *workerState) setIncarnation(answered worker.Incarnation) {
	delete(ho.ow.hosts, ho.incarnation)
	ho.incarnation = answered
	ho.ow.hosts[answered], ho.ow.sorted = ho, nil
	wa := ho.currentPath()
	wa.addr.Incarnation = answered
	ho.path.Store(&wa)
	wake(ho.pathChanged)
}

// addSuccessor adds an incarnation that answered before its entry was seen. Its capacity is in
// that entry, so until then it gets no new attempts.
func (ho *workerState) addSuccessor(answered worker.Incarnation) *workerState {
	li := ho.WorkerEntry
	li.Incarnation = answered
	next := ho.ow.addWorker(li)
	next.WorkerEntry.Incarnation = ho.WorkerEntry.Incarnation
	next.unlisted, next.unlistedAt = ho.unlisted, ho.unlistedAt
	if ho.WorkerEntry.Incarnation.StartedMS != 0 && !ho.unlisted {
		next.unlisted, next.unlistedAt = true, time.Now()
	}
	return next
}

// supersedeBy records that the worker's process has ended, as another incarnation of the
// worker answered. Its attempts move to that one, whose lists decide which of them run.
func (ho *workerState) supersedeBy(next *workerState) {
	ho.dead = true
	ho.logDeath("another life of the worker answers", next.incarnation, time.Now())
	if next.currentPath().fence <= ho.currentPath().fence {
		next.raiseFence()
	}
	crashed := ho.recordCrash()
	for at := range ho.attempts {
		end := at.lossEnd(crashed)
		if end == job.EndNeverRan {
			ho.ow.recordEnd(at.en, at.ref, at.number, end, "", "its worker ended before the order was sent")
			continue
		}
		ho.removeAttempt(at)
		next.addAttempt(&attempt{ref: at.ref, number: at.number, ho: next, en: at.en, orderSent: true, inherited: true, endIfNotRun: end, pace: unknownPace})
		next.unsettle()
	}
	ho.disconnect()
	ho.ow.removeIfIdle(ho)
}

// confirmRunning records that this incarnation carried out an order for an earlier one.
func (ho *workerState) confirmRunning(at *attempt) {
	ho.ow.Log.Info("order for a life before was carried out", "task", taskID(at), "attempt", at.number, "worker", ho.incarnation)
	at.endIfNotRun = ""
	at.task().Worker = ho.incarnation
	ho.ow.markDirty(at.en)
}

// raiseFence sends the worker a fencing token above all earlier ones from now on.
func (ho *workerState) raiseFence() {
	wa := ho.currentPath()
	wa.fence = ho.ow.nextFence()
	ho.path.Store(&wa)
}

// unsettle requires the worker to answer a poll with its current fencing token before it gets
// new attempts.
func (ho *workerState) unsettle() {
	now := time.Now()
	ho.settled, ho.settleFence = false, ho.currentPath().fence
	ho.inheritedUntil = now.Add(maxOrderDelay + maxDriftDuration(ho.ow.Limits.MaxLease) + lapseMargin)
	wake(ho.pollWake)
	wake(ho.pathChanged)
}

// unsettledUntil returns when all attempts that may run on an unsettled worker have ended at
// the latest.
func (ho *workerState) unsettledUntil() time.Time {
	until := ho.ow.formerLeasesUntil(ho.incarnation)
	for _, in := range ho.formerIncarnations {
		if other := ho.ow.formerLeasesUntil(in).Add(maxOrderDelay); other.After(until) {
			until = other
		}
	}
	if ho.inheritedUntil.After(until) {
		until = ho.inheritedUntil
	}
	return until
}
