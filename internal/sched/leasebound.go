package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// leaseBound is the latest end of any lease on one incarnation of a worker, as far as this
// owner knows.
type leaseBound struct {
	until time.Time
	// basis is what the bound rests on, for the log.
	basis leaseBasis
}

// leaseBasis says what a bound on leases rests on.
type leaseBasis string

// Bases of bounds. Each but basisOwn rests on a rule that other processes keep.
const (
	// basisOwn: the extensions of this owner, which counts them by the worker's clock, and of
	// former owners until the worker accepted this owner's fencing token.
	basisOwn leaseBasis = "own"
	// basisStated: the former owner stated the bound, and extended no lease since.
	basisStated leaseBasis = "stated"
	// basisConfirmed: no owner extends a lease beyond [tenure.LeaseLimit] after its last
	// confirmation.
	basisConfirmed leaseBasis = "confirmed"
	// basisCeased: former owners ceased to extend leases, the last of which may be a whole one.
	basisCeased leaseBasis = "ceased"
	// basisRestart: this incarnation may carry out calls to an earlier one, which extend its
	// leases from their arrival.
	basisRestart leaseBasis = "restart"
	// basisOutstanding: the worker may carry out a start order until [outstanding.MaxDelay] after
	// it was sent, and runs the attempt for a whole lease.
	basisOutstanding leaseBasis = "outstanding"
	// basisEnded: the process that ran the attempt has ended.
	basisEnded leaseBasis = "ended"
)

// later returns the later of two bounds.
func (lb leaseBound) later(other leaseBound) leaseBound {
	if other.until.After(lb.until) {
		return other
	}
	return lb
}

// logArgs returns what a log line says of the bound: how long ago it was reached, what it rests
// on, and how old the process is by the wall clocks of its host and of this one.
func (lb leaseBound) logArgs(incarnation worker.Incarnation, now time.Time) []any {
	args := []any{"rests_on", string(lb.basis), "over_for", now.Sub(lb.until)}
	if incarnation.StartedMS != 0 {
		args = append(args, "process_age", now.Sub(time.UnixMilli(incarnation.StartedMS)))
	}
	return args
}

// formerLeasesLapsed reports whether all attempts that former owners ordered from an
// unreachable worker have ended.
func (ow *Owner) formerLeasesLapsed(incarnation worker.Incarnation, now time.Time) bool {
	return now.After(ow.incarnationLeases(incarnation).until)
}

// formerLeases returns the latest end of the leases on an incarnation that former owners extended
// by its own clock. It is the time that the former owner stated when it released the cell, even
// if its own leases end earlier. Otherwise it is a lease after the last moment at which a former
// owner can have extended one, or the latest end of the leases of former owners if these are
// bounded and that is earlier.
func (ow *Owner) formerLeases(incarnation worker.Incarnation) leaseBound {
	if ms, ok := ow.Tenure.Former.LeaseLapseMS[incarnation.String()]; ok {
		return leaseBound{until: ow.startedAt.Add(time.Duration(ms)*time.Millisecond + lapseMargin), basis: basisStated}
	}
	extended, lapsed := ow.formerLeaseBounds()
	until := ow.wholeLeaseAfter(extended)
	if lapsed = lapsed.Add(lapseMargin); ow.Tenure.Former.Bounded && lapsed.Before(until) {
		return leaseBound{until: lapsed, basis: basisConfirmed}
	}
	return leaseBound{until: until, basis: basisCeased}
}

// wholeLeaseAfter returns when a lease has ended that was extended at the given time by its
// greatest length.
func (ow *Owner) wholeLeaseAfter(extended time.Time) time.Time {
	return extended.Add(ow.wholeLease())
}

// wholeLease returns how long a lease of the greatest length may last.
func (ow *Owner) wholeLease() time.Duration {
	return maxDriftDuration(ow.Limits.MaxLease) + lapseMargin
}

// formerLeaseBounds returns the latest time at which former owners can have extended leases,
// and the latest end of those leases that stay within the confirmation of their owners.
func (ow *Owner) formerLeaseBounds() (extended, lapsed time.Time) {
	te, unconfirmed := &ow.Tenure, ow.startedAt
	if te.FormerUnconfirmedSince != nil {
		unconfirmed = te.FormerUnconfirmedSince()
	}
	extended, lapsed = unconfirmed.Add(tenure.ExtendFor), unconfirmed.Add(maxDriftDuration(tenure.LeaseLimit))
	if unconfirmed.IsZero() {
		latest := ow.startedAt.Add(maxDriftDuration(tenure.WitnessedLeaseLimit))
		extended, lapsed = latest, latest
	}
	if te.FormerLeasesEnd != nil {
		if stated := te.FormerLeasesEnd(); !stated.IsZero() && stated.Before(lapsed) {
			lapsed = stated
		}
	}
	if ended := te.FormerEnded(); !ended.IsZero() && ended.Before(extended) {
		extended = ended
	}
	return extended, lapsed
}
