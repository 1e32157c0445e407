package sched

import (
	"log/slog"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Cause is what a job's time is spent on. At each moment a job has exactly one cause, so the
// times of its causes add up to its age.
type Cause int8

// The causes.
const (
	// CauseOrder: a task waits for a write, or for an order to reach its worker.
	CauseOrder Cause = iota
	// CauseWork: all tasks that can run do so at full speed.
	CauseWork
	// CausePaced: all tasks that can run do so, but one of them is slowed down to protect a
	// service.
	CausePaced
	// CauseRoom: a task waits because no worker that it may run on has the capacity.
	CauseRoom
	// CausePlace: a filler waits because it would harm services wherever it fits, or finds no
	// idle processors there; or a task waits to run isolated, or for the only worker that it may
	// run on while orders to start it are outstanding.
	CausePlace
	// CauseStop: an attempt is being stopped, to continue on another worker.
	CauseStop
	// CauseStore: the store accepts no writes.
	CauseStore

	causes

	// CauseBackoff: a long-running task that failed several times in a row waits for its
	// backoff to end. The time of such jobs is not accounted, so this cause is not counted
	// with the others.
	CauseBackoff = causes
	// CauseHeadroom: a long-running task that never ran waits because the workers that have the
	// capacity are kept for short work. It is not counted either.
	CauseHeadroom = causes + 1
)

// causeNames are the names of the causes in logs and metrics.
var causeNames = [causes]string{"order", "work", "paced", "room", "place", "stop", "store"}

// String returns the cause's name.
func (ca Cause) String() string {
	switch ca {
	case CauseBackoff:
		return "rest"
	case CauseHeadroom:
		return "headroom"
	}
	return causeNames[ca]
}

// CauseNames returns the names of the causes that the time of a job is accounted to, in their
// order.
func CauseNames() []string { return causeNames[:] }

// Logging of waits.
const (
	// firstWaitLog is how long a job waits before that is logged. Each further line follows
	// after twice the wait of the last, so that a job has few lines however long it waits.
	firstWaitLog = time.Second
)

// timeBreakdown is a job's time by cause.
type timeBreakdown struct {
	byCause [causes]time.Duration
	// accountedUntil is the time up to which byCause accounts for the job's age.
	accountedUntil time.Time
	// nextWaitLog is the wait after which the next line is logged.
	nextWaitLog time.Duration
	// failed counts the attempts that failed, moved those stopped to continue elsewhere.
	failed, moved int
}

// accountTime accounts the time since the last call to the current causes of the jobs that
// have not ended, and logs those that wait. The time of long-running jobs is not accounted.
func (ow *Owner) accountTime(now time.Time) {
	down := ow.storeDown()
	ow.lag.RecordVisits(len(ow.finiteJobs) + len(ow.waitingJobs))
	for tj := range ow.finiteJobs {
		tj.addTime(tj.currentCause(down), now)
	}
	for _, tj := range ow.waitingJobs {
		ow.logWait(tj, now)
	}
}

// addTime accounts the time since the last call to a cause.
func (tj *trackedJob) addTime(ca Cause, now time.Time) {
	if tj.timeBreakdown.accountedUntil.IsZero() {
		tj.timeBreakdown.accountedUntil = tj.acceptedAt
	}
	tj.timeBreakdown.byCause[ca] += max(now.Sub(tj.timeBreakdown.accountedUntil), 0)
	tj.timeBreakdown.accountedUntil = now
}

// currentCause returns what the job's time is spent on now.
func (tj *trackedJob) currentCause(storeDown bool) Cause {
	switch {
	case storeDown && (tj.waitingTasks > 0 || tj.progressVersion == 0):
		return CauseStore
	case tj.progressVersion == 0:
		return CauseOrder
	case tj.waitingTasks > 0:
		return tj.waitCause
	}
	worst := CauseWork
	tj.ow.lag.RecordVisits(len(tj.attempts))
	for _, at := range tj.attempts {
		switch {
		case at.superseded:
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

// attrs returns the log attributes of a job's time, in milliseconds.
func (tb *timeBreakdown) attrs() []slog.Attr {
	list := make([]slog.Attr, 0, causes+2)
	for ca, d := range tb.byCause {
		list = append(list, slog.Int64(causeNames[ca]+"_ms", d.Milliseconds()))
	}
	return append(list, slog.Int("failed", tb.failed), slog.Int("moved", tb.moved))
}

// logWait logs a job whose tasks have waited for long.
func (ow *Owner) logWait(tj *trackedJob, now time.Time) {
	wait := now.Sub(tj.waitingSince)
	if wait < max(tj.timeBreakdown.nextWaitLog, firstWaitLog) {
		return
	}
	tj.timeBreakdown.nextWaitLog = 2 * wait
	ca := tj.currentCause(ow.storeDown())
	attrs := []slog.Attr{slog.String("for", ca.String()), slog.Duration("wait", wait), slog.Int("tasks", tj.waitingTasks)}
	if tj.jo.LongRunning() {
		attrs = append(attrs, slog.Int("again", tj.waitingInterrupted(tj.waitingStep())))
	}
	if step := tj.waitingStep(); (ca == CauseRoom || ca == CauseHeadroom) && step >= 0 {
		attrs = append(attrs, ow.findShortage(tj, step, now).attrs()...)
	}
	if !tj.jo.LongRunning() {
		ow.logTimeBreakdown("job waits", tj, now, attrs...)
		return
	}
	named := []slog.Attr{slog.String("job", tj.jo.ID), slog.String("queue", tj.jo.Terms.Queue)}
	ow.Log.LogAttrs(ow.ctx, slog.LevelInfo, "lasting tasks wait", append(named, attrs...)...)
}

// waitingStep returns the first step with waiting tasks, or -1.
func (tj *trackedJob) waitingStep() int {
	for step := range tj.jo.Spec.Steps {
		if tj.waitingIn(step) > 0 {
			return step
		}
	}
	return -1
}

// logJobTime logs and counts the time by cause of a job that has ended.
func (ow *Owner) logJobTime(tj *trackedJob, now time.Time) {
	if tj.jo.LongRunning() {
		return
	}
	tj.addTime(tj.currentCause(ow.storeDown()), now)
	for ca, d := range tj.timeBreakdown.byCause {
		if d > 0 {
			ow.Metrics.Add(telemetry.JobTime, d.Milliseconds(), "cause", causeNames[ca])
		}
	}
	ow.logTimeBreakdown("job time", tj, now)
}

// logTimeBreakdown logs a job's time by cause.
func (ow *Owner) logTimeBreakdown(msg string, tj *trackedJob, now time.Time, more ...slog.Attr) {
	attrs := append([]slog.Attr{
		slog.String("job", tj.jo.ID), slog.String("queue", tj.jo.Terms.Queue), slog.String("state", string(tj.jo.State())),
		slog.Int64("age_ms", now.Sub(tj.acceptedAt).Milliseconds()), slog.Int64("aim_ms", tj.targetMS),
	}, more...)
	ow.Log.LogAttrs(ow.ctx, slog.LevelInfo, msg, append(attrs, tj.timeBreakdown.attrs()...)...)
}
