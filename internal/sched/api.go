package sched

import (
	"context"
	"errors"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Outcome is what became of a request to change something.
type Outcome string

// The outcomes.
const (
	// Accepted: it is durable.
	Accepted Outcome = "accepted"
	// Refused: it was not done and never will be.
	Refused Outcome = "refused"
	// Unknown: it may be done, or may be yet. Asking again tells.
	Unknown Outcome = "unknown"
	// NoJob: there is no such job.
	NoJob Outcome = "no-job"
)

// Reason is a stable word for why something was not accepted.
type Reason string

// The reasons.
const (
	ReasonStoreUnavailable Reason = "store-away"
	ReasonNotOwner         Reason = "not-owner"
	ReasonCellFull         Reason = "cell-full"
	ReasonTimedOut         Reason = "timed-out"
	ReasonUnreachable      Reason = "unreachable"
)

// Verdict is the answer to a request to change something.
type Verdict struct {
	// Outcome says what became of it.
	Outcome Outcome `json:"outcome"`
	// Reason says why, if it was not accepted.
	Reason Reason `json:"reason,omitempty"`
	// RetryAfter is when to come back, for a refusal.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// Errors of an owner whose tenure is over.
var (
	// ErrOver: it did not take the request.
	ErrTenureOver = errors.New("tenure is over")
	// ErrUnsettled: its tenure ended with the request on its way, which may
	// have taken effect.
	ErrOutcomeUnknown = errors.New("tenure ended with the request on its way")
)

// Limits on what is taken on.
const (
	// jobsMost bounds the jobs that are not over, which bounds memory: some
	// 4 kB a job.
	maxJobs = 20_000
	// retryAfter is when a caller is told to come back.
	retryAfter = time.Second
)

// ask runs fn in the loop, which calls its argument once with the answer.
func call[T any](ctx context.Context, ow *Owner, fn func(func(T))) (T, error) {
	var zero T
	out := make(chan T, 1)
	if !ow.post(func() { fn(func(t T) { out <- t }) }) {
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

// Submit takes a job on. If ctx ends first the outcome is unknown.
func (ow *Owner) Submit(ctx context.Context, id string, te job.Terms, sp job.Spec) (Verdict, error) {
	return call(ctx, ow, func(answer func(Verdict)) { ow.submit(id, te, sp, answer) })
}

func (ow *Owner) submit(id string, te job.Terms, sp job.Spec, answer func(Verdict)) {
	if en := ow.entries[id]; en != nil {
		ow.resubmit(en, answer)
		return
	}
	if ow.storeDown() {
		answer(ow.refuse(id, ReasonStoreUnavailable))
		return
	}
	if len(ow.entries) >= maxJobs {
		answer(ow.refuse(id, ReasonCellFull))
		return
	}
	en := ow.addJob(job.New(id, te, sp))
	en.waiters = append(en.waiters, answer)
	ow.markDirty(en)
}

// submitAgain answers for a job that was handed in before.
func (ow *Owner) resubmit(en *entry, answer func(Verdict)) {
	switch {
	case en.progressVersion > 0:
		ow.Log.Info("job handed in again", "job", en.jo.ID, "state", en.writtenState, "version", en.progressVersion)
		answer(Verdict{Outcome: Accepted})
	case ow.storeDown():
		answer(Verdict{Outcome: Unknown, Reason: ReasonStoreUnavailable})
	default:
		en.waiters = append(en.waiters, answer)
	}
}

func (ow *Owner) refuse(id string, why Reason) Verdict {
	ow.Log.Info("job refused", "job", id, "reason", why)
	ow.Metrics.Add(telemetry.JobVerdicts, 1, "outcome", string(Refused), "reason", string(why))
	return Verdict{Outcome: Refused, Reason: why, RetryAfter: retryAfter}
}

// answer tells those who wait for a job's first write.
func (ow *Owner) answerWaiters(en *entry, ve Verdict) {
	for _, fn := range en.waiters {
		ow.Metrics.Add(telemetry.JobVerdicts, 1, "outcome", string(ve.Outcome), "reason", string(ve.Reason))
		fn(ve)
	}
	en.waiters = nil
}

// Cancel ends a job for its caller.
func (ow *Owner) Cancel(ctx context.Context, id string) (Verdict, error) {
	return call(ctx, ow, func(answer func(Verdict)) { ow.cancel(id, answer) })
}

func (ow *Owner) cancel(id string, answer func(Verdict)) {
	en := ow.entries[id]
	if en == nil || en.progressVersion == 0 {
		answer(Verdict{Outcome: NoJob})
		return
	}
	if en.writtenState.Final() {
		answer(Verdict{Outcome: Accepted})
		return
	}
	if !en.jo.State().Final() {
		en.jo.Cancelled = true
		ow.Log.Info("job cancelled", "job", id, "running", len(en.attempts))
		ow.stopFinished(en)
		ow.markDirty(en)
	}
	if ow.storeDown() {
		answer(Verdict{Outcome: Unknown, Reason: ReasonStoreUnavailable})
		return
	}
	if en.dirty || en.writing {
		en.onWritten = append(en.onWritten, func() { answer(Verdict{Outcome: Accepted}) })
		if !en.dirty {
			ow.markDirty(en)
		}
	}
}

// State returns a job's state; ok is false if the owner knows no such job.
func (ow *Owner) State(ctx context.Context, id string) (state job.State, ok bool, err error) {
	state, err = call(ctx, ow, func(answer func(job.State)) {
		if en := ow.entries[id]; en != nil {
			answer(en.reportedState())
			return
		}
		answer("")
	})
	return state, state != "", err
}

// Pending counts the jobs of a queue none of whose tasks has begun.
func (ow *Owner) Pending(ctx context.Context, queue string) (int, error) {
	return call(ctx, ow, func(answer func(int)) {
		n := 0
		for _, en := range ow.entries {
			if en.jo.Terms.Queue == queue && en.writtenState == job.Queued {
				n++
			}
		}
		answer(n)
	})
}
