package sched

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// IntakeRow is what an entry host writes that cannot reach the owner: a job
// handed in, or the cancellation of one.
type IntakeRow struct {
	// Terms and Spec are of a job that was handed in.
	Terms job.Terms `json:"terms,omitzero"`
	Spec  job.Spec  `json:"spec,omitzero"`
	// Cancel is set for a cancellation.
	Cancel bool `json:"cancel,omitempty"`
}

// IntakePrefix is that of a cell's rows. They are in a part of their own: the
// store writes the rows of one part in turn, and the owner's must not wait
// behind those of all other hosts.
func IntakePrefix(cell string) string { return IntakeTable + "/" + cell + ".in/" }

// IntakeKey names the row of a job that was handed in.
func IntakeKey(cell, id string) string { return IntakePrefix(cell) + id }

// cancelSuffix follows the id in the key of a cancellation.
const cancelSuffix = ".cancel"

// CancelKey names the row of a cancellation.
func CancelKey(cell, id string) string { return IntakeKey(cell, id) + cancelSuffix }

// Import takes over what entry hosts wrote.
func (ow *Owner) Import(rows []store.FeedRow) {
	ow.post(func() {
		for _, row := range rows {
			if !row.Gone {
				ow.importRow(row.Row)
			}
		}
	})
}

func (ow *Owner) importRow(row store.Row) {
	var in IntakeRow
	if err := json.Unmarshal(row.Value, &in); err != nil {
		ow.Log.Error("row of an entry host cannot be read", "key", row.Key, "version", row.Version, "err", err)
		return
	}
	id := lastKeySegment(row.Key)
	if in.Cancel {
		ow.importCancel(id[:len(id)-len(cancelSuffix)])
		return
	}
	en := ow.entries[id]
	if en == nil {
		en = ow.addJob(job.New(id, in.Terms, in.Spec))
		ow.Log.Info("job taken over from an entry host", "job", id, "queue", in.Terms.Queue, "version", row.Version)
	}
	en.onWritten = append(en.onWritten, func() { go ow.clearIntake(IntakeKey(ow.Cell, id)) })
	ow.markDirty(en)
}

// clearIntake removes a row once what it says is in the cell's own rows. If
// that fails the next reading finds the row again, and the job with it.
func (ow *Owner) clearIntake(key string) {
	txn := store.NewTxn()
	txn.Puts = []store.Put{{Key: key, Delete: true}}
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = initialRewriteDelay, time.Second
	for {
		ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
		_, err := ow.Table.CommitFunc(ctx, txn)
		cancel()
		if err == nil {
			return
		}
		ow.Log.Info("intake row not removed yet", "key", key, "err", err)
		if !clock.Sleep(ow.ctx, bo.NextBackOff()) {
			return
		}
	}
}

// importCancel cancels a job. Entry hosts write a cancellation only after they
// saw the job's own row.
func (ow *Owner) importCancel(id string) {
	en := ow.entries[id]
	if en == nil {
		ow.Log.Warn("cancellation of an unknown job", "job", id)
		return
	}
	if !en.jo.State().Final() {
		ow.Log.Info("job cancelled through an entry host", "job", id)
		en.jo.Cancelled = true
		ow.stopFinished(en)
	}
	en.onWritten = append(en.onWritten, func() { go ow.clearIntake(CancelKey(ow.Cell, id)) })
	ow.markDirty(en)
}
