package sched

import (
	"time"

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
	// basisRestart: orders to an earlier incarnation may be carried out late by this one.
	basisRestart leaseBasis = "restart"
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
