package frontend

import (
	"context"
	"sync"
	"time"
)

// intakeGate limits the jobs that this host writes to the intake because the owner's own writes
// fail. The store may be unavailable to all hosts, and a write without an answer leaves its caller
// in doubt. So one write goes first, and the others wait for its result: after a success all
// follow, after a failure none for storeRetryDelay. The zero value is ready.
type intakeGate struct {
	mu sync.Mutex
	// tried is closed when the first write has its result; nil while there is none.
	tried chan struct{}
	// openUntil and closedUntil are until when the last results count.
	openUntil, closedUntil time.Time
}

// enter reports whether a job may be written, after the result of a first write if there is one
// without. Each true result must be followed by a call of [intakeGate.leave].
func (ig *intakeGate) enter(ctx context.Context) bool {
	for {
		tried, ok := ig.tryEnter(time.Now())
		if tried == nil {
			return ok
		}
		select {
		case <-tried:
		case <-ctx.Done():
			return false
		}
	}
}

// tryEnter reports whether a job may be written now, or returns a channel to wait for.
func (ig *intakeGate) tryEnter(now time.Time) (tried <-chan struct{}, ok bool) {
	ig.mu.Lock()
	defer ig.mu.Unlock()
	switch {
	case now.Before(ig.closedUntil):
		return nil, false
	case now.Before(ig.openUntil):
		return nil, true
	case ig.tried != nil:
		return ig.tried, false
	}
	ig.tried = make(chan struct{})
	return nil, true
}

// leave records whether a write succeeded.
func (ig *intakeGate) leave(succeeded bool) {
	ig.mu.Lock()
	defer ig.mu.Unlock()
	until := time.Now().Add(storeRetryDelay)
	if succeeded {
		ig.openUntil = until
	} else {
		ig.openUntil, ig.closedUntil = time.Time{}, until
	}
	if ig.tried != nil {
		close(ig.tried)
		ig.tried = nil
	}
}
