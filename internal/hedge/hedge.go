// Package hedge says of a call that it may be sent once more while it has no answer.
// Who makes the call knows whether that does harm and how long an answer takes;
// package transport carries it out.
package hedge

import (
	"context"
	"time"
)

// Policy says when a request that has no answer yet is sent once more on a new
// connection, beside those that wait. The first that is answered counts.
type Policy struct {
	// Wait is how long the peer was asked to wait with its answer.
	Wait time.Duration
	// After is how much longer an answer may take before the request is doubled. Each
	// further one is sent after twice the time of the one before, so that over a link
	// that is full a request does not add much to what fills it.
	After time.Duration
}

type contextKey struct{}

// With has requests be doubled. It is for requests only that may be carried out more
// than once.
func NewContext(ctx context.Context, po Policy) context.Context {
	return context.WithValue(ctx, contextKey{}, po)
}

// Of returns the policy of a request, if it has one.
func FromContext(ctx context.Context) (Policy, bool) {
	po, ok := ctx.Value(contextKey{}).(Policy)
	return po, ok
}
