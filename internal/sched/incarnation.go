package sched

import (
	"errors"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// A worker's process may start again under its id. All that the owner knows of a process is
// kept by its life, as of any other worker; what makes lives of one worker special is that
// an order for one of them is carried out by whichever has the id when it arrives. So what
// was ordered from a life that has ended is taken to run on the next one until that has
// answered a look with a higher fencing token: by then it has carried out such an order, and
// lists it, or never will.

// maxOrderDelay is how long after it was sent an order may be carried out whose answer did
// not come.
const maxOrderDelay = 5 * time.Second

// workerOfEntry returns the worker that an entry is of, or nil. An entry that does not tell
// when the process started is of the one life that is known.
func (ow *Owner) workerOfEntry(li WorkerEntry) *workerState {
	if ho := ow.hosts[li.Incarnation]; ho != nil || li.Incarnation.StartedMS != 0 {
		return ho
	}
	return ow.soleIncarnation(li.Incarnation.ID)
}

// soleIncarnation returns the life of a worker that is not known to have ended, or nil if there is
// none or more than one.
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

// unlistOthers notes that the list has no other life of the worker. Which of them lives
// their answers tell: entries may come late.
func (ho *workerState) unlistOthers() {
	for _, other := range slices.Clone(ho.ow.byID[ho.incarnation.ID]) {
		if other != ho {
			other.markUnlisted()
		}
	}
}

// handleOtherIncarnation takes in that another life answered what the worker was asked.
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

// reportIncarnation takes in the error of an order or a look, from any goroutine: another life may
// have answered.
func (ho *workerState) reportIncarnation(err error) {
	if le := (*worker.IncarnationError)(nil); errors.As(err, &le) {
		ho.ow.post(func() { ho.handleOtherIncarnation(le.Answered) })
	}
}

// setIncarnation takes in which life the worker is, whose entry does not tell.
func (ho *workerState) setIncarnation(answered worker.Incarnation) {
	delete(ho.ow.hosts, ho.incarnation)
	ho.incarnation = answered
	ho.ow.hosts[answered], ho.ow.sorted = ho, nil
	wa := ho.currentPath()
	wa.addr.Incarnation = answered
	ho.path.Store(&wa)
	wake(ho.pathChanged)
}

// addSuccessor enters a life that answered before its entry was seen. That entry tells what it
// holds, so until then it gets nothing new.
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

// supersedeBy notes that the worker's process has ended, as another life of the worker
// answered. What it was ordered is decided by what the other one lists.
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

// confirmRunning notes that an order for a life before was carried out by this one.
func (ho *workerState) confirmRunning(at *attempt) {
	ho.ow.Log.Info("order for a life before was carried out", "task", taskID(at), "attempt", at.number, "worker", ho.incarnation)
	at.endIfNotRun = ""
	at.task().Worker = ho.incarnation
	ho.ow.markDirty(at.en)
}

// raiseFence has the worker be told a fencing token that is higher than all before.
func (ho *workerState) raiseFence() {
	wa := ho.currentPath()
	wa.fence = ho.ow.nextFence()
	ho.path.Store(&wa)
}

// unsettle has the worker answer a look with its present fencing token before more is
// ordered there.
func (ho *workerState) unsettle() {
	now := time.Now()
	ho.settled, ho.settleFence = false, ho.currentPath().fence
	ho.inheritedUntil = now.Add(maxOrderDelay + maxDriftDuration(ho.ow.Limits.MaxLease) + lapseMargin)
	wake(ho.pollWake)
	wake(ho.pathChanged)
}

// unsettledUntil is when all has ended at the latest that may run on a worker which has not
// settled.
func (ho *workerState) unsettledUntil() time.Time {
	until := ho.ow.formerLeasesUntil(ho.incarnation)
	for _, life := range ho.formerIncarnations {
		if other := ho.ow.formerLeasesUntil(life).Add(maxOrderDelay); other.After(until) {
			until = other
		}
	}
	if ho.inheritedUntil.After(until) {
		until = ho.inheritedUntil
	}
	return until
}
