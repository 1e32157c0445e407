package jobhost

import (
	"context"

	"github.com/pepperhatch/pepperhatch/internal/evacuation"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/platform"
)

// onEvacuations applies the requests to evacuate data centres among rows, and passes those in
// force to the owner of the cell, if this host runs it. If complete is set, the rows are all
// that existed at a version of the table.
func (ho *Host) onEvacuations(rows []store.FeedRow, complete bool, version int64) {
	ho.evacuationMu.Lock()
	defer ho.evacuationMu.Unlock()
	before := ho.evacuations.Current()
	se := ho.evacuations.Apply(platform.DecodeEvacuations(rows), complete, version)
	if se.Equal(before) {
		return
	}
	ho.metrics.Set(telemetry.Evacuations, int64(len(se.DataCentres())))
	if ow := ho.owner.Load(); ow != nil {
		ow.SetEvacuated(se)
	}
}

// readEvacuations reads the requests from the store, and returns those in force, for an owner
// that loads the cell: the watch may not have read them yet.
func (ho *Host) readEvacuations(ctx context.Context) (evacuation.Set, error) {
	// The same rows as the watch reads, as both apply what they read as complete lists.
	listed, version, err := ho.table.ListFrom(ctx, platform.ConfigPrefix)
	if err != nil {
		return evacuation.Set{}, err
	}
	rows := make([]store.FeedRow, len(listed))
	for i, row := range listed {
		rows[i] = store.FeedRow{Row: row}
	}
	ho.onEvacuations(rows, true, version)
	return ho.evacuations.Current(), nil
}

// storeOwner makes the owner of the cell receive changes of evacuations, from those that came
// into force while it loaded the cell.
func (ho *Host) storeOwner(ow *sched.Owner) {
	ho.evacuationMu.Lock()
	defer ho.evacuationMu.Unlock()
	ow.SetEvacuated(ho.evacuations.Current())
	ho.owner.Store(ow)
}
