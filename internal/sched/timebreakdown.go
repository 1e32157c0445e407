package sched

import (
	"log/slog"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Cause is what a job's time goes to. Each moment of a job has one, so that its
// causes add up to its age.
type Cause int8

// The causes.
const (
	// CauseOrder: a task waits for a write or for an order to reach its worker.
	CauseOrder Cause = iota
	// CauseWork: all tasks that may run do, at full speed.
	CauseWork
	// CausePaced: the same, but one of them is slowed for the sake of a service.
	CausePaced
	// CauseRoom: a task waits, as no worker that it may run on has room.
	CauseRoom
	// CausePlace: a filler waits, as it would disturb services wherever it has
	// room, or finds no idle processors there; or a task waits to be tried alone.
	CausePlace
	// CauseStop: an attempt is being stopped, to go on elsewhere.
	CauseStop
	// CauseStore: the store takes no writes.
	CauseStore

	causes

	// CauseRest: a task that lasts and failed several times in a row is not to begin yet.
	// The time of such jobs is not added up, so it has no place among the others.
	CauseBackoff = causes
)

// causeNames are the names of causes in logs and metrics.
var causeNames = [causes]string{"order", "work", "paced", "room", "place", "stop", "store"}

// String returns the cause's name.
func (ca Cause) String() string {
	if ca == CauseBackoff {
		return "rest"
	}
	return causeNames[ca]
}

// CauseNames returns the names of the causes that a job's time is added up by, in their
// order.
func CauseNames() []string { return causeNames[:] }

// Waits that are told.
const (
	// firstWaitLog is how long a job waits before a line tells of it; the next one
	// follows after twice as long, so that a job has few lines however long it
	// waits.
	firstWaitLog = time.Second
)

// timeBreakdown is what the time of a job went to.
type timeBreakdown struct {
	byCause [causes]time.Duration
	// accountedUntil is the moment up to which time is accounted for.
	accountedUntil time.Time
	// nextWaitLog is the wait after which a line tells of it.
	nextWaitLog time.Duration
	// failed and moved count its attempts that failed, and that were stopped to
	// go on elsewhere.
	failed, moved int
}

// accountTime adds the time since the last look to what jobs that are not over spend
// it on, and tells of those that wait. The time of jobs that last is not added up.
func (ow *Owner) accountTime(now time.Time) {
	down := ow.storeDown()
	for _, en := range ow.entries {
		if !en.endedAt.IsZero() {
			continue
		}
		if !en.jo.Endless() {
			en.addTime(en.currentCause(down), now)
		}
		ow.logWait(en, now)
	}
}

// addTime books the time since the last look under a cause.
func (en *entry) addTime(ca Cause, now time.Time) {
	if en.timeBreakdown.accountedUntil.IsZero() {
		en.timeBreakdown.accountedUntil = en.acceptedAt
	}
	en.timeBreakdown.byCause[ca] += max(now.Sub(en.timeBreakdown.accountedUntil), 0)
	en.timeBreakdown.accountedUntil = now
}

// currentCause is what the job's time goes to now.
func (en *entry) currentCause(storeDown bool) Cause {
	switch {
	case storeDown && (en.waitingTasks > 0 || en.progressVersion == 0):
		return CauseStore
	case en.progressVersion == 0:
		return CauseOrder
	case en.waitingTasks > 0:
		return en.waitCause
	}
	worst := CauseWork
	for _, at := range en.attempts {
		switch {
		case !at.haltSentAt.IsZero():
			return CauseStop
		case at.launchedAt.IsZero():
			worst = CauseOrder
		case at.pace >= 0 && at.pace < fullPace && worst == CauseWork:
			worst = CausePaced
		}
	}
	return worst
}

// attrs are the fields of log lines on a job's time, in milliseconds.
func (sp *timeBreakdown) attrs() []slog.Attr {
	list := make([]slog.Attr, 0, causes+2)
	for ca, d := range sp.byCause {
		list = append(list, slog.Int64(causeNames[ca]+"_ms", d.Milliseconds()))
	}
	return append(list, slog.Int("failed", sp.failed), slog.Int("moved", sp.moved))
}

// logWait writes a line on a job whose tasks have waited for long.
func (ow *Owner) logWait(en *entry, now time.Time) {
	wait := now.Sub(en.waitingSince)
	if en.waitingTasks == 0 || wait < firstWaitLog {
		en.timeBreakdown.nextWaitLog = firstWaitLog
		return
	}
	if wait < en.timeBreakdown.nextWaitLog {
		return
	}
	en.timeBreakdown.nextWaitLog = 2 * wait
	lack := en.currentCause(ow.storeDown())
	attrs := []slog.Attr{slog.String("for", lack.String()), slog.Duration("wait", wait), slog.Int("tasks", en.waitingTasks)}
	if en.jo.Endless() {
		attrs = append(attrs, slog.Int("again", en.waitingInterrupted(en.waitingStep())))
	}
	if step := en.waitingStep(); lack == CauseRoom && step >= 0 {
		attrs = append(attrs, ow.findShortage(en, step, now).attrs()...)
	}
	if !en.jo.Endless() {
		ow.logTimeBreakdown("job waits", en, now, attrs...)
		return
	}
	named := []slog.Attr{slog.String("job", en.jo.ID), slog.String("queue", en.jo.Terms.Queue)}
	ow.Log.LogAttrs(ow.ctx, slog.LevelInfo, "lasting tasks wait", append(named, attrs...)...)
}

// waitingStep returns the first step of which tasks wait, or -1.
func (en *entry) waitingStep() int {
	for step := range en.jo.Spec.Steps {
		if en.waitingIn(step) > 0 {
			return step
		}
	}
	return -1
}

// logJobTime writes a line on what the time of a job that is over went to, and
// counts it.
func (ow *Owner) logJobTime(en *entry, now time.Time) {
	if en.jo.Endless() {
		return
	}
	en.addTime(en.currentCause(ow.storeDown()), now)
	for ca, d := range en.timeBreakdown.byCause {
		if d > 0 {
			ow.Metrics.Add(telemetry.JobTime, d.Milliseconds(), "cause", causeNames[ca])
		}
	}
	ow.logTimeBreakdown("job time", en, now)
}

// logTimeBreakdown writes a line with what the time of a job went to.
func (ow *Owner) logTimeBreakdown(msg string, en *entry, now time.Time, more ...slog.Attr) {
	attrs := append([]slog.Attr{
		slog.String("job", en.jo.ID), slog.String("queue", en.jo.Terms.Queue), slog.String("state", string(en.jo.State())),
		slog.Int64("age_ms", now.Sub(en.acceptedAt).Milliseconds()), slog.Int64("aim_ms", en.targetMS),
	}, more...)
	ow.Log.LogAttrs(ow.ctx, slog.LevelInfo, msg, append(attrs, en.timeBreakdown.attrs()...)...)
}
