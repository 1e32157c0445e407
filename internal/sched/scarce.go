package sched

import "time"

// scarceEvery is the time between lines on tasks that last and find no room: what single
// jobs write of it tells neither how many they are nor what room there is in all.
const scarceEvery = time.Second

// scarcity is the room that there is for tasks that last and wait.
type scarcity struct {
	// jobs and tasks wait for room; again are those tasks of them that ran before.
	jobs, tasks, again int
	// needMilliCores is what they need, longest for how long one has waited.
	needMilliCores int64
	longest        time.Duration
	// workers get new tasks; of these free is the sum and most the most of one that is
	// free, and passing what tasks there take that end by themselves, in thousandths of a
	// core. Of kept workers the room is kept, and promised is promised to tasks that are to
	// begin again.
	workers, kept       int
	promised            int64
	free, most, passing int64
}

// tellScarcity writes a line on tasks that last and wait for room.
func (ow *Owner) tellScarcity(now time.Time) {
	if now.Sub(ow.scarceAt) < scarceEvery {
		return
	}
	sc := ow.scarcity(now)
	if sc.tasks == 0 {
		return
	}
	ow.scarceAt = now
	ow.Log.Info("room for lasting tasks", "jobs", sc.jobs, "tasks", sc.tasks, "again", sc.again, "need_millicores", sc.needMilliCores, "longest", sc.longest,
		"workers", sc.workers, "kept", sc.kept, "free_millicores", sc.free, "most_millicores", sc.most, "passing_millicores", sc.passing,
		"promised_millicores", sc.promised, "promises_lacking", ow.promises.unmet)
}

// scarcity sums up what waits for long, and the room.
func (ow *Owner) scarcity(now time.Time) scarcity {
	var sc scarcity
	for _, en := range ow.active {
		if en.jo.Endless() && en.lack == CauseRoom && now.Sub(en.waitingSince) >= firstWaitLog {
			sc.add(en, now)
		}
	}
	if sc.tasks == 0 {
		return sc
	}
	for _, ho := range ow.hosts {
		if ho.unavailableReason(now) != "" {
			continue
		}
		free := max(ho.Capacity.MilliCores-ho.reserved.MilliCores, 0)
		sc.workers++
		sc.free += free
		sc.most = max(sc.most, free)
		sc.passing += ho.finiteReserved.MilliCores
		sc.promised += ho.restartReserved.MilliCores
		if ho.isKept() {
			sc.kept++
		}
	}
	return sc
}

// add adds the tasks of a job that wait.
func (sc *scarcity) add(en *entry, now time.Time) {
	sc.jobs++
	sc.longest = max(sc.longest, now.Sub(en.waitingSince))
	for step := range en.jo.Spec.Steps {
		n := en.waitingOf(step)
		sc.tasks += n
		sc.needMilliCores += int64(n) * en.jo.Spec.Steps[step].Reserved().MilliCores
		sc.again += en.waitingAgain(step)
	}
}
