// Package capacitywait measures for how long an interrupted task waits although workers have the
// capacity for it, and simulates the checks by which users miss such a task.
//
// A [Wait] is told at each tick how many workers have the capacity. What happens between two ticks is
// not seen, and a task is taken to be missed by as many checks as phases of them would find it.
package capacitywait

import "time"

// MaxWorkers is the largest number of workers for which waits are recorded: for
// capacity on at least one worker, and on at least two.
const MaxWorkers = 2

// Users check at intervals whether an interrupted task runs, and miss it if each of several
// checks in a row finds that it does not while two workers have the capacity. Such checks are
// simulated with all phases, as it is not known when users check.
const (
	checkInterval = 1500 * time.Millisecond
	checkPhases   = int(checkInterval / phaseInterval)
	// phaseInterval is the time between two phases. More phases than ticks of the owner's loop
	// would tell no more.
	phaseInterval = 100 * time.Millisecond
	// missedAfter is the number of checks in a row after which a task is missed.
	missedAfter = 3
)

// Wait is the wait of one interrupted task. Its zero value is ready to use.
type Wait struct {
	observedAt time.Time
	// since has at index n-1 since when at least n workers have had the capacity without
	// interruption, or zero; longest has the longest such time.
	since   [MaxWorkers]time.Time
	longest [MaxWorkers]time.Duration
	// checked numbers the last simulated check. found counts the checks in a row, with each
	// phase, that found the capacity on two workers.
	checked int64
	found   [checkPhases]int
}

// Observe records that the given number of workers, at most [MaxWorkers], have the
// capacity now. It returns the time since the last observation, and how many simulated checks in
// that time find that the task is missed. After a pause of the caller, which does not know what it
// missed, both are 0 and the wait begins anew.
func (wa *Wait) Observe(workers int, now time.Time) (elapsed time.Duration, missed int) {
	if now.Sub(wa.observedAt) > checkInterval {
		wa.observedAt, wa.since = now, [MaxWorkers]time.Time{}
	}
	elapsed = now.Sub(wa.observedAt)
	wa.record(workers, now)
	return elapsed, wa.check(workers, now)
}

// ObservedAt returns the time of the last observation.
func (wa *Wait) ObservedAt() time.Time { return wa.observedAt }

// Longest returns, at index n-1, the longest time for which at least n workers have had the capacity
// without interruption.
func (wa *Wait) Longest() [MaxWorkers]time.Duration { return wa.longest }

// HasCapacity reports whether a worker had the capacity when last observed.
func (wa *Wait) HasCapacity() bool { return !wa.since[0].IsZero() }

// Current returns for how long at least n workers have had the capacity without interruption.
func (wa *Wait) Current(n int, now time.Time) time.Duration {
	if since := wa.since[n-1]; !since.IsZero() {
		return now.Sub(since)
	}
	return 0
}

// record records that the given number of workers have the capacity now.
func (wa *Wait) record(workers int, now time.Time) {
	wa.observedAt = now
	for i := range wa.since {
		switch {
		case workers <= i:
			wa.since[i] = time.Time{}
		case wa.since[i].IsZero():
			wa.since[i] = now
		default:
			wa.longest[i] = max(wa.longest[i], now.Sub(wa.since[i]))
		}
	}
}

// check simulates the checks up to now and returns how many of them find that the task is
// missed.
func (wa *Wait) check(workers int, now time.Time) int {
	missed, last := 0, now.UnixNano()/int64(phaseInterval)
	if last-wa.checked > int64(checkPhases) {
		// This is the first check, or the first one after a pause of the owner.
		wa.checked, wa.found = last-1, [checkPhases]int{}
	}
	for ; wa.checked < last; wa.checked++ {
		found := &wa.found[(wa.checked+1)%int64(checkPhases)]
		*found++
		if workers < MaxWorkers {
			*found = 0
		}
		if *found == missedAfter {
			missed++
		}
	}
	return missed
}
