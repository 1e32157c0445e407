package tenure

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// extensionRecord records, by epoch, when owners could extend leases and what they assumed
// about former owners.
type extensionRecord struct {
	mu sync.Mutex
	// lastExtended is when an owner last could extend leases. assumedCeased is the earliest
	// time by which it assumed all former owners to have ceased to act, recorded once that
	// time has passed.
	lastExtended, assumedCeased map[int64]time.Time
	// interval is the time between two extensions of an owner.
	interval time.Duration
}

// serve simulates an owner that extends leases whenever it may.
func (er *extensionRecord) serve(ctx context.Context, te Tenure) (map[string]int64, error) {
	const step = 20 * time.Millisecond
	opened := time.Now()
	for {
		er.record(te, opened)
		if !clock.Sleep(ctx, step) {
			return nil, nil
		}
	}
}

func (er *extensionRecord) record(te Tenure, opened time.Time) {
	er.mu.Lock()
	defer er.mu.Unlock()
	now := time.Now()
	due := now.Sub(er.lastExtended[te.Epoch]) >= er.interval
	if due && now.Sub(te.LastConfirmed()) <= ExtendFor && te.MayExtend() {
		er.lastExtended[te.Epoch] = now
	}
	ended := opened.Add(ExtendFor)
	if reported := te.FormerEnded(); !reported.IsZero() && reported.Before(ended) {
		ended = reported
	}
	was, known := er.assumedCeased[te.Epoch]
	if !ended.After(now) && (!known || ended.Before(was)) {
		er.assumedCeased[te.Epoch] = ended
	}
}

// problems lists the owners that acted after a later one assumed that they had ceased.
func (er *extensionRecord) problems() []string {
	er.mu.Lock()
	defer er.mu.Unlock()
	var list []string
	for epoch, ended := range er.assumedCeased {
		for other, last := range er.lastExtended {
			if other < epoch && last.After(ended) {
				list = append(list, fmt.Sprintf("owner %d could extend leases %v after owner %d assumed that it had ceased", other, last.Sub(ended), epoch))
			}
		}
	}
	return list
}

// TestFormerOwnersCeaseBeforeAssumed runs random sequences in which owners are
// partitioned, killed, restarted, stopped, and yield. No owner may assume that former
// owners have ceased to act before the last time at which any of them could extend leases.
// Otherwise it would assume that leases have lapsed which still run.
func TestFormerOwnersCeaseBeforeAssumed(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: ownerSequences}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			er := &extensionRecord{lastExtended: map[int64]time.Time{}, assumedCeased: map[int64]time.Time{}}
			er.interval = rapid.SampledFrom([]time.Duration{0, 0, 2 * time.Second, 7 * time.Second}).Draw(rt, "extension interval")
			cl := &cluster{t: t, serveFunc: er.serve}
			// Small hosts yield the cell to larger ones, and claim it again if none does.
			for i, cores := range []float64{0.8, 0.2, 0.2} {
				cl.addSized(fmt.Sprint("e", i), cores)
			}
			for range rapid.IntRange(3, 25).Draw(rt, "acts") {
				time.Sleep(time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 2500, 6000}).Draw(rt, "pause")) * time.Millisecond)
				cl.randomFault(rt)
			}
			time.Sleep(2 * ExtendFor)
			cl.stop()
			for _, problem := range er.problems() {
				rt.Error(problem)
			}
		})
	})
}

// ownerSequences is the number of random sequences; PEPPERHATCH_SEED selects others.
const ownerSequences = 150

// randomFault applies one random fault to a host, mostly to the owner's.
func (cl *cluster) randomFault(rt *rapid.T) {
	ho := cl.lastProcess(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(rt, "host")))
	if rapid.IntRange(0, 3).Draw(rt, "owner") > 0 {
		ho = cl.likelyOwner(ho)
	}
	switch rapid.SampledFrom([]string{"cut", "cut", "refuse", "freeze", "heal", "kill", "kill", "restart", "release"}).Draw(rt, "act") {
	case "cut":
		ho.gate.Set(standin.Fault{Mode: standin.ModeDown})
		cl.setUnreachable(ho, true)
	case "refuse":
		ho.gate.Set(standin.Fault{Mode: standin.ModeDown})
	case "freeze":
		ho.gate.Set(standin.Fault{Mode: standin.ModeFreeze})
	case "heal":
		for _, ho := range cl.hosts {
			if ho.running() {
				ho.gate.Set(standin.Fault{})
				cl.setUnreachable(ho, false)
			}
		}
	case "kill":
		cl.kill(ho)
	case "restart":
		cl.kill(ho)
		cl.addSized(ho.keeper.Self, ho.keeper.Cores)
	case "release":
		ho.keeper.Release(HeartbeatTimeout)
	}
}

// lastProcess returns the last process of a host.
func (cl *cluster) lastProcess(name string) *clusterHost {
	var last *clusterHost
	for _, ho := range cl.hosts {
		if ho.keeper.Self == name {
			last = ho
		}
	}
	return last
}

// likelyOwner returns the process that serves with the highest epoch, or other if there is
// none.
func (cl *cluster) likelyOwner(other *clusterHost) *clusterHost {
	epoch := int64(0)
	for _, ho := range cl.hosts {
		if row, ok := ho.keeper.Current(); ok && row.Process == ho.keeper.Process && row.Epoch > epoch && ho.running() {
			other, epoch = ho, row.Epoch
		}
	}
	return other
}

// kill ends a process at once, so that it writes nothing more.
func (cl *cluster) kill(ho *clusterHost) {
	ho.gate.Set(standin.Fault{Mode: standin.ModeDown})
	cl.setUnreachable(ho, true)
	ho.end()
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.killed = true
}

func (ho *clusterHost) running() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return !ho.killed
}

// TestLastLeaseCoversFormerOwners: the third owner asks only the second one's host, so the
// answer of that host must hold for the first owner as well.
func TestLastLeaseCoversFormerOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
		for _, tc := range []struct {
			name     string
			extended time.Time
			fo       *formerOwners
			want     time.Duration
		}{
			{"no lease extended", time.Time{}, &formerOwners{lastCeased: ago(9 * time.Second)}, 0},
			{"the former owner ended before", ago(4 * time.Second), &formerOwners{lastCeased: ago(9 * time.Second)}, 4 * time.Second},
			{"the former owner extended last", ago(4 * time.Second), &formerOwners{lastCeased: ago(3 * time.Second)}, 3 * time.Second},
			{"an owner before it may have", ago(4 * time.Second), &formerOwners{lastCeased: ago(9 * time.Second), earlierCeased: ago(2 * time.Second)}, 2 * time.Second},
			{"nothing is known of the former owner", ago(4 * time.Second), &formerOwners{claimedAt: ago(ExtendFor + time.Second)}, time.Second},
			{"the former owner may still act", ago(4 * time.Second), &formerOwners{claimedAt: ago(5 * time.Second)}, 0},
		} {
			ke := &Keeper{lastExtended: tc.extended, former: tc.fo}
			qt.Check(t, ke.HostStatus().SinceLease, qt.Equals, tc.want, qt.Commentf("%s", tc.name))
		}
	})
}

// TestNoExtensionAfterNotifiedOfReplacement: a host that has reported its last extension
// to a new owner extends no lease after that.
func TestNoExtensionAfterNotifiedOfReplacement(t *testing.T) {
	ke := &Keeper{Log: slog.New(slog.DiscardHandler)}
	qt.Assert(t, ke.recordExtension(3, time.Now()), qt.IsTrue)
	ke.NotifyReplaced(4)
	qt.Assert(t, ke.recordExtension(3, time.Now()), qt.IsFalse)
	qt.Assert(t, ke.recordExtension(4, time.Now()), qt.IsTrue)
}

// TestLeasesLeftCoverFormerOwners: the third owner asks only the second one's host, so the
// answer of that host must hold for the leases of the first owner as well.
func TestLeasesLeftCoverFormerOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := func(d time.Duration) time.Time { return time.Now().Add(d) }
		for _, tc := range []struct {
			name      string
			extended  time.Time
			leasesEnd time.Time
			fo        *formerOwners
			want      time.Duration
		}{
			{"no lease extended", time.Time{}, time.Time{}, &formerOwners{claimedAt: in(-time.Minute)}, 0},
			{"its own leases end last", in(0), in(5 * time.Second), &formerOwners{claimedAt: in(-time.Minute)}, 5 * time.Second},
			{"all leases have ended", in(-time.Minute), in(-time.Second), &formerOwners{claimedAt: in(-time.Minute)}, time.Millisecond},
			{"a former owner's leases end last", in(0), in(5 * time.Second), &formerOwners{claimedAt: in(-time.Second)}, leaseLimitWithDrift - time.Second},
			{"a former owner may still be confirmed", in(0), in(5 * time.Second), &formerOwners{claimedAt: in(-time.Second), witnessesActive: true}, WitnessedLeaseLimit - time.Second},
			{"unconfirmed since its witnesses were notified", in(0), in(5 * time.Second), &formerOwners{claimedAt: in(-3 * time.Second), retiredAt: in(-time.Second)}, leaseLimitWithDrift - time.Second},
			{"the former owner reported the end", in(0), in(2 * time.Second), &formerOwners{claimedAt: in(-time.Second), reportedEnd: in(3 * time.Second)}, 3 * time.Second},
		} {
			ke := &Keeper{lastExtended: tc.extended, leasesEnd: tc.leasesEnd, former: tc.fo}
			qt.Check(t, ke.HostStatus().LeasesLeft, qt.Equals, tc.want, qt.Commentf("%s", tc.name))
		}
	})
}
