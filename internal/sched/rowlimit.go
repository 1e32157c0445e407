package sched

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// maxRowBytes returns the largest row that the store takes.
func (ow *Owner) maxRowBytes() int { return cmp.Or(ow.Limits.MaxRowBytes, store.MaxRowBytes) }

// encodeProgress returns a job's progress row. If the row doesn't fit although all that may be left
// out is, starts that were not sent are withdrawn; the tasks wait until attempts of the job have
// ended.
func (ow *Owner) encodeProgress(tj *trackedJob) ([]byte, error) {
	limit := ow.maxRowBytes()
	if tj.writeAlone {
		limit /= 2
	}
	now := time.Now()
	tj.jo.RestartLeaseMS, tj.jo.Orders, tj.jo.HostPorts = ow.restartLeaseMS(tj, now), tj.statedOrders(now), tj.statedHostPorts()
	value, om, err := tj.jo.EncodeRow(ow.Tenure.Epoch, limit)
	for errors.Is(err, job.ErrTooLarge) && ow.withdrawStarts(tj) {
		value, om, err = tj.jo.EncodeRow(ow.Tenure.Epoch, limit)
	}
	if om != tj.omitted && err == nil {
		tj.omitted = om
		ow.Log.Warn("row lacks a part of the job's state", "job", tj.jo.ID, "bytes", len(value), "limit", limit, "checkpoints", om.Checkpoints, "losses", om.Losses)
	}
	return value, err
}

// withdrawStarts withdraws half of the starts of a job that no write has contained, and reports
// whether there were any.
func (ow *Owner) withdrawStarts(tj *trackedJob) bool {
	var unwritten []*attempt
	for _, at := range tj.attempts {
		if !at.startWritten && !at.inherited {
			unwritten = append(unwritten, at)
		}
	}
	for _, at := range unwritten[len(unwritten)/2:] {
		ow.recordEnd(tj, at.ref, at.number, job.EndNeverRan, "", "the job's row has no space for its start")
	}
	tj.rowFull = tj.rowFull || len(unwritten) > 0
	ow.recountWaiting(tj)
	return len(unwritten) > 0
}

// handleRefused handles a write that the store refuses for good. The jobs in it are written one by
// one, so that only the one that causes the refusal is affected.
func (ow *Owner) handleRefused(wr *write, err error) {
	ow.writesInFlight--
	ow.recordWriteAnswered()
	ow.Metrics.Add(telemetry.CellWrites, 1, "outcome", "refused")
	key, bytes := wr.txn.LargestRow()
	ow.Log.Error("store refuses a write", "cell", ow.Cell, "jobs", len(wr.jobs), "entries", wr.entries(), "body", wr.txn.BodySize(), "largest_row", key, "bytes", bytes, "err", err)
	for _, jw := range wr.jobs {
		tj := jw.tj
		refusedAlone := tj.writeAlone
		tj.writing, tj.writeAlone, tj.specStored = false, true, jw.specStoredBefore
		tj.onWritten = append(jw.onWritten, tj.onWritten...)
		if refusedAlone {
			ow.setAside(tj, fmt.Errorf("write of job %s: %w", tj.jo.ID, err))
			continue
		}
		ow.markDirty(tj)
		tj.changedAt = jw.changedAt
	}
}

// setAside takes a job that can't be written out of the jobs to be written. A job that was never
// written is refused; any other starts no more tasks, and is written again when it changes.
func (ow *Owner) setAside(tj *trackedJob, err error) {
	ow.Log.Error("job cannot be written", "job", tj.jo.ID, "attempts", len(tj.attempts), "err", err)
	if tj.progressVersion == 0 && !tj.imported {
		ow.withdraw(tj, ReasonTooLarge)
		return
	}
	for ow.withdrawStarts(tj) {
	}
	tj.dirty, tj.unwritable = false, true
	ow.dirtyJobs = slices.DeleteFunc(ow.dirtyJobs, func(other *trackedJob) bool { return other == tj })
	ow.recountWaiting(tj)
}
