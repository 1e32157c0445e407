package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
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
	// shown is the state last written, empty before the first write.
	shown job.State
	// dirty is set while a change waits to be written, writing while a write
	// is under way.
	dirty, writing bool
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
	failedOn map[string]bool
	// tracks follow the load of its steps that serve.
	tracks map[int]*interfere.Track
	// endedAt is when it was seen to reach a final state.
	endedAt time.Time
	// acceptedAt is when it was handed in to this owner.
	acceptedAt time.Time
	// lack is what the last round of placement lacked for a task that waits.
	lack Cause
	// spent is what its time went to.
	spent spent
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

// attempt is what the owner knows of an attempt that runs, or may.
type attempt struct {
	ref    job.TaskRef
	number int
	ho     *host
	// en is its job.
	en *entry
	// launched is when the worker acknowledged the order, or zero.
	launched time.Time
	// inherited is set if a former owner ordered it.
	inherited bool
	// settling is set while it is found out what became of an order without
	// an answer.
	settling bool
	// halted is when an order to stop it was last sent, or zero.
	halted time.Time
	// percent is how far it has come, usage the last figure.
	percent int
	usage   int64
	// movedAt is when it was last seen to get on, still counts the looks since.
	movedAt time.Time
	still   int
	// replica is what was learnt of a service.
	replica interfere.Replica
	// overSince is since when a service is over its target.
	overSince time.Time
	// overLast is when it last was.
	overLast time.Time
	// pace is the share of its speed that it was told, in per cent, or
	// unknownPace.
	pace int
	// pacing is set while an order to set the pace is under way.
	pacing bool
	// heldSince is since when a filler's pace is so low that it hardly works.
	heldSince time.Time
	// pacedAt is when its pace last changed.
	pacedAt time.Time
	// uses is the part of its declared processor time that a filler uses at full
	// speed, or 0 if that is not known.
	uses float64
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
	if !en.jo.Ready(step) {
		return 0
	}
	n := 0
	for i := range en.jo.Tasks[step] {
		if en.jo.Tasks[step][i].State == job.Waiting {
			n++
		}
	}
	return n
}

// compareEntries sorts by priority, then by hope, then by turn.
func compareEntries(a, b *entry) int {
	return cmp.Or(compareGroups(a, b), cmp.Compare(a.turn, b.turn), cmp.Compare(a.order, b.order))
}

// compareGroups sorts by priority, then by hope.
func compareGroups(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.jo.Terms.Priority, b.jo.Terms.Priority), cmp.Compare(a.hope, b.hope))
}

// hope says what a job is still worth to its caller. Where there is too little
// room for all, those that can be in time go before those that cannot.
type hope int8

// The degrees of hope.
const (
	inTime hope = iota
	late
	tooLate
)

// lateMost is how many times its aim a job may take and still be worth
// something, as the users state it.
const lateMost = 3

// judge returns the job's hope at a moment.
func (en *entry) judge(now time.Time) hope {
	// An endless task is worth something at any time.
	if en.aimMS <= 0 || en.jo.Endless() || !en.ow.uses(MechHope) {
		return inTime
	}
	done := now.Sub(en.acceptedAt).Milliseconds() + en.jo.RemainingMS()
	switch {
	case done <= en.aimMS:
		return inTime
	case done <= lateMost*en.aimMS:
		return late
	}
	return tooLate
}

// sortActive sorts the jobs that wait by what is known of them now. With too
// little room for all, more jobs are in time if the small ones go first and those
// that have begun are finished; but large ones must not starve. So two take their
// turn by the work that is left for one that does by its age.
func (ow *Owner) sortActive(now time.Time) {
	for _, en := range ow.active {
		en.hope, en.work = en.judge(now), en.jo.RemainingWork()
	}
	for _, en := range ow.active {
		en.turn = math.MaxInt
	}
	if ow.uses(MechLeastWork) {
		ow.takeTurns(1, func(a, b *entry) int { return cmp.Compare(a.work, b.work) })
	}
	if ow.uses(MechByAge) {
		ow.takeTurns(bySizePerAge, func(a, b *entry) int { return cmp.Compare(a.order, b.order) })
	}
	slices.SortFunc(ow.active, compareEntries)
}

// takeTurns ranks the jobs, and gives each the turn of its rank, times every, if
// it is earlier than the one it has.
func (ow *Owner) takeTurns(every int, compare func(a, b *entry) int) {
	ow.rank(compare)
	for _, en := range ow.active {
		en.turn = min(en.turn, every*en.rank)
	}
}

// rank ranks each job among those of its priority and hope.
func (ow *Owner) rank(compare func(a, b *entry) int) {
	slices.SortFunc(ow.active, func(a, b *entry) int {
		return cmp.Or(compareGroups(a, b), compare(a, b), cmp.Compare(a.order, b.order))
	})
	for i, en := range ow.active {
		en.rank = 0
		if i > 0 && compareGroups(ow.active[i-1], en) == 0 {
			en.rank = ow.active[i-1].rank + 1
		}
	}
}

// bySizePerAge is how many jobs take their turn by size for one that does by
// age: with none by age the largest tenth was served under half as often as all.
const bySizePerAge = 2

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
	incarnation := ""
	if at := en.attempts[ref]; at != nil && at.number == number {
		incarnation = at.ho.incarnation
		at.ho.drop(at)
		delete(en.attempts, ref)
	}
	if end == job.EndFailed {
		en.spent.failed++
		if en.failedOn == nil {
			en.failedOn = map[string]bool{}
		}
		en.failedOn[incarnation] = true
	}
	ow.Metrics.Add(telemetry.AttemptEnds, 1, "end", string(end))
	ow.Log.Info("attempt ended", "job", en.jo.ID, "task", en.jo.TaskID(ref), "attempt", number, "worker", incarnation, "end", end, "why", why, "state", en.jo.State())
	ow.finish(en)
	ow.touch(en)
	return true
}

// finish stops what still runs of a job that is over.
func (ow *Owner) finish(en *entry) {
	if !en.jo.State().Final() {
		return
	}
	if en.endedAt.IsZero() {
		en.endedAt = time.Now()
		ow.tellTime(en, en.endedAt)
	}
	for _, at := range en.attempts {
		en.effects = append(en.effects, func() { ow.halt(at, "job "+string(en.jo.State())) })
	}
}
