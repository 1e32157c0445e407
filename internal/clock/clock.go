// Package clock adds to package time a sleep that a context can end, and the time since
// boot including suspensions. It has no clock of its own that tests could replace.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, or returns early if ctx ends. It reports whether it waited for all
// of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return false
	}
}
