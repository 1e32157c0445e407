// Package clock adds to package time a sleep that a context can end, and the time since
// boot including suspensions. It has no clock of its own that tests could replace.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, or returns early if ctx ends. It reports whether it waited for all
// of d. It starts no timer that has expired already: in a bubble of testing/synctest, a
// select on one can crash the race detector of Go 1.26.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}
