package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Attempts that stand still.
const (
	// stalledAfter is how long an attempt may show no progress, besides
	// stalledPart of its task's estimated time: a worker reports whole per cent,
	// and estimates are off by half.
	stalledAfter = time.Second
	stalledPart  = 0.06
	// stalledLooks is how many looks must have shown none.
	stalledLooks = 2
	// stalledDoublings is how often the time doubles, each time that a task was found to
	// stand still: one that is 300 times as long as estimated was stopped each 3 s, for
	// ever, and set a worker aside each time.
	stalledDoublings = 6
	// stalledPerCents is how many of its own per cent's time an attempt may show none: one
	// that took 3 s for each was stopped at its last, after 300 s, in one of 1,000 plays.
	stalledPerCents = 3
	// asideStalled is how long a worker is set aside on which an attempt stands
	// still.
	asideStalled = 2500 * time.Millisecond
)

// follow takes in how far an attempt has come.
func (at *attempt) follow(percent int, now time.Time) {
	begins := at.movedAt.IsZero() || at.speed() <= heldPace
	if begins {
		at.firstAt, at.first = now, percent
	}
	if begins || percent != at.percent {
		at.movedAt, at.still = now, 0
	} else {
		at.still++
	}
	at.percent = percent
}

// stalled reports whether an attempt that should get on stands still.
func (at *attempt) stalled(now time.Time) bool {
	if at.step().Endless || !at.ho.ow.uses(MechStall) || at.still < stalledLooks || !at.halted.IsZero() {
		return false
	}
	part := time.Duration(stalledPart * float64(at.step().EstimateMS) * float64(time.Millisecond))
	limit := (stalledAfter + part) << min(at.en.stood[at.ref], stalledDoublings)
	return now.Sub(at.movedAt) > max(limit, stalledPerCents*at.perCent())
}

// perCent is how long the attempt took for each per cent so far, or 0 if it did none.
func (at *attempt) perCent() time.Duration {
	done := at.percent - at.first
	if done <= 0 {
		return 0
	}
	return at.movedAt.Sub(at.firstAt) / time.Duration(done)
}

// relieve stops an attempt that stands still, so that it is tried elsewhere.
func (ho *workerState) relieve(at *attempt, now time.Time) {
	if at.en.stood == nil {
		at.en.stood = map[job.TaskRef]int{}
	}
	at.en.stood[at.ref]++
	ho.ow.Metrics.Add(telemetry.Stalls, 1)
	ho.setAside(asideStalled, "attempts stand still")
	ho.ow.halt(at, "no progress for "+now.Sub(at.movedAt).Round(time.Millisecond).String())
}
