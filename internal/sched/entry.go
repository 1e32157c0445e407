package sched

import (
	"math"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// entry is a job with what the owner knows of it besides.
type entry struct {
	ow *Owner
	jo *job.Job
	// order sorts jobs that are alike in all else.
	order int64
	// aimMS is how soon it should be done, hope whether it can be, and work what
	// is left of it.
	aimMS int64
	hope  hope
	work  int64
	// turn sorts jobs of one priority and hope; rank is the place in one order,
	// by size or by age, of which the turn is made.
	turn, rank int
	// progVer is the version of its row of progress, 0 if not written.
	progVer int64
	// specKept is set while there is a row of its spec.
	specKept bool
	// shown is the state last written, empty before the first write.
	shown job.State
	// dirty is set while a change waits to be written, writing while a write
	// is under way.
	dirty, writing bool
	// proofDue is when the row is to be written for what it says of attempts at work, or
	// zero.
	proofDue time.Time
	// removing is set once the rows are to be removed.
	removing bool
	// effects happen once the present state is written.
	effects []func()
	// waiters are callers that handed it in and wait for its first write.
	waiters []func(Verdict)
	// waiting counts tasks that may start now.
	waiting int
	// waitingSince is since when it has had such tasks without one starting.
	waitingSince time.Time
	// attempts has what is known of the attempts that run, or may.
	attempts map[job.TaskRef]*attempt
	// orphans are attempts ordered by former owners on workers not yet seen.
	orphans []job.TaskRef
	// failedOn are the workers on which a task of the job failed.
	failedOn map[worker.Incarnation]bool
	// tracks follow the load of its steps that serve.
	tracks map[int]*interfere.Track
	// endedAt is when it was seen to reach a final state.
	endedAt time.Time
	// acceptedAt is when it was handed in to this owner.
	acceptedAt time.Time
	// stood counts how often attempts of a task were found to stand still.
	stood map[job.TaskRef]int
	// rests has the tasks that last and failed again and again.
	rests rests
	// triedAt is when a worker was last chosen to try a task of it alone.
	triedAt time.Time
	// lack is what the last round of placement lacked for a task that waits.
	lack Cause
	// spent is what its time went to.
	spent timeBreakdown
}

// track returns the track of a step's load.
func (en *entry) track(step int) *interfere.Track {
	tr := en.tracks[step]
	if tr == nil {
		if en.tracks == nil {
			en.tracks = map[int]*interfere.Track{}
		}
		tr = &interfere.Track{}
		en.tracks[step] = tr
	}
	return tr
}

// touch notes that a job has changed: it is to be written, and its waiting
// tasks are counted anew.
func (ow *Owner) touch(en *entry) {
	if !en.dirty {
		en.dirty = true
		ow.dirty = append(ow.dirty, en)
	}
	ow.recount(en)
	ow.due = true
}

// recount counts the tasks that may start now and keeps the list of jobs that
// have any.
func (ow *Owner) recount(en *entry) {
	before := en.waiting
	en.waiting = 0
	if !en.removing {
		for i := range en.jo.Spec.Steps {
			en.waiting += en.waitingOf(i)
		}
	}
	if before == 0 && en.waiting > 0 {
		en.waitingSince = time.Now()
	}
	at, found := slices.BinarySearchFunc(ow.active, en, compareEntries)
	switch {
	case en.waiting > 0 && !found:
		ow.active = slices.Insert(ow.active, at, en)
	case en.waiting == 0 && found:
		ow.active = slices.Delete(ow.active, at, at+1)
	}
}

// waitingOf counts the tasks of a step that may start now.
func (en *entry) waitingOf(step int) int {
	return en.countWaiting(step, func(job.TaskRef) bool { return true })
}

// waitingAgain counts those of them that were interrupted.
func (en *entry) waitingAgain(step int) int { return en.countWaiting(step, en.interrupted) }

func (en *entry) countWaiting(step int, count func(job.TaskRef) bool) int {
	if !en.jo.Ready(step) {
		return 0
	}
	n := 0
	for index := range en.jo.Tasks[step] {
		if ref := (job.TaskRef{Step: step, Index: index}); en.jo.Tasks[step][index].State == job.Waiting && count(ref) {
			n++
		}
	}
	return n
}

// add enters a job.
func (ow *Owner) add(jo *job.Job) *entry {
	ow.seq++
	en := &entry{ow: ow, jo: jo, order: ow.seq, aimMS: jo.AimMS(), turn: math.MaxInt, attempts: map[job.TaskRef]*attempt{}, acceptedAt: time.Now()}
	ow.entries[jo.ID] = en
	return en
}

// end notes the end of an attempt, and reports whether that was news.
func (ow *Owner) end(en *entry, ref job.TaskRef, number int, end job.End, checkpoint, why string) bool {
	if !en.jo.End(ref, number, end, checkpoint) {
		return false
	}
	var incarnation worker.Incarnation
	var seen observation
	if at := en.attempts[ref]; at != nil && at.number == number {
		incarnation, seen = at.ho.incarnation, at.observed()
		at.ho.removeAttempt(at)
		delete(en.attempts, ref)
	}
	if end == job.EndFailed {
		en.spent.failed++
		if en.failedOn == nil {
			en.failedOn = map[worker.Incarnation]bool{}
		}
		en.failedOn[incarnation] = true
		en.rests.failed(en, ref, time.Now())
	}
	ow.Metrics.Add(telemetry.AttemptEnds, 1, "end", string(end))
	ow.Log.Info("attempt ended", "job", en.jo.ID, "task", en.jo.TaskID(ref), "attempt", number, "worker", incarnation, "end", end, "why", why, "state", en.jo.State(),
		"acked", seen.acked, "ran_at_least", seen.ran, "crashes", en.jo.Task(ref).Crashes, "losses", en.jo.Task(ref).Losses)
	ow.logGivenUp(en, ref, end)
	ow.finish(en)
	ow.touch(en)
	return true
}

// endLate takes in an end of an attempt that had been given up.
func (ow *Owner) endLate(en *entry, ref job.TaskRef, number int, end job.End, incarnation worker.Incarnation) {
	switch end {
	case job.EndDone:
		ow.doneLate(en, ref, number, incarnation)
	case job.EndFailed:
		ow.failedLate(en, ref, number, incarnation)
	}
}

// failedLate notes that an attempt which had been given up had failed. If that was one
// failure too many, an attempt that was to follow is taken back if no order was sent of it.
func (ow *Owner) failedLate(en *entry, ref job.TaskRef, number int, incarnation worker.Incarnation) {
	if !en.jo.FailedLate(ref, number) {
		return
	}
	ow.Metrics.Add(telemetry.AttemptEnds, 1, "end", "failed-late")
	ow.Log.Info("attempt that was given up had failed", "job", en.jo.ID, "task", en.jo.TaskID(ref), "attempt", number, "worker", incarnation,
		"failures", en.jo.Task(ref).Failures, "state", en.jo.State())
	if at := en.attempts[ref]; at != nil && en.jo.Exhausted(ref) && !at.ordered && !at.inherited {
		ow.end(en, ref, at.number, job.EndNever, "", "an attempt before it had failed")
	} else {
		ow.logGivenUp(en, ref, job.EndFailed)
	}
	ow.finish(en)
	ow.touch(en)
}

// doneLate notes that an attempt which had been given up was done all the same. An
// attempt that was to follow it is taken back if no order was sent of it, and stopped
// otherwise.
func (ow *Owner) doneLate(en *entry, ref job.TaskRef, number int, incarnation worker.Incarnation) {
	if at := en.attempts[ref]; at != nil && at.number > number && !at.ordered && !at.inherited {
		ow.end(en, ref, at.number, job.EndNever, "", "an attempt before it was done")
	}
	if !en.jo.DoneLate(ref, number) {
		return
	}
	ow.Metrics.Add(telemetry.AttemptEnds, 1, "end", "done-late")
	ow.Log.Info("attempt that was given up was done", "job", en.jo.ID, "task", en.jo.TaskID(ref), "attempt", number, "worker", incarnation, "state", en.jo.State())
	if at := en.attempts[ref]; at != nil {
		en.effects = append(en.effects, func() { ow.halt(at, "an attempt before it was done") })
	}
	ow.finish(en)
	ow.touch(en)
}

// finish stops what still runs of a job that is over.
func (ow *Owner) finish(en *entry) {
	if !en.jo.State().Final() {
		return
	}
	if en.endedAt.IsZero() {
		en.endedAt = time.Now()
		ow.logJobTime(en, en.endedAt)
	}
	for _, at := range en.attempts {
		en.effects = append(en.effects, func() { ow.halt(at, "job "+string(en.jo.State())) })
	}
}
