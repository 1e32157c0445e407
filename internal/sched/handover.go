package sched

import (
	"maps"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Handover returns, by incarnation, the milliseconds after which the leases of unresponsive
// workers have expired at the latest. The next owner need not wait longer than that. It can
// be called before and after [Owner.Run] has returned.
func (ow *Owner) Handover() map[string]int64 {
	ow.handoverMu.Lock()
	defer ow.handoverMu.Unlock()
	leases := maps.Clone(ow.handoverLeaseMS)
	if ow.inheritedAt.IsZero() {
		return leases
	}
	passed := time.Since(ow.inheritedAt).Milliseconds()
	for incarnation, ms := range leases {
		leases[incarnation] = max(ms-passed, 0)
	}
	return leases
}

// maxStatedLeaseMS is more than any lease may have left.
const maxStatedLeaseMS = int64(time.Hour / time.Millisecond)

// dropInvalidLeases removes the former owner's lease bounds that cannot be true, so that their workers
// count as ones of which nothing is stated.
func (ow *Owner) dropInvalidLeases() {
	for incarnation, ms := range ow.Tenure.Former.LeaseLapseMS {
		if ms < 0 || ms > maxStatedLeaseMS {
			delete(ow.Tenure.Former.LeaseLapseMS, incarnation)
			ow.Log.Error("former owner states an impossible lease", "worker", incarnation, "remaining_ms", ms)
		}
	}
}

// recordInheritedLeases has [Owner.Handover] return the former owner's values, less the time
// since, until this owner has values of its own: its tenure may end before it has read the
// cell.
func (ow *Owner) recordInheritedLeases(now time.Time) {
	ow.handoverMu.Lock()
	defer ow.handoverMu.Unlock()
	ow.handoverLeaseMS, ow.inheritedAt = maps.Clone(ow.Tenure.Former.LeaseLapseMS), now
}

// clearUnresponsive removes a worker that answers from what the next owner receives, because
// its leases are about to be extended.
func (ow *Owner) clearUnresponsive(wk *workerState) {
	ow.handoverMu.Lock()
	defer ow.handoverMu.Unlock()
	delete(ow.handoverLeaseMS, wk.incarnation.String())
}

// recordUnresponsive updates what [Owner.Handover] returns.
func (ow *Owner) recordUnresponsive(now time.Time) {
	leases := map[string]int64{}
	for _, wk := range ow.scan.silent {
		if len(wk.attempts) == 0 || wk.settled && wk.failingSince.IsZero() || wk.leasesUnknown() {
			continue
		}
		leases[wk.incarnation.String()] = wk.leaseRemainingMS(now)
	}
	for incarnation := range ow.unowned {
		if !ow.formerLeasesUnknown(incarnation) {
			leases[incarnation.String()] = max(ow.incarnationLeases(incarnation).until.Sub(now).Milliseconds(), 0)
		}
	}
	ow.handoverMu.Lock()
	defer ow.handoverMu.Unlock()
	ow.handoverLeaseMS, ow.inheritedAt = leases, time.Time{}
}

// leasesUnknown reports whether this owner has only the bound of [Owner.formerLeasesUnknown] for the
// leases of an unsettled worker.
func (wk *workerState) leasesUnknown() bool {
	if wk.settled || !wk.ow.formerLeasesUnknown(wk.incarnation) {
		return false
	}
	for at := range wk.allAttempts() {
		if at.earlier != nil && !at.earlier.endedBy.IsZero() {
			return false
		}
	}
	return true
}

// formerLeasesUnknown reports whether nothing is known yet of the leases that former owners extended
// at a worker, so that only the bound holds that depends on no answer. The next owner has that bound
// too and may soon know better, so it is not handed over.
func (ow *Owner) formerLeasesUnknown(incarnation worker.Incarnation) bool {
	te := &ow.Tenure
	_, stated := te.Former.LeaseLapseMS[incarnation.String()]
	unconfirmed := te.FormerUnconfirmedSince != nil && te.FormerUnconfirmedSince().IsZero()
	reported := te.FormerLeasesEnd != nil && !te.FormerLeasesEnd().IsZero()
	return unconfirmed && !stated && !reported && te.FormerEnded().IsZero()
}

// leaseRemainingMS returns the milliseconds until the worker's leases have expired by the
// slowest clock if they are no longer extended. Polls in flight may have extended them once
// more since the last recorded value; the result allows for that.
func (wk *workerState) leaseRemainingMS(now time.Time) int64 {
	if !wk.settled || !wk.restartSeenAt.IsZero() {
		return max(wk.leaseBound(now).until.Sub(now).Milliseconds(), 0)
	}
	earliest := wk.earliestClock(now)
	left := float64(wk.leaseUntilMS-earliest) / (1 - clockDrift)
	if now.Sub(wk.failingSince) < extendUnresponsive+pollGrace {
		left = float64(wk.ow.Limits.MaxLease.Milliseconds()) / (1 - clockDrift)
	}
	return max(int64(left)+lapseMargin.Milliseconds(), 0)
}
