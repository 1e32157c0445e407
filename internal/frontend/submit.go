package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
)

// Times of a submission.
const (
	// probeAfter is the interval at which the owner's process is probed while a submission has
	// no answer; probeTimeout bounds a probe. Both together are ownerTimeout, so that the
	// owner's loss delays a submission no longer than other requests.
	probeAfter   = 300 * time.Millisecond
	probeTimeout = ownerTimeout - probeAfter
	// slowAfter is the time from which an owner that answers probes counts as slow.
	slowAfter = 2 * probeAfter
	// fastStoreTimeout is the time within which a store that is not slow answers a read: some
	// 30 times the usual time.
	fastStoreTimeout = 120 * time.Millisecond
)

// Submit submits a job to the owner. While the owner's process answers and the store is slow, the
// answer is waited for as long as the caller waits: a write of the same job by this host would be
// slow too. If the owner can't be reached, is slow itself, or refuses the job because its own writes
// to the store fail, this host writes the job to the intake table. Submitting the same id again has
// no further effect.
func (fe *FrontEnd) Submit(ctx context.Context, id string, te job.Terms, sp job.Spec) sched.Verdict {
	start := time.Now()
	ve, err := fe.submitToOwner(ctx, submission{ID: id, Terms: te, Spec: job.SubmittedSpec{Spec: sp}})
	via := "owner"
	write := func(noEffect bool) sched.Verdict {
		via = "intake"
		return fe.writeIntake(ctx, sched.IntakeKey(fe.Cell, id), id, sched.IntakeRow{Terms: te, Spec: sp}, noEffect)
	}
	switch {
	case err != nil && ctx.Err() != nil && !errors.Is(err, errNotDelivered):
		ve = sched.Verdict{Outcome: sched.Unknown, Reason: sched.ReasonTimedOut, RetryAfter: retryAfter}
	case err != nil:
		ve = write(errors.Is(err, errNotDelivered))
	case fe.canWriteForOwner(ve) && fe.intakeGate.enter(ctx):
		// The owner's refusal is definite.
		ve = write(true)
		fe.intakeGate.leave(ve.Outcome == sched.Accepted)
	}
	fe.record("submit", id, te.Queue, via, ve, start, err)
	return ve
}

// submitToOwner sends a job to the owner and waits for its answer until ctx ends, or until a write to
// the intake is likely to be answered sooner.
func (fe *FrontEnd) submitToOwner(ctx context.Context, su submission) (sched.Verdict, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if row, ok := fe.Keeper.Current(); ok && row.Process != fe.Keeper.Process {
		go fe.cancelForIntake(ctx, row, cancel)
	}
	return callUntilDone(ctx, fe, pathSubmit, su, func(ctx context.Context, ow *sched.Owner) (sched.Verdict, error) {
		return ow.Submit(ctx, su.ID, su.Terms, su.Spec.Spec)
	})
}

// Reasons to end a request to the owner.
var (
	errOwnerSilent = errors.New("owner's process does not answer")
	errOwnerSlow   = errors.New("owner is slow, and the store is not")
)

// cancelForIntake cancels a request to the owner once its process no longer answers probes, or
// once it has taken slowAfter although the store is fast.
func (fe *FrontEnd) cancelForIntake(ctx context.Context, row tenure.OwnerRow, cancel context.CancelCauseFunc) {
	start := time.Now()
	for clock.Sleep(ctx, probeAfter) {
		pctx, end := context.WithTimeout(ctx, probeTimeout)
		hs, err := fe.ProbeHost(pctx, row.Addr, row.Epoch)
		end()
		if ctx.Err() != nil {
			return
		}
		if err != nil || hs.Process != row.Process {
			cancel(errOwnerSilent)
			return
		}
		if time.Since(start) >= slowAfter && fe.storeFast(ctx) {
			cancel(errOwnerSlow)
			return
		}
	}
}

// storeFast reports whether the store answers a read within fastStoreTimeout.
func (fe *FrontEnd) storeFast(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fastStoreTimeout)
	defer cancel()
	var row tenure.OwnerRow
	_, err := fe.Table.Get(ctx, tenure.OwnerKey(fe.Cell), &row)
	return err == nil
}
