package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/route"
)

// Guard admits run-once requests at the entry host that received them. Set the
// fields before use.
type Guard struct {
	// DCs are the names of all data centres.
	DCs []string
	// Take asks the owner of a shard in a data centre for a decision. An error
	// means that none was received.
	Take func(ctx context.Context, dc, resource string, req TakeRequest) (Decision, error)
	// Release informs that owner of a submission that did not run. It is best
	// effort.
	Release func(dc, resource string, req ReleaseRequest)
}

// Timeouts of asking the owner, and the delay after which a caller may retry.
const (
	takeAttemptTimeout = 500 * time.Millisecond
	takeTimeout        = 1500 * time.Millisecond
	claimRetryDelay    = 2 * time.Second
)

// Do runs a request if its id is admitted, and returns what is known about it.
func (gu *Guard) Do(ctx context.Context, text string, run func(context.Context) route.Result) route.Result {
	id, err := Parse(text)
	if err != nil {
		return route.NotRunResult(reason.IDMalformed, 0)
	}
	home := id.HomeIn(gu.DCs)
	req := TakeRequest{ID: text, Submission: uuid.NewString()}
	dec, err := gu.take(ctx, home, id.Shard(), req)
	if err != nil {
		return unknownResult(reason.ClaimOwnerUnavailable)
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

// take asks until it gets a decision or takeTimeout has passed. If the host
// asked is no longer the owner it asks again, since a new owner may be known by
// then.
func (gu *Guard) take(ctx context.Context, home, shard string, req TakeRequest) (Decision, error) {
	return backoff.Retry(ctx, func() (Decision, error) {
		actx, cancel := context.WithTimeout(ctx, takeAttemptTimeout)
		defer cancel()
		dec, err := gu.Take(actx, home, shard, req)
		if err == nil && dec.Reason == reason.ClaimOwnerUnavailable {
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

// refusalResult turns a denial into the result of the request. If the id may
// have been admitted before, its outcome is not known here.
func refusalResult(why reason.Reason) route.Result {
	switch why {
	case reason.IDMalformed, reason.ClaimMemoryFull:
		// The id has not been admitted: it is invalid, or the owner has no space
		// to record it.
		return route.NotRunResult(why, claimRetryDelay)
	case reason.IDStale, reason.ClaimTaken:
		return route.Result{Outcome: route.Unknown, Reason: why}
	}
	return unknownResult(why)
}

func unknownResult(why reason.Reason) route.Result {
	return route.Result{Outcome: route.Unknown, Reason: why, RetryAfter: claimRetryDelay}
}
