package sched

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
)

// Timing of the supervision of a load.
const (
	// loadReportInterval is the time between log lines on a cell that is not loaded yet.
	loadReportInterval = 2 * time.Second
	// maxLoadStall is how long an owner keeps a cell of which it can read nothing although the
	// store confirms its tenure. It is longer than a slow link takes to answer a list.
	maxLoadStall = store.MaxListSilence + time.Second
)

// loadMonitor observes the load of a cell. It ends the tenure of an owner that makes no progress,
// as another host may reach the store better. While the store doesn't confirm the tenure either,
// the other hosts decide, by the missing heartbeats.
type loadMonitor struct {
	ow *Owner

	mu sync.Mutex
	// progressAt is when the store last answered a read of the load.
	progressAt time.Time
}

// observe returns the table with reads that count as progress when they are answered.
func (lm *loadMonitor) observe(table store.Table) store.Table {
	read := table.ReadFunc
	table.ReadFunc = func(ctx context.Context, req store.ReadRequest) (store.ReadReply, error) {
		reply, err := read(ctx, req)
		if err == nil {
			lm.recordProgress(time.Now())
		}
		return reply, err
	}
	return table
}

func (lm *loadMonitor) recordProgress(now time.Time) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.progressAt = now
}

func (lm *loadMonitor) lastProgress() time.Time {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.progressAt
}

// run observes the load until ctx ends.
func (lm *loadMonitor) run(ctx context.Context) {
	ow := lm.ow
	defer ow.Metrics.Set(telemetry.CellLoadAge, 0)
	stalledSince, reportedAt := ow.startedAt, ow.startedAt
	for clock.Sleep(ctx, tickInterval) {
		now := time.Now()
		progress := lm.lastProgress()
		if progress.After(stalledSince) {
			stalledSince = progress
		}
		confirmed := !ow.tenureUnconfirmed(now)
		if !confirmed {
			stalledSince = now
		}
		ow.Metrics.Set(telemetry.CellLoadAge, int64(now.Sub(ow.startedAt).Seconds()))
		if now.Sub(reportedAt) >= loadReportInterval {
			reportedAt = now
			ow.Log.Warn("cell still not loaded", "cell", ow.Cell, "epoch", ow.Tenure.Epoch, "age", now.Sub(ow.startedAt), "stalled", now.Sub(stalledSince), "store_confirms", confirmed)
		}
		if stalled := now.Sub(stalledSince); stalled >= maxLoadStall {
			ow.Log.Error("cell cannot be loaded, leaving it to another host", "cell", ow.Cell, "epoch", ow.Tenure.Epoch, "age", now.Sub(ow.startedAt), "stalled", stalled)
			ow.Tenure.End(fmt.Errorf("load cell %s: no answer for %v: %w", ow.Cell, stalled, tenure.ErrNotLoaded))
			return
		}
	}
}
