package tenure

import (
	"context"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
)

// Numbers of processes that stand still.
const (
	// lookAtClocksEvery is the time between looks at the clocks.
	clockCheckInterval = 200 * time.Millisecond
	// stillAfter is how long a process must not have looked at them to have stood still:
	// less than a host of a tenth of a core may wait for its turn would count as that.
	stallAfter = time.Second
	// suspendedAfter is how much more time must have passed than the steady clock counts
	// for the host to have been suspended: some clocks tick each 10 ms.
	minSuspension = 50 * time.Millisecond
)

// stillness tells when a process has not run for a while: it was stopped or starved, or its
// host was suspended, which the steady clock does not count. What the process believes to
// be so by the time that has passed may then not be so any more. The zero value is ready.
type stallDetector struct {
	// bootFunc returns the time since the host was booted, with that of suspensions; nil
	// is not known.
	bootFunc func() time.Duration
	// looked is when the clocks were last read, boot what the other one then read.
	checkedAt time.Time
	boot      time.Duration
	// woke is when the process last went on, or zero, and suspended is set if its host had
	// been suspended.
	resumedAt time.Time
	suspended bool
}

// look reads the clocks, and returns for how long the process stood still, or zero.
func (sd *stallDetector) check() time.Duration {
	now := time.Now()
	var boot time.Duration
	if sd.bootFunc != nil {
		boot = sd.bootFunc()
	}
	first, steady, all := sd.checkedAt.IsZero(), now.Sub(sd.checkedAt), boot-sd.boot
	// At most so much steady time passed between the readings of the other clock.
	suspended := all-time.Since(sd.checkedAt) >= minSuspension
	sd.checkedAt, sd.boot = now, boot
	if first || steady < stallAfter && !suspended {
		return 0
	}
	sd.resumedAt, sd.suspended = time.Now(), suspended
	return max(steady, all)
}

// trusts reports whether what was confirmed at a moment still counts: since the process
// stood still it must have been confirmed anew. A store that failed a call since can't
// confirm anything, and replaces no owner; but time that was spent suspended is not in the
// age of what it confirmed last.
func (sd *stallDetector) confirmationValid(confirmed, failed time.Time) bool {
	return sd.resumedAt.IsZero() || confirmed.After(sd.resumedAt) || failed.After(sd.resumedAt) && !sd.suspended
}

// lookAtClocks notes when the process stood still, until ctx ends: also while another host
// owns the cell, as a new owner can't wait for one more answer before it extends leases.
func (ke *Keeper) watchClocks(ctx context.Context) {
	for clock.Sleep(ctx, clockCheckInterval) {
		ke.mu.Lock()
		ke.checkClocks()
		ke.mu.Unlock()
	}
}

// mayExtend reports whether workers may be told leases by an owner that was last confirmed
// at a moment, and notes that they are about to be. An owner that stood still told leases as
// it woke, before it knew that it had been replaced, and so had the next one wait for
// these: 177 lasting tasks of lost workers were free 5.6 s later than by the leases before.
func (ke *Keeper) mayExtend(epoch int64, confirmed time.Time) bool {
	failed := ke.watch.Failed()
	ke.mu.Lock()
	ke.checkClocks()
	trusts := ke.stalls.confirmationValid(confirmed, failed)
	ke.mu.Unlock()
	return trusts && ke.recordExtension(epoch, confirmed)
}

func (ke *Keeper) checkClocks() {
	ke.stalls.bootFunc = ke.BootFunc
	if d := ke.stalls.check(); d > 0 {
		ke.Log.Warn("process stood still", "cell", ke.Cell, "for", d, "suspended", ke.stalls.suspended)
	}
}
