package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// pollOthers has the workers asked at once that are known at the address of one that was
// just listed, or under its id. Which of them lives only an answer can tell: the entry of one
// that crashed stays for three heartbeats, and may be written once more after that of the
// next.
func (ow *Owner) pollOthers(li WorkerEntry) {
	for _, other := range ow.sameAddrOrID(li.Addr) {
		ow.Log.Info("another process is listed at a worker's address or under its id", "worker", other.incarnation, "addr", li.HostPort, "other", li.Incarnation,
			"heard", other.sinceLastContact(time.Now()))
		wake(other.pathChanged)
	}
}

// supersedeOthers notes that the worker answered to a look. Another one at its address that
// answered before the look was sent has ended, as one process listens at a time, and so has
// another life that was known before.
func (ho *workerState) supersedeOthers(sent time.Time) {
	if len(ho.ow.byAddr[ho.HostPort]) < 2 && len(ho.ow.byID[ho.incarnation.ID]) < 2 {
		return
	}
	for _, other := range ho.ow.sameAddrOrID(ho.Addr) {
		switch {
		case other == ho || other.dead:
		case other.incarnation.ID == ho.incarnation.ID:
			// One process at a time has an id, and the other began before this one answered.
			if other.firstSeen.Before(sent) {
				other.supersedeBy(ho)
			}
		case !other.lastPoll.IsZero() && other.lastPoll.Before(sent):
			other.markDead("another process answers at its address", ho.incarnation)
		}
	}
}

// sameAddrOrID returns the workers known at an address, and those with the id of the one there.
func (ow *Owner) sameAddrOrID(ad worker.Addr) []*workerState {
	list := slices.Clone(ow.byAddr[ad.HostPort])
	for _, ho := range ow.byID[ad.Incarnation.ID] {
		if ho.HostPort != ad.HostPort && !ho.dead {
			list = append(list, ho)
		}
	}
	return list
}

// markDead notes that the worker's process has ended, and all that it ran. The other process
// at its address is by, if that is known.
func (ho *workerState) markDead(why string, by worker.Incarnation) {
	if ho.dead {
		return
	}
	ho.dead = true
	ho.logDeath(why, by, time.Now())
	ho.endDead(why)
	ho.disconnect()
	ho.ow.removeIfIdle(ho)
}

// endLapsed notes that the leases have lapsed of all that was ordered there. A worker
// without an entry has most likely ended, and may be back at another address; one that
// is listed, or may be if the list is in trouble, is cut off.
func (ho *workerState) endLapsed(now time.Time) {
	ho.endAll(ho.unlisted && !ho.leftAsPlanned() && ho.ow.listReliable(now), "its leases have lapsed")
}

// endAll notes the end of all that stood on a lost worker, and who may have ended it if its
// process has, other than by a planned end.
func (ho *workerState) endAll(crashed bool, why string) {
	var le lostEnds
	for at := range ho.attempts {
		end := at.lossEnd(crashed)
		le.add(at.step(), end)
		ho.ow.recordEnd(at.en, at.ref, at.number, end, "", why)
	}
	ho.ow.logLost(ho.incarnation, le, why, ho.sinceLastContact(time.Now()))
}

// lossEnd is how an attempt ended on a worker that was lost, and whose process has ended
// other than by a planned end if crashed is set.
func (at *attempt) lossEnd(crashed bool) job.End {
	switch {
	case at.endIfNotRun != "":
		return at.endIfNotRun
	case crashed:
		return at.crashEnd()
	}
	return job.EndLapsed
}

// endDead notes the end of all that stood on a worker whose process has ended, and who may
// have ended it.
func (ho *workerState) endDead(why string) {
	ho.endAll(ho.recordCrash(), why)
}

// recordCrash reports whether the worker, whose process has ended, ended other than by a
// planned end, and counts it.
func (ho *workerState) recordCrash() bool {
	if ho.leftAsPlanned() {
		return false
	}
	ho.ow.Metrics.Add(telemetry.WorkersCrashed, 1, "attempts", someOrNone(len(ho.attempts)))
	return true
}

func someOrNone(n int) string {
	if n == 0 {
		return "none"
	}
	return "some"
}

// leftAsPlanned reports whether the worker, which has ended, was to: it drained, or still answered
// after its entry went.
func (ho *workerState) leftAsPlanned() bool {
	return ho.Draining || (ho.unlisted && ho.lastPoll.After(ho.unlistedAt))
}

// crashEnd is what the end of its worker's process means for an attempt.
func (at *attempt) crashEnd() job.End {
	ran := at.observed().ran
	switch {
	case !at.orderSent && !at.inherited:
		return job.EndNeverRan
	case ran >= crashBlameLimit:
		return job.EndLapsed
	case ran >= startupDuration, at.ho.unresponsive, !at.inherited && at.launchedAt.IsZero():
		// What was silent first may have ended long after that, and an order without an
		// answer may have been the worker's end or come after it. Former owners' orders
		// count as answered: most were, and a task that outlives its owners in this way
		// would be started for ever.
		return job.EndLost
	}
	return job.EndCrashed
}

// unseenEnd is what it means for an attempt that its worker was never seen by this
// owner. If the list of workers is sound, its process has ended: nothing that runs is
// without an entry for so long.
func unseenEnd(pr job.Phase, listSound bool) job.End {
	switch {
	case pr == job.PhaseStable:
		return job.EndLapsed
	case pr == job.PhaseStarted || !listSound:
		return job.EndLost
	}
	return job.EndCrashed
}

// minRunTime is for how long an attempt was at work at least, by what its row says.
func minRunTime(pr job.Phase) time.Duration {
	switch pr {
	case job.PhaseStarted:
		return startupDuration
	case job.PhaseStable:
		return crashBlameLimit
	}
	return 0
}

// Times of attempts at work, as looks list them.
const (
	// startupDuration is after how long an attempt has got over its start, at which a program
	// that takes its host down does so: 10 ms as users saw it.
	startupDuration = 500 * time.Millisecond
	// crashBlameLimit is after how long the ends of workers are not put down to a task any
	// more: three times what a crashed worker takes to come back, so that a task which
	// crashes its worker later than that costs one of 48 workers a quarter of its time.
	crashBlameLimit = 10 * time.Second
)

// observation are what was seen of an attempt.
type observation struct {
	// acked is set if the worker acknowledged its order, or listed it.
	acked bool
	// ran is how long it is known to have run, by its row and the last look that listed it.
	ran time.Duration
}

func (at *attempt) observed() observation {
	se := observation{acked: !at.launchedAt.IsZero(), ran: at.inheritedRunTime}
	if at.lastSeenAt.After(at.launchedAt) {
		se.ran += at.lastSeenAt.Sub(at.launchedAt)
	}
	return se
}

// logDeath tells of the end of a worker's process what its attempts are judged by: when
// it was last heard of, whether it was about to leave, and how many orders it had not
// answered.
func (ho *workerState) logDeath(why string, by worker.Incarnation, now time.Time) {
	unanswered := 0
	for at := range ho.attempts {
		if at.launchedAt.IsZero() {
			unanswered++
		}
	}
	var goneFor time.Duration
	if ho.unlisted {
		goneFor = now.Sub(ho.unlistedAt)
	}
	ho.ow.Log.Warn("worker is dead", "worker", ho.incarnation, "attempts", len(ho.attempts), "why", why, "by", by, "unanswered", unanswered,
		"heard", ho.sinceLastContact(now), "failing_for", elapsedSince(now, ho.failingSince), "silent", ho.unresponsive, "listed", !ho.unlisted, "gone_for", goneFor, "draining", ho.Draining)
}

// elapsedSince is how long ago something began, or 0 if it did not.
func elapsedSince(now, began time.Time) time.Duration {
	if began.IsZero() {
		return 0
	}
	return now.Sub(began)
}
