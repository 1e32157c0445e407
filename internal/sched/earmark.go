package sched

import "github.com/pepperhatch/pepperhatch/internal/job"

// earmarkShare limits how many workers are earmarked at once for tasks that never ran: one
// in this many, and one more.
const earmarkShare = 16

// isEarmarked reports whether the worker's free capacity is earmarked for a long-running task:
// one that never ran, or an interrupted one that may start now.
func (wk *workerState) isEarmarked() bool {
	return wk.restartReady || wk.earmarkedInRound == wk.ow.placementRounds
}

// earmark earmarks the free capacity of a worker for a long-running task that never ran and
// fits on no worker. Otherwise short tasks would use each part of it as it becomes free, and
// the task would wait for as long as they arrive. It chooses the worker that is least short of
// the capacity and will have it once the tasks there that end by themselves have ended. The
// next round chooses again, and usually the same worker. Workers that are kept as headroom
// stay open to short tasks.
func (pl *placer) earmark(tj *trackedJob, ref job.TaskRef, hp *headroomPlan) {
	st := &tj.jo.Spec.Steps[ref.Step]
	if !st.LongRunning || !pl.ow.enabled(MechReserveCapacity) || pl.earmarks > len(pl.candidates)/earmarkShare || tj.interrupted(ref) {
		return
	}
	var best *candidate
	var leastMissing int64
	for _, ca := range pl.candidates {
		if ca.earmarked || hp.keeps(ca) || !ca.allowed(tj, ref, st) || !st.Reserved().Fits(ca.free.Add(ca.wk.finiteReserved)) {
			continue
		}
		if missing := st.Each.MilliCores - ca.free.MilliCores; best == nil || missing < leastMissing {
			best, leastMissing = ca, missing
		}
	}
	if best == nil {
		return
	}
	best.earmarked, best.wk.earmarkedInRound = true, pl.ow.placementRounds
	pl.earmarks++
	pl.ow.Log.Debug("capacity earmarked", "task", tj.jo.TaskID(ref), "worker", best.wk.incarnation, "lacks_millicores", leastMissing)
}
