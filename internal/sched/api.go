package sched

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Outcome is the result of a request that changes a job.
type Outcome string

// Outcomes of requests.
const (
	// Accepted means that the change is durable.
	Accepted Outcome = "accepted"
	// Refused means that the change was not made and will not be made later.
	Refused Outcome = "refused"
	// Unknown means that the change may have been made or may still be made. A repeated
	// request returns a definite answer.
	Unknown Outcome = "unknown"
	// NoJob means that there is no such job.
	NoJob Outcome = "no-job"
)

// Reason is a stable word for why a request was not accepted.
type Reason string

// Reasons of refusals and unknown outcomes.
const (
	ReasonStoreUnavailable Reason = "store-away"
	ReasonNotOwner         Reason = "not-owner"
	ReasonCellFull         Reason = "cell-full"
	ReasonTimedOut         Reason = "timed-out"
	ReasonUnreachable      Reason = "unreachable"
	// ReasonTooLarge: the store can't take the job.
	ReasonTooLarge Reason = "too-large"
	// ReasonNoCapacity: the job could not be done by its time limit.
	ReasonNoCapacity Reason = "no-capacity"
)

// Verdict is the answer to a request that changes a job.
type Verdict struct {
	// Outcome is the result.
	Outcome Outcome `json:"outcome"`
	// Reason says why the request was not accepted.
	Reason Reason `json:"reason,omitempty"`
	// RetryAfter is how long to wait before a retry after a refusal, in nanoseconds in JSON.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Errors of an owner whose tenure is over.
var (
	// ErrTenureOver means that the owner did not take the request.
	ErrTenureOver = errors.New("tenure as owner is over")
	// ErrOutcomeUnknown means that the tenure ended while the request was in progress; it may
	// have taken effect.
	ErrOutcomeUnknown = errors.New("tenure as owner ended before the request completed")
)

// Limit on jobs, and the retry delay of refusals.
const (
	// maxJobs bounds the jobs in memory, which take about 4 kB each.
	maxJobs = 20_000
	// retryAfter is the delay before a retry that a refusal asks for.
	retryAfter = time.Second
)

// call runs fn in the loop and returns the answer, with which fn calls its argument once. The
// error is ErrTenureOver if fn does not run, and ctx.Err() or ErrOutcomeUnknown if ctx or the
// tenure ends before the answer.
func call[T any](ctx context.Context, ow *Owner, fn func(func(T))) (T, error) {
	return callTo(ctx, ow, looplag.Other, fn)
}

// callTo runs fn as a part of the loop's work.
func callTo[T any](ctx context.Context, ow *Owner, pa looplag.Part, fn func(func(T))) (T, error) {
	var zero T
	out := make(chan T, 1)
	if !ow.postTo(pa, func() { fn(func(t T) { out <- t }) }) {
		return zero, ErrTenureOver
	}
	select {
	case t := <-out:
		return t, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-ow.ended:
		return zero, ErrOutcomeUnknown
	}
}

// Submit accepts a job. It returns once the job is durable or refused. If ctx ends first, the
// outcome is unknown. Submitting the same id again has no further effect.
func (ow *Owner) Submit(ctx context.Context, id string, te job.Terms, sp job.Spec) (Verdict, error) {
	return callTo(ctx, ow, looplag.Submissions, func(answer func(Verdict)) { ow.submit(id, te, sp, answer) })
}

func (ow *Owner) submit(id string, te job.Terms, sp job.Spec, answer func(Verdict)) {
	if tj := ow.jobs[id]; tj != nil {
		ow.resubmit(tj, answer)
		return
	}
	if ow.storeDown() || ow.unreadable[id] {
		answer(ow.refuse(id, ReasonStoreUnavailable))
		return
	}
	if len(ow.jobs) >= maxJobs {
		answer(ow.refuse(id, ReasonCellFull))
		return
	}
	jo := job.New(id, te, sp)
	de := ow.decide(jo, time.Now())
	if !de.Admitted {
		answer(ow.refuseAfter(ReasonNoCapacity, de.RetryAfter))
		return
	}
	tj := ow.addJob(jo)
	tj.waitedBefore = tj.acceptedAt.Sub(de.FirstTry)
	tj.waiters = append(tj.waiters, answer)
	ow.markDirty(tj)
}

// resubmit answers for a job that was submitted before.
func (ow *Owner) resubmit(tj *trackedJob, answer func(Verdict)) {
	if tj.progressVersion == 0 && !tj.imported {
		tj.waiters = append(tj.waiters, answer)
		return
	}
	ow.Log.Info("job submitted again", "job", tj.jo.ID, "state", tj.writtenState, "version", tj.progressVersion)
	answer(Verdict{Outcome: Accepted})
}

// refuseUnsent refuses the new jobs that no write has contained yet, while the store takes no
// writes: they certainly are not stored. Jobs that an entry host has stored in the intake are
// kept.
func (ow *Owner) refuseUnsent() {
	for _, tj := range slices.Clone(ow.dirtyJobs) {
		if tj.progressVersion == 0 && !tj.writing && !tj.imported {
			ow.withdraw(tj, ReasonStoreUnavailable)
		}
	}
}

// withdraw removes a job that was never sent to the store, with the starts that wait for its
// first write, and refuses it.
func (ow *Owner) withdraw(tj *trackedJob, why Reason) {
	for _, at := range tj.attempts {
		ow.recordEnd(tj, at.ref, at.number, job.EndNeverRan, "", "its job was not stored")
	}
	tj.removing = true
	ow.recountWaiting(tj)
	ow.dirtyJobs = slices.DeleteFunc(ow.dirtyJobs, func(other *trackedJob) bool { return other == tj })
	delete(ow.jobs, tj.jo.ID)
	delete(ow.finiteJobs, tj)
	ow.Log.Info("job refused", "job", tj.jo.ID, "reason", why, "age", time.Since(tj.acceptedAt))
	ve := Verdict{Outcome: Refused, Reason: why, RetryAfter: retryAfter}
	if why == ReasonTooLarge {
		ve.RetryAfter = 0
	}
	ow.answerWaiters(tj, ve)
}

func (ow *Owner) refuse(id string, why Reason) Verdict {
	ow.Log.Info("job refused", "job", id, "reason", why)
	return ow.refuseAfter(why, retryAfter)
}

// refuseAfter returns a refusal with the time after which to retry, and counts it.
func (ow *Owner) refuseAfter(why Reason, after time.Duration) Verdict {
	ow.Metrics.Add(telemetry.JobVerdicts, 1, "outcome", string(Refused), "reason", string(why))
	return Verdict{Outcome: Refused, Reason: why, RetryAfter: after}
}

// answerWaiters answers the callers that wait for a job's first write.
func (ow *Owner) answerWaiters(tj *trackedJob, ve Verdict) {
	for _, fn := range tj.waiters {
		ow.Metrics.Add(telemetry.JobVerdicts, 1, "outcome", string(ve.Outcome), "reason", string(ve.Reason))
		fn(ve)
	}
	tj.waiters = nil
}

// Cancel cancels a job. It returns once that is durable, or with the outcome Unknown if the
// store takes no writes. The outcome is Accepted also for a job that has ended, and NoJob for
// one that is not known or not written yet. If ctx ends first, the outcome is unknown.
func (ow *Owner) Cancel(ctx context.Context, id string) (Verdict, error) {
	return callTo(ctx, ow, looplag.Submissions, func(answer func(Verdict)) { ow.cancel(id, answer) })
}

func (ow *Owner) cancel(id string, answer func(Verdict)) {
	tj := ow.jobs[id]
	if ow.unreadable[id] {
		answer(Verdict{Outcome: Unknown, Reason: ReasonStoreUnavailable})
		return
	}
	if tj == nil || tj.progressVersion == 0 {
		answer(Verdict{Outcome: NoJob})
		return
	}
	if tj.writtenState.Final() {
		answer(Verdict{Outcome: Accepted})
		return
	}
	if !tj.jo.State().Final() {
		tj.jo.Cancelled = true
		ow.Log.Info("job cancelled", "job", id, "running", len(tj.attempts))
		ow.stopFinished(tj)
		ow.markDirty(tj)
	}
	if ow.storeDown() {
		answer(Verdict{Outcome: Unknown, Reason: ReasonStoreUnavailable})
		return
	}
	if tj.dirty || tj.writing {
		tj.onWritten = append(tj.onWritten, func() { answer(Verdict{Outcome: Accepted}) })
		if !tj.dirty {
			ow.markDirty(tj)
		}
	}
}

// State returns the last written state of a job; ok is false if the owner has no such job, or
// has not written it yet.
func (ow *Owner) State(ctx context.Context, id string) (state job.State, ok bool, err error) {
	unreadable := false
	state, err = callTo(ctx, ow, looplag.Submissions, func(answer func(job.State)) {
		unreadable = ow.unreadable[id]
		if tj := ow.jobs[id]; tj != nil {
			answer(tj.reportedState())
			return
		}
		answer("")
	})
	if err == nil && unreadable {
		err = errUnreadable
	}
	return state, state != "", err
}

// errUnreadable is returned for jobs whose rows cannot be decoded.
var errUnreadable = errors.New("rows of the job cannot be read")

// Pending counts the jobs of a queue of which no worker is known to have begun a task, and those
// whose last written state is that none was started.
func (ow *Owner) Pending(ctx context.Context, queue string) (int, error) {
	return callTo(ctx, ow, looplag.Submissions, func(answer func(int)) {
		n := 0
		for tj := range ow.allJobs() {
			if tj.jo.Terms.Queue == queue && (tj.writtenState == job.Queued || tj.writtenState == job.Running && tj.jo.Waits()) {
				n++
			}
		}
		answer(n)
	})
}
