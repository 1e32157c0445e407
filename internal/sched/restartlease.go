package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// A worker's process carries out calls to the process before it under its id. If its clock is
// behind, such a call extends its leases by the longest lease, counted from the arrival of the call:
// for longer than the last confirmation of the sender allows. These rules bound such leases:
//
//   - Calls to an earlier incarnation have lower fencing tokens than those to the next one. Once
//     that has accepted an owner's token in a poll, it carries out none of them any more. So such
//     leases end a whole lease after that poll.
//   - An owner launches nothing on a worker before that poll. The row that names an attempt states
//     for how long such leases may still run, unless they have ended.
//
// An incarnation that no owner has seen, as it was neither listed nor answered, runs nothing but
// what orders to an earlier one start, which are awaited by the rules of outstandingorder.go.

// earlierOrder describes the order of an attempt that was sent to an earlier incarnation of its
// worker than the one that may carry it out.
type earlierOrder struct {
	// addressee is the incarnation to which the order was sent.
	addressee worker.Incarnation
	// endedBy is when this owner knew that the addressee had ended. It is zero if a former owner
	// sent the order and the worker has not answered since.
	endedBy time.Time
}

// recordRowLeases records what the row of a job states of the leases on an incarnation that it
// names. Each row states an upper bound of the same leases, so the lowest holds.
func (ow *Owner) recordRowLeases(jo *job.Job, incarnation worker.Incarnation) {
	ms := jo.RestartLeaseMS[incarnation]
	if !ow.Tenure.Former.StatesRestarts || ms < 0 || ms > maxStatedLeaseMS {
		return
	}
	var until time.Time
	if ms > 0 {
		until = ow.startedAt.Add(maxDriftDuration(time.Duration(ms) * time.Millisecond))
	}
	ow.boundRestartLeases(incarnation, until)
}

// boundRestartLeases records an upper bound of the leases on an incarnation that calls to an
// earlier one extended.
func (ow *Owner) boundRestartLeases(incarnation worker.Incarnation, until time.Time) {
	if known, ok := ow.restartLeases[incarnation]; !ok || until.Before(known) {
		ow.restartLeases[incarnation] = until
	}
	if until.After(ow.restartLeasesEnd) {
		ow.restartLeasesEnd = until
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

// ownLeases returns the latest end of any lease on a worker that accepts this owner's fencing
// token.
func (wk *workerState) ownLeases(now time.Time) leaseBound {
	left := time.Duration(wk.leaseUntilMS-wk.earliestClock(now)) * time.Millisecond
	return leaseBound{until: now.Add(left + lapseMargin), basis: basisOwn}
}

// processLeases returns the latest end of the leases under which the worker runs what was ordered
// from this incarnation.
func (wk *workerState) processLeases(now time.Time) leaseBound {
	if wk.settled {
		return wk.ownLeases(now)
	}
	return wk.ow.incarnationLeases(wk.incarnation)
}

// attemptLeases returns the latest end of a lease under which an attempt on the worker runs, given
// that of what was ordered from this incarnation. It leaves out what outstanding orders may start.
func (wk *workerState) attemptLeases(at *attempt, here leaseBound) leaseBound {
	named := at.namedIncarnation()
	switch eo := at.earlier; {
	case wk.settled || named == wk.incarnation:
		return here
	case eo != nil && !eo.endedBy.IsZero():
		return leaseBound{until: eo.endedBy, basis: basisEnded}
	}
	return wk.ow.incarnationLeases(named)
}

// leaseBound returns the latest end of any lease on the worker under which something may run. It
// leaves out what outstanding orders may start, which the rows of jobs state.
func (wk *workerState) leaseBound(now time.Time) leaseBound {
	here := wk.processLeases(now)
	var lb leaseBound
	for at := range wk.allAttempts() {
		lb = lb.later(wk.attemptLeases(at, here))
	}
	return lb
}

// lapsedAttempts returns the attempts on the worker whose leases have lapsed by the slowest clock,
// and the latest end of their leases.
func (wk *workerState) lapsedAttempts(now time.Time) ([]*attempt, leaseBound) {
	here := wk.processLeases(now)
	if wk.settled && !now.After(here.until) {
		return nil, here
	}
	var lapsed []*attempt
	var latest leaseBound
	for at := range wk.allAttempts() {
		lb := wk.attemptLeases(at, here).later(at.orderLeases())
		if now.After(lb.until) {
			lapsed, latest = append(lapsed, at), latest.later(lb)
		}
	}
	return lapsed, latest
}

// restartLeaseMS returns the field of a job's row that states until when leases may run which
// calls to earlier incarnations extended.
func (ow *Owner) restartLeaseMS(tj *trackedJob, now time.Time) map[worker.Incarnation]int64 {
	if now.After(ow.restartLeasesEnd) {
		return nil
	}
	var leases map[worker.Incarnation]int64
	add := func(incarnation worker.Incarnation) {
		left := ow.restartLeaseBound(incarnation).until.Sub(now)
		if left <= 0 {
			return
		}
		if leases == nil {
			leases = map[worker.Incarnation]int64{}
		}
		leases[incarnation] = left.Milliseconds() + 1
	}
	for _, at := range tj.attempts {
		add(at.namedIncarnation())
	}
	for _, key := range tj.unowned {
		if ra, ok := tj.runningAttempt(key); ok {
			add(ra.Worker)
		}
	}
	return leases
}

// namedIncarnation returns the incarnation that the row of the attempt's job names.
func (at *attempt) namedIncarnation() worker.Incarnation {
	switch {
	case at.earlier != nil:
		return at.earlier.addressee
	case at.rowIncarnation.ID != "":
		return at.rowIncarnation
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
