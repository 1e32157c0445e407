package sched

import (
	"iter"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// pollOthers makes the owner poll at once the workers known at the address of a worker that
// was just listed, or under its id. Only an answer shows which of them runs: the entry of a
// crashed process stays for three heartbeats, and may be written once more after that of the
// next one.
func (ow *Owner) pollOthers(we WorkerEntry) {
	for _, other := range ow.sameAddrOrID(we.Addr) {
		ow.Log.Info("another process is listed at a worker's address or under its id", "worker", other.incarnation, "addr", we.HostPort, "other", we.Incarnation,
			"heard", other.sinceLastContact(time.Now()))
		wake(other.pathChanged)
	}
}

// supersedeOthers handles that the worker answered a poll. One process at a time listens at an
// address, so another worker there that last answered before the poll was sent has ended. So
// has another incarnation of the worker that was known before that.
func (wk *workerState) supersedeOthers(sent time.Time) {
	if len(wk.ow.workersByAddr[wk.HostPort]) < 2 && len(wk.ow.workersByID[wk.incarnation.ID]) < 2 {
		return
	}
	for _, other := range wk.ow.sameAddrOrID(wk.Addr) {
		switch {
		case other == wk || other.dead:
		case other.incarnation.ID == wk.incarnation.ID:
			// One process at a time has an id, and the other one started before this one
			// answered.
			if other.firstSeen.Before(sent) {
				other.supersedeBy(wk)
			}
		case !other.lastAnsweredAt.IsZero() && other.lastAnsweredAt.Before(sent):
			other.markDead("another process answers at its address", wk.incarnation)
		}
	}
}

// sameAddrOrID returns the workers known at an address and those known with the id of its
// worker, including that worker.
func (ow *Owner) sameAddrOrID(ad worker.Addr) []*workerState {
	list := slices.Clone(ow.workersByAddr[ad.HostPort])
	for _, wk := range ow.workersByID[ad.Incarnation.ID] {
		if wk.HostPort != ad.HostPort && !wk.dead {
			list = append(list, wk)
		}
	}
	return list
}

// markDead records that the worker's process has ended, and with it all its attempts. The
// process that replaced it at its address is by, if that is known.
func (wk *workerState) markDead(why string, by worker.Incarnation) {
	if wk.dead {
		return
	}
	wk.dead = true
	wk.logDeath(why, by, time.Now())
	wk.endStrays()
	wk.settleReplaced()
	wk.endDead(why)
	wk.disconnect()
	wk.ow.removeIfIdle(wk)
}

// endLapsed ends the attempts on the worker whose leases have lapsed by the slowest clock. The
// process of a worker without an entry has most likely ended and may be back at another address,
// so its attempts may be blamed for a crash. A worker that is listed, or whose entry may be missing
// only because the list is unreliable, counts as unreachable.
func (wk *workerState) endLapsed(now time.Time) {
	lapsed, latest := wk.lapsedAttempts(now)
	if len(lapsed) == 0 {
		return
	}
	crashed := wk.unlisted && !wk.leftAsPlanned() && wk.ow.listReliable(now)
	wk.endAttempts(slices.Values(lapsed), crashed, "its leases have lapsed", latest.logArgs(wk.incarnation, now)...)
}

// endAttempts ends attempts on a lost worker. If crashed is set, its process ended unplanned,
// and the ends say which attempts may have caused that. The arguments are for the log.
func (wk *workerState) endAttempts(attempts iter.Seq[*attempt], crashed bool, why string, args ...any) {
	var le lostEnds
	for at := range attempts {
		end := at.lossEnd(crashed)
		le.add(at.step(), end)
		wk.ow.recordEnd(at.tj, at.ref, at.number, end, "", why)
	}
	wk.ow.logLost(wk.incarnation, le, why, wk.sinceLastContact(time.Now()), args...)
}

// lossEnd returns how the attempt ended on a lost worker; crashed says that the worker's
// process ended unplanned.
func (at *attempt) lossEnd(crashed bool) job.End {
	switch {
	case at.endIfNotRun != "":
		return at.endIfNotRun
	case crashed:
		return at.crashEnd()
	}
	return job.EndLapsed
}

// endDead ends all attempts on a worker whose process has ended.
func (wk *workerState) endDead(why string) {
	wk.endAttempts(wk.allAttempts(), wk.recordCrash(), why)
}

// recordCrash reports whether the worker, whose process has ended, ended unplanned, and counts
// it in that case.
func (wk *workerState) recordCrash() bool {
	if wk.leftAsPlanned() {
		return false
	}
	wk.ow.Metrics.Add(telemetry.WorkersCrashed, 1, "attempts", countLabel(len(wk.attempts)))
	return true
}

// countLabel returns the metric label of a count.
func countLabel(n int) string {
	if n == 0 {
		return "none"
	}
	return "some"
}

// leftAsPlanned reports whether the worker, whose process has ended, was expected to: it
// drained, or still answered after its entry was removed.
func (wk *workerState) leftAsPlanned() bool {
	return wk.Draining || (wk.unlisted && wk.lastAnsweredAt.After(wk.unlistedAt))
}

// crashEnd returns how the attempt ended if its worker's process crashed.
func (at *attempt) crashEnd() job.End {
	ran := at.observed().ran
	switch {
	case at.deferral != nil, !at.orderSent && !at.inherited:
		return job.EndNeverRan
	case ran >= crashBlameLimit:
		return job.EndLapsed
	case ran >= startupDuration, at.wk.unresponsive, !at.inherited && at.launchedAt.IsZero():
		// An unresponsive worker may have ended long after it stopped answering, and an order
		// without an answer may have ended the worker or come after its end.
		return job.EndLost
	case at.inherited:
		// The order may have had no answer, or the attempt may have ended without an end in
		// the row. Yet a task whose crashes always coincide with a change of owner must not
		// be started forever.
		return job.EndPresumedCrash
	}
	return job.EndCrashed
}

// unseenEnd returns how an attempt ended whose worker this owner never saw. If the list of
// workers is reliable, the worker's process has ended, since no running process goes without
// an entry for so long.
func unseenEnd(ph job.Phase, listReliable bool) job.End {
	switch {
	case ph == job.PhaseStable:
		return job.EndLapsed
	case ph == job.PhaseStarted || !listReliable:
		return job.EndLost
	}
	return job.EndPresumedCrash
}

// minRunTime returns how long an attempt ran at least, by the phase in its row.
func minRunTime(ph job.Phase) time.Duration {
	switch ph {
	case job.PhaseStarted:
		return startupDuration
	case job.PhaseStable:
		return crashBlameLimit
	}
	return 0
}

// Run times of attempts, as polls list them.
const (
	// startupDuration is the run time after which an attempt is past its startup: a program
	// that crashes its host does so 10 ms after it starts.
	startupDuration = 500 * time.Millisecond
	// crashBlameLimit is the run time after which an attempt is no longer blamed for the crash
	// of its worker. It is three times as long as a crashed worker takes to come back, so a
	// task that crashes its worker later than that costs one of 48 workers a quarter of its
	// time.
	crashBlameLimit = 10 * time.Second
)

// observation is what was observed of an attempt.
type observation struct {
	// acked is set if the worker acknowledged the order or listed the attempt.
	acked bool
	// ran is how long it ran at least, by its row and the last poll that listed it.
	ran time.Duration
}

// observed returns what was observed of the attempt so far.
func (at *attempt) observed() observation {
	ob := observation{acked: !at.launchedAt.IsZero(), ran: at.inheritedRunTime}
	if at.lastSeenAt.After(at.launchedAt) {
		ob.ran += at.lastSeenAt.Sub(at.launchedAt)
	}
	return ob
}

// logDeath logs the end of a worker's process, with what decides how its attempts ended: the
// last contact, whether it was about to leave, and how many orders it had not answered.
func (wk *workerState) logDeath(why string, by worker.Incarnation, now time.Time) {
	unanswered := 0
	for at := range wk.allAttempts() {
		if at.launchedAt.IsZero() {
			unanswered++
		}
	}
	var unlistedFor time.Duration
	if wk.unlisted {
		unlistedFor = now.Sub(wk.unlistedAt)
	}
	wk.ow.Log.Warn("worker is dead", "worker", wk.incarnation, "attempts", len(wk.attempts), "why", why, "by", by, "unanswered", unanswered,
		"heard", wk.sinceLastContact(now), "failing_for", elapsedSince(now, wk.failingSince), "silent", wk.unresponsive, "listed", !wk.unlisted, "gone_for", unlistedFor, "draining", wk.Draining)
}

// elapsedSince returns the time since began, or 0 if began is zero.
func elapsedSince(now, began time.Time) time.Duration {
	if began.IsZero() {
		return 0
	}
	return now.Sub(began)
}
