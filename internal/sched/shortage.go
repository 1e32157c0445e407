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

// shortage is why the tasks of a step find no room: what the worker that comes nearest
// has, what holds the rest of it, and which workers have room but may not be used.
type shortage struct {
	st   *job.Step
	best *workerState
	// lacks is what the best one lacks, as a share of what the step needs.
	lacks float64
	// barred counts the workers with enough room that may not be used, by reason.
	barred map[string]int
}

// findShortage looks at all workers that the step may run on.
func (ow *Owner) findShortage(en *entry, step int, now time.Time) shortage {
	st := &en.jo.Spec.Steps[step]
	sh := shortage{st: st, barred: map[string]int{}}
	for _, ho := range ow.sortedWorkers() {
		ca := newCandidate(ho, now)
		if !ca.suitable(en, st) {
			continue
		}
		if why := cmp.Or(ho.unavailableReason(now), ho.refuses(en, step)); why != "" {
			if st.Reserved().Fits(ca.free) {
				sh.barred[why]++
			}
			continue
		}
		if lacks := lacking(st.Reserved(), ca.free); sh.best == nil || lacks < sh.lacks {
			sh.best, sh.lacks = ho, lacks
		}
	}
	return sh
}

// Reasons why a worker that gets new tasks gets none of a step.
const (
	// barKept: its room is kept for a task that lasts.
	barKept = "kept"
	// barApart: it has as many tasks of the step as may stand on one worker.
	barApart = "apart"
)

// refuses returns why the worker gets none of a step's tasks though it gets others, or
// nothing.
func (ho *workerState) refuses(en *entry, step int) string {
	st := &en.jo.Spec.Steps[step]
	switch {
	case ho.isKept() && !st.Filler && en.waitingAgain(step) == 0:
		return barKept
	case st.PerWorker > 0 && en.countAt(step, ho) >= st.PerWorker:
		return barApart
	}
	return ""
}

// lacking returns how much of what is needed is not free, as a share of it: that of the
// resource of which most is lacking.
func lacking(need, free worker.Resources) float64 {
	return max(
		share(need.MilliCores-free.MilliCores, need.MilliCores),
		share(need.MemMB-free.MemMB, need.MemMB),
		share(need.Accels-free.Accels, need.Accels),
	)
}

// attrs are the fields of a log line.
func (sh shortage) attrs() []slog.Attr {
	need := sh.st.Reserved()
	list := []slog.Attr{
		slog.Int64("need_millicores", need.MilliCores), slog.Int64("need_mem_mb", need.MemMB),
		slog.String("barred", listCounts(sh.barred)),
	}
	if sh.best == nil {
		return append(list, slog.String("best", "none"))
	}
	free := sh.best.Capacity.Without(sh.best.reserved)
	return append(list,
		slog.String("best", sh.best.incarnation.String()),
		slog.Int64("free_millicores", free.MilliCores), slog.Int64("free_mem_mb", free.MemMB),
		slog.Int64("passing_millicores", sh.best.finiteReserved.MilliCores), slog.Int64("passing_mem_mb", sh.best.finiteReserved.MemMB),
		slog.Int64("stopping_millicores", sh.best.stopping().MilliCores), slog.Int("attempts", len(sh.best.attempts)),
	)
}

// listCounts lists names with their numbers.
func listCounts[K ~string](counts map[K]int) string {
	list := make([]string, 0, len(counts))
	for name, n := range counts {
		list = append(list, fmt.Sprintf("%s:%d", name, n))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// stopping is the part of the worker's room that attempts take which are being stopped.
func (ho *workerState) stopping() worker.Resources {
	var sum worker.Resources
	for at := range ho.attempts {
		if !at.halted.IsZero() {
			sum = sum.With(at.step().Reserved())
		}
	}
	return sum
}
