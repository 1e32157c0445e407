package sched

import "github.com/pepperhatch/pepperhatch/internal/job"

// keepShare bounds the workers whose room is kept at once for tasks that never ran: one of
// so many, and one at least.
const earmarkShare = 16

// isKept reports whether the worker's room is kept for a task that lasts.
func (ho *host) isEarmarked() bool { return ho.awaited || ho.keptIn == ho.ow.rounds }

// keepRoom keeps the room of a worker for an endless task that never ran and finds none: short
// tasks that take each part of it as it gets free would keep the task waiting for
// as long as they come. It takes the worker that lacks least of the room and will
// have it once the tasks there that end by themselves have ended. The next round
// chooses anew, and as a rule the same.
func (pl *placer) earmark(en *entry, ref job.TaskRef) {
	st := &en.jo.Spec.Steps[ref.Step]
	if !st.Endless || !pl.ow.uses(MechReserveCapacity) || pl.earmarks > len(pl.hosts)/earmarkShare || en.interrupted(ref) {
		return
	}
	var best *candidate
	var leastMissing int64
	for _, ca := range pl.hosts {
		if ca.earmarked || !ca.allowed(en, ref, st) || !st.Reserved().Fits(ca.free.Add(ca.ho.passing)) {
			continue
		}
		if missing := st.Each.MilliCores - ca.free.MilliCores; best == nil || missing < leastMissing {
			best, leastMissing = ca, missing
		}
	}
	if best == nil {
		return
	}
	best.earmarked, best.ho.keptIn = true, pl.ow.rounds
	pl.earmarks++
	pl.ow.Log.Debug("room kept", "task", en.jo.TaskID(ref), "worker", best.ho.incarnation, "lacks_millicores", leastMissing)
}
