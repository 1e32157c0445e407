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

// acts notes what owners may have done, by epoch.
type extensionRecord struct {
	mu sync.Mutex
	// extended is when an owner last could extend leases, assumed the earliest moment
	// by which it took all former owners to have ceased to act, once that was past.
	lastExtended, assumedCeased map[int64]time.Time
	// every is the time between two extensions of an owner.
	interval time.Duration
}

// serve stands for an owner that extends leases whenever it may.
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
	if due && now.Sub(te.Confirmed()) <= ExtendFor && te.MayExtend() {
		er.lastExtended[te.Epoch] = now
	}
	ended := opened.Add(ExtendFor)
	if told := te.FormerEnded(); !told.IsZero() && told.Before(ended) {
		ended = told
	}
	was, known := er.assumedCeased[te.Epoch]
	if !ended.After(now) && (!known || ended.Before(was)) {
		er.assumedCeased[te.Epoch] = ended
	}
}

// problems lists the owners that took another for ended that acted later.
func (er *extensionRecord) problems() []string {
	er.mu.Lock()
	defer er.mu.Unlock()
	var list []string
	for epoch, ended := range er.assumedCeased {
		for other, last := range er.lastExtended {
			if other < epoch && last.After(ended) {
				list = append(list, fmt.Sprintf("owner %d could extend leases %v after owner %d took it for ended", other, last.Sub(ended), epoch))
			}
		}
	}
	return list
}

// TestOwnersThatComeAndGo plays random sequences in which owners are cut off, die, start
// again, stop and yield. None may take former owners to have ceased to act before the last
// moment at which any of them could extend leases: what it then takes for lapsed has lapsed.
func TestFormerOwnersCeaseBeforeAssumed(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: randomOwners}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			er := &extensionRecord{lastExtended: map[int64]time.Time{}, assumedCeased: map[int64]time.Time{}}
			er.interval = rapid.SampledFrom([]time.Duration{0, 0, 2 * time.Second, 7 * time.Second}).Draw(rt, "every")
			cl := &cluster{t: t, serveFunc: er.serve}
			// Small hosts leave the cell to larger ones, and claim it again if none comes.
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

// randomOwners is the number of sequences; PEPPERHATCH_SEED plays others.
const randomOwners = 150

// act does one random thing to a host, mostly to the owner's.
func (cl *cluster) randomFault(rt *rapid.T) {
	ho := cl.lastProcess(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(rt, "host")))
	if rapid.IntRange(0, 3).Draw(rt, "owner") > 0 {
		ho = cl.likelyOwner(ho)
	}
	switch rapid.SampledFrom([]string{"cut", "cut", "refuse", "freeze", "heal", "die", "die", "reborn", "release"}).Draw(rt, "act") {
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
	case "die":
		cl.kill(ho)
	case "reborn":
		cl.kill(ho)
		cl.addSized(ho.keeper.Self, ho.keeper.Cores)
	case "release":
		ho.keeper.Release(HeartbeatTimeout)
	}
}

// last returns the last process of a host.
func (cl *cluster) lastProcess(name string) *clusterHost {
	var last *clusterHost
	for _, ho := range cl.hosts {
		if ho.keeper.Self == name {
			last = ho
		}
	}
	return last
}

// likelyOwner returns the process that serves with the highest epoch, or another.
func (cl *cluster) likelyOwner(other *clusterHost) *clusterHost {
	epoch := int64(0)
	for _, ho := range cl.hosts {
		if row, ok := ho.keeper.Current(); ok && row.Process == ho.keeper.Process && row.Epoch > epoch && ho.running() {
			other, epoch = ho, row.Epoch
		}
	}
	return other
}

// kill ends a process at once: it writes nothing more.
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

// TestLastLeaseCoversFormerOwners: the third owner asks only the second one's host, so that
// one's answer must hold for the first as well.
func TestLastLeaseCoversFormerOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
		for _, tc := range []struct {
			name   string
			leased time.Time
			fo     *formerOwners
			want   time.Duration
		}{
			{"none was told", time.Time{}, &formerOwners{lastCeased: ago(9 * time.Second)}, 0},
			{"the former owner ended before", ago(4 * time.Second), &formerOwners{lastCeased: ago(9 * time.Second)}, 4 * time.Second},
			{"the former owner told the last", ago(4 * time.Second), &formerOwners{lastCeased: ago(3 * time.Second)}, 3 * time.Second},
			{"one before it may have", ago(4 * time.Second), &formerOwners{lastCeased: ago(9 * time.Second), earlierCeased: ago(2 * time.Second)}, 2 * time.Second},
			{"nothing is known of the former owner", ago(4 * time.Second), &formerOwners{claimedAt: ago(ExtendFor + time.Second)}, time.Second},
			{"the former owner may still act", ago(4 * time.Second), &formerOwners{claimedAt: ago(5 * time.Second)}, 0},
		} {
			ke := &Keeper{lastExtended: tc.leased, former: tc.fo}
			qt.Check(t, ke.HostStatus().SinceLease, qt.Equals, tc.want, qt.Commentf("%s", tc.name))
		}
	})
}

// TestNoLeaseAfterTheAnswer: a host that said when it last told a lease tells none after.
func TestNoExtensionAfterNotifiedOfReplacement(t *testing.T) {
	ke := &Keeper{Log: slog.New(slog.DiscardHandler)}
	qt.Assert(t, ke.recordExtension(3, time.Now()), qt.IsTrue)
	ke.NotifyReplaced(4)
	qt.Assert(t, ke.recordExtension(3, time.Now()), qt.IsFalse)
	qt.Assert(t, ke.recordExtension(4, time.Now()), qt.IsTrue)
}

// TestLeasesLeftCoverFormerOwners: the third owner asks only the second one's host, so that
// one's answer must hold for the leases of the first as well.
func TestLeasesLeftCoverFormerOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := func(d time.Duration) time.Time { return time.Now().Add(d) }
		for _, tc := range []struct {
			name   string
			leased time.Time
			lapses time.Time
			fo     *formerOwners
			want   time.Duration
		}{
			{"none was told", time.Time{}, time.Time{}, &formerOwners{claimedAt: in(-time.Minute)}, 0},
			{"its own end last", in(0), in(5 * time.Second), &formerOwners{claimedAt: in(-time.Minute)}, 5 * time.Second},
			{"all have ended", in(-time.Minute), in(-time.Second), &formerOwners{claimedAt: in(-time.Minute)}, time.Millisecond},
			{"a former owner's end last", in(0), in(5 * time.Second), &formerOwners{claimedAt: in(-time.Second)}, leaseLimitWithDrift - time.Second},
			{"a former owner may be confirmed yet", in(0), in(5 * time.Second), &formerOwners{claimedAt: in(-time.Second), witnessesActive: true}, WitnessedLeaseLimit - time.Second},
			{"it was since its witnesses were told", in(0), in(5 * time.Second), &formerOwners{claimedAt: in(-3 * time.Second), retiredAt: in(-time.Second)}, leaseLimitWithDrift - time.Second},
			{"it said so", in(0), in(2 * time.Second), &formerOwners{claimedAt: in(-time.Second), reportedEnd: in(3 * time.Second)}, 3 * time.Second},
		} {
			ke := &Keeper{lastExtended: tc.leased, leasesEnd: tc.lapses, former: tc.fo}
			qt.Check(t, ke.HostStatus().LeasesLeft, qt.Equals, tc.want, qt.Commentf("%s", tc.name))
		}
	})
}
