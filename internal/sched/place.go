package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/headroom"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// assumedLongRunningLoad is the share of their declared processor time that long-running tasks
// are assumed to use, as workers do not report their load.
const assumedLongRunningLoad = 0.5

// place starts the waiting tasks that fit on a worker, jobs of higher priority first.
func (ow *Owner) place() {
	ow.placementDue = false
	if len(ow.waitingJobs) == 0 || ow.storeDown() {
		return
	}
	ow.placementRounds++
	ow.lag.RecordRound()
	ow.Metrics.Add(telemetry.PlacementRounds, 1)
	pl := ow.newPlacer()
	pl.placeAtAddressees()
	pl.placeAged()
	for jobs := slices.Clone(ow.waitingJobs); len(jobs) > 0; {
		n := countSamePriority(jobs)
		pl.placeInterrupted(jobs[:n])
		pl.placeJobs(jobs[:n])
		jobs = jobs[n:]
	}
}

// countSamePriority counts the leading jobs of a sorted list that share the priority of the
// first.
func countSamePriority(list []*trackedJob) int {
	n := slices.IndexFunc(list, func(tj *trackedJob) bool { return tj.jo.Terms.Priority != list[0].jo.Terms.Priority })
	if n < 0 {
		return len(list)
	}
	return n
}

// placeJobs places the waiting tasks of the jobs, in their order.
func (pl *placer) placeJobs(list []*trackedJob) {
	for _, tj := range list {
		if pl.windowFull(tj) {
			// The next round continues once some launches have been answered.
			pl.ow.placementDue = true
			tj.waitCause = CauseOrder
			continue
		}
		pl.placeJob(tj)
	}
}

// newPlacer begins a round of placement with a snapshot of the workers that accept new tasks,
// and of those that failed tasks are the only reason to avoid.
func (ow *Owner) newPlacer() *placer {
	pl := &placer{ow: ow, now: time.Now()}
	clear(ow.similarity)
	ow.noFit.StartRound(pl.now, len(ow.workers))
	var reserved, holds int64
	workers := ow.sortedWorkers()
	ow.lag.RecordVisits(len(workers))
	list := make([]candidate, len(workers))
	pl.candidates = make([]*candidate, 0, len(workers))
	ta := ow.dataCentreCapacity.groups.Tally()
	for i, wk := range workers {
		ca := &list[i]
		why := wk.unavailableReason(pl.now)
		wk.addTo(ta, why == "")
		if why != "" {
			if why == unavailableFailing && wk.trial == nil {
				*ca = newCandidate(wk)
				pl.failing = append(pl.failing, ca)
			}
			continue
		}
		*ca = newCandidate(wk)
		ca.index, ca.earmarked, ca.slowdown = len(pl.candidates), wk.restartReady, wk.placementSlowdown(pl.now)
		pl.candidates = append(pl.candidates, ca)
		reserved += wk.reserved.MilliCores
		holds += wk.Capacity.MilliCores
	}
	ow.dataCentreCapacity.setSummary(ta.Summary(), pl.now)
	pl.fillerWait = fillerWaitLimit(share(reserved, holds))
	return pl
}

// candidate is a worker with the resources that are still free in one round of placement.
type candidate struct {
	wk *workerState
	// index is the position among the candidates, which breaks ties between scores.
	index int
	free  worker.Resources
	// idle is the processor time that no attempt is expected to use, in thousandths of a
	// core.
	idle int64
	// earmarked is set if the free capacity is earmarked for a long-running task. isolated is
	// set if a task is to run isolated there, so that nothing else may start.
	earmarked bool
	isolated  bool
	// stopping is the capacity held by attempts that are being stopped, set by
	// candidatesWithStops. claimed is set if a job of a higher priority waits for it.
	stopping worker.Resources
	claimed  bool
	// slowdown is that of a slow worker, 0 for any other.
	slowdown float64
	// cold is set if the worker is slow for a while, and starting if a start has no answer yet
	// there; it is only set for cold workers.
	cold, starting bool
}

func newCandidate(wk *workerState) candidate {
	ca := candidate{wk: wk, free: wk.Capacity.Sub(wk.reserved), idle: wk.Capacity.MilliCores - wk.expectedUse, cold: wk.isCold()}
	ca.starting = ca.cold && wk.hasUnansweredStart()
	return ca
}

// likelyUse returns the processor time that a task of the step is expected to use, in
// thousandths of a core.
func likelyUse(st *job.Step) int64 {
	if st.LongRunning {
		return int64(float64(st.Each.MilliCores) * assumedLongRunningLoad)
	}
	return st.Each.MilliCores
}

// placer holds the state of one round of placement.
type placer struct {
	ow         *Owner
	now        time.Time
	candidates []*candidate
	// failing are the workers that are quarantined for failed tasks, on which a long-running
	// task may start as a last resort.
	failing []*candidate
	// fillerWait is how long fillers wait for a worker that accepts them without harm to
	// its services.
	fillerWait time.Duration
	// aged is set while jobs are placed that have waited for long.
	aged bool
	// earmarks counts the workers earmarked in this round.
	earmarks int
	// postponed are interrupted tasks to be placed after the others of their priority.
	postponed []taskKey
	// withStops are the candidates on which attempts are being stopped, valid once stopsFound
	// is set.
	withStops  []*candidate
	stopsFound bool
	// headrooms has the headroom that new long-running tasks leave, by service and priority.
	headrooms map[headroom.Key]*headroomPlan
	// reservedFor counts the tasks for which reserve reserved capacity.
	reservedFor map[stepOnWorker]int
	// claimedPriority is the priority up to which capacity that is being freed is kept for jobs
	// of higher ones.
	claimedPriority int
}

// placeJob starts the waiting tasks of a job that fit on a worker.
func (pl *placer) placeJob(tj *trackedJob) {
	for step := range tj.jo.Spec.Steps {
		if tj.jo.Ready(step) {
			pl.placeStep(tj, step, false)
		}
	}
}

// placeStep starts the waiting tasks of a step that fit on a worker: only those that were
// interrupted, or only the others.
func (pl *placer) placeStep(tj *trackedJob, step int, interrupted bool) {
	var rk *ranking
	for index, ta := range tj.jo.Tasks[step] {
		ref := job.TaskRef{Step: step, Index: index}
		if ta.State != job.Waiting || tj.interrupted(ref) != interrupted {
			continue
		}
		if tj.backoffs.Active(ref, pl.now) {
			tj.waitCause = CauseBackoff
			continue
		}
		if pl.windowFull(tj) {
			tj.waitCause = CauseOrder
			return
		}
		if !tj.orders[ref].Empty() {
			tj.waitCause, tj.orderSince = CausePlace, time.Time{}
			continue
		}
		if ta.Suspect() {
			pl.placeOrPostponeSuspect(tj, ref)
			// The suspect task may have changed a worker other than the best one, so all have
			// to be rated again.
			rk = nil
			continue
		}
		if rk == nil {
			rk = pl.rank(tj, step, interrupted)
		}
		if !pl.placeRanked(tj, ref, rk) && !interrupted {
			return
		}
	}
}

// placeRanked starts a task on the best worker of a ranking, and reports whether it did. If
// there is none, it tries the ways that are open to long-running tasks, unless the task waits
// only for headroom.
func (pl *placer) placeRanked(tj *trackedJob, ref job.TaskRef, rk *ranking) bool {
	ca := rk.best()
	tj.waitCause, tj.orderSince = rk.cause, time.Time{}
	if ca != nil {
		pl.start(tj, ref, ca)
		rk.headroom.recordStart(ca, rk.st)
		rk.update(ca)
		return true
	}
	if rk.cause == CauseHeadroom {
		return false
	}
	if pl.placeWithoutFreeCapacity(tj, ref) {
		return true
	}
	pl.earmark(tj, ref, rk.headroom)
	return false
}

// placeWithoutFreeCapacity places a long-running task for which no worker that may get it has
// free capacity, and reports whether it did: on capacity that is still being freed if it was
// interrupted, otherwise on a worker that is quarantined for failures.
func (pl *placer) placeWithoutFreeCapacity(tj *trackedJob, ref job.TaskRef) bool {
	return pl.placeQueued(tj, ref) || pl.startAsLastResort(tj, ref)
}

// selective reports whether the fillers of a job still wait for a worker that accepts them
// without harm to its services.
func (pl *placer) selective(tj *trackedJob) bool {
	return pl.ow.enabled(MechFillerWait) && pl.now.Sub(tj.waitingSince) <= pl.fillerWait
}

// fits reports whether the task may run on the worker and has enough free capacity there.
func (ca *candidate) fits(tj *trackedJob, ref job.TaskRef, st *job.Step) bool {
	return ca.allowed(tj, ref, st) && ca.hasCapacity(st, tj.interrupted(ref))
}

// hasCapacity reports whether the worker has enough free capacity for a task of the step.
// Earmarked capacity stays open to fillers and to interrupted tasks, as the task that it is
// earmarked for may never get enough of it.
func (ca *candidate) hasCapacity(st *job.Step, interrupted bool) bool {
	return st.Reserved().Fits(ca.free) && (!ca.earmarked || st.Filler || interrupted) && !ca.isolated && !ca.starting
}

// allowed reports whether a task may run on the worker, regardless of free capacity.
func (ca *candidate) allowed(tj *trackedJob, ref job.TaskRef, st *job.Step) bool {
	return ca.suitable(tj, st) && (st.MaxPerWorker == 0 || tj.countAt(ref.Step, ca.wk) < st.MaxPerWorker)
}

// suitable reports whether the worker belongs to the job's service and has the label that
// the step requires.
func (ca *candidate) suitable(tj *trackedJob, st *job.Step) bool {
	return ca.wk.Service == tj.jo.Terms.Service && (st.Label == "" || ca.wk.hasLabel(st.Label))
}

// fillerWaitLimit returns how long a job's fillers wait for a worker that accepts them;
// then they go to any worker with capacity, where their pace is limited. used is the reserved
// share of all processors. While it is low, no job may be left without a running task for
// 3 s. Once it is high, a filler on a worker that does not accept it costs the services there
// more than waiting costs the job.
func fillerWaitLimit(used float64) time.Duration {
	if used < busyShare {
		return fillerWaitIdle
	}
	return fillerWaitBusy
}

// acceptsFiller reports whether the worker has idle processors for a filler and its
// services would stay under their targets.
func (ca *candidate) acceptsFiller(st *job.Step) bool {
	return ca.fillerObstacle(st) == obstacleNone
}

// How long fillers wait for a worker that accepts them.
const (
	// busyShare is the reserved share of all processors from which on waiting costs less
	// than placing a filler on a worker that does not accept it. Users accept that jobs wait
	// only above a share of one half.
	busyShare      = 0.6
	fillerWaitIdle = 1500 * time.Millisecond
	fillerWaitBusy = time.Minute
	// minIdlePart is the part of its processor time that a filler must find idle.
	minIdlePart = 0.3
)

func (wk *workerState) hasLabel(label string) bool {
	for _, la := range wk.Labels {
		if la == label {
			return true
		}
	}
	return false
}

// countAt counts the attempts of a step on a worker.
func (tj *trackedJob) countAt(step int, wk *workerState) int {
	n := 0
	for key, at := range tj.attempts {
		if key.ref.Step == step && at.wk == wk {
			n++
		}
	}
	return n
}

// share returns part divided by whole, or 0 if whole is not positive.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// start places a new attempt on a worker; the launch order is sent once the attempt is
// durable.
func (pl *placer) start(tj *trackedJob, ref job.TaskRef, ca *candidate) {
	pl.startAttempt(tj, ref, ca, false)
}

// startAttempt places a new attempt on a worker; if queued is set, its launch order waits until
// the worker has the capacity.
func (pl *placer) startAttempt(tj *trackedJob, ref job.TaskRef, ca *candidate, queued bool) {
	if !tj.mayStartAt(ref, ca.wk) {
		return
	}
	interrupted := tj.interrupted(ref)
	number := tj.jo.Start(ref, ca.wk.incarnation)
	if number == 0 {
		return
	}
	tj.restartsTask = tj.restartsTask || interrupted
	pl.begin(tj, ref, number, ca, queued)
}

// begin places an attempt that its job has recorded as started.
func (pl *placer) begin(tj *trackedJob, ref job.TaskRef, number int, ca *candidate, queued bool) {
	at := &attempt{ref: ref, number: number, wk: ca.wk, tj: tj, pace: fullPace, placedAt: pl.now, aged: pl.aged}
	ca.wk.addAttempt(at)
	if number > 1 && at.step().LongRunning {
		pl.ow.unconfirmedRestarts[at] = true
	}
	if queued {
		ca.wk.queue(at)
	} else {
		pl.ow.beginStart(at)
	}
	st := &tj.jo.Spec.Steps[ref.Step]
	ca.free = ca.free.Sub(st.Reserved())
	ca.idle -= likelyUse(st)
	ca.starting = ca.cold
	pl.ow.Log.Info("attempt placed", "task", taskID(at), "attempt", number, "worker", ca.wk.incarnation, "free_millicores", ca.free.MilliCores, "queued", queued)
	tj.onWritten = append(tj.onWritten, func() { pl.ow.launch(at) })
	pl.ow.markDirty(tj)
	// markDirty requests another round, but a start makes no other task placeable.
	pl.ow.placementDue = false
}

// fullPace is the pace, in per cent of full speed, of an attempt for which no other was
// ordered.
const fullPace = 100
