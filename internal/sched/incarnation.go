package sched

import (
	"errors"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/outstanding"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// A worker's process may restart under the same id. The owner keeps its state by incarnation,
// so the processes of a worker are separate workers to it. They differ from other workers in
// one respect: an order for one incarnation is carried out by whichever has the id when the
// order arrives. So an attempt that was ordered from an ended incarnation counts as running on
// the next one until that has answered a poll with a higher fencing token. By then it either
// has carried out the order and lists the attempt, or never will; the process after it still may,
// see outstandingorder.go.

// Labels of calls to workers, for metrics and the log.
const (
	callLaunch = "launch"
	callHalt   = "halt"
	callPace   = "pace"
	callPoll   = "poll"
)

// workerOfEntry returns the worker of an entry, or nil. An entry without the start time of the
// process belongs to the only incarnation that is known.
func (ow *Owner) workerOfEntry(we WorkerEntry) *workerState {
	if wk := ow.workers[we.Incarnation]; wk != nil || we.Incarnation.StartedMS != 0 {
		return wk
	}
	return ow.soleIncarnation(we.Incarnation.ID)
}

// soleIncarnation returns the incarnation of a worker that is not known to have ended. It
// returns nil if there is none, or more than one.
func (ow *Owner) soleIncarnation(id string) *workerState {
	var only *workerState
	for _, wk := range ow.workersByID[id] {
		if wk.dead {
			continue
		}
		if only != nil {
			return nil
		}
		only = wk
	}
	return only
}

// unlistOthers marks the other incarnations of the worker as unlisted, and as ones that may have
// ended. Their answers to polls show which of them runs, as entries may come late.
func (wk *workerState) unlistOthers() {
	now := time.Now()
	for _, other := range slices.Clone(wk.ow.workersByID[wk.incarnation.ID]) {
		if other == wk {
			continue
		}
		other.markUnlisted()
		if other.restartSeenAt.IsZero() {
			other.restartSeenAt = now
		}
	}
}

// handleOtherIncarnation handles that another incarnation answered a request to this one.
func (wk *workerState) handleOtherIncarnation(answered worker.Incarnation) {
	if wk.dead || answered == wk.incarnation {
		return
	}
	next := wk.ow.workers[answered]
	if next != nil && next.dead {
		next.deregister()
		next = nil
	}
	switch {
	case next != nil:
		wk.supersedeBy(next)
	case wk.incarnation.StartedMS == 0:
		wk.setIncarnation(answered)
	default:
		wk.supersedeBy(wk.addSuccessor(answered))
	}
}

// reportIncarnation handles the error of a call, in which another incarnation may have answered.
// It may be called from any goroutine.
func (wk *workerState) reportIncarnation(call string, err error) {
	if ie := (*worker.IncarnationError)(nil); errors.As(err, &ie) {
		wk.ow.post(func() { wk.handleOtherAnswer(call, ie) })
	}
}

// handleOtherAnswer handles that another incarnation answered a call to this one, which it may
// have carried out.
func (wk *workerState) handleOtherAnswer(call string, ie *worker.IncarnationError) {
	wk.ow.Metrics.Add(telemetry.AnsweredByOther, 1, "call", call)
	wk.ow.Log.Info("call answered by another incarnation", "call", call, "worker", ie.Expected, "answered", ie.Answered)
	wk.handleOtherIncarnation(ie.Answered)
}

// errForeignClock is the error of an acknowledgement that another incarnation sent.
var errForeignClock = errors.New("answered by a process with another clock")

// recordForeignClock records that the answer to a launch has the time of another clock than that of
// the worker, and returns the error of the launch. Acknowledgements may lack the start time of the
// process, so only a poll shows which one answered.
func (wk *workerState) recordForeignClock(clockMS int64, at time.Time, err error) error {
	if ie := (*worker.IncarnationError)(nil); errors.As(err, &ie) {
		return err
	}
	wk.restartSeenAt = at
	wk.ow.Metrics.Add(telemetry.AnsweredByOther, 1, "call", callLaunch)
	wk.ow.Log.Info("call answered by another incarnation", "call", callLaunch, "worker", wk.incarnation, "clock_ms", clockMS, "expected_ms", wk.earliestClock(at))
	return errForeignClock
}

// setIncarnation sets the incarnation of a worker whose entry does not have it.
func (wk *workerState) setIncarnation(answered worker.Incarnation) {
	delete(wk.ow.workers, wk.incarnation)
	for at := range wk.allAttempts() {
		at.rowIncarnation = at.namedIncarnation()
	}
	wk.incarnation = answered
	wk.ow.workers[answered], wk.ow.sortedWorkerCache = wk, nil
	pt := wk.currentPath()
	pt.addr.Incarnation = answered
	wk.path.Store(&pt)
	wake(wk.pathChanged)
}

// addSuccessor adds an incarnation that answered before its entry was seen. Its capacity is in
// that entry, so until then it counts as unlisted and gets no new attempts. If the worker's
// present entry does not tell which process it belongs to, it applies to the new incarnation
// too.
func (wk *workerState) addSuccessor(answered worker.Incarnation) *workerState {
	we := wk.WorkerEntry
	we.Incarnation = answered
	next := wk.ow.addWorker(we)
	next.WorkerEntry.Incarnation = wk.WorkerEntry.Incarnation
	next.unlisted, next.unlistedAt = wk.unlisted, wk.unlistedAt
	if wk.WorkerEntry.Incarnation.StartedMS != 0 && !wk.unlisted {
		next.unlisted, next.unlistedAt = true, time.Now()
	}
	return next
}

// supersedeBy records that the worker's process has ended, as another incarnation of the worker
// answered. Its attempts move to that one, whose poll results show which of them run.
func (wk *workerState) supersedeBy(next *workerState) {
	wk.dead = true
	wk.logDeath("another life of the worker answers", next.incarnation, time.Now())
	if next.currentPath().fence <= wk.currentPath().fence {
		next.raiseFence()
	}
	wk.endStrays()
	now := time.Now()
	crashed := wk.recordCrash()
	for at := range wk.allAttempts() {
		end := at.lossEnd(crashed)
		if end == job.EndNeverRan && at.deferral == nil {
			wk.ow.recordEnd(at.tj, at.ref, at.number, end, "", "its worker ended before the order was sent")
			continue
		}
		wk.removeAttempt(at)
		moved := &attempt{ref: at.ref, number: at.number, wk: next, tj: at.tj, orderSent: true, orderSentBy: at.orderSentBy, inherited: true, superseded: at.superseded, pace: unknownPace}
		if named := at.namedIncarnation(); named == next.incarnation {
			// The entry of a former incarnation was seen late.
			moved.rowIncarnation, moved.inheritedRunTime = named, at.rowRunTime()
		} else {
			moved.endIfNotRun, moved.earlier = end, &earlierOrder{addressee: named, endedBy: now}
		}
		next.addAttempt(moved)
		next.unsettle()
	}
	wk.disconnect()
	wk.ow.removeIfIdle(wk)
}

// rowRunTime returns how long the attempt ran at least, by the row of its job.
func (at *attempt) rowRunTime() time.Duration {
	ra, _ := at.tj.runningAttempt(at.key())
	return minRunTime(ra.Phase)
}

// confirmRunning records that this incarnation carried out an order for an earlier one.
func (wk *workerState) confirmRunning(at *attempt) {
	wk.ow.Log.Info("order for a life before was carried out", "task", taskID(at), "attempt", at.number, "worker", wk.incarnation)
	at.endIfNotRun, at.earlier, at.rowIncarnation = "", nil, wk.incarnation
	if _, ok := wk.ow.restartLeases[wk.incarnation]; !ok {
		// It may not have accepted this owner's fencing token yet.
		wk.ow.boundRestartLeases(wk.incarnation, wk.ow.wholeLeaseAfter(time.Now().Add(outstanding.MaxDelay)))
	}
	at.tj.jo.SetWorker(at.ref, at.number, wk.incarnation)
	wk.ow.markDirty(at.tj)
}

// raiseFence sends the worker a fencing token above all earlier ones from now on.
func (wk *workerState) raiseFence() {
	pt := wk.currentPath()
	pt.fence = wk.ow.nextFence()
	wk.path.Store(&pt)
}

// unsettle requires the worker to answer a poll with its current fencing token before it gets
// new attempts.
func (wk *workerState) unsettle() {
	wk.settled, wk.settleFence = false, wk.currentPath().fence
	wk.pollSoon = true
	wk.sendPoll()
	wake(wk.pathChanged)
}
