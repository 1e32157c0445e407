package sched

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// IntakeRow is a request that an entry host stores when it cannot reach the owner: a
// submitted job, or the cancellation of one.
type IntakeRow struct {
	// Terms and Spec are those of a submitted job.
	Terms job.Terms `json:"terms,omitzero"`
	Spec  job.Spec  `json:"spec,omitzero"`
	// Cancel is set for a cancellation.
	Cancel bool `json:"cancel,omitempty"`
}

// IntakePrefix returns the key prefix of a cell's intake rows. They have a partition of their
// own because the store carries out the writes to a partition one after the other, and the
// owner's writes must not wait behind those of all other hosts.
func IntakePrefix(cell string) string { return IntakeTable + "/" + cell + ".in/" }

// IntakeKey returns the key of the row of a submitted job.
func IntakeKey(cell, id string) string { return IntakePrefix(cell) + id }

// cancelSuffix follows the job id in the key of a cancellation.
const cancelSuffix = ".cancel"

// CancelKey returns the key of the row of a cancellation.
func CancelKey(cell, id string) string { return IntakeKey(cell, id) + cancelSuffix }

// Import handles the intake rows that entry hosts wrote.
func (ow *Owner) Import(rows []store.FeedRow) {
	ow.postTo(looplag.Submissions, func() {
		for _, row := range rows {
			if !row.Deleted {
				ow.importRow(row.Row)
			}
		}
	})
}

func (ow *Owner) importRow(row store.Row) {
	ir, id, err := decodeIntake(row)
	if err != nil {
		ow.invalidRows.Report("intake", row.Key, row.Version, err, "the row is left as it is")
		return
	}
	if ow.unreadable[id] {
		return
	}
	if ir.Cancel {
		ow.importCancel(id)
		return
	}
	tj := ow.jobs[id]
	if tj == nil {
		tj = ow.addJob(job.New(id, ir.Terms, ir.Spec))
		ow.admission.controller.Forget(id)
		ow.Log.Info("job imported from the intake of an entry host", "job", id, "queue", ir.Terms.Queue, "version", row.Version)
	}
	tj.imported = true
	tj.onWritten = append(tj.onWritten, func() { go ow.clearIntake(IntakeKey(ow.Cell, id)) })
	ow.markDirty(tj)
}

// decodeIntake decodes an intake row, and returns the id of its job.
func decodeIntake(row store.Row) (IntakeRow, string, error) {
	var ir IntakeRow
	if err := json.Unmarshal(row.Value, &ir); err != nil {
		return ir, "", fmt.Errorf("decode intake row: %w", err)
	}
	id, cancel := strings.CutSuffix(lastKeySegment(row.Key), cancelSuffix)
	switch {
	case !job.ValidID(id):
		return ir, "", fmt.Errorf("%w: key of no job", errInvalidIntake)
	case cancel != ir.Cancel:
		return ir, "", fmt.Errorf("%w: key and value differ in whether it is a cancellation", errInvalidIntake)
	case cancel:
		return ir, id, nil
	}
	if err := ir.Spec.Check(); err != nil {
		return ir, "", fmt.Errorf("decode intake row: %w", err)
	}
	return ir, id, nil
}

// errInvalidIntake is the error of an intake row whose key does not match its value.
var errInvalidIntake = errors.New("invalid intake row")

// clearIntake removes an intake row after its content was written to the cell's own rows. It
// retries until the tenure ends; a next owner that still reads the row finds the job in the
// cell's own rows.
func (ow *Owner) clearIntake(key string) {
	txn := store.NewTxn()
	txn.Puts = []store.Put{{Key: key, Delete: true}}
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval, bo.MaxInterval = initialRewriteDelay, time.Second
	for {
		ctx, cancel := context.WithTimeout(ow.ctx, writeTimeout)
		_, err := ow.Table.CommitFunc(ctx, txn)
		cancel()
		if err == nil || errors.Is(err, store.ErrRefused) {
			return
		}
		ow.Log.Info("intake row not removed yet", "key", key, "err", err)
		if !clock.Sleep(ow.ctx, bo.NextBackOff()) {
			return
		}
	}
}

// importCancel handles a stored cancellation. Entry hosts store a cancellation only after they have seen the
// job's own row.
func (ow *Owner) importCancel(id string) {
	tj := ow.jobs[id]
	if tj == nil {
		ow.Log.Warn("intake has the cancellation of an unknown job", "job", id)
		return
	}
	if !tj.jo.State().Final() {
		ow.Log.Info("job cancelled through an entry host", "job", id)
		tj.jo.Cancelled = true
		ow.stopFinished(tj)
	}
	tj.onWritten = append(tj.onWritten, func() { go ow.clearIntake(CancelKey(ow.Cell, id)) })
	ow.markDirty(tj)
}
