package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// askOthers has the workers asked at once that are known at the address of one that was
// just listed, or under its id. Which of them lives only an answer can tell: the entry of one
// that crashed stays for three heartbeats, and may be written once more after that of the
// next.
func (ow *Owner) askOthers(li WorkerEntry) {
	for _, other := range ow.others(li.Addr) {
		ow.Log.Info("another process is listed at a worker's address or under its id", "worker", other.incarnation, "addr", li.HostPort, "other", li.Incarnation,
			"heard", other.quietFor(time.Now()))
		nudge(other.rerouted)
	}
}

// outlive notes that the worker answered to a look. Another one at its address that
// answered before the look was sent has ended, as one process listens at a time, and so has
// another life that was known before.
func (ho *host) outlive(sent time.Time) {
	if len(ho.ow.byAddr[ho.HostPort]) < 2 && len(ho.ow.byID[ho.incarnation.ID]) < 2 {
		return
	}
	for _, other := range ho.ow.others(ho.Addr) {
		switch {
		case other == ho || other.dead:
		case other.incarnation.ID == ho.incarnation.ID:
			// One process at a time has an id, and the other began before this one answered.
			if other.entered.Before(sent) {
				other.giveWay(ho)
			}
		case !other.seen.IsZero() && other.seen.Before(sent):
			other.die("another process answers at its address", ho.incarnation)
		}
	}
}

// others returns the workers known at an address, and those with the id of the one there.
func (ow *Owner) others(ad worker.Addr) []*host {
	list := slices.Clone(ow.byAddr[ad.HostPort])
	for _, ho := range ow.byID[ad.Incarnation.ID] {
		if ho.HostPort != ad.HostPort && !ho.dead {
			list = append(list, ho)
		}
	}
	return list
}

// die notes that the worker's process has ended, and all that it ran. The other process
// at its address is by, if that is known.
func (ho *host) die(why string, by worker.Incarnation) {
	if ho.dead {
		return
	}
	ho.dead = true
	ho.tellDeath(why, by, time.Now())
	ho.endDead(why)
	ho.leave()
	ho.ow.dropIdle(ho)
}

// endSilent notes that the leases have lapsed of all that was ordered there. A worker
// without an entry has most likely ended, and may be back at another address; one that
// is listed, or may be if the list is in trouble, is cut off.
func (ho *host) endSilent(now time.Time) {
	ho.endAll(ho.gone && !ho.left() && ho.ow.listSound(now), "its leases have lapsed")
}

// endAll notes the end of all that stood on a lost worker, and who may have ended it if its
// process has, other than by a planned end.
func (ho *host) endAll(crashed bool, why string) {
	var le lostEnds
	for at := range ho.attempts {
		end := at.verdictIf(crashed)
		le.add(at.step(), end)
		ho.ow.end(at.en, at.ref, at.number, end, "", why)
	}
	ho.ow.tellLost(ho.incarnation, le, why, ho.quietFor(time.Now()))
}

// verdictIf is how an attempt ended on a worker that was lost, and whose process has ended
// other than by a planned end if crashed is set.
func (at *attempt) verdictIf(crashed bool) job.End {
	switch {
	case at.ends != "":
		return at.ends
	case crashed:
		return at.verdict()
	}
	return job.EndLapsed
}

// endDead notes the end of all that stood on a worker whose process has ended, and who may
// have ended it.
func (ho *host) endDead(why string) {
	ho.endAll(ho.crashed(), why)
}

// crashed reports whether the worker, whose process has ended, ended other than by a
// planned end, and counts it.
func (ho *host) crashed() bool {
	if ho.left() {
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

// left reports whether the worker, which has ended, was to: it drained, or still answered
// after its entry went.
func (ho *host) left() bool {
	return ho.Draining || (ho.gone && ho.seen.After(ho.goneAt))
}

// verdict is what the end of its worker's process means for an attempt.
func (at *attempt) verdict() job.End {
	ran := at.sightings().ran
	switch {
	case !at.ordered && !at.inherited:
		return job.EndNever
	case ran >= lastsAfter:
		return job.EndLapsed
	case ran >= provenAfter, at.ho.silent, !at.inherited && at.launched.IsZero():
		// What was silent first may have ended long after that, and an order without an
		// answer may have been the worker's end or come after it. Former owners' orders
		// count as answered: most were, and a task that outlives its owners in this way
		// would be started for ever.
		return job.EndLost
	}
	return job.EndCrashed
}

// unseenVerdict is what it means for an attempt that its worker was never seen by this
// owner. If the list of workers is sound, its process has ended: nothing that runs is
// without an entry for so long.
func unseenVerdict(pr job.Proof, listSound bool) job.End {
	switch {
	case pr == job.Lasting:
		return job.EndLapsed
	case pr == job.Begun || !listSound:
		return job.EndLost
	}
	return job.EndCrashed
}

// workedBy is for how long an attempt was at work at least, by what its row says.
func workedBy(pr job.Proof) time.Duration {
	switch pr {
	case job.Begun:
		return provenAfter
	case job.Lasting:
		return lastsAfter
	}
	return 0
}

// Times of attempts at work, as looks list them.
const (
	// provenAfter is after how long an attempt has got over its start, at which a program
	// that takes its host down does so: 10 ms as users saw it.
	provenAfter = 500 * time.Millisecond
	// lastsAfter is after how long the ends of workers are not put down to a task any
	// more: three times what a crashed worker takes to come back, so that a task which
	// crashes its worker later than that costs one of 48 workers a quarter of its time.
	lastsAfter = 10 * time.Second
)

// sightings are what was seen of an attempt.
type sightings struct {
	// acked is set if the worker acknowledged its order, or listed it.
	acked bool
	// ran is how long it is known to have run, by its row and the last look that listed it.
	ran time.Duration
}

func (at *attempt) sightings() sightings {
	se := sightings{acked: !at.launched.IsZero(), ran: at.worked}
	if at.sighted.After(at.launched) {
		se.ran += at.sighted.Sub(at.launched)
	}
	return se
}

// tellDeath tells of the end of a worker's process what its attempts are judged by: when
// it was last heard of, whether it was about to leave, and how many orders it had not
// answered.
func (ho *host) tellDeath(why string, by worker.Incarnation, now time.Time) {
	unanswered := 0
	for at := range ho.attempts {
		if at.launched.IsZero() {
			unanswered++
		}
	}
	var goneFor time.Duration
	if ho.gone {
		goneFor = now.Sub(ho.goneAt)
	}
	ho.ow.Log.Warn("worker is dead", "worker", ho.incarnation, "attempts", len(ho.attempts), "why", why, "by", by, "unanswered", unanswered,
		"heard", ho.quietFor(now), "failing_for", since(now, ho.failing), "silent", ho.silent, "listed", !ho.gone, "gone_for", goneFor, "draining", ho.Draining)
}

// since is how long ago something began, or 0 if it did not.
func since(now, began time.Time) time.Duration {
	if began.IsZero() {
		return 0
	}
	return now.Sub(began)
}
