package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// askOthers has the workers asked at once that are known at the address of one that was
// just listed. Which of them lives only an answer from there can tell: the entry of one
// that crashed stays for three heartbeats, and may be written once more after that of the
// next. Taking what was listed later for what lives had 19 tasks of one day run twice
// (standard: none), as the worker that lived was given up with all that it ran.
func (ow *Owner) askOthers(li Listed) {
	for _, other := range ow.byAddr[li.HostPort] {
		ow.Log.Info("another process is listed at a worker's address", "worker", other.incarnation, "addr", li.HostPort, "other", li.Incarnation,
			"heard", other.quietFor(time.Now()))
		nudge(other.rerouted)
	}
}

// outlive notes that the worker answered to a look. Another one at its address that
// answered before the look was sent has ended: one process listens at a time.
func (ho *host) outlive(sent time.Time) {
	others := ho.ow.byAddr[ho.HostPort]
	if len(others) < 2 {
		return
	}
	for _, other := range slices.Clone(others) {
		if other != ho && !other.seen.IsZero() && other.seen.Before(sent) {
			other.die("another process answers at its address", ho.incarnation)
		}
	}
}

// die notes that the worker's process has ended, and all that it ran. The other process
// at its address is by, if that is known.
func (ho *host) die(why, by string) {
	if ho.dead {
		return
	}
	ho.dead = true
	ho.tellDeath(why, by, time.Now())
	ho.endAll(why)
	ho.leave()
	ho.ow.dropIdle(ho)
}

// endAll notes that nothing of what was ordered runs there any more.
func (ho *host) endAll(why string) {
	for at := range ho.attempts {
		ho.ow.end(at.en, at.ref, at.number, job.EndLapsed, "", why)
	}
}

// sightings are what was seen of an attempt.
type sightings struct {
	// acked is set if the worker acknowledged its order, or listed it.
	acked bool
	// ran is how long it is known to have run, by the last look that listed it.
	ran time.Duration
}

func (at *attempt) sightings() sightings {
	se := sightings{acked: !at.launched.IsZero()}
	if at.sighted.After(at.launched) {
		se.ran = at.sighted.Sub(at.launched)
	}
	return se
}

// tellDeath tells of the end of a worker's process what its attempts are judged by: when
// it was last heard of, whether it was about to leave, and how many orders it had not
// answered.
func (ho *host) tellDeath(why, by string, now time.Time) {
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
		"heard", ho.quietFor(now), "failing_for", since(now, ho.failing), "listed", !ho.gone, "gone_for", goneFor, "draining", ho.Draining)
}

// since is how long ago something began, or 0 if it did not.
func since(now, began time.Time) time.Duration {
	if began.IsZero() {
		return 0
	}
	return now.Sub(began)
}
