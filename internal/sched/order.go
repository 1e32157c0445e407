package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

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
	if en.aimMS <= 0 || en.jo.Endless() || !en.ow.uses(MechFeasibleFirst) {
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
		en.hope, en.work = en.judge(now), en.remainingWork()
	}
	for _, en := range ow.active {
		en.turn = math.MaxInt
	}
	if ow.uses(MechLeastWork) {
		ow.takeTurns(1, func(a, b *entry) int { return cmp.Compare(a.work, b.work) })
	}
	if ow.uses(MechTurnsByAge) {
		ow.takeTurns(bySizePerAge, func(a, b *entry) int { return cmp.Compare(a.order, b.order) })
	}
	slices.SortFunc(ow.active, compareEntries)
}

// remainingWork is the work that is left of the job. That of endless tasks has no
// end, so among jobs of a priority they take their turn by age: a short task that
// waits behind them is late, while they lose as much as they wait.
func (en *entry) remainingWork() int64 {
	if en.jo.Endless() {
		return math.MaxInt64
	}
	return en.jo.RemainingWork()
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
