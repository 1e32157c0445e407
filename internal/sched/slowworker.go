package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/speed"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Limits of observations for [speed.Model], and of moves.
const (
	// maxUnpolled is the longest average time by which ends may have been listed late if they
	// are to be observed: a task takes 0.8 s.
	maxUnpolled = 100 * time.Millisecond
	// minObservedShare and maxObservedShare bound the part of its declared processor time that
	// a filler is assumed to get.
	minObservedShare = 0.1
	maxObservedShare = 1.2
	// slowMovesPerTick limits the stops of tasks on slow workers in one tick of the loop, so
	// that not all go to the same worker.
	slowMovesPerTick = 8
)

// workerSpeed is what the owner knows of the speed of a worker's process.
type workerSpeed struct {
	speed.Worker

	// clock is the time of the last poll by the worker's clock, unpolled the average time by
	// which its ends were listed late.
	clock    time.Time
	unpolled time.Duration
	// observes is set if the worker is judged by the current poll, judgedAt is when it was last.
	observes bool
	judgedAt time.Time
	// countedSince is since when the worker has counted as slow, or zero.
	countedSince time.Time
}

// recordPoll records when a poll was answered. The worker's clock is used as answers may be
// delayed on their way.
func (ws *workerSpeed) recordPoll(clockMS int64, unpolled time.Duration, got time.Time) {
	ws.clock, ws.unpolled = got, unpolled
	if ws.observes = got.Sub(ws.judgedAt) >= judgeInterval; ws.observes {
		ws.judgedAt = got
	}
	if clockMS != 0 {
		ws.clock = time.UnixMilli(clockMS)
	}
}

// awaitsConfirmation reports whether the worker has become slow and measurements that follow may
// confirm it.
func (ws *workerSpeed) awaitsConfirmation(now time.Time) bool {
	return ws.Slow(now) && !ws.Confirmed(now)
}

// speedKind returns the kind of a step's tasks.
func (tj *trackedJob) speedKind(st *job.Step) speed.Kind {
	return speed.Kind{Queue: tj.jo.Terms.Queue, Image: st.Image}
}

// speedRatio returns the learnt ratio of true to estimated time of a kind, or 1.
func (ow *Owner) speedRatio(ki speed.Kind) float64 {
	if !ow.enabled(MechLearntDurations) {
		return 1
	}
	return ow.durations.model.Ratio(ki)
}

// expectedMS returns the expected run time of a task of the step, in milliseconds.
func (tj *trackedJob) expectedMS(st *job.Step) int64 { return tj.ow.expectedMS(&tj.jo.Terms, st) }

func (ow *Owner) expectedMS(te *job.Terms, st *job.Step) int64 {
	if st.LongRunning {
		return st.EstimateMS
	}
	return int64(float64(st.EstimateMS) * ow.speedRatio(speed.Kind{Queue: te.Queue, Image: st.Image}))
}

// observation returns what a poll reported of the attempt.
func (at *attempt) observation() speed.Observation {
	st := at.step()
	return speed.Observation{
		Kind: at.tj.speedKind(st), Job: at.tj.jo.ID, Estimate: time.Duration(st.EstimateMS) * time.Millisecond, Filler: st.Filler,
		Share: at.observedShare(), Percent: at.progress, At: at.wk.speed.clock,
	}
}

// observedShare returns the part of the processor time that the attempt asks for which it gets, 0
// if that is unknown. A paced filler, a member of a gang and a task away from its data are
// slow for reasons other than the worker.
func (at *attempt) observedShare() float64 {
	st := at.step()
	switch {
	case st.Gang, st.Rack != "" && st.Rack != at.wk.Rack:
		return 0
	case !st.Filler:
		return 1
	case at.usage <= 0, at.pace < fullPace, !at.pacedAt.IsZero() && time.Since(at.pacedAt) < steadyPaceAfter:
		return 0
	}
	return min(max(share(at.usage, st.Each.MilliCores), minObservedShare), maxObservedShare)
}

// beginObservation records when an attempt began, from the answer to its launch. One that resumes
// from a checkpoint is followed from its first listed progress instead.
func (at *attempt) beginObservation(ack worker.Ack, err error) {
	if err == nil && at.launchedAt.IsZero() && ack.ClockMS != 0 && !at.hasCheckpoint() {
		at.beganClock = time.UnixMilli(ack.ClockMS)
		at.speed.Begin(at.beganClock)
	}
}

// hasCheckpoint reports whether the task can be resumed from a checkpoint.
func (at *attempt) hasCheckpoint() bool {
	return at.step().Checkpoints && at.task().Checkpoint != ""
}

// observeProgress records the progress that a poll listed.
func (at *attempt) observeProgress(now time.Time) {
	if at.wk.speed.observes && !at.step().LongRunning {
		at.wk.ow.durations.model.ObserveProgress(&at.wk.speed.Worker, &at.speed, at.observation(), now)
	}
}

// observeEnd records that the attempt has done its task, unless its end was listed late.
func (at *attempt) observeEnd(now time.Time) {
	if ws := &at.wk.speed; !at.step().LongRunning && ws.unpolled <= maxUnpolled {
		ob := at.observation()
		ob.At = ob.At.Add(-ws.unpolled)
		at.wk.ow.durations.model.ObserveEnd(&ws.Worker, &at.speed, ob, now)
	}
}

// judgeInterval is the least time between two verdicts on a worker, and the observations of progress
// for them. Both take a tenth of the owner's time if they follow each of several polls a second.
const judgeInterval = 250 * time.Millisecond

// judgeSpeed decides whether the worker is slow, after a poll was handled.
func (wk *workerState) judgeSpeed(now time.Time) {
	if !wk.speed.observes {
		return
	}
	wk.speed.Judge(now)
	wk.logSlow(now)
}

// logSlow records and logs that the worker begins or ceases to count as slow.
func (wk *workerState) logSlow(now time.Time) {
	slow, ws := wk.speed.Slow(now), &wk.speed
	if slow == !ws.countedSince.IsZero() {
		return
	}
	text, after, in := "worker counts as slow", time.Duration(0), ws.Inputs()
	if slow {
		ws.countedSince = now
		wk.ow.slowWorkers[wk] = true
	} else {
		text, after = "worker no longer counts as slow", now.Sub(ws.countedSince)
		ws.countedSince = time.Time{}
		delete(wk.ow.slowWorkers, wk)
	}
	wk.ow.Log.Info(text, "worker", wk.incarnation, "slowdown", ws.Slowdown(now), "evidence", in.Evidence, "measured", in.Attempts, "changed", in.Changed,
		"jobs", in.Jobs, "attempts", len(wk.attempts), "after", after)
}

// Intervals of the work on slow workers.
const (
	// slowReportInterval is the time between two reports of slow workers.
	slowReportInterval = time.Second
	// slowMoveInterval is the time between two decisions on moves off slow workers.
	slowMoveInterval = 200 * time.Millisecond
)

// reportSlow counts the workers that count as slow, and logs those that cease to for lack of
// observations.
func (ow *Owner) reportSlow(now time.Time) {
	for wk := range ow.slowWorkers {
		wk.logSlow(now)
	}
	ow.Metrics.Set(telemetry.SlowWorkers, int64(len(ow.slowWorkers)))
}

// placementSlowdown returns the slowdown for placement, 0 for a worker that is not slow.
func (wk *workerState) placementSlowdown(now time.Time) float64 {
	if !wk.ow.enabled(MechSlowLast) || !wk.speed.Slow(now) {
		return 0
	}
	return wk.speed.Slowdown(now)
}

// moveOffSlow stops tasks on slow workers that are expected to end sooner elsewhere, if another
// worker that is not slow can run them.
func (ow *Owner) moveOffSlow(now time.Time) {
	if !ow.enabled(MechMoveOffSlow) || ow.storeDown() {
		return
	}
	var pl *placer
	moves := 0
	for wk := range ow.slowWorkers {
		if wk.dead || !wk.failingSince.IsZero() || !wk.speed.Confirmed(now) {
			continue
		}
		for at := range wk.allAttempts() {
			if moves == slowMovesPerTick || !at.endsSoonerElsewhere(now) {
				continue
			}
			if pl == nil {
				pl = ow.placerBesideMoves(now)
			}
			if pl.reserveForSlow(at) {
				moves++
				ow.moveSlow(at)
			}
		}
	}
}

// placerBesideMoves returns a placer from whose free capacity that for the tasks which are being
// stopped on slow workers was subtracted. Otherwise the same capacity would be counted at every
// tick until their ends are listed.
func (ow *Owner) placerBesideMoves(now time.Time) *placer {
	pl := ow.newPlacer()
	for wk := range ow.allWorkers() {
		for at := range wk.allAttempts() {
			if at.leavesSlow && at.stopping(now) {
				pl.reserveForSlow(at)
			}
		}
	}
	return pl
}

// moveSlow stops an attempt on a slow worker.
func (ow *Owner) moveSlow(at *attempt) {
	kind := "task"
	if at.step().Filler {
		kind = "filler"
	}
	ow.Metrics.Add(telemetry.SlowMoves, 1, "kind", kind)
	at.tj.timeBreakdown.moved++
	at.leavesSlow = true
	ow.halt(at, "its worker is slow, and another can end it sooner")
}

// endsSoonerElsewhere reports whether an attempt on a slow worker that ends by itself is expected
// to end sooner if it is stopped. Held fillers are left to moveHeld. An attempt of a task with
// another one, or of a task that is done, stays until that one ends or the end is durable.
func (at *attempt) endsSoonerElsewhere(now time.Time) bool {
	st := at.step()
	if at.besideOther() || st.LongRunning || st.Gang || at.lastSeenAt.IsZero() || !at.haltSentAt.IsZero() || at.task().Suspect() || (st.Filler && at.pace < fullPace) {
		return false
	}
	return at.wk.ow.durations.model.Escape(&at.wk.speed.Worker, &at.speed, at.observation(), at.hasCheckpoint(), now).Worthwhile()
}

// besideOther reports whether another attempt of the task runs too, or has completed it.
func (at *attempt) besideOther() bool {
	ta := at.task()
	return ta.State == job.Done || (ta.Other.Number != 0 && !ta.LastEnded)
}

// reserveForSlow reserves capacity for an attempt on a worker that is neither slow nor cold, and
// reports whether there was any. A task with reserved processors would wait behind the waiting ones of its
// priority, so there must be none.
func (pl *placer) reserveForSlow(at *attempt) bool {
	if at.step().Filler {
		return pl.reserveIdleElsewhere(at)
	}
	if pl.ow.othersWait(at.tj) {
		return false
	}
	for _, ca := range pl.candidates {
		if ca.wk != at.wk && !ca.cold && !ca.wk.speed.Slow(pl.now) && ca.fits(at.tj, at.ref, at.step()) {
			ca.free = ca.free.Sub(at.step().Reserved())
			return true
		}
	}
	return false
}

// othersWait reports whether tasks with reserved processors wait in the job's service, of its
// priority or a higher one.
func (ow *Owner) othersWait(tj *trackedJob) bool {
	for _, other := range ow.waitingJobs {
		if other.jo.Terms.Priority > tj.jo.Terms.Priority {
			return false
		}
		if other.jo.Terms.Service != tj.jo.Terms.Service {
			continue
		}
		for i := range other.jo.Spec.Steps {
			if !other.jo.Spec.Steps[i].Filler && other.waitingIn(i) > 0 {
				return true
			}
		}
	}
	return false
}
