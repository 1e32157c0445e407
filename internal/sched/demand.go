package sched

import "time"

// scarceEvery is the time between lines on tasks that last and find no room: what single
// jobs write of it tells neither how many they are nor what room there is in all.
const demandLogInterval = time.Second

// scarcity is the room that there is for tasks that last and wait.
type endlessDemand struct {
	// jobs and tasks wait for room; again are those tasks of them that ran before.
	jobs, tasks, interrupted int
	// needMilliCores is what they need, longest for how long one has waited.
	needMilliCores int64
	longestWait    time.Duration
	// workers get new tasks; of these free is the sum and most the most of one that is
	// free, and passing what tasks there take that end by themselves, in thousandths of a
	// core. Of kept workers the room is kept, and promised is promised to tasks that are to
	// begin again.
	workers, earmarked     int
	reserved               int64
	free, mostFree, finite int64
}

// tellScarcity writes a line on tasks that last and wait for room.
func (ow *Owner) logEndlessDemand(now time.Time) {
	if now.Sub(ow.scarcityLoggedAt) < demandLogInterval {
		return
	}
	ed := ow.endlessDemand(now)
	if ed.tasks == 0 {
		return
	}
	ow.scarcityLoggedAt = now
	ow.Log.Info("room for lasting tasks", "jobs", ed.jobs, "tasks", ed.tasks, "again", ed.interrupted, "need_millicores", ed.needMilliCores, "longest", ed.longestWait,
		"workers", ed.workers, "kept", ed.earmarked, "free_millicores", ed.free, "most_millicores", ed.mostFree, "passing_millicores", ed.finite,
		"promised_millicores", ed.reserved, "promises_lacking", ow.reservations.lacking)
}

// scarcity sums up what waits for long, and the room.
func (ow *Owner) endlessDemand(now time.Time) endlessDemand {
	var ed endlessDemand
	for _, en := range ow.active {
		if en.jo.Endless() && en.waitCause == CauseRoom && now.Sub(en.waitingSince) >= firstWait {
			ed.add(en, now)
		}
	}
	if ed.tasks == 0 {
		return ed
	}
	for _, ho := range ow.hosts {
		if ho.bar(now) != "" {
			continue
		}
		free := max(ho.Holds.MilliCores-ho.reserved.MilliCores, 0)
		ed.workers++
		ed.free += free
		ed.mostFree = max(ed.mostFree, free)
		ed.finite += ho.passing.MilliCores
		ed.reserved += ho.promised.MilliCores
		if ho.isEarmarked() {
			ed.earmarked++
		}
	}
	return ed
}

// add adds the tasks of a job that wait.
func (ed *endlessDemand) add(en *entry, now time.Time) {
	ed.jobs++
	ed.longestWait = max(ed.longestWait, now.Sub(en.waitingSince))
	for step := range en.jo.Spec.Steps {
		n := en.waitingIn(step)
		ed.tasks += n
		ed.needMilliCores += int64(n) * en.jo.Spec.Steps[step].Reserved().MilliCores
		ed.interrupted += en.waitingInterrupted(step)
	}
}
