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

// expectedMost bounds the tasks to which room is promised, each a search of all workers at
// worst.
const expectedMost = 500

// expectation is a task that is to begin again soon.
type expectation struct {
	en *entry
	st *job.Step
	// waits is set once it may begin.
	waits bool
}

// promises are what is kept for tasks that are to begin again. The zero value has none.
type promises struct {
	// made is set while there are any, priority is the highest of their jobs; jobs of a
	// higher one need not heed them.
	made     bool
	priority int
	// lacking counts the tasks for which no worker has enough room.
	lacking int
}

// binds reports whether tasks of the job that never ran have to leave room.
func (pr *promises) binds(en *entry) bool {
	return pr.made && en.jo.Terms.Priority >= pr.priority
}

// missing reports whether the worker is likely to be lost with all that stands there.
func (ho *host) missing(now time.Time) bool {
	if ho.dead || len(ho.attempts) == 0 {
		return false
	}
	return ho.gone && !ho.failing.IsZero() || !ho.quiet.IsZero() && now.Sub(ho.quiet) >= silentAfter
}

// promiseRoom promises room to the lasting tasks that are to begin again.
func (ow *Owner) promiseRoom(now time.Time) {
	if !ow.uses(MechKeepRoom) {
		return
	}
	list := ow.expected(now)
	if !ow.promises.made && len(list) == 0 {
		return
	}
	ow.promises = promises{made: len(list) > 0}
	var rooms []promisedRoom
	for _, ho := range ow.sortedHosts() {
		ho.promised, ho.awaited = worker.Resources{}, false
		if ho.well(now) {
			rooms = append(rooms, promisedRoom{ca: newCandidate(ho, now), left: ho.Capacity.Without(ho.reserved).With(ho.passing)})
		}
	}
	slices.SortFunc(list, func(a, b expectation) int {
		return cmp.Or(compareSizes(a.st, b.st), cmp.Compare(a.en.order, b.en.order))
	})
	for i, ex := range list {
		if i == 0 || ex.en.jo.Terms.Priority < ow.promises.priority {
			ow.promises.priority = ex.en.jo.Terms.Priority
		}
		ho := ex.promise(rooms)
		if ho == nil {
			ow.promises.lacking++
			continue
		}
		ho.awaited = ho.awaited || ex.waits
	}
}

// compareSizes orders larger steps first.
func compareSizes(a, b *job.Step) int {
	return cmp.Or(cmp.Compare(b.Reserved().MilliCores, a.Reserved().MilliCores), cmp.Compare(b.Reserved().MemMB, a.Reserved().MemMB))
}

// promisedRoom is a worker, and what is left of its room once what ends by itself has ended.
type promisedRoom struct {
	ca   *candidate
	left worker.Resources
	// spent is set once all of it is promised.
	spent bool
}

// promise promises room on the worker that keeps least beside it. If none has enough, all of
// that which lacks least is promised, as more may get free there, and it returns nil.
func (ex expectation) promise(rooms []promisedRoom) *host {
	need := ex.st.Reserved()
	var best, roomiest *promisedRoom
	for i := range rooms {
		ro := &rooms[i]
		if ro.spent || !ro.ca.suitable(ex.en, ex.st) {
			continue
		}
		if need.Fits(ro.left) && (best == nil || ro.left.MilliCores < best.left.MilliCores) {
			best = ro
		}
		if roomiest == nil || ro.left.MilliCores > roomiest.left.MilliCores {
			roomiest = ro
		}
	}
	if best != nil {
		best.left = best.left.Without(need)
		best.ca.ho.promised = best.ca.ho.promised.With(need)
		return best.ca.ho
	}
	if roomiest != nil {
		roomiest.spent = true
		roomiest.ca.ho.promised = roomiest.ca.ho.Capacity
	}
	return nil
}

// expected returns the lasting tasks that are to begin again: those of workers that are
// missing, and those that wait for room.
func (ow *Owner) expected(now time.Time) []expectation {
	var list []expectation
	for _, ho := range ow.sortedHosts() {
		if !ho.missing(now) {
			continue
		}
		for at := range ho.attempts {
			if at.step().Endless && at.halted.IsZero() {
				list = append(list, expectation{en: at.en, st: at.step()})
			}
		}
	}
	unseen := len(ow.orphans) > 0 && now.Sub(ow.opened) >= silentAfter
	for _, en := range ow.active {
		if en.jo.Endless() {
			list = en.expectWaiting(list, now)
		}
	}
	if unseen {
		for _, en := range ow.entries {
			list = en.expectOrphans(list)
		}
	}
	return list[:min(len(list), expectedMost)]
}

// expectWaiting adds the job's tasks that were interrupted and may begin now.
func (en *entry) expectWaiting(list []expectation, now time.Time) []expectation {
	for step, tasks := range en.jo.Tasks {
		st := &en.jo.Spec.Steps[step]
		if !st.Endless || !en.jo.Ready(step) {
			continue
		}
		for index := range tasks {
			ref := job.TaskRef{Step: step, Index: index}
			if tasks[index].State == job.Waiting && en.interrupted(ref) && !en.rests.resting(ref, now) {
				list = append(list, expectation{en: en, st: st, waits: true})
			}
		}
	}
	return list
}

// expectOrphans adds the job's tasks on workers that were not seen since the takeover.
func (en *entry) expectOrphans(list []expectation) []expectation {
	for _, ref := range en.orphans {
		if st := &en.jo.Spec.Steps[ref.Step]; st.Endless {
			list = append(list, expectation{en: en, st: st})
		}
	}
	return list
}
