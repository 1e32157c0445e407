package tenure

// OwnerRow is the content of the owner's row.
type OwnerRow struct {
	// Owner and Process name the entry host and its process; an empty Owner
	// has released the cell.
	Owner   string `json:"owner,omitempty"`
	Process string `json:"process,omitempty"`
	// Addr is where the owner takes requests of other entry hosts.
	Addr string `json:"addr,omitempty"`
	// MostCores is the most processor that the host of an owner had so far, in
	// cores; 0 is not known.
	MostCores float64 `json:"most_cores,omitempty"`
	// Epoch counts owners.
	Epoch int64 `json:"epoch"`
	// LeaseLapseMS says, in the row of a cell that was released, after how many
	// milliseconds at the latest the leases of workers lapse that did not
	// answer, by incarnation.
	LeaseLapseMS map[string]int64 `json:"silent_ms,omitempty"`
	// Alone is set, in the row of a cell that was released, if all owners before
	// the one that released it had ceased to act.
	FormerCeased bool `json:"alone,omitempty"`
	// Bounded is set if this owner and all before it keep to LeaseLimit, or to WitnessedLeaseLimit with
	// the help of the witnesses that they name: those of earlier versions did not.
	Bounded bool `json:"bounded_by_witnesses,omitempty"`
}

// bounds reports whether leases keep to LeaseLimit that owners tell who follow on this one.
// They may not be said to where an owner of an earlier version may still have told one.
func (or OwnerRow) boundsSuccessors() bool {
	return or.Bounded || or.Owner == "" && (or.FormerCeased || or.Epoch == 0)
}

// beatRow is the content of the heartbeat's row.
type beatRow struct {
	Epoch int64 `json:"epoch"`
	N     int64 `json:"n"`
	// Alone is set once all owners before this one have ceased to act.
	FormerCeased bool `json:"alone,omitempty"`
}
