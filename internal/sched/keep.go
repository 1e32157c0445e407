package sched

import "github.com/pepperhatch/pepperhatch/internal/job"

// keepShare bounds the workers whose room is kept at once for tasks that never ran: one of
// so many, and one at least.
const keepShare = 16

// isKept reports whether the worker's room is kept for a task that lasts.
func (ho *workerState) isKept() bool { return ho.restartReady || ho.reservedInRound == ho.ow.rounds }

// keepRoom keeps the room of a worker for an endless task that never ran and finds none: short
// tasks that take each part of it as it gets free would keep the task waiting for
// as long as they come. It takes the worker that lacks least of the room and will
// have it once the tasks there that end by themselves have ended. The next round
// chooses anew, and as a rule the same.
func (pl *placer) keepRoom(en *entry, ref job.TaskRef) {
	st := &en.jo.Spec.Steps[ref.Step]
	if !st.Endless || !pl.ow.uses(MechKeepRoom) || pl.keeps > len(pl.hosts)/keepShare || en.interrupted(ref) {
		return
	}
	var best *candidate
	var least int64
	for _, ca := range pl.hosts {
		if ca.kept || !ca.allowed(en, ref, st) || !st.Reserved().Fits(ca.free.With(ca.ho.finiteReserved)) {
			continue
		}
		if lacks := st.Each.MilliCores - ca.free.MilliCores; best == nil || lacks < least {
			best, least = ca, lacks
		}
	}
	if best == nil {
		return
	}
	best.kept, best.ho.reservedInRound = true, pl.ow.rounds
	pl.keeps++
	pl.ow.Log.Debug("room kept", "task", en.jo.TaskID(ref), "worker", best.ho.incarnation, "lacks_millicores", least)
}
