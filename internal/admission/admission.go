// Package admission decides whether a submitted job is accepted or refused because there is
// not enough capacity to do it while it is of value to its caller.
//
// A [Load] is a snapshot of the workers and the accepted work of one service. It gives the
// [Forecast] for a [Request]: the capacity for the job and the work ahead of it. The
// [Controller] decides by the forecast, and promises refused callers turns to come back. A
// [Throughput] measures how much work the capacity does, as estimates may be off by nine tenths.
//
// A false refusal loses a job that could have been served. A job that is accepted but ends too
// late costs little, as jobs that can no longer be of value are started last. A job is therefore
// refused only if its forecast end exceeds its limit by a margin.
//
// The package uses no clock and no network: all times are arguments. Nothing in it is safe for
// concurrent use.
package admission

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Kind is a kind of work by the capacity that it uses.
type Kind int8

// The kinds of work.
const (
	// Reserving tasks reserve processors.
	Reserving Kind = iota
	// Filler tasks use the processor time that other tasks leave idle.
	Filler

	kinds
)

// String returns the name of the kind.
func (ki Kind) String() string {
	if ki == Filler {
		return "filler"
	}
	return "reserving"
}

// Request is a job to decide about. Work is in thousandths of a core times milliseconds.
type Request struct {
	// ID and Queue are the job's id and queue, Service is that of its workers.
	ID      string
	Queue   string
	Service string
	// Kind is the kind of most of the job's work.
	Kind Kind
	// Priority 0 is the highest. Among jobs of equal priority those of lower Cost run first.
	Priority int
	Cost     float64
	// Work is the work of the job, Chain its longest chain of steps.
	Work  int64
	Chain time.Duration
	// Each is the size of the tasks of its largest step, Label the label that these require,
	// LargestWork the part of Work in steps of that size.
	Each        worker.Resources
	Label       string
	LargestWork int64
	// Limit is how long after its first try the job is of value; 0 is no limit.
	Limit time.Duration
}

// Forecast holds what is known of the capacity for a job and of the work ahead of it.
type Forecast struct {
	// Capacity is the processors that whole tasks of the job's largest step can use, Free the
	// part of it that no task uses now, and Total what tasks of any size can use, all in
	// thousandths of a core.
	Capacity, Free, Total int64
	// Efficiency is the work done per unit of capacity; 0 counts as 1.
	Efficiency float64
	// Ahead is the remaining work of the jobs that are ordered before the job, Waiting the
	// processors that the tasks of these jobs which may start now wait for.
	Ahead, Waiting int64
	// Arriving is the rate at which work has arrived recently that is ordered before the job,
	// in thousandths of a core.
	Arriving int64
}

// effective returns the work per millisecond that a capacity does.
func (fo Forecast) effective(capacity int64) float64 {
	if fo.Efficiency <= 0 {
		return float64(capacity)
	}
	return float64(capacity) * fo.Efficiency
}

// drainTime returns how long the capacity needs for an amount of work.
func (fo Forecast) drainTime(work, capacity int64) time.Duration {
	if work <= 0 {
		return 0
	}
	if capacity <= 0 {
		return forever
	}
	return milliseconds(float64(work) / fo.effective(capacity))
}

// ownTime returns how long the job takes once the work ahead has drained. The capacity for whole
// tasks of the largest step bounds only the work of such tasks: the others fit elsewhere too.
func (fo Forecast) ownTime(re Request) time.Duration {
	return max(re.Chain, fo.drainTime(re.LargestWork, fo.Capacity), fo.drainTime(re.Work, fo.Total))
}

// wait returns how long it takes until the work ahead has drained, if work goes on to arrive
// for at most arrivalHorizon at the rate at which it did.
func (fo Forecast) wait(ahead int64) time.Duration {
	horizon := float64(arrivalHorizon.Milliseconds())
	rate := fo.effective(fo.Total)
	if net := rate - float64(fo.Arriving); net > 0 && float64(ahead)/net <= horizon {
		return milliseconds(float64(ahead) / net)
	}
	if rate <= 0 {
		return forever
	}
	return milliseconds((float64(ahead) + float64(fo.Arriving)*horizon) / rate)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, float64(forever/time.Millisecond)) * float64(time.Millisecond))
}

// startsNow reports whether a task of the job finds capacity even if all tasks ahead start
// before it.
func (fo Forecast) startsNow(re Request) bool {
	return fo.Free >= fo.Waiting+max(re.Each.MilliCores, 1)
}

// forever is longer than the limit of any job.
const forever = 1000 * time.Hour

// Cause says why a request was admitted or refused.
type Cause string

// Causes of decisions.
const (
	// CauseNoLimit: the job has no time limit or no work. CauseUnknown: no capacity is known.
	CauseNoLimit Cause = "no-limit"
	CauseUnknown Cause = "unknown"
	// CauseFree: capacity for a task is free.
	CauseFree Cause = "free"
	// CauseInTime: the forecast end is within the limit and its margin.
	CauseInTime Cause = "in-time"
	// CauseTurn: the caller returned in its turn.
	CauseTurn Cause = "turn"
	// CauseSize: jobs of this size are refused much more often than all of the queue.
	CauseSize Cause = "size"
	// CauseTooLate: the forecast end is too late. The job is refused.
	CauseTooLate Cause = "too-late"
	// CauseEarly: the caller returned before its turn. The job is refused.
	CauseEarly Cause = "early"
)

// Decision is the decision about a request.
type Decision struct {
	// Admitted is set if the job is accepted. Cause says why, or why not.
	Admitted bool
	Cause    Cause
	// RetryAfter is when the caller of a refused job is to come back. HasTurn is set if a turn
	// is kept for it.
	RetryAfter time.Duration
	HasTurn    bool
	// FirstTry is when the caller first tried, as far as it is known.
	FirstTry time.Time
	// Wait is the forecast time until the work ahead has drained, End that until the job has
	// ended. Promised is the part of the work ahead that is promised to turns.
	Wait, End time.Duration
	Promised  int64
}

// Margins of the forecast, as parts of the limit. A job is refused only if its forecast end
// exceeds the limit by the margin, which allows for errors of the estimates. Urgent jobs have a
// larger margin, as they are to be refused last.
const (
	margin       = 0.25
	urgentMargin = 1.0
)

// Parameters of turns, as parts of the time that a job has left. Turns that come only when all work
// ahead has drained, and admit every caller, serve no more jobs than refusing none.
const (
	// slackPart is the part of the time that is left to begin a job in time after which its
	// caller has its turn at the latest. A later turn is of no use to the job.
	slackPart = 0.5
	// returnReserve is the part of the limit that has to be left in reserve when a job is
	// admitted in its turn, for work that arrives later and goes first.
	returnReserve = 0.3
)

// Controller decides about requests. The zero value is ready to use and keeps no turns.
type Controller struct {
	turns turns
	sizes map[string]*sizeRecord
}

// Decide admits or refuses a job.
func (co *Controller) Decide(re Request, fo Forecast, now time.Time) Decision {
	co.turns.expire(now)
	de := Decision{FirstTry: now}
	tu, returned := co.turns.find(re.ID)
	if returned {
		de.FirstTry = tu.firstTry
	}
	de.Promised = co.turns.ahead(re, tu)
	de.Wait = fo.wait(fo.Ahead + de.Promised)
	own, used := fo.ownTime(re), now.Sub(de.FirstTry)
	de.End = de.Wait + own
	de.Cause = co.judge(re, fo, used, de.End)
	switch {
	case de.Cause != CauseTooLate:
		de.Admitted = true
	case returned && now.Before(tu.at.Add(-earlyTolerance)):
		de.Cause, de.RetryAfter, de.HasTurn = CauseEarly, max(tu.at.Sub(now), minRetryAfter), true
		return de
	case returned && used+own <= withMargin(re) && inTurn(re, fo, used+own):
		de.Admitted, de.Cause = true, CauseTurn
	}
	co.turns.remove(re.ID)
	if !de.Admitted {
		de.RetryAfter, de.HasTurn = co.promise(re, de, used+own, now)
	}
	if !returned && de.Cause != CauseNoLimit && de.Cause != CauseUnknown {
		co.recordSize(re, de.Admitted)
	}
	return de
}

// withMargin returns the forecast end from which on a job is refused, as time since its first
// try.
func withMargin(re Request) time.Duration {
	part := margin
	if re.Priority == 0 {
		part = urgentMargin
	}
	return time.Duration(float64(re.Limit) * (1 + part))
}

// judge returns why a job is admitted regardless of turns, or CauseTooLate. used is the time
// since its first try, end the forecast time until it has ended.
func (co *Controller) judge(re Request, fo Forecast, used, end time.Duration) Cause {
	switch {
	case re.Limit <= 0 || re.Work <= 0:
		return CauseNoLimit
	case fo.Total <= 0:
		return CauseUnknown
	case fo.startsNow(re):
		return CauseFree
	case used+end <= withMargin(re):
		return CauseInTime
	case used == 0 && co.neglects(re):
		return CauseSize
	}
	return CauseTooLate
}

// inTurn reports whether the job of a caller that returned in its turn is admitted: if it can end
// in time behind the work that is accepted already. It goes before callers without a turn, and
// before other turns.
func inTurn(re Request, fo Forecast, end time.Duration) bool {
	end += fo.drainTime(fo.Ahead, fo.Total)
	return re.Priority == 0 || end <= time.Duration(float64(re.Limit)*(1-returnReserve))
}

// promise promises a turn to a refused caller whose job would end at the given time since its
// first try if it began now. A job that could then not be done in time even by an idle cell
// gets none.
func (co *Controller) promise(re Request, de Decision, end time.Duration, now time.Time) (time.Duration, bool) {
	if end > withMargin(re) {
		return maxPromise, false
	}
	latest := time.Duration(float64(re.Limit-end) * slackPart)
	return co.turns.promise(re, min(de.Wait, latest), de.FirstTry, now)
}

// Forget removes the turn of a job that was accepted in another way.
func (co *Controller) Forget(id string) { co.turns.remove(id) }

// Turns returns how many turns are kept.
func (co *Controller) Turns(now time.Time) int {
	co.turns.expire(now)
	return len(co.turns.byID)
}
