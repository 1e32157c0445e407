package tenure

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// TestStalledOwnerExtendsNoLeaseUntilConfirmed guards against tasks of lost workers that
// may restart only 5.6 s late, so that long-running tasks run nowhere for 17 s.
//
// The owner's host stalls for 5.6 s as workers are lost, and another host takes the cell
// over. When the former owner resumes, its last confirmation is 6 s old, below the 8 s for
// which an owner may extend leases. So it sends polls that extend leases before it learns
// of its replacement, and then reports that it extended leases just now. The next owner
// waits for a whole lease from then on: attempts of workers lost at 11.9 s ended at
// 27.9 s, with why="its leases have lapsed" and quiet=14.39s, instead of at 22.2 s. It
// happened in two of six runs; in the others the report came before the polls.
func TestStalledOwnerExtendsNoLeaseUntilConfirmed(t *testing.T) {
	const stall = 5600 * time.Millisecond
	withStalledOwner := func(t *testing.T, test func(ke *Keeper, confirmed time.Time)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			ke := &Keeper{Log: slog.New(slog.DiscardHandler)}
			ke.former = &formerOwners{lastCeased: time.Now()}
			confirmed := time.Now()
			qt.Assert(t, ke.mayExtend(3, confirmed), qt.IsTrue)
			time.Sleep(stall)
			qt.Assert(t, ke.mayExtend(3, confirmed), qt.IsFalse)
			qt.Assert(t, ke.HostStatus().SinceLease, qt.Equals, stall)
			test(ke, confirmed)
		})
	}
	t.Run("until it is confirmed", func(t *testing.T) {
		withStalledOwner(t, func(ke *Keeper, _ time.Time) {
			time.Sleep(time.Millisecond)
			qt.Check(t, ke.mayExtend(3, time.Now()), qt.IsTrue)
			qt.Check(t, ke.HostStatus().SinceLease, qt.Equals, time.Duration(0))
		})
	})
	t.Run("unless the store is unavailable", func(t *testing.T) {
		withStalledOwner(t, func(ke *Keeper, confirmed time.Time) {
			time.Sleep(time.Millisecond)
			qt.Check(t, ke.stalls.confirmationValid(confirmed, time.Now()), qt.IsTrue)
			qt.Check(t, ke.stalls.confirmationValid(confirmed, ke.stalls.resumedAt.Add(-time.Millisecond)), qt.IsFalse)
		})
	})
	t.Run("a running owner may", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ke := &Keeper{Log: slog.New(slog.DiscardHandler)}
			ctx, end := context.WithCancel(t.Context())
			defer end()
			go ke.watchClocks(ctx)
			confirmed := time.Now()
			time.Sleep(stall)
			qt.Check(t, ke.mayExtend(3, confirmed), qt.IsTrue)
		})
	})
}

// TestReelectedOwnerExtendsLeasesAtOnce has a host own the cell again after another host
// did for a while. It was not stalled in between and must extend leases at once: what is
// left of them after a takeover is too short to wait for one more answer of the store.
func TestReelectedOwnerExtendsLeasesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		extended := map[int64]bool{}
		cl := &cluster{t: t, serveFunc: func(ctx context.Context, te Tenure) (map[string]int64, error) {
			mu.Lock()
			extended[te.Epoch] = te.MayExtend()
			mu.Unlock()
			<-ctx.Done()
			return nil, nil
		}}
		cl.addSized("e0", 0.8)
		time.Sleep(2 * time.Second)
		cl.addSized("e1", 0.8)
		time.Sleep(time.Second)
		first, second := cl.lastProcess("e0"), cl.lastProcess("e1")
		first.gate.Set(standin.Fault{Mode: standin.ModeDown})
		time.Sleep(HeartbeatTimeout + 2*time.Second)
		first.gate.Set(standin.Fault{})
		time.Sleep(10 * time.Second)
		cl.kill(second)
		time.Sleep(HeartbeatTimeout + 2*time.Second)
		cl.stop()
		mu.Lock()
		defer mu.Unlock()
		qt.Assert(t, extended, qt.DeepEquals, map[int64]bool{1: true, 2: true, 3: true})
	})
}

// TestSuspendedOwnerNeedsConfirmation advances the boot clock and the monotonic clock by
// different amounts. A host that was suspended extends no lease before the store has
// confirmed it anew, whether or not the store is available. The time between the readings
// of the two clocks must not count as a suspension.
func TestSuspendedOwnerNeedsConfirmation(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		monotonic, boot      time.Duration
		valid, validInOutage bool
	}{
		{"not suspended", 300 * time.Millisecond, 300 * time.Millisecond, true, true},
		{"one clock tick", 300 * time.Millisecond, 310 * time.Millisecond, true, true},
		{"briefly", 300 * time.Millisecond, 400 * time.Millisecond, false, false},
		{"shorter than a lease", 300 * time.Millisecond, 5300 * time.Millisecond, false, false},
		{"longer than a lease", 0, 20 * time.Second, false, false},
		{"stopped, not suspended", 2 * time.Second, 2 * time.Second, false, true},
		{"boot clock no longer known", 300 * time.Millisecond, -time.Hour, true, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			boot := time.Hour
			sd := stallDetector{bootFunc: func() time.Duration { return boot }}
			confirmed := time.Now()
			qt.Assert(t, sd.check(), qt.Equals, time.Duration(0))
			time.Sleep(tc.monotonic)
			boot += tc.boot
			sd.check()
			time.Sleep(time.Millisecond)
			qt.Check(t, sd.confirmationValid(confirmed, time.Time{}), qt.Equals, tc.valid, qt.Commentf("%s", tc.name))
			qt.Check(t, sd.confirmationValid(confirmed, time.Now()), qt.Equals, tc.validInOutage, qt.Commentf("%s", tc.name))
			qt.Check(t, sd.confirmationValid(time.Now(), time.Time{}), qt.IsTrue, qt.Commentf("%s", tc.name))
		})
	}
}
