package sched

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/speed"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// The owner stores the learnt ratios of true to estimated times, in a row beside that of the
// interference. Slowdowns of workers are not stored, as they change within seconds.
const (
	// saveDurationsInterval is the time between two writes. A kind changes slowly.
	saveDurationsInterval = 10 * time.Second
	// maxStoredKinds bounds the kinds that are stored.
	maxStoredKinds = 128
)

// durations holds the model of task durations, and the state of its row.
type durations struct {
	model speed.Model
	// savedAt is when the model was last written, savedEnds how many ends it had observed then,
	// and saving is set while a write is in flight.
	savedAt   time.Time
	savedEnds int64
	saving    bool
	// version is the version of the row, or unknownVersion.
	version int64
}

// unknownVersion stands for the version of a row that could not be read, or whose last write
// had an unknown outcome.
const unknownVersion = -1

// durationsRow is the stored row of the ratios learnt in a cell.
type durationsRow struct {
	Kinds []speed.KindEstimate `json:"kinds"`
}

func (ow *Owner) durationsKey() string { return InterferenceTable + "/" + ow.Cell + "/durations" }

// storedDurations is the row as it was read.
type storedDurations struct {
	durationsRow

	version int64
}

// readDurations reads the row, concurrently with the other reads of a takeover, and returns a
// channel that receives it. If it cannot be read, this owner learns the durations again.
func (ow *Owner) readDurations(ctx context.Context) <-chan storedDurations {
	stored := make(chan storedDurations, 1)
	if !ow.enabled(MechPersistDurations) {
		stored <- storedDurations{}
		return stored
	}
	go func() {
		lctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		var row durationsRow
		version, err := ow.Table.Get(lctx, ow.durationsKey(), &row)
		if err != nil {
			ow.Log.Warn("the learnt durations are not known", "cell", ow.Cell, "err", err)
			stored <- storedDurations{version: unknownVersion}
			return
		}
		ow.Log.Info("loaded the learnt durations", "cell", ow.Cell, "kinds", len(row.Kinds), "version", version)
		stored <- storedDurations{durationsRow: row, version: version}
	}()
	return stored
}

// restoreDurations begins with the ratios that former owners learnt.
func (ow *Owner) restoreDurations(stored storedDurations) {
	ow.durations.model, ow.durations.version = speed.Restore(stored.Kinds, time.Now()), stored.version
}

// saveDurations writes the learnt ratios if there are new observations, at most every
// saveDurationsInterval.
func (ow *Owner) saveDurations(now time.Time) {
	du := &ow.durations
	if !ow.enabled(MechPersistDurations) || du.saving || now.Sub(du.savedAt) < saveDurationsInterval || ow.storeDown() {
		return
	}
	ends := du.model.Ends()
	if ends == du.savedEnds {
		return
	}
	du.savedAt = now
	kinds := du.model.Estimates(maxStoredKinds)
	if len(kinds) == 0 {
		return
	}
	_, n, err := store.FitRow(kinds, ow.maxRowBytes(), func(list []speed.KindEstimate) any { return durationsRow{Kinds: list} })
	if err != nil || n == 0 {
		ow.Log.Error("learnt durations don't fit into a row", "cell", ow.Cell, "kinds", len(kinds), "err", err)
		return
	}
	du.saving = true
	go ow.writeDurations(durationsRow{Kinds: kinds[:n]}, du.version, ends)
}

// writeDurations writes the row, on the conditions that this host still owns the cell and that
// the row has the version. After a failure, the next save includes the same data.
func (ow *Owner) writeDurations(row durationsRow, version, ends int64) {
	ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
	defer cancel()
	version, err := ow.settleDurations(ctx, row, version)
	if err != nil {
		ow.Log.Info("cannot write the learnt durations", "cell", ow.Cell, "err", err)
		version = unknownVersion
	}
	ow.postTo(looplag.Writes, func() {
		ow.durations.saving, ow.durations.version = false, version
		if err == nil {
			ow.durations.savedEnds = ends
		}
	})
}

// settleDurations writes the row and returns its new version.
func (ow *Owner) settleDurations(ctx context.Context, row durationsRow, version int64) (int64, error) {
	if version == unknownVersion {
		var err error
		if version, err = ow.Table.Get(ctx, ow.durationsKey(), &durationsRow{}); err != nil && !errors.Is(err, store.ErrUndecodable) {
			return 0, fmt.Errorf("read version: %w", err)
		}
	}
	txn, err := store.NewTxn().WithPut(ow.durationsKey(), version, row)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	txn.Conds = append(txn.Conds, store.Cond{Key: ow.Tenure.Key, Version: ow.Tenure.Version})
	return ow.Table.Settle(ctx, txn)
}
