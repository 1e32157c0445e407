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

// lateOrderMost is how long after it was sent an order may be carried out whose answer did
// not come.
const lateOrderMost = 5 * time.Second

// listedHost returns the worker that an entry is of, or nil. An entry that does not tell
// when the process started is of the one life that is known.
func (ow *Owner) listedHost(li WorkerEntry) *host {
	if ho := ow.hosts[li.Incarnation]; ho != nil || li.Incarnation.Born != 0 {
		return ho
	}
	return ow.onlyLife(li.Incarnation.ID)
}

// onlyLife returns the life of a worker that is not known to have ended, or nil if there is
// none or more than one.
func (ow *Owner) onlyLife(id string) *host {
	var only *host
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

// replaceOthers notes that the list has no other life of the worker. Which of them lives
// their answers tell: entries may come late.
func (ho *host) replaceOthers() {
	for _, other := range slices.Clone(ho.ow.byID[ho.incarnation.ID]) {
		if other != ho {
			other.lose()
		}
	}
}

// answeredBy takes in that another life answered what the worker was asked.
func (ho *host) answeredBy(answered worker.Incarnation) {
	if ho.dead || answered == ho.incarnation {
		return
	}
	next := ho.ow.hosts[answered]
	if next != nil && next.dead {
		next.forget()
		next = nil
	}
	switch {
	case next != nil:
		ho.giveWay(next)
	case ho.incarnation.Born == 0:
		ho.learnLife(answered)
	default:
		ho.giveWay(ho.enterNext(answered))
	}
}

// tellLife takes in the error of an order or a look, from any goroutine: another life may
// have answered.
func (ho *host) tellLife(err error) {
	if le := (*worker.LifeError)(nil); errors.As(err, &le) {
		ho.ow.post(func() { ho.answeredBy(le.Answered) })
	}
}

// learnLife takes in which life the worker is, whose entry does not tell.
func (ho *host) learnLife(answered worker.Incarnation) {
	delete(ho.ow.hosts, ho.incarnation)
	ho.incarnation = answered
	ho.ow.hosts[answered], ho.ow.sorted = ho, nil
	wa := ho.wayNow()
	wa.addr.Incarnation = answered
	ho.way.Store(&wa)
	nudge(ho.rerouted)
}

// enterNext enters a life that answered before its entry was seen. That entry tells what it
// holds, so until then it gets nothing new.
func (ho *host) enterNext(answered worker.Incarnation) *host {
	li := ho.WorkerEntry
	li.Incarnation = answered
	next := ho.ow.enter(li)
	next.WorkerEntry.Incarnation = ho.WorkerEntry.Incarnation
	next.gone, next.goneAt = ho.gone, ho.goneAt
	if ho.WorkerEntry.Incarnation.Born != 0 && !ho.gone {
		next.gone, next.goneAt = true, time.Now()
	}
	return next
}

// giveWay notes that the worker's process has ended, as another life of the worker
// answered. What it was ordered is decided by what the other one lists.
func (ho *host) giveWay(next *host) {
	ho.dead = true
	ho.tellDeath("another life of the worker answers", next.incarnation, time.Now())
	if next.wayNow().fence <= ho.wayNow().fence {
		next.raiseFence()
	}
	crashed := ho.crashed()
	for at := range ho.attempts {
		end := at.verdictIf(crashed)
		if end == job.EndNever {
			ho.ow.end(at.en, at.ref, at.number, end, "", "its worker ended before the order was sent")
			continue
		}
		ho.drop(at)
		next.put(&attempt{ref: at.ref, number: at.number, ho: next, en: at.en, ordered: true, inherited: true, ends: end, pace: unknownPace})
		next.unsettle()
	}
	ho.leave()
	ho.ow.dropIdle(ho)
}

// runsHere notes that an order for a life before was carried out by this one.
func (ho *host) runsHere(at *attempt) {
	ho.ow.Log.Info("order for a life before was carried out", "task", taskID(at), "attempt", at.number, "worker", ho.incarnation)
	at.ends = ""
	at.task().Worker = ho.incarnation
	ho.ow.touch(at.en)
}

// raiseFence has the worker be told a fencing token that is higher than all before.
func (ho *host) raiseFence() {
	wa := ho.wayNow()
	wa.fence = ho.ow.nextFence()
	ho.way.Store(&wa)
}

// unsettle has the worker answer a look with its present fencing token before more is
// ordered there.
func (ho *host) unsettle() {
	now := time.Now()
	ho.settled, ho.settleFence = false, ho.wayNow().fence
	ho.movedUntil = now.Add(lateOrderMost + slowest(ho.ow.Limits.MaxLease) + lapseMargin)
	nudge(ho.release)
	nudge(ho.rerouted)
}

// unsettledUntil is when all has ended at the latest that may run on a worker which has not
// settled.
func (ho *host) unsettledUntil() time.Time {
	until := ho.ow.orphansUntil(ho.incarnation)
	for _, life := range ho.lives {
		if other := ho.ow.orphansUntil(life).Add(lateOrderMost); other.After(until) {
			until = other
		}
	}
	if ho.movedUntil.After(until) {
		until = ho.movedUntil
	}
	return until
}
