package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Tasks that last and stood on a worker that is lost may begin elsewhere only once its leases
// have lapsed. What starts meanwhile and does not end by itself leaves them no room, so room
// is promised to them from when their worker is missing on, and lasting tasks that never ran
// start only beside it. Tasks that end by themselves may use it until then, and no longer
// once those that were lost wait for it.

// maxRestartReservations bounds the tasks to which room is promised, each a search of all workers at
// worst.
const maxRestartReservations = 500

// pendingRestart is a task that is to begin again soon.
type pendingRestart struct {
	en *entry
	st *job.Step
	// ready is set once it may begin.
	ready bool
}

// restartReservations are what is kept for tasks that are to begin again. The zero value has none.
type restartReservations struct {
	// active is set while there are any, priority is the highest of their jobs; jobs of a
	// higher one need not heed them.
	active   bool
	priority int
	// unmet counts the tasks for which no worker has enough room.
	unmet int
}

// appliesTo reports whether tasks of the job that never ran have to leave room.
func (pr *restartReservations) appliesTo(en *entry) bool {
	return pr.active && en.jo.Terms.Priority >= pr.priority
}

// likelyLost reports whether the worker is likely to be lost with all that stands there.
func (ho *workerState) likelyLost(now time.Time) bool {
	if ho.dead || len(ho.attempts) == 0 {
		return false
	}
	return ho.unlisted && !ho.failingSince.IsZero() || !ho.noContactSince.IsZero() && now.Sub(ho.noContactSince) >= unresponsiveAfter
}

// reserveForRestarts promises room to the lasting tasks that are to begin again.
func (ow *Owner) reserveForRestarts(now time.Time) {
	if !ow.uses(MechReserveCapacity) {
		return
	}
	list := ow.pendingRestarts(now)
	if !ow.reservations.active && len(list) == 0 {
		return
	}
	ow.reservations = restartReservations{active: len(list) > 0}
	var rooms []reservableWorker
	for _, ho := range ow.sortedWorkers() {
		ho.restartReserved, ho.restartReady = worker.Resources{}, false
		if ho.available(now) {
			rooms = append(rooms, reservableWorker{ca: newCandidate(ho, now), free: ho.Capacity.Sub(ho.reserved).Add(ho.finiteReserved)})
		}
	}
	slices.SortFunc(list, func(a, b pendingRestart) int {
		return cmp.Or(compareSizes(a.st, b.st), cmp.Compare(a.en.order, b.en.order))
	})
	for i, ex := range list {
		if i == 0 || ex.en.jo.Terms.Priority < ow.reservations.priority {
			ow.reservations.priority = ex.en.jo.Terms.Priority
		}
		ho := ex.reserve(rooms)
		if ho == nil {
			ow.reservations.unmet++
			continue
		}
		ho.restartReady = ho.restartReady || ex.ready
	}
}

// compareSizes orders larger steps first.
func compareSizes(a, b *job.Step) int {
	return cmp.Or(cmp.Compare(b.Reserved().MilliCores, a.Reserved().MilliCores), cmp.Compare(b.Reserved().MemMB, a.Reserved().MemMB))
}

// reservableWorker is a worker, and what is left of its room once what ends by itself has ended.
type reservableWorker struct {
	ca   *candidate
	free worker.Resources
	// exhausted is set once all of it is promised.
	exhausted bool
}

// reserve promises room on the worker that keeps least beside it. If none has enough, all of
// that which lacks least is promised, as more may get free there, and it returns nil.
func (ex pendingRestart) reserve(rooms []reservableWorker) *workerState {
	need := ex.st.Reserved()
	var best, roomiest *reservableWorker
	for i := range rooms {
		ro := &rooms[i]
		if ro.exhausted || !ro.ca.suitable(ex.en, ex.st) {
			continue
		}
		if need.Fits(ro.free) && (best == nil || ro.free.MilliCores < best.free.MilliCores) {
			best = ro
		}
		if roomiest == nil || ro.free.MilliCores > roomiest.free.MilliCores {
			roomiest = ro
		}
	}
	if best != nil {
		best.free = best.free.Sub(need)
		best.ca.ho.restartReserved = best.ca.ho.restartReserved.Add(need)
		return best.ca.ho
	}
	if roomiest != nil {
		roomiest.exhausted = true
		roomiest.ca.ho.restartReserved = roomiest.ca.ho.Capacity
	}
	return nil
}

// pendingRestarts returns the lasting tasks that are to begin again: those of workers that are
// missing, and those that wait for room.
func (ow *Owner) pendingRestarts(now time.Time) []pendingRestart {
	var list []pendingRestart
	for _, ho := range ow.sortedWorkers() {
		if !ho.likelyLost(now) {
			continue
		}
		for at := range ho.attempts {
			if at.step().Endless && at.haltSentAt.IsZero() {
				list = append(list, pendingRestart{en: at.en, st: at.step()})
			}
		}
	}
	unseen := len(ow.unowned) > 0 && now.Sub(ow.startedAt) >= unresponsiveAfter
	for _, en := range ow.active {
		if en.jo.Endless() {
			list = en.appendWaitingRestarts(list, now)
		}
	}
	if unseen {
		for _, en := range ow.entries {
			list = en.appendUnownedRestarts(list)
		}
	}
	return list[:min(len(list), maxRestartReservations)]
}

// appendWaitingRestarts adds the job's tasks that were interrupted and may begin now.
func (en *entry) appendWaitingRestarts(list []pendingRestart, now time.Time) []pendingRestart {
	for step, tasks := range en.jo.Tasks {
		st := &en.jo.Spec.Steps[step]
		if !st.Endless || !en.jo.Ready(step) {
			continue
		}
		for index := range tasks {
			ref := job.TaskRef{Step: step, Index: index}
			if tasks[index].State == job.Waiting && en.interrupted(ref) && !en.backoffs.active(ref, now) {
				list = append(list, pendingRestart{en: en, st: st, ready: true})
			}
		}
	}
	return list
}

// appendUnownedRestarts adds the job's tasks on workers that were not seen since the takeover.
func (en *entry) appendUnownedRestarts(list []pendingRestart) []pendingRestart {
	for _, ref := range en.unowned {
		if st := &en.jo.Spec.Steps[ref.Step]; st.Endless {
			list = append(list, pendingRestart{en: en, st: st})
		}
	}
	return list
}
