package sched

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// What an owner learnt of pairs of images is kept for the next one, which else
// would disturb services for seconds while it learns all anew.
const (
	// LearntTable has it.
	InterferenceTable = "learnt"
	// saveEvery is the time between two writes of it: a pair is learnt within 2 to
	// 5 s, and a write of 180 pairs has some 15 KB.
	saveInterval = 4 * time.Second
	// pairsMost bounds the pairs kept, so that the row stays under the store's
	// 64 KiB at some 90 bytes a pair.
	maxPairs = 500
)

// learntRow is what was learnt in a cell.
type interferenceRow struct {
	Pairs []interfere.Learnt `json:"pairs"`
}

func (ow *Owner) interferenceKey() string { return InterferenceTable + "/" + ow.Cell + "/pairs" }

// loadLearnt begins with what the former owner learnt. Without it the owner
// learns anew.
func (ow *Owner) loadInterference(ctx context.Context) {
	if !ow.uses(MechHandOn) {
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
	ow.model = interfere.FromLearnt(row.Pairs)
	ow.Log.Info("learnt by former owners", "cell", ow.Cell, "pairs", len(row.Pairs), "version", version)
}

// saveLearnt writes what was learnt, if the last write was long enough ago.
func (ow *Owner) saveInterference(now time.Time) {
	if !ow.uses(MechHandOn) || ow.savingModel || now.Sub(ow.modelSavedAt) < saveInterval || ow.storeDown() {
		return
	}
	pairs := ow.model.Learnt(maxPairs)
	if len(pairs) == 0 {
		return
	}
	ow.savingModel, ow.modelSavedAt = true, now
	value := ow.encode(interferenceRow{Pairs: pairs})
	go ow.writeInterference(value)
}

// writeLearnt writes it once, on the condition that this host still owns the
// cell. A write that fails is made up for by the next.
func (ow *Owner) writeInterference(value json.RawMessage) {
	txn := store.NewTxn()
	txn.Conds = []store.Cond{{Key: ow.Tenure.Key, Version: ow.Tenure.Version}}
	txn.Puts = []store.Put{{Key: ow.interferenceKey(), Value: value}}
	ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
	defer cancel()
	if _, err := ow.Table.CommitFunc(ctx, txn); err != nil {
		ow.Log.Info("what was learnt is not written", "cell", ow.Cell, "err", err)
	}
	ow.post(func() { ow.savingModel = false })
}
