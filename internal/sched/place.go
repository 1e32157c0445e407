package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// servingLoad is the share of their processor time that endless tasks are taken
// to use, as their load is not reported.
const servingLoad = 0.5

// place starts what may start and has room, jobs of higher priority first.
func (ow *Owner) place() {
	ow.due = false
	if len(ow.active) == 0 || ow.storeDown() {
		return
	}
	ow.rounds++
	ow.Metrics.Add(telemetry.PlaceRounds, 1)
	pl := ow.newPlacer()
	for rest := slices.Clone(ow.active); len(rest) > 0; {
		n := samePriority(rest)
		pl.placeInterrupted(rest[:n])
		pl.placeJobs(rest[:n])
		rest = rest[n:]
	}
}

// samePriority counts the jobs, of some that are sorted, that have the priority of the first.
func samePriority(list []*entry) int {
	n := slices.IndexFunc(list, func(en *entry) bool { return en.jo.Terms.Priority != list[0].jo.Terms.Priority })
	if n < 0 {
		return len(list)
	}
	return n
}

// placeJobs starts what waits of jobs.
func (pl *placer) placeJobs(list []*entry) {
	for _, en := range list {
		if pl.ow.window.full() {
			// The next round goes on once some have landed.
			pl.ow.due = true
			en.lack = CauseOrder
			continue
		}
		pl.placeJob(en)
	}
}

// newPlacer begins a round of placement.
func (ow *Owner) newPlacer() *placer {
	pl := &placer{ow: ow, now: time.Now()}
	clear(ow.likeness)
	ow.noPlace.begin(pl.now, len(ow.hosts))
	var reserved, holds int64
	for _, ho := range ow.sortedWorkers() {
		if why := ho.unavailableReason(pl.now); why != "" {
			if why == unavailableFailing && ho.trial == nil {
				pl.failing = append(pl.failing, newCandidate(ho, pl.now))
			}
			continue
		}
		ca := newCandidate(ho, pl.now)
		ca.index, ca.kept = len(pl.hosts), ho.restartReady
		pl.hosts = append(pl.hosts, ca)
		reserved += ho.reserved.MilliCores
		holds += ho.Capacity.MilliCores
	}
	pl.patience = patience(share(reserved, holds))
	return pl
}

// candidate is a worker in one round of placement.
type candidate struct {
	ho *workerState
	// index is its place among all.
	index int
	free  worker.Resources
	// idle is the processor time that nothing is likely to use, in thousandths
	// of a core.
	idle int64
	// stubborn is set if a service there was over its target for long.
	stubborn bool
	// kept is set if its room is kept for an endless task, taken if nothing is to begin
	// there beside a task that is tried alone.
	kept  bool
	taken bool
}

func newCandidate(ho *workerState, now time.Time) *candidate {
	return &candidate{ho: ho, free: ho.Capacity.Without(ho.reserved), idle: ho.Capacity.MilliCores - ho.expectedUse, stubborn: ho.stubborn(now)}
}

// likelyUse is the processor time that a task of the step is likely to use, in
// thousandths of a core.
func likelyUse(st *job.Step) int64 {
	if st.Endless {
		return int64(float64(st.Each.MilliCores) * servingLoad)
	}
	return st.Each.MilliCores
}

// placer is one round of placement.
type placer struct {
	ow    *Owner
	now   time.Time
	hosts []*candidate
	// failing are the workers that are set aside for failures.
	failing []*candidate
	// patience is how long fillers wait for a good place.
	patience time.Duration
	// keeps counts the workers whose room is kept.
	keeps int
}

// placeJob starts the waiting tasks of a job that find room.
func (pl *placer) placeJob(en *entry) {
	for step := range en.jo.Spec.Steps {
		if en.jo.Ready(step) {
			pl.placeStep(en, step, false)
		}
	}
}

// placeStep starts the waiting tasks of a step that find room: those that were interrupted,
// or the others.
func (pl *placer) placeStep(en *entry, step int, interrupted bool) {
	var ra *ranking
	for index, ta := range en.jo.Tasks[step] {
		ref := job.TaskRef{Step: step, Index: index}
		if ta.State != job.Waiting || en.interrupted(ref) != interrupted {
			continue
		}
		if en.rests.resting(ref, pl.now) {
			en.lack = CauseBackoff
			continue
		}
		if pl.ow.window.full() {
			en.lack = CauseOrder
			return
		}
		if ta.Suspect() {
			pl.placeSuspect(en, ref)
			// It changed a worker that may not be the best one.
			ra = nil
			continue
		}
		if ra == nil {
			ra = pl.rank(en, step, interrupted)
		}
		ca := ra.best()
		en.lack = ra.lack
		if ca == nil && pl.lastResort(en, ref) {
			continue
		}
		if ca == nil {
			pl.keepRoom(en, ref)
			if interrupted {
				continue
			}
			return
		}
		pl.start(en, ref, ca)
		ra.changed(ca)
	}
}

// patient reports whether the fillers of a job still wait for a good place.
func (pl *placer) patient(en *entry) bool {
	return pl.ow.uses(MechPatience) && pl.now.Sub(en.waitingSince) <= pl.patience
}

func (ca *candidate) fits(en *entry, ref job.TaskRef, st *job.Step) bool {
	return ca.allowed(en, ref, st) && ca.hasRoom(st, en.interrupted(ref))
}

// hasRoom reports whether the worker has room for a task of the step. Room is not kept from
// tasks that were interrupted: what it is kept for may never get enough of it.
func (ca *candidate) hasRoom(st *job.Step, interrupted bool) bool {
	return st.Reserved().Fits(ca.free) && (!ca.kept || st.Filler || interrupted) && !ca.taken
}

// allowed reports whether a task may run on the worker, if it had room.
func (ca *candidate) allowed(en *entry, ref job.TaskRef, st *job.Step) bool {
	return ca.suitable(en, st) && (st.PerWorker == 0 || en.countAt(ref.Step, ca.ho) < st.PerWorker)
}

// suitable reports whether the worker is of the kind that the step wants.
func (ca *candidate) suitable(en *entry, st *job.Step) bool {
	return ca.ho.Service == en.jo.Terms.Service && (st.Label == "" || ca.ho.hasLabel(st.Label))
}

// patience is how long a job's fillers wait for a good place; then they go
// anywhere, to be paced there. While little is used a job must not run nothing
// for 3 s; else a bad place costs the services there more than waiting costs
// the job.
func patience(used float64) time.Duration {
	if used < busyShare {
		return patienceIdle
	}
	return patienceBusy
}

// suits reports whether a filler finds idle processors on the worker and
// leaves the services there under their targets.
func (ca *candidate) suits(st *job.Step) bool {
	if ca.stubborn || ca.idle < int64(leastIdle*float64(st.Each.MilliCores)) {
		return false
	}
	_, over := ca.disturbs(st)
	return over <= 0
}

// Patience of fillers.
const (
	// busyShare is the share of all processors reserved from which on waiting
	// is the lesser evil; the users' bound is a half.
	busyShare    = 0.6
	patienceIdle = 1500 * time.Millisecond
	patienceBusy = time.Minute
	// leastIdle is the part of its processor time that a filler must find idle.
	leastIdle = 0.3
)

func (ho *workerState) hasLabel(label string) bool {
	for _, la := range ho.Labels {
		if la == label {
			return true
		}
	}
	return false
}

// countAt counts the attempts of a step on a worker.
func (en *entry) countAt(step int, ho *workerState) int {
	n := 0
	for ref, at := range en.attempts {
		if ref.Step == step && at.ho == ho {
			n++
		}
	}
	return n
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// start begins an attempt; the order goes out once that is durable.
func (pl *placer) start(en *entry, ref job.TaskRef, ca *candidate) {
	number := en.jo.Start(ref, ca.ho.incarnation)
	if number == 0 {
		return
	}
	at := &attempt{ref: ref, number: number, ho: ca.ho, en: en, pace: fullPace}
	ca.ho.addAttempt(at)
	pl.ow.depart(at)
	st := &en.jo.Spec.Steps[ref.Step]
	ca.free = ca.free.Without(st.Reserved())
	ca.idle -= likelyUse(st)
	pl.ow.Log.Info("attempt placed", "task", taskID(at), "attempt", number, "worker", ca.ho.incarnation, "free_millicores", ca.free.MilliCores)
	en.effects = append(en.effects, func() { pl.ow.launch(at) })
	pl.ow.touch(en)
	pl.ow.due = false
}

// fullPace is the share of its speed at which an attempt works unless told
// otherwise, in per cent.
const fullPace = 100
