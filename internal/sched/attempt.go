package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/congestion"
	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/overtarget"
	"github.com/pepperhatch/pepperhatch/internal/speed"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// attempt is the owner's state of an attempt at a task that runs, or may run.
type attempt struct {
	ref    job.TaskRef
	number int
	wk     *workerState
	// tj is its job.
	tj *trackedJob
	// fullName is what name returns, set once it is added to a worker.
	fullName worker.Attempt
	// listedInPoll is the worker's pollsHandled at the last poll that listed it as running.
	listedInPoll int64
	// inFlight is set from its placement until its start order is answered.
	inFlight bool
	// aged is set if it was placed because its job had waited for long; see [Owner.placeAged].
	aged bool
	// placedAt is when it was placed, startWritten is set once its start is durable.
	placedAt     time.Time
	startWritten bool
	// queued is set while its start order waits for the end of attempts that are being stopped.
	queued bool
	// orderSent is set just before its start order is sent.
	orderSent bool
	// orderSentBy is the latest time at which its start order was sent, while that is outstanding, or
	// zero. Its task keeps the order if a former owner sent it.
	orderSentBy time.Time
	// deferral is set while its start order is queued at the client of the worker.
	deferral *deferredLaunch
	// launchedAt is when the worker acknowledged the order, or zero.
	launchedAt time.Time
	// lastSeenAt is when the last poll that listed it as running returned, or zero.
	lastSeenAt time.Time
	// inherited is set if a former owner ordered it; inheritedRunTime is the minimum time it
	// had run when this owner took over.
	inherited        bool
	inheritedRunTime time.Duration
	// endIfNotRun is set while it is unknown whether an order for an earlier incarnation of
	// the worker was carried out by this one. It is the end to record if not.
	endIfNotRun job.End
	// earlier describes that order, and is nil otherwise.
	earlier *earlierOrder
	// rowIncarnation is the incarnation in the row of the job if the entry of the worker may lack
	// its start time.
	rowIncarnation worker.Incarnation
	// resolvingOrder is set while the outcome of an unanswered order is being determined.
	resolvingOrder bool
	// haltSentAt is when an order to stop it was last sent, or zero. haltRepeated is set once
	// the order was sent again.
	haltSentAt   time.Time
	haltRepeated bool
	// moving is set if it was ordered to stop only because its data centre is evacuated. Such an
	// order is not repeated, as what it depends on may have changed.
	moving bool
	// superseded is set once it is durable that another attempt has completed the task.
	superseded bool
	// leavesSlow is set once it was stopped because its worker is slow.
	leavesSlow bool
	// progress is its last reported progress, in percent. usage is the last reported usage: the
	// tail latency of a service in milliseconds, or the CPU use of another task in thousandths
	// of a core.
	progress int
	usage    int64
	// progressedAt is when it was last seen to make progress, and pollsWithoutProgress counts
	// the polls since.
	progressedAt time.Time
	// workingSince is when it was first seen running without having been throttled since, and
	// initialProgress its progress at that time.
	workingSince         time.Time
	initialProgress      int
	pollsWithoutProgress int
	// beganClock is when the worker acknowledged the order, zero if that is not known or the
	// attempt began from a checkpoint; workingClock and seenClock are when it was at workingSince
	// and at lastSeenAt. All are by the worker's clock.
	beganClock, workingClock, seenClock time.Time
	// replica has the measurements of a service replica.
	replica interfere.Replica
	// overTarget tracks for how long a service may have exceeded its latency target.
	overTarget overtarget.Tracker
	// pace is the share of full speed that was last ordered, in percent, or unknownPace.
	pace int
	// paceInFlight is set while an order to set the pace is in flight, pacesUnanswered counts the
	// latest of these orders without an answer.
	paceInFlight    bool
	pacesUnanswered int
	// throttledSince is since when a filler's pace has been at most heldMaxPace, or zero.
	throttledSince time.Time
	// pacedAt is when its pace last changed, paceAckedAt when the worker last acknowledged one.
	pacedAt, paceAckedAt time.Time
	// cpuShare is the fraction of its declared CPU that a filler uses at full speed, 0 if
	// unknown.
	cpuShare float64
	// speed has what was observed of its speed.
	speed speed.Attempt
}

// attemptKey identifies an attempt within its job. Two attempts of a task may run at once.
type attemptKey struct {
	ref    job.TaskRef
	number int
}

func (at *attempt) key() attemptKey { return attemptKey{at.ref, at.number} }

// current reports whether the attempt runs, or may run, by the owner's account.
func (at *attempt) current() bool { return at.tj.attempts[at.key()] == at }

// name returns the name under which the worker lists the attempt. It is computed once, as each
// poll of a worker looks up all its attempts.
func (at *attempt) name() worker.Attempt {
	if at.fullName.Number != 0 {
		return at.fullName
	}
	return worker.Attempt{Task: at.tj.jo.TaskID(at.ref), Number: at.number}
}

func taskID(at *attempt) string { return at.name().Task }

// removeAttempt removes an attempt and its resources from the worker.
func (wk *workerState) removeAttempt(at *attempt) {
	if !wk.attempts[at] {
		return
	}
	delete(wk.attempts, at)
	delete(wk.attemptsByName, at.name())
	delete(wk.ow.throttled, at)
	delete(wk.ow.unconfirmedRestarts, at)
	delete(wk.ow.halted, at)
	if at.step().Copies {
		wk.ow.copyable--
	}
	wk.endTrial(at)
	wk.unqueue(at)
	wk.ow.endStart(at)
	wk.recordEndedFiller(at, time.Now())
	if at.step().HasTarget() {
		wk.services = slices.DeleteFunc(wk.services, func(other *attempt) bool { return other == at })
		wk.updateHoldDue()
	}
	wk.reserved = wk.reserved.Sub(at.step().Reserved())
	wk.expectedUse -= likelyUse(at.step())
	if at.step().Filler {
		wk.fillerUse -= likelyUse(at.step())
		wk.fillerCount--
	}
	if !at.step().LongRunning {
		wk.finiteReserved = wk.finiteReserved.Sub(at.step().Reserved())
	}
}

// addAttempt adds an attempt and its resources to the worker.
func (wk *workerState) addAttempt(at *attempt) {
	at.fullName = at.name()
	if !at.placedAt.IsZero() {
		at.overTarget.RecordBelow(at.placedAt)
	}
	if wk.attemptsByName == nil {
		wk.attemptsByName = map[worker.Attempt]*attempt{}
	}
	wk.attempts[at], wk.attemptsByName[at.fullName] = true, at
	wk.reserved = wk.reserved.Add(at.step().Reserved())
	wk.expectedUse += likelyUse(at.step())
	if at.step().Filler {
		wk.fillerUse += likelyUse(at.step())
		wk.fillerCount++
	}
	if !at.step().LongRunning {
		wk.finiteReserved = wk.finiteReserved.Add(at.step().Reserved())
	}
	if at.step().Copies {
		wk.ow.copyable++
	}
	if at.step().HasTarget() {
		wk.services = append(wk.services, at)
		at.replica.Track = at.tj.track(at.ref.Step)
	}
	if at.task().Isolated() {
		wk.trial = &trial{tj: at.tj, ref: at.ref, at: at}
	}
	wk.fillers.invalidate()
	at.tj.attempts[at.key()] = at
}

// recordHalt records that an order to stop the attempt is sent.
func (at *attempt) recordHalt(now time.Time) {
	at.haltSentAt = now
	at.wk.ow.halted[at] = true
}

// beginStart adds an attempt to the starts in flight.
func (ow *Owner) beginStart(at *attempt) {
	at.inFlight = true
	ow.window.Begin(at.windowStart())
}

// endStart removes an attempt from the starts in flight, if it is one of them.
func (ow *Owner) endStart(at *attempt) {
	if at.inFlight {
		at.inFlight = false
		ow.window.End(at.windowStart())
	}
}

func (at *attempt) windowStart() congestion.Start {
	return congestion.Start{Priority: at.tj.jo.Terms.Priority, Aged: at.aged}
}
