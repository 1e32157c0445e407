// Package timelimit bounds the time of calls to other processes.
//
// A peer may accept a request and never answer, or stop in the middle of the answer, and keep the
// connection open. Each function that sends an HTTP request therefore sends it with a context of
// [Apply]; TestRequestsHaveTimeLimit checks that for the whole program.
package timelimit

import (
	"context"
	"time"
)

// Default bounds a call whose context has no deadline, from its start to the last byte of the
// answer. The store's slowest answers take 4 s: 1 MB at 2 Mbit/s.
const Default = 5 * time.Second

// Apply returns a context with the deadline of ctx, or with one in [Default] if ctx has none.
func Apply(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, Default)
}
