// Package hedge marks an idempotent request for hedging: a request without an
// answer is sent again on a new connection, and the first answer counts.
//
// The policy travels in the context, since only the caller knows whether the
// request may be executed twice and how long an answer takes; package transport
// carries it out.
package hedge

import (
	"context"
	"time"
)

// Policy says when a request without an answer is sent again on a new
// connection, in addition to those in flight. The first answer counts.
type Policy struct {
	// Wait is how long the peer was asked to delay its answer (long polling).
	Wait time.Duration
	// After is how much longer than Wait an answer may take before the request
	// is sent again. The interval doubles for each further copy, so that
	// hedging adds little load to a saturated link.
	After time.Duration
	// Steady keeps the interval between copies equal. It suits small requests whose
	// first answer shows that an outage of the peer is over.
	Steady bool
}

type contextKey struct{}

// NewContext returns a context whose requests are hedged. Use it only for
// requests that may be executed more than once.
func NewContext(ctx context.Context, po Policy) context.Context {
	return context.WithValue(ctx, contextKey{}, po)
}

// FromContext returns the policy of a request, if it has one.
func FromContext(ctx context.Context) (Policy, bool) {
	po, ok := ctx.Value(contextKey{}).(Policy)
	return po, ok
}
