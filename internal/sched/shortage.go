package sched

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// shortage explains why the tasks of a step fit on no worker: which worker lacks the least
// capacity and what uses its capacity, and which workers have enough capacity but may not be
// used.
type shortage struct {
	st      *job.Step
	nearest *workerState
	// shortfall is what the nearest worker lacks, as a share of what the step needs.
	shortfall float64
	// excluded counts the workers that have enough capacity but may not be used, by reason.
	excluded map[string]int
}

// findShortage compares the step's needs with all workers that it may run on.
func (ow *Owner) findShortage(tj *trackedJob, step int, now time.Time) shortage {
	st := &tj.jo.Spec.Steps[step]
	sh := shortage{st: st, excluded: map[string]int{}}
	for wk := range ow.allWorkers() {
		ca := newCandidate(wk)
		if !ca.suitable(tj, st) {
			continue
		}
		if why := cmp.Or(wk.unavailableReason(now), wk.exclusionReason(tj, step)); why != "" {
			if st.Reserved().Fits(ca.free) {
				sh.excluded[why]++
			}
			continue
		}
		if missing := shortfall(st.Reserved(), ca.free); sh.nearest == nil || missing < sh.shortfall {
			sh.nearest, sh.shortfall = wk, missing
		}
	}
	return sh
}

// Reasons why a worker that accepts new tasks accepts none of a step.
const (
	// exclusionEarmarked: its capacity is earmarked for a long-running task.
	exclusionEarmarked = "kept"
	// exclusionSpread: it already runs as many tasks of the step as one worker may.
	exclusionSpread = "apart"
)

// exclusionReason returns why a worker that accepts new tasks accepts none of the step, or an
// empty string if it does.
func (wk *workerState) exclusionReason(tj *trackedJob, step int) string {
	st := &tj.jo.Spec.Steps[step]
	switch {
	case wk.isEarmarked() && !st.Filler && tj.waitingInterrupted(step) == 0:
		return exclusionEarmarked
	case st.MaxPerWorker > 0 && tj.countAt(step, wk) >= st.MaxPerWorker:
		return exclusionSpread
	}
	return ""
}

// shortfall returns the part of the need that is not free, for the resource that lacks the
// largest part. It is zero or less if the need fits.
func shortfall(need, free worker.Resources) float64 {
	return max(
		share(need.MilliCores-free.MilliCores, need.MilliCores),
		share(need.MemMB-free.MemMB, need.MemMB),
		share(need.Accels-free.Accels, need.Accels),
	)
}

// attrs returns the shortage as attributes of a log line.
func (sh shortage) attrs() []slog.Attr {
	need := sh.st.Reserved()
	list := []slog.Attr{
		slog.Int64("need_millicores", need.MilliCores), slog.Int64("need_mem_mb", need.MemMB),
		slog.String("barred", formatCounts(sh.excluded)),
	}
	if sh.nearest == nil {
		return append(list, slog.String("best", "none"))
	}
	free := sh.nearest.Capacity.Sub(sh.nearest.reserved)
	return append(list,
		slog.String("best", sh.nearest.incarnation.String()),
		slog.Int64("free_millicores", free.MilliCores), slog.Int64("free_mem_mb", free.MemMB),
		slog.Int64("passing_millicores", sh.nearest.finiteReserved.MilliCores), slog.Int64("passing_mem_mb", sh.nearest.finiteReserved.MemMB),
		slog.Int64("stopping_millicores", sh.nearest.stopping().MilliCores), slog.Int("attempts", len(sh.nearest.attempts)),
	)
}

// formatCounts formats counts as "name:count", sorted by name.
func formatCounts[K ~string](counts map[K]int) string {
	list := make([]string, 0, len(counts))
	for name, n := range counts {
		list = append(list, fmt.Sprintf("%s:%d", name, n))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// stopping returns the resources held by attempts that are being stopped.
func (wk *workerState) stopping() worker.Resources {
	var sum worker.Resources
	for at := range wk.allAttempts() {
		if !at.haltSentAt.IsZero() {
			sum = sum.Add(at.step().Reserved())
		}
	}
	return sum
}
