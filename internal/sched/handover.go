package sched

import (
	"maps"
	"time"
)

// Handover returns, once [Owner.Run] has returned or before that, after how many
// milliseconds at the latest the leases of workers lapse that do not answer, by
// incarnation. The next owner need not wait for longer.
func (ow *Owner) Handover() map[string]int64 {
	ow.handing.Lock()
	defer ow.handing.Unlock()
	silent := maps.Clone(ow.silent)
	if ow.given.IsZero() {
		return silent
	}
	passed := time.Since(ow.given).Milliseconds()
	for incarnation, ms := range silent {
		silent[incarnation] = max(ms-passed, 0)
	}
	return silent
}

// noteGiven has [Owner.Handover] return what the former owner handed on, less the time
// since, until this one has looked for itself: it may end before it has read the cell.
func (ow *Owner) noteGiven(now time.Time) {
	ow.handing.Lock()
	defer ow.handing.Unlock()
	ow.silent, ow.given = maps.Clone(ow.Tenure.Former.SilentMS), now
}

// noteAnswer takes a worker that answers off what the next owner is told: its
// leases are about to be extended.
func (ow *Owner) noteAnswer(ho *workerState) {
	ow.handing.Lock()
	defer ow.handing.Unlock()
	delete(ow.silent, ho.incarnation.String())
}

// noteSilent keeps what [Owner.Handover] returns.
func (ow *Owner) noteSilent(now time.Time) {
	silent := map[string]int64{}
	for incarnation, ho := range ow.hosts {
		if len(ho.attempts) > 0 && (!ho.settled || !ho.failingSince.IsZero()) {
			silent[incarnation.String()] = ho.lapseIn(now)
		}
	}
	for incarnation := range ow.orphans {
		silent[incarnation.String()] = max(ow.formerLeasesUntil(incarnation).Sub(now).Milliseconds(), 0)
	}
	ow.handing.Lock()
	defer ow.handing.Unlock()
	ow.silent, ow.given = silent, time.Time{}
}

// lapseIn returns the milliseconds until the worker's leases have lapsed by the
// slowest clock, if they are not extended any more. Looks on their way may have
// extended them once more since the last note: that is allowed for.
func (ho *workerState) lapseIn(now time.Time) int64 {
	if !ho.settled {
		return max(ho.unsettledUntil().Sub(now).Milliseconds(), 0)
	}
	earliest := ho.earliestClock(now)
	left := float64(ho.leaseUntilMS-earliest) / (1 - clockDrift)
	if now.Sub(ho.failingSince) < extendUnresponsive+pollGrace {
		left = float64(ho.ow.Limits.MaxLease.Milliseconds()) / (1 - clockDrift)
	}
	return max(int64(left)+lapseMargin.Milliseconds(), 0)
}
