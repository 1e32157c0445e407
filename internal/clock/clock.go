// Package clock has the one thing that the runtime's clock lacks: a pause that
// a context can end.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, or returns early if ctx ends. It reports whether it
// waited.
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
