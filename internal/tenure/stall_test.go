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

// TestOwnerThatStoodStillTellsNoLease is the story of lasting tasks that were free 5.6 s
// later than they had to be.
//
// Users see tasks that last run nowhere for 17 s. Order of events: the owner's host stands
// still for 5.6 s, and workers are lost for good in the same moment; another host takes the
// cell over; the first wakes, and before it learns that it was replaced it sends looks that
// extend leases, as the store had confirmed it 6 s before, under the 8 s for which an owner
// may go on. Asked when it last told a lease it says "just now", so that the next owner
// waits for a whole lease from then on. Evidence: "attempts of a lost worker ended ..
// why="its leases have lapsed" quiet=14.39s" at 27.9 s for workers lost at 11.9 s, in two of
// six plays; in the others, in which the answer came before the looks, at 22.2 s.
func TestStalledOwnerExtendsNoLeaseUntilConfirmed(t *testing.T) {
	const stood = 5600 * time.Millisecond
	still := func(t *testing.T, test func(ke *Keeper, confirmed time.Time)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			ke := &Keeper{Log: slog.New(slog.DiscardHandler)}
			ke.former = &formerOwners{lastCeased: time.Now()}
			confirmed := time.Now()
			qt.Assert(t, ke.mayExtend(3, confirmed), qt.IsTrue)
			time.Sleep(stood)
			qt.Assert(t, ke.mayExtend(3, confirmed), qt.IsFalse)
			qt.Assert(t, ke.HostStatus().SinceLease, qt.Equals, stood)
			test(ke, confirmed)
		})
	}
	t.Run("until it is confirmed", func(t *testing.T) {
		still(t, func(ke *Keeper, _ time.Time) {
			time.Sleep(time.Millisecond)
			qt.Check(t, ke.mayExtend(3, time.Now()), qt.IsTrue)
			qt.Check(t, ke.HostStatus().SinceLease, qt.Equals, time.Duration(0))
		})
	})
	t.Run("unless the store is away", func(t *testing.T) {
		still(t, func(ke *Keeper, confirmed time.Time) {
			time.Sleep(time.Millisecond)
			qt.Check(t, ke.stalls.confirmationValid(confirmed, time.Now()), qt.IsTrue)
			qt.Check(t, ke.stalls.confirmationValid(confirmed, ke.stalls.resumedAt.Add(-time.Millisecond)), qt.IsFalse)
		})
	})
	t.Run("unlike one that runs", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ke := &Keeper{Log: slog.New(slog.DiscardHandler)}
			ctx, end := context.WithCancel(t.Context())
			defer end()
			go ke.watchClocks(ctx)
			confirmed := time.Now()
			time.Sleep(stood)
			qt.Check(t, ke.mayExtend(3, confirmed), qt.IsTrue)
		})
	})
}

// TestOwnerAgainTellsLeasesAtOnce has a host own the cell once more after another did for a
// while: it did not stand still in between, and what a takeover leaves of leases is too
// short to wait for one more answer of the store.
func TestReelectedOwnerExtendsLeasesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		told := map[int64]bool{}
		cl := &cluster{t: t, serveFunc: func(ctx context.Context, te Tenure) (map[string]int64, error) {
			mu.Lock()
			told[te.Epoch] = te.MayExtend()
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
		qt.Assert(t, told, qt.DeepEquals, map[int64]bool{1: true, 2: true, 3: true})
	})
}

// TestSuspendedOwner moves the clock that counts suspensions apart from the steady one: a
// host that was suspended tells no lease before the store has confirmed it anew, whether
// the store is away or not, and clocks that are read one after the other are no suspension.
func TestSuspendedOwnerNeedsConfirmation(t *testing.T) {
	for _, tc := range []struct {
		name            string
		steady, boot    time.Duration
		trusts, outages bool
	}{
		{"not at all", 300 * time.Millisecond, 300 * time.Millisecond, true, true},
		{"a tick apart", 300 * time.Millisecond, 310 * time.Millisecond, true, true},
		{"for a moment", 300 * time.Millisecond, 400 * time.Millisecond, false, false},
		{"for less than a lease", 300 * time.Millisecond, 5300 * time.Millisecond, false, false},
		{"for longer than one", 0, 20 * time.Second, false, false},
		{"stopped, not suspended", 2 * time.Second, 2 * time.Second, false, true},
		{"a clock that is not known any more", 300 * time.Millisecond, -time.Hour, true, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			boot := time.Hour
			sd := stallDetector{bootFunc: func() time.Duration { return boot }}
			confirmed := time.Now()
			qt.Assert(t, sd.check(), qt.Equals, time.Duration(0))
			time.Sleep(tc.steady)
			boot += tc.boot
			sd.check()
			time.Sleep(time.Millisecond)
			qt.Check(t, sd.confirmationValid(confirmed, time.Time{}), qt.Equals, tc.trusts, qt.Commentf("%s", tc.name))
			qt.Check(t, sd.confirmationValid(confirmed, time.Now()), qt.Equals, tc.outages, qt.Commentf("%s", tc.name))
			qt.Check(t, sd.confirmationValid(time.Now(), time.Time{}), qt.IsTrue, qt.Commentf("%s", tc.name))
		})
	}
}
