package sched

import "github.com/pepperhatch/pepperhatch/internal/job"

// earmarkShare limits how many workers are earmarked at once for tasks that never ran: one
// in this many, but at least one.
const earmarkShare = 16

// isEarmarked reports whether the worker's free capacity is set aside for an endless task.
func (ho *workerState) isEarmarked() bool {
	return ho.restartReady || ho.reservedInRound == ho.ow.rounds
}

// earmark sets aside the free capacity of a worker for an endless task that never ran and
// fits nowhere: otherwise short tasks would take each part of it as it becomes free, and
// the task would wait for as long as they arrive. It chooses the worker that is least short
// of the capacity and will have it once the tasks there that end by themselves have ended.
// The next round chooses again, and usually the same worker.
func (pl *placer) earmark(en *entry, ref job.TaskRef) {
	st := &en.jo.Spec.Steps[ref.Step]
	if !st.Endless || !pl.ow.uses(MechReserveCapacity) || pl.earmarks > len(pl.hosts)/earmarkShare || en.interrupted(ref) {
		return
	}
	var best *candidate
	var leastMissing int64
	for _, ca := range pl.hosts {
		if ca.earmarked || !ca.allowed(en, ref, st) || !st.Reserved().Fits(ca.free.Add(ca.ho.finiteReserved)) {
			continue
		}
		if missing := st.Each.MilliCores - ca.free.MilliCores; best == nil || missing < leastMissing {
			best, leastMissing = ca, missing
		}
	}
	if best == nil {
		return
	}
	best.earmarked, best.ho.reservedInRound = true, pl.ow.rounds
	pl.earmarks++
	pl.ow.Log.Debug("capacity earmarked", "task", en.jo.TaskID(ref), "worker", best.ho.incarnation, "lacks_millicores", leastMissing)
}
