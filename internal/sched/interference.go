package sched

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// The owner stores the interference that it learnt for pairs of images. Otherwise the next
// owner would place fillers where they harm services for some seconds, until it has learnt the
// interference again.
const (
	// InterferenceTable is the table of the row.
	InterferenceTable = "learnt"
	// saveInterval is the time between two writes: a pair is learnt within 2 to 5 s, and a
	// write of 180 pairs has about 15 KB.
	saveInterval = 4 * time.Second
	// maxPairs bounds the pairs that are stored.
	maxPairs = 500
)

// interferenceRow is the stored row of the interference learnt in a cell.
type interferenceRow struct {
	Pairs []interfere.PairEstimate `json:"pairs"`
}

func (ow *Owner) interferenceKey() string { return InterferenceTable + "/" + ow.Cell + "/pairs" }

// loadInterference reads the interference that former owners learnt. If the row cannot be read,
// this owner learns it again.
func (ow *Owner) loadInterference(ctx context.Context) {
	if !ow.enabled(MechPersistPairs) {
		return
	}
	lctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var row interferenceRow
	version, err := ow.Table.Get(lctx, ow.interferenceKey(), &row)
	if err != nil {
		ow.Log.Warn("what the former owner learnt is not known", "cell", ow.Cell, "err", err)
		return
	}
	ow.model = interfere.Restore(row.Pairs)
	ow.Log.Info("loaded the interference learnt by former owners", "cell", ow.Cell, "pairs", len(row.Pairs), "version", version)
}

// saveInterference writes the learnt interference, at most every saveInterval.
func (ow *Owner) saveInterference(now time.Time) {
	if !ow.enabled(MechPersistPairs) || ow.savingModel || now.Sub(ow.modelSavedAt) < saveInterval || ow.storeDown() {
		return
	}
	pairs := ow.model.Estimates(maxPairs)
	if len(pairs) == 0 {
		return
	}
	ow.savingModel, ow.modelSavedAt = true, now
	value, _, err := store.FitRow(pairs, ow.maxRowBytes(), func(list []interfere.PairEstimate) any { return interferenceRow{Pairs: list} })
	if err != nil {
		ow.Log.Error("cannot encode the learnt interference", "cell", ow.Cell, "err", err)
	}
	go ow.writeInterference(value)
}

// writeInterference tries once to write the row, on the condition that this host still owns
// the cell. After a failure, the next save includes the same data.
func (ow *Owner) writeInterference(value json.RawMessage) {
	txn := store.NewTxn()
	txn.Conds = []store.Cond{{Key: ow.Tenure.Key, Version: ow.Tenure.Version}}
	txn.Puts = []store.Put{{Key: ow.interferenceKey(), Value: value}}
	ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
	defer cancel()
	if _, err := ow.Table.CommitFunc(ctx, txn); err != nil {
		ow.Log.Info("cannot write the learnt interference", "cell", ow.Cell, "err", err)
	}
	ow.postTo(looplag.Writes, func() { ow.savingModel = false })
}
