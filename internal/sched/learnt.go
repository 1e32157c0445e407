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
	LearntTable = "learnt"
	// saveEvery is the time between two writes of it: a pair is learnt within 2 to
	// 5 s, and a write of 180 pairs has some 15 KB.
	saveEvery = 4 * time.Second
	// pairsMost bounds the pairs kept, so that the row stays under the store's
	// 64 KiB at some 90 bytes a pair.
	pairsMost = 500
)

// learntRow is what was learnt in a cell.
type learntRow struct {
	Pairs []interfere.Learnt `json:"pairs"`
}

func (ow *Owner) learntKey() string { return LearntTable + "/" + ow.Cell + "/pairs" }

// loadLearnt begins with what the former owner learnt. Without it the owner
// learns anew.
func (ow *Owner) loadLearnt(ctx context.Context) {
	if !ow.uses(MechPersistPairs) {
		return
	}
	lctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var row learntRow
	version, err := ow.Table.Get(lctx, ow.learntKey(), &row)
	if err != nil {
		ow.Log.Warn("what the former owner learnt is not known", "cell", ow.Cell, "err", err)
		return
	}
	ow.model = interfere.FromLearnt(row.Pairs)
	ow.Log.Info("learnt by former owners", "cell", ow.Cell, "pairs", len(row.Pairs), "version", version)
}

// saveLearnt writes what was learnt, if the last write was long enough ago.
func (ow *Owner) saveLearnt(now time.Time) {
	if !ow.uses(MechPersistPairs) || ow.saving || now.Sub(ow.saved) < saveEvery || ow.storeDown() {
		return
	}
	pairs := ow.model.Learnt(pairsMost)
	if len(pairs) == 0 {
		return
	}
	ow.saving, ow.saved = true, now
	value := ow.encode(learntRow{Pairs: pairs})
	go ow.writeLearnt(value)
}

// writeLearnt writes it once, on the condition that this host still owns the
// cell. A write that fails is made up for by the next.
func (ow *Owner) writeLearnt(value json.RawMessage) {
	txn := store.NewTxn()
	txn.Conds = []store.Cond{{Key: ow.Tenure.Key, Version: ow.Tenure.Version}}
	txn.Puts = []store.Put{{Key: ow.learntKey(), Value: value}}
	ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
	defer cancel()
	if _, err := ow.Table.CommitFunc(ctx, txn); err != nil {
		ow.Log.Info("what was learnt is not written", "cell", ow.Cell, "err", err)
	}
	ow.post(func() { ow.saving = false })
}
