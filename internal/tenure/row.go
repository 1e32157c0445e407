package tenure

import "time"

// ownerRowOverhead is more than the owner's row takes without LeaseLapseMS, in bytes.
const ownerRowOverhead = 4096

// OwnerRow is the content of the owner's row.
type OwnerRow struct {
	// Owner and Process name the entry host and its process. Owner is empty if the cell was
	// released.
	Owner   string `json:"owner,omitempty"`
	Process string `json:"process,omitempty"`
	// Addr is where the owner accepts requests of other entry hosts.
	Addr string `json:"addr,omitempty"`
	// MostCores is the largest number of cores that the host of any owner had so far; 0 if
	// not known.
	MostCores float64 `json:"most_cores,omitempty"`
	// Epoch is incremented with each owner.
	Epoch int64 `json:"epoch"`
	// LeaseLapseMS is set in the row of a released cell. It maps the incarnation of each
	// unresponsive worker to the number of milliseconds after which its lease has lapsed at
	// the latest.
	LeaseLapseMS map[string]int64 `json:"silent_ms,omitempty"`
	// FormerCeased is set in the row of a released cell if all owners before the one that
	// released it had ceased to act.
	FormerCeased bool `json:"alone,omitempty"`
	// Bounded is set if this owner and all before it keep leases within LeaseLimit, or
	// within WitnessedLeaseLimit with the help of the witnesses that they name. Owners of
	// earlier versions did not.
	Bounded bool `json:"bounded_by_witnesses,omitempty"`
	// HeartbeatsConfirm is set if the store confirms this owner only by accepting heartbeats
	// that are conditional on the one before.
	HeartbeatsConfirm bool `json:"heartbeats_confirm,omitempty"`
	// StatesRestarts is set if the rows of jobs state which leases on restarted workers calls
	// to former processes have extended. Owners of earlier versions did not state them.
	StatesRestarts bool `json:"states_restarts,omitempty"`
}

// restartsStatedAfter is how long an owner serves a cell until no lease that is missing from a
// row of an earlier version can still run.
const restartsStatedAfter = time.Minute

// statesRestarts returns StatesRestarts for the owner after the one of this row, which has
// served the cell since the given time.
func (or OwnerRow) statesRestarts(since time.Time) bool {
	return or.StatesRestarts || time.Since(since) >= restartsStatedAfter
}

// boundsSuccessors reports whether the leases of owners after this one may be marked as
// bounded. They may not while an owner of an earlier version may still have extended a
// lease.
func (or OwnerRow) boundsSuccessors() bool {
	return or.Bounded || or.Owner == "" && (or.FormerCeased || or.Epoch == 0)
}

// beatRow is the content of the heartbeat's row.
type beatRow struct {
	Epoch int64 `json:"epoch"`
	N     int64 `json:"n"`
	// FormerCeased is set once all owners before this one have ceased to act.
	FormerCeased bool `json:"alone,omitempty"`
	// StatesRestarts is [OwnerRow.StatesRestarts], for owners whose row lacks it.
	StatesRestarts bool `json:"states_restarts,omitempty"`
}
