package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/route"
)

// Guard lets requests marked run-once through at the entry host that got
// them. Set the fields before use.
type Guard struct {
	// DCs are all data centres.
	DCs []string
	// Take asks the owner of the shard in a data centre. An error says that
	// no verdict came.
	Take func(ctx context.Context, dc, resource string, req TakeRequest) (Decision, error)
	// Release tells that owner of a sending that did not run. It may fail.
	Release func(dc, resource string, req ReleaseRequest)
}

// The numbers of asking an owner.
const (
	takeAttemptTimeout = 500 * time.Millisecond
	takeTimeout        = 1500 * time.Millisecond
	claimRetryDelay    = 2 * time.Second
)

// Do runs a request if its id is let through, and says what is known.
func (gu *Guard) Do(ctx context.Context, text string, run func(context.Context) route.Result) route.Result {
	id, err := Parse(text)
	if err != nil {
		return route.NotRunResult(reason.IDMalformed, 0)
	}
	home := id.HomeIn(gu.DCs)
	req := TakeRequest{ID: text, Submission: uuid.NewString()}
	dec, err := gu.take(ctx, home, id.Shard(), req)
	if err != nil {
		return unknownResult(reason.ClaimAway)
	}
	if !dec.Granted {
		return refusalResult(dec.Reason)
	}
	res := run(ctx)
	if res.Outcome == route.NotRun {
		gu.Release(home, id.Shard(), ReleaseRequest(req))
	}
	return res
}

// take asks until there is a verdict or time is up. An owner that is no
// longer one is asked for again: another may be known by then.
func (gu *Guard) take(ctx context.Context, home, shard string, req TakeRequest) (Decision, error) {
	return backoff.Retry(ctx, func() (Decision, error) {
		actx, cancel := context.WithTimeout(ctx, takeAttemptTimeout)
		defer cancel()
		dec, err := gu.Take(actx, home, shard, req)
		if err == nil && dec.Reason == reason.ClaimAway {
			err = errNotOwner
		}
		return dec, err
	}, backoff.WithBackOff(takeBackOff()), backoff.WithMaxElapsedTime(takeTimeout))
}

func takeBackOff() backoff.BackOff {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = 20 * time.Millisecond
	return bo
}

// refused turns a verdict into the final word. Where the id may have been let
// through before, what became of it is not known here.
func refusalResult(why reason.Reason) route.Result {
	switch why {
	case reason.IDMalformed, reason.ClaimFull:
		// Neither was ever let through: the one cannot be, and of the other
		// the owner has full memory.
		return route.NotRunResult(why, claimRetryDelay)
	case reason.IDStale, reason.ClaimTaken:
		return route.Result{Outcome: route.Unknown, Reason: why}
	}
	return unknownResult(why)
}

func unknownResult(why reason.Reason) route.Result {
	return route.Result{Outcome: route.Unknown, Reason: why, RetryAfter: claimRetryDelay}
}
