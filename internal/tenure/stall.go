package tenure

import (
	"context"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
)

// Intervals and thresholds for detecting stalls.
const (
	// clockCheckInterval is the time between checks of the clocks.
	clockCheckInterval = 200 * time.Millisecond
	// stallAfter is the time between two checks that counts as a stall. With a lower
	// threshold, a host with a tenth of a core that waits to be scheduled would count as
	// stalled.
	stallAfter = time.Second
	// minSuspension is by how much the boot clock must advance more than the monotonic
	// clock for the host to count as suspended. Some clocks tick every 10 ms.
	minSuspension = 50 * time.Millisecond
)

// stallDetector detects that the process did not run for a while: it was stopped or
// starved, or its host was suspended, which the monotonic clock does not count.
// Conclusions that the process drew from elapsed time may then be outdated. The zero value
// is ready to use.
type stallDetector struct {
	// bootFunc returns the time since the host was booted, including suspensions. It is nil
	// if that is not known.
	bootFunc func() time.Duration
	// checkedAt is when the clocks were last read, boot the reading of the boot clock then.
	checkedAt time.Time
	boot      time.Duration
	// resumedAt is when the process last resumed, or zero. suspended is set if its host had
	// been suspended.
	resumedAt time.Time
	suspended bool
}

// check reads the clocks and returns how long the process was stalled, or zero.
func (sd *stallDetector) check() time.Duration {
	now := time.Now()
	var boot time.Duration
	if sd.bootFunc != nil {
		boot = sd.bootFunc()
	}
	first, monotonic, bootElapsed := sd.checkedAt.IsZero(), now.Sub(sd.checkedAt), boot-sd.boot
	// checkedAt was read before the boot clock and time.Since is read after it, so at most
	// this much monotonic time passed between the two readings of the boot clock.
	suspended := bootElapsed-time.Since(sd.checkedAt) >= minSuspension
	sd.checkedAt, sd.boot = now, boot
	if first || monotonic < stallAfter && !suspended {
		return 0
	}
	sd.resumedAt, sd.suspended = time.Now(), suspended
	return max(monotonic, bootElapsed)
}

// confirmationValid reports whether a confirmation at the given time still counts. After a
// stall the tenure must be confirmed anew, unless a call of the store has failed since: a
// store that is down can't confirm the tenure, and can't accept another owner's claim
// either. That exception does not hold after a suspension, as the age of the last
// confirmation does not include it.
func (sd *stallDetector) confirmationValid(confirmed, failed time.Time) bool {
	return sd.resumedAt.IsZero() || confirmed.After(sd.resumedAt) || failed.After(sd.resumedAt) && !sd.suspended
}

// watchClocks records stalls until ctx ends. It also runs while another host owns the
// cell. Otherwise the first check of a tenure would take the time since the last one for a
// stall, and the new owner would have to wait for one more answer of the store before it
// extends leases.
func (ke *Keeper) watchClocks(ctx context.Context) {
	for clock.Sleep(ctx, clockCheckInterval) {
		ke.mu.Lock()
		ke.checkClocks()
		ke.mu.Unlock()
	}
}

// mayExtend reports whether an owner last confirmed at the given time may extend leases of
// workers, and if so records that it is about to. Without the check for stalls, an owner
// that resumes would extend leases before it learns that it was replaced, and the next
// owner would wait for these leases: 177 long-running tasks of lost workers were restarted
// 5.6 s late for that reason.
func (ke *Keeper) mayExtend(epoch int64, confirmed time.Time) bool {
	failed := ke.watch.LastFailure()
	ke.mu.Lock()
	ke.checkClocks()
	valid := ke.stalls.confirmationValid(confirmed, failed)
	ke.mu.Unlock()
	return valid && ke.recordExtension(epoch, confirmed)
}

func (ke *Keeper) checkClocks() {
	ke.stalls.bootFunc = ke.BootFunc
	if d := ke.stalls.check(); d > 0 {
		ke.Log.Warn("process stood still", "cell", ke.Cell, "for", d, "suspended", ke.stalls.suspended)
	}
}
