package speed

import (
	"math"
	"time"
)

// Intervals of observations.
const (
	// minInterval is the shortest interval over which progress is measured, minPart the least
	// part of the task that a healthy worker would do in it, as progress is in whole per cents.
	minInterval = 250 * time.Millisecond
	minPart     = 0.06
	// maxGap is the longest time between two observations of an attempt. Polls come once a
	// second or more often; after a longer gap the worker was silent or frozen, which is no
	// sign of its speed.
	maxGap = 1250 * time.Millisecond
	// minEndPercent is the least part of the task that the end of an attempt must cover.
	minEndPercent = 6
	// runningAge is how long a measurement of a running attempt counts, endedAge the same for
	// one that ended, which fades until then.
	runningAge = 1300 * time.Millisecond
	endedAge   = 800 * time.Millisecond
)

// Observation is what a poll reported of an attempt.
type Observation struct {
	// Kind is the kind of its task, Job the id of its job.
	Kind Kind
	Job  string
	// Estimate is the estimated time of its task.
	Estimate time.Duration
	// Filler is set for a task that uses what others leave of the processors.
	Filler bool
	// Share is the part of the processor time that it asks for which it gets: 1 if that is
	// reserved, 0 if unknown or if the attempt is slowed down on purpose. Then the observation
	// says nothing.
	Share float64
	// Percent is its progress.
	Percent int
	// At is the time of the observation by the worker's clock.
	At time.Time
}

// Attempt is what was observed of an attempt.
type Attempt struct {
	stats *kindStats
	// begun is set if the beginning is known and the attempt was followed ever since. worked
	// is the time since then, multiplied by the share of the processors that it got.
	begun  bool
	worked time.Duration
	// last is the last observation, anchor the one from which progress is measured, and
	// sinceAnchor the time worked since then.
	lastAt        time.Time
	lastPercent   int
	anchorPercent int
	sinceAnchor   time.Duration
	// logRatio is the logarithm of the last measured ratio, measuredAt when it was measured by
	// the owner's clock; base is the ratio while its worker was not slow.
	logRatio   float64
	measuredAt time.Time
	base       float64
	hasBase    bool
	// gains are those of the last measurement, if it says anything; changed is set if its own
	// speed fell.
	gains         gains
	says, changed bool
}

// Begin records that the attempt began at a time by the worker's clock, without progress.
func (at *Attempt) Begin(began time.Time) {
	*at = Attempt{begun: true, lastAt: began}
}

// interrupt forgets what was measured, and continues from an observation.
func (at *Attempt) interrupt(ob Observation) {
	*at = Attempt{stats: at.stats, lastAt: ob.At, lastPercent: ob.Percent, anchorPercent: ob.Percent}
}

// advance adds the time since the last observation. It reports false if that says nothing.
func (at *Attempt) advance(ob Observation) bool {
	passed := ob.At.Sub(at.lastAt)
	if ob.Share <= 0 || ob.Estimate <= 0 || at.lastAt.IsZero() || passed < 0 || passed > maxGap || ob.Percent < at.lastPercent {
		at.interrupt(ob)
		return false
	}
	worked := time.Duration(float64(passed) * ob.Share)
	at.worked += worked
	at.sinceAnchor += worked
	at.lastAt, at.lastPercent = ob.At, ob.Percent
	return true
}

// measure returns the logarithm of the ratio of true to estimated time by the progress since the
// anchor. Less than half a per cent counts as half of one.
func (at *Attempt) measure(ob Observation) float64 {
	done := max(float64(ob.Percent-at.anchorPercent), 0.5) / 100
	return math.Log(float64(at.sinceAnchor) / done / float64(ob.Estimate))
}

// ObserveProgress records the progress of a running attempt.
func (mo *Model) ObserveProgress(wk *Worker, at *Attempt, ob Observation, now time.Time) {
	if !at.advance(ob) {
		return
	}
	if at.stats == nil {
		at.stats = mo.statsOf(ob.Kind, now)
	}
	if at.sinceAnchor >= at.interval(ob) {
		at.update(ob, wk.Slow(now), now)
	}
	if at.says && now.Sub(at.measuredAt) <= runningAge {
		wk.running = append(wk.running, evidence{job: ob.Job, filler: ob.Filler, changed: at.changed, gains: at.gains, at: at.measuredAt})
	}
}

// interval returns the time over which progress is measured.
func (at *Attempt) interval(ob Observation) time.Duration {
	ratio := 1.0
	if at.stats.known() {
		ratio = math.Exp(at.stats.ends.median())
	}
	return max(minInterval, time.Duration(minPart*ratio*float64(ob.Estimate)))
}

// update measures the progress since the anchor, and moves the anchor.
func (at *Attempt) update(ob Observation, slow bool, now time.Time) {
	at.logRatio, at.measuredAt = at.measure(ob), now
	at.anchorPercent, at.sinceAnchor = ob.Percent, 0
	at.says, at.changed = at.stats.known(), false
	change := at.logRatio - at.base
	if at.hasBase && !ob.Filler && change >= minChange {
		at.gains, at.says, at.changed = changeGains(change), true, true
		return
	}
	if at.says {
		at.gains = at.stats.runningGains(at.logRatio)
	}
	switch {
	case slow:
	case !at.hasBase || change <= -minChange:
		at.base, at.hasBase = at.logRatio, true
	default:
		at.base += change / 2
	}
}

// ObserveEnd records that an attempt has done its task, and learns how long the task took if the
// attempt was followed from its beginning.
func (mo *Model) ObserveEnd(wk *Worker, at *Attempt, ob Observation, now time.Time) {
	ob.Percent = 100
	if !at.advance(ob) {
		return
	}
	if at.stats == nil {
		at.stats = mo.statsOf(ob.Kind, now)
	}
	ks := at.stats
	if ks.known() && 100-at.anchorPercent >= minEndPercent && at.sinceAnchor > 0 {
		wk.recordEnd(evidence{job: ob.Job, filler: ob.Filler, gains: ks.endGains(at.measure(ob)), at: now})
	}
	if !at.begun || at.worked <= 0 {
		return
	}
	weight := 1.0
	if wk.suspected(now) {
		weight = slowWorkerWeight
	}
	mo.ends++
	ks.observedAt = now
	ks.ends.add(math.Log(float64(at.worked)/float64(ob.Estimate)), weight)
}
