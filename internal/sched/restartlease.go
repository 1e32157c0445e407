package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// A call to a worker that is carried out by the next process under its id extends that process's
// leases to a time of the clock of the one before. If the clock is behind, the lease is the
// longest one, counted from the arrival of the call: it may outlive what its owner's last
// confirmation allows, and the next owner has to know. These rules bound such leases:
//
//   - Calls to an earlier incarnation have lower fencing tokens than those to the next one. Once
//     that has answered a poll of an owner, it carries out none of them any more. So its leases
//     end a whole lease after that answer, if calls have extended them.
//   - An owner starts nothing on a worker before that answer, and the row that names an attempt
//     states for how long such leases may still run, unless they have ended.
//   - An attempt whose order was for an earlier incarnation may be started by the next one until
//     maxOrderDelay after the order was sent, and runs for a whole lease at most, unless the
//     worker answers. An order is sent once, so an attempt that was seen running is not started
//     again.
//   - Leases are extended only within maxAnswerAge of a worker's last answer.
//
// What remains is the process that no owner has seen, as it neither was listed nor answered.

// earlierOrder describes the order of an attempt that was sent to an earlier incarnation of its
// worker than the one that may carry it out.
type earlierOrder struct {
	// addressee is the incarnation to which the order was sent.
	addressee worker.Incarnation
	// endedBy is when this owner knew that the addressee had ended. It is zero if a former owner
	// sent the order and the worker has not answered since.
	endedBy time.Time
	// started is set if the attempt was seen running on the addressee.
	started bool
}

// recordRowLeases records what the row of a job states of the leases on an incarnation that it
// names. Any row that names the incarnation is right, so the earliest end holds.
func (ow *Owner) recordRowLeases(jo *job.Job, incarnation worker.Incarnation) {
	ms := jo.RestartLeaseMS[incarnation]
	if !ow.Tenure.Former.StatesRestarts || ms < 0 || ms > maxStatedLeaseMS {
		return
	}
	var until time.Time
	if ms > 0 {
		until = ow.startedAt.Add(maxDriftDuration(time.Duration(ms) * time.Millisecond))
	}
	if known, ok := ow.restartLeases[incarnation]; !ok || until.Before(known) {
		ow.restartLeases[incarnation] = until
	}
}

// recordSettled records that an incarnation accepts this owner's fencing token, unless it is known
// that it accepted that of a former owner.
func (ow *Owner) recordSettled(incarnation worker.Incarnation, now time.Time) {
	if _, ok := ow.restartLeases[incarnation]; !ok {
		ow.restartLeases[incarnation] = ow.wholeLeaseAfter(now)
	}
}

// restartLeaseBound returns the latest end of leases on an incarnation that calls to an earlier one
// extended before it accepted an owner's fencing token.
func (ow *Owner) restartLeaseBound(incarnation worker.Incarnation) leaseBound {
	until, ok := ow.restartLeases[incarnation]
	if !ok {
		extended, _ := ow.formerLeaseBounds()
		until = ow.wholeLeaseAfter(extended)
	}
	return leaseBound{until: until, basis: basisRestart}
}

// incarnationLeases returns the latest end of the leases under which an incarnation runs what
// former owners ordered from it.
func (ow *Owner) incarnationLeases(incarnation worker.Incarnation) leaseBound {
	lb := ow.formerLeases(incarnation)
	if lb.basis == basisStated {
		return lb
	}
	return lb.later(ow.restartLeaseBound(incarnation))
}

// earlierOrderLeases returns the latest end of a lease under which the worker runs an attempt that
// was ordered from an earlier incarnation.
func (wk *workerState) earlierOrderLeases(eo *earlierOrder) leaseBound {
	ow := wk.ow
	here := ow.formerLeases(wk.incarnation)
	switch {
	case !eo.endedBy.IsZero() && eo.started:
		return leaseBound{until: eo.endedBy, basis: basisRestart}
	case !eo.endedBy.IsZero():
		return leaseBound{until: ow.wholeLeaseAfter(eo.endedBy.Add(maxOrderDelay)), basis: basisRestart}
	case here.basis == basisStated:
		return here
	case eo.started:
		return ow.incarnationLeases(eo.addressee)
	}
	sent, _ := ow.formerLeaseBounds()
	// The addressee had ended when this incarnation was seen.
	if latest := wk.firstSeen.Add(maxDriftDuration(maxAnswerAge)); latest.Before(sent) {
		sent = latest
	}
	lb := leaseBound{until: ow.wholeLeaseAfter(sent.Add(maxOrderDelay)), basis: basisRestart}
	return lb.later(ow.formerLeases(eo.addressee))
}

// leaseBound returns the latest end of a lease under which the attempt runs.
func (at *attempt) leaseBound(now time.Time) leaseBound {
	switch wk := at.wk; {
	case wk.settled && wk.restartSeenAt.IsZero():
		return wk.ownLeases(now)
	case wk.settled:
		eo := earlierOrder{addressee: wk.incarnation, endedBy: wk.restartSeenAt, started: at.seenRunning()}
		return wk.ownLeases(now).later(wk.earlierOrderLeases(&eo))
	case at.earlier != nil:
		return wk.earlierOrderLeases(at.earlier)
	default:
		return wk.ow.incarnationLeases(wk.incarnation)
	}
}

// ownLeases returns the latest end of any lease on a worker that accepts this owner's fencing
// token.
func (wk *workerState) ownLeases(now time.Time) leaseBound {
	left := time.Duration(wk.leaseUntilMS-wk.earliestClock(now)) * time.Millisecond
	return leaseBound{until: now.Add(left + lapseMargin), basis: basisOwn}
}

// leaseBound returns the latest end of any lease on the worker under which something may run.
func (wk *workerState) leaseBound(now time.Time) leaseBound {
	if wk.settled && wk.restartSeenAt.IsZero() {
		return wk.ownLeases(now)
	}
	var lb leaseBound
	for at := range wk.allAttempts() {
		lb = lb.later(at.leaseBound(now))
	}
	return lb
}

// restartLeaseMS returns the field of a job's row that states until when leases may run which
// calls to earlier incarnations extended.
func (ow *Owner) restartLeaseMS(tj *trackedJob, now time.Time) map[worker.Incarnation]int64 {
	var list map[worker.Incarnation]int64
	add := func(incarnation worker.Incarnation) {
		left := ow.restartLeaseBound(incarnation).until.Sub(now)
		if left <= 0 {
			return
		}
		if list == nil {
			list = map[worker.Incarnation]int64{}
		}
		list[incarnation] = left.Milliseconds() + 1
	}
	for _, at := range tj.attempts {
		add(at.namedIncarnation())
	}
	for _, key := range tj.unowned {
		if ra, ok := tj.runningAttempt(key); ok {
			add(ra.Worker)
		}
	}
	return list
}

// namedIncarnation returns the incarnation that the row of the attempt's job names.
func (at *attempt) namedIncarnation() worker.Incarnation {
	if at.earlier != nil {
		return at.earlier.addressee
	}
	return at.wk.incarnation
}

// logRestartLeases logs for how many incarnations the wait for leases is longer than for others
// because they restarted recently, and the longest such wait.
func (ow *Owner) logRestartLeases(now time.Time) {
	restarted, unknown := 0, 0
	var latest time.Time
	for incarnation := range ow.unowned {
		until, ok := ow.restartLeases[incarnation]
		switch {
		case !ok:
			unknown++
		case until.After(now):
			restarted++
		}
		if until.After(latest) {
			latest = until
		}
	}
	ow.Log.Info("leases on restarted workers", "cell", ow.Cell, "epoch", ow.Tenure.Epoch, "workers", len(ow.unowned), "restarted", restarted, "unknown", unknown,
		"stated", ow.Tenure.Former.StatesRestarts, "longest", max(latest.Sub(now), 0))
}
