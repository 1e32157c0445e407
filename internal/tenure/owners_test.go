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
type acts struct {
	mu sync.Mutex
	// extended is when an owner last could extend leases, assumed the earliest moment
	// by which it took all former owners to have ceased to act, once that was past.
	extended, assumed map[int64]time.Time
	// every is the time between two extensions of an owner.
	every time.Duration
}

// serve stands for an owner that extends leases whenever it may.
func (ac *acts) serve(ctx context.Context, te Tenure) (map[string]int64, error) {
	const step = 20 * time.Millisecond
	opened := time.Now()
	for {
		ac.note(te, opened)
		if !clock.Sleep(ctx, step) {
			return nil, nil
		}
	}
}

func (ac *acts) note(te Tenure, opened time.Time) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	now := time.Now()
	due := now.Sub(ac.extended[te.Epoch]) >= ac.every
	if due && now.Sub(te.Confirmed()) <= ExtendFor && te.MayExtend() {
		ac.extended[te.Epoch] = now
	}
	ended := opened.Add(ExtendFor)
	if told := te.FormerEnded(); !told.IsZero() && told.Before(ended) {
		ended = told
	}
	was, known := ac.assumed[te.Epoch]
	if !ended.After(now) && (!known || ended.Before(was)) {
		ac.assumed[te.Epoch] = ended
	}
}

// problems lists the owners that took another for ended that acted later.
func (ac *acts) problems() []string {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	var list []string
	for epoch, ended := range ac.assumed {
		for other, last := range ac.extended {
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
func TestOwnersThatComeAndGo(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: randomOwners}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			ac := &acts{extended: map[int64]time.Time{}, assumed: map[int64]time.Time{}}
			ac.every = rapid.SampledFrom([]time.Duration{0, 0, 2 * time.Second, 7 * time.Second}).Draw(rt, "every")
			ra := &race{t: t, serveFunc: ac.serve}
			// Small hosts leave the cell to larger ones, and claim it again if none comes.
			for i, cores := range []float64{0.8, 0.2, 0.2} {
				ra.addSized(fmt.Sprint("e", i), cores)
			}
			for range rapid.IntRange(3, 25).Draw(rt, "acts") {
				time.Sleep(time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 2500, 6000}).Draw(rt, "pause")) * time.Millisecond)
				ra.act(rt)
			}
			time.Sleep(2 * ExtendFor)
			ra.stop()
			for _, problem := range ac.problems() {
				rt.Error(problem)
			}
		})
	})
}

// randomOwners is the number of sequences; PEPPERHATCH_SEED plays others.
const randomOwners = 150

// act does one random thing to a host, mostly to the owner's.
func (ra *race) act(rt *rapid.T) {
	ri := ra.last(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(rt, "host")))
	if rapid.IntRange(0, 3).Draw(rt, "owner") > 0 {
		ri = ra.likelyOwner(ri)
	}
	switch rapid.SampledFrom([]string{"cut", "cut", "refuse", "freeze", "heal", "die", "die", "reborn", "release"}).Draw(rt, "act") {
	case "cut":
		ri.gate.Set(standin.Fault{Mode: standin.ModeDown})
		ra.setDark(ri, true)
	case "refuse":
		ri.gate.Set(standin.Fault{Mode: standin.ModeDown})
	case "freeze":
		ri.gate.Set(standin.Fault{Mode: standin.ModeFreeze})
	case "heal":
		for _, ri := range ra.hosts {
			if ri.lives() {
				ri.gate.Set(standin.Fault{})
				ra.setDark(ri, false)
			}
		}
	case "die":
		ra.kill(ri)
	case "reborn":
		ra.kill(ri)
		ra.addSized(ri.keeper.Self, ri.keeper.Cores)
	case "release":
		ri.keeper.Release(HeartbeatTimeout)
	}
}

// last returns the last process of a host.
func (ra *race) last(name string) *rival {
	var last *rival
	for _, ri := range ra.hosts {
		if ri.keeper.Self == name {
			last = ri
		}
	}
	return last
}

// likelyOwner returns the process that serves with the highest epoch, or another.
func (ra *race) likelyOwner(other *rival) *rival {
	epoch := int64(0)
	for _, ri := range ra.hosts {
		if row, ok := ri.keeper.Current(); ok && row.Process == ri.keeper.Process && row.Epoch > epoch && ri.lives() {
			other, epoch = ri, row.Epoch
		}
	}
	return other
}

// kill ends a process at once: it writes nothing more.
func (ra *race) kill(ri *rival) {
	ri.gate.Set(standin.Fault{Mode: standin.ModeDown})
	ra.setDark(ri, true)
	ri.end()
	ri.mu.Lock()
	defer ri.mu.Unlock()
	ri.dead = true
}

func (ri *rival) lives() bool {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	return !ri.dead
}

// TestLastLeaseCoversFormerOwners: the third owner asks only the second one's host, so that
// one's answer must hold for the first as well.
func TestLastLeaseCoversFormerOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
		for _, tc := range []struct {
			name   string
			leased time.Time
			fo     *former
			want   time.Duration
		}{
			{"none was told", time.Time{}, &former{at: ago(9 * time.Second)}, 0},
			{"the former owner ended before", ago(4 * time.Second), &former{at: ago(9 * time.Second)}, 4 * time.Second},
			{"the former owner told the last", ago(4 * time.Second), &former{at: ago(3 * time.Second)}, 3 * time.Second},
			{"one before it may have", ago(4 * time.Second), &former{at: ago(9 * time.Second), earlier: ago(2 * time.Second)}, 2 * time.Second},
			{"nothing is known of the former owner", ago(4 * time.Second), &former{claimed: ago(ExtendFor + time.Second)}, time.Second},
			{"the former owner may still act", ago(4 * time.Second), &former{claimed: ago(5 * time.Second)}, 0},
		} {
			ke := &Keeper{leased: tc.leased, former: tc.fo}
			qt.Check(t, ke.HostStatus().SinceLease, qt.Equals, tc.want, qt.Commentf("%s", tc.name))
		}
	})
}

// TestNoLeaseAfterTheAnswer: a host that said when it last told a lease tells none after.
func TestNoLeaseAfterTheAnswer(t *testing.T) {
	ke := &Keeper{Log: slog.New(slog.DiscardHandler)}
	qt.Assert(t, ke.extending(3, time.Now()), qt.IsTrue)
	ke.NotifyReplaced(4)
	qt.Assert(t, ke.extending(3, time.Now()), qt.IsFalse)
	qt.Assert(t, ke.extending(4, time.Now()), qt.IsTrue)
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
			fo     *former
			want   time.Duration
		}{
			{"none was told", time.Time{}, time.Time{}, &former{claimed: in(-time.Minute)}, 0},
			{"its own end last", in(0), in(5 * time.Second), &former{claimed: in(-time.Minute)}, 5 * time.Second},
			{"all have ended", in(-time.Minute), in(-time.Second), &former{claimed: in(-time.Minute)}, time.Millisecond},
			{"a former owner's end last", in(0), in(5 * time.Second), &former{claimed: in(-time.Second)}, lapseFor - time.Second},
			{"a former owner may be confirmed yet", in(0), in(5 * time.Second), &former{claimed: in(-time.Second), witnessed: true}, WitnessedLeaseLimit - time.Second},
			{"it was since its witnesses were told", in(0), in(5 * time.Second), &former{claimed: in(-3 * time.Second), retiredAt: in(-time.Second)}, lapseFor - time.Second},
			{"it said so", in(0), in(2 * time.Second), &former{claimed: in(-time.Second), lapse: in(3 * time.Second)}, 3 * time.Second},
		} {
			ke := &Keeper{leased: tc.leased, lapses: tc.lapses, former: tc.fo}
			qt.Check(t, ke.HostStatus().LeasesLeft, qt.Equals, tc.want, qt.Commentf("%s", tc.name))
		}
	})
}
