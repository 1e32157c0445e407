package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Limits on attempts without progress.
const (
	// stalledAfter is how long an attempt may show no progress, in addition to stalledPart
	// of its task's estimated time: a worker reports progress in whole per cents, and
	// estimates are off by half.
	stalledAfter = time.Second
	stalledPart  = 0.06
	// stalledPolls is how many polls in a row must have shown no progress.
	stalledPolls = 2
	// stalledDoublings bounds how often the limit doubles, once for each time that the task was
	// found stalled. Without the doubling, a task that took 300 times its estimate was stopped
	// every 3 s forever, and a worker was quarantined each time.
	stalledDoublings = 6
	// stalledPercents is how many times the average time that the attempt has taken for one
	// per cent it may show no progress, if that is longer. Without it a task that took 3 s for
	// each per cent was stopped at its last one, after 300 s, in one of 1,000 runs.
	stalledPercents = 3
	// stalledQuarantine is how long a worker is quarantined after an attempt stalled on it.
	stalledQuarantine = 2500 * time.Millisecond
)

// recordProgress records the progress that a poll reported, in per cent.
func (at *attempt) recordProgress(percent int, now time.Time) {
	begins := at.progressedAt.IsZero() || at.effectivePace() <= heldMaxPace
	if begins {
		at.workingSince, at.workingClock, at.initialProgress = now, at.wk.speed.clock, percent
	}
	if begins || percent != at.progress {
		at.progressedAt, at.pollsWithoutProgress = now, 0
	} else {
		at.pollsWithoutProgress++
	}
	at.progress, at.seenClock = percent, at.wk.speed.clock
}

// stalled reports whether an attempt has made no progress for too long.
func (at *attempt) stalled(now time.Time) bool {
	if at.step().LongRunning || !at.wk.ow.enabled(MechStall) || at.pollsWithoutProgress < stalledPolls || !at.haltSentAt.IsZero() {
		return false
	}
	part := time.Duration(stalledPart * float64(at.step().EstimateMS) * float64(time.Millisecond))
	limit := (stalledAfter + part) << min(at.tj.stallCounts[at.ref], stalledDoublings)
	return now.Sub(at.progressedAt) > max(limit, stalledPercents*at.timePerPercent())
}

// timePerPercent returns how long the attempt has taken on average for each per cent so far,
// or 0 if it has completed none.
func (at *attempt) timePerPercent() time.Duration {
	done := at.progress - at.initialProgress
	if done <= 0 {
		return 0
	}
	return at.progressedAt.Sub(at.workingSince) / time.Duration(done)
}

// stopStalled stops a stalled attempt, so that its task is retried elsewhere, and
// quarantines the worker.
func (wk *workerState) stopStalled(at *attempt, now time.Time) {
	if at.tj.stallCounts == nil {
		at.tj.stallCounts = map[job.TaskRef]int{}
	}
	at.tj.stallCounts[at.ref]++
	wk.ow.Metrics.Add(telemetry.Stalls, 1)
	wk.quarantine(stalledQuarantine, "attempts stand still")
	wk.ow.halt(at, "no progress for "+now.Sub(at.progressedAt).Round(time.Millisecond).String())
}
