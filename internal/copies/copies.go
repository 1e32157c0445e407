// Package copies decides which running tasks get a second attempt, the copy, on another
// worker.
//
// A copy pays where the worker of the first attempt is slow. It does not where the task is
// long, as the length belongs to the task and the copy takes as long. The progress of an
// attempt alone shows only the product of both. The package therefore compares it with that
// of the other attempts on the same worker, which share its speed, and with that of the
// sibling tasks on other workers, which share the error of the estimate.
//
// The package uses no clock and no network, and keeps no state between decisions.
package copies

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits and assumptions of the decision.
const (
	// startDelay is how long it takes from the decision until a copy works: its start is
	// written in 12 ms, behind the write in flight, and the order takes 5 ms. The rest is for
	// a busy owner.
	startDelay = 150 * time.Millisecond
	// A copy must be expected to end earlier than the first attempt by minGain, and by
	// gainShare of its own run time. Task lengths have a sigma of the logarithm of 0.5, so
	// forecasts of run times are rough.
	minGain   = 200 * time.Millisecond
	gainShare = 0.25
	// minSlowdown is the slowdown of a worker from which on its tasks may get copies;
	// workers above maxTargetSlowdown get none. The slow workers of the users are four to six
	// times slower.
	minSlowdown       = 1.8
	maxTargetSlowdown = 1.4
	// minWorked is the time at work from which on the progress of an attempt counts, as
	// progress is reported in whole per cents.
	minWorked = 200 * time.Millisecond
	// silentAfter is how long a worker must be silent before its tasks get copies. Lost
	// answers and changes of the path to a worker take less.
	silentAfter = time.Second
	// maxPerRound bounds the copies of one decision. A job may have a copy for each
	// tasksPerCopy tasks of its copied steps at the same time, and minPerJob in any case: up
	// to a sixth of the workers are slow at once.
	maxPerRound  = 16
	tasksPerCopy = 4
	minPerJob    = 2
)

// Weights against few observations, in numbers of observations that say the opposite. The
// spread of single tasks is as large as the smallest slowdown of interest, and 3 tasks of 100
// take 7 times as long as others.
const (
	// priorSiblings says that the estimate is right, priorWorker that a worker is as fast as
	// others, and priorAlone the same of a worker that only the task itself tells of.
	priorSiblings = 2.0
	priorWorker   = 0.5
	priorAlone    = 0.7
)

// Attempt is a running attempt of a task that ends by itself.
type Attempt struct {
	// Job, Step and Index identify its task.
	Job         string
	Step, Index int
	// Worker identifies its worker.
	Worker string
	// Expected is how long an attempt of the task is expected to take on a healthy worker.
	Expected time.Duration
	// Done is its progress in percent during Worked, and Left what was left then. SinceSeen
	// is how long ago that was reported.
	Done, Left        int
	Worked, SinceSeen time.Duration
	// SilentFor is how long its worker has not answered, and Lapses the time until its leases
	// have expired, after which the task would start again.
	SilentFor, Lapses time.Duration
	// MayCopy is set if the task may have a copy.
	MayCopy bool
}

// Job is a job with running attempts.
type Job struct {
	// Priority 0 is the highest.
	Priority int
	// Tasks is the number of tasks in steps that allow copies, Copies the number of tasks with
	// two attempts now.
	Tasks, Copies int
	// Age is the time since its submission, After the expected time from the end of the
	// running steps to that of the job.
	Age, After time.Duration
	// Target is its target time, and Limit the time until which it is of value; 0 for none.
	Target, Limit time.Duration
	// Ended has by step the number of tasks that are done, and the sum of the logarithms of
	// their run times divided by what was expected.
	Ended map[int]Ended
}

// Ended summarizes the run times of the tasks of a step that are done. Its zero value has
// none; [Ended.With] adds one.
type Ended struct {
	n      int
	logSum float64
}

// With returns the summary with one more task, which took a time where another was expected.
func (en Ended) With(took, expected time.Duration) Ended {
	if took <= 0 || expected <= 0 {
		return en
	}
	return Ended{n: en.n + 1, logSum: en.logSum + logRatio(took, expected)}
}

// Class says what a copy is expected to do for its job.
type Class int

// The classes, best first.
const (
	// InTime: with copies the job is expected to meet its target, and without it is not.
	InTime Class = iota
	// OfValue: the same for the time until which the job is of value.
	OfValue
	// Sooner: the job is expected to end sooner.
	Sooner
	// TooLate: the job is not expected to be of value even with copies.
	TooLate
)

// String returns the class's name in logs and metrics.
func (cl Class) String() string {
	return [...]string{"in-time", "of-value", "sooner", "too-late"}[cl]
}

// Choice is a task that is to get a copy.
type Choice struct {
	// Attempt is the task's running attempt.
	Attempt Attempt
	// Remaining is how long that is expected to run, and Fresh how long the copy is. Slowdown
	// is the estimated slowdown of its worker; 0 if that is silent.
	Remaining, Fresh time.Duration
	Slowdown         float64
	// Class is what the copy is expected to do for the job.
	Class Class
}

// gain returns how much sooner the task is expected to end.
func (ch *Choice) gain() time.Duration { return ch.Remaining - startDelay - ch.Fresh }

// Plan is a decision.
type Plan struct {
	// Choices are the tasks that are to get copies, the most useful first.
	Choices []Choice
	// ev has what is known of workers; nil in a zero Plan.
	ev *evidence
}

// Healthy reports whether a worker is fast enough for a copy. A worker of which nothing is
// known is.
func (pl *Plan) Healthy(id string) bool {
	return pl.ev == nil || pl.ev.slowdownOf(id) <= maxTargetSlowdown
}

// Decide returns the tasks that are to get copies, and what it knows of the speed of workers.
// jobs has the jobs of the attempts by id.
func Decide(attempts []Attempt, jobs map[string]Job) Plan {
	ev := newEvidence(attempts, jobs)
	var late []Choice
	for i := range attempts {
		if ch, ok := ev.judge(i); ok {
			late = append(late, ch)
		}
	}
	if len(late) > 0 {
		ev.classify(late)
	}
	return Plan{Choices: limit(late, jobs), ev: ev}
}

// limit sorts the choices, the most useful first, and drops those above the bounds.
func limit(late []Choice, jobs map[string]Job) []Choice {
	slices.SortStableFunc(late, func(a, b Choice) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(jobs[a.Attempt.Job].Priority, jobs[b.Attempt.Job].Priority), cmp.Compare(b.gain(), a.gain()))
	})
	perJob := map[string]int{}
	var chosen []Choice
	for _, ch := range late {
		jo := jobs[ch.Attempt.Job]
		if len(chosen) == maxPerRound || jo.Copies+perJob[ch.Attempt.Job] >= max(minPerJob, jo.Tasks/tasksPerCopy) {
			continue
		}
		perJob[ch.Attempt.Job]++
		chosen = append(chosen, ch)
	}
	return chosen
}

// logRatio returns the logarithm of a/b.
func logRatio(a, b time.Duration) float64 { return math.Log(float64(a) / float64(b)) }

// scale returns d multiplied by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
