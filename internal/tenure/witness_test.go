package tenure

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// members are the last processes of all hosts, two in a data centre.
func (ra *race) members() []registry.Member {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	last := map[string]registry.Member{}
	for i, ri := range ra.hosts {
		ke := ri.keeper
		last[ke.Self] = registry.Member{Name: ke.Self, Process: ke.Process, Addr: ke.Addr, DataCentre: fmt.Sprint("dc", i%3)}
	}
	var list []registry.Member
	for _, me := range last {
		list = append(list, me)
	}
	return list
}

// leases notes until when leases of owners run, and when their successors act on what
// the leases protected.
type leases struct {
	ra *race

	mu sync.Mutex
	// until is the latest end of a lease, acted when a next owner first took those of all
	// former owners for ended, by epoch. soon counts those that did so before WitnessedLeaseLimit.
	until, acted map[int64]time.Time
	soon         int
}

// serve stands for an owner that tells leases whenever it may.
func (le *leases) serve(ctx context.Context, te Tenure) (map[string]int64, error) {
	const step = 50 * time.Millisecond
	opened, told := time.Now(), time.Time{}
	for {
		if now := time.Now(); now.Sub(told) > time.Second {
			te.SetHosts(le.ra.members(), nil, true)
			told = now
		}
		le.note(te, opened)
		if !clock.Sleep(ctx, step) {
			return nil, nil
		}
	}
}

func (le *leases) note(te Tenure, opened time.Time) {
	le.mu.Lock()
	defer le.mu.Unlock()
	now := time.Now()
	if backed := te.LastConfirmed(); now.Sub(backed) <= ExtendFor && te.MayExtend() {
		le.until[te.Epoch] = later(le.until[te.Epoch], backed.Add(LeaseLimit))
	}
	if _, ok := le.acted[te.Epoch]; ok {
		return
	}
	unconfirmed, said := te.FormerUnconfirmedSince(), te.FormerLeasesEnd()
	if !unconfirmed.IsZero() && now.After(unconfirmed.Add(LeaseLimit)) || !said.IsZero() && now.After(said) || now.After(opened.Add(WitnessedLeaseLimit)) {
		le.acted[te.Epoch] = now
		if now.Before(opened.Add(WitnessedLeaseLimit)) {
			le.soon++
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// problems lists the leases that ran on as a next owner acted.
func (le *leases) problems() []string {
	le.mu.Lock()
	defer le.mu.Unlock()
	var list []string
	for epoch, acted := range le.acted {
		for other, until := range le.until {
			if other < epoch && until.After(acted) {
				list = append(list, fmt.Sprintf("owner %d acted %v before a lease of owner %d ended", epoch, until.Sub(acted), other))
			}
		}
	}
	return list
}

// TestLeasesOfFormerOwnersHaveEnded plays random outages, cuts, losses, restarts and stops,
// with questions and answers that come late. No next owner may act while a lease of a former
// one runs.
func TestLeasesOfFormerOwnersHaveEnded(t *testing.T) {
	soon, all := 0, 0
	proptest.Check(t, proptest.Size{Checks: randomWitnesses}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			le := &leases{until: map[int64]time.Time{}, acted: map[int64]time.Time{}}
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "ways"), 1))
			var mu sync.Mutex
			ra := &race{t: t, serveFunc: le.serve, cuts: map[[2]string]bool{}, wayFunc: func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(rng.IntN(300)) * time.Millisecond
			}}
			le.ra = ra
			for i := range witnessHosts {
				ra.addSized(fmt.Sprint("e", i), 0)
			}
			time.Sleep(3 * time.Second)
			for range rapid.IntRange(5, 30).Draw(rt, "acts") {
				ra.disturb(rt)
				time.Sleep(time.Duration(rapid.SampledFrom([]int{100, 1500, 4000, 4000, 9000}).Draw(rt, "pause")) * time.Millisecond)
			}
			time.Sleep(WitnessedLeaseLimit)
			ra.stop()
			soon, all = soon+le.soon, all+len(le.acted)
			for _, problem := range le.problems() {
				rt.Error(problem)
			}
		})
	})
	t.Logf("%d takeovers, %d of them with the short wait", all, soon)
	qt.Assert(t, soon > all/4, qt.IsTrue)
	qt.Assert(t, soon < all, qt.IsTrue)
}

// TestWitnessesOfAnOwnerTwoBefore: the second owner is lost before it could tell most of the
// first one's witnesses of it, which still confirm the first as the third takes over.
func TestWitnessesOfAnOwnerTwoBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		le := &leases{until: map[int64]time.Time{}, acted: map[int64]time.Time{}}
		ra := &race{t: t, serveFunc: le.serve, cuts: map[[2]string]bool{}}
		le.ra = ra
		defer ra.stop()
		ra.add("e0")
		time.Sleep(time.Second)
		for i := 1; i < witnessHosts; i++ {
			ra.add(fmt.Sprint("e", i))
		}
		time.Sleep(5 * time.Second)
		ra.split(ra.last("e0"), standin.Fault{Mode: standin.ModeDown}, 0b001110, 0b001110)
		time.Sleep(4 * time.Second)
		second := ra.likelyOwner(nil)
		qt.Assert(t, second.keeper.Self >= "e4", qt.IsTrue)
		ra.kill(second)
		time.Sleep(WitnessedLeaseLimit + 5*time.Second)
		le.mu.Lock()
		longer := le.until[1].Sub(le.until[2])
		le.mu.Unlock()
		qt.Assert(t, longer > LeaseLimit, qt.IsTrue)
		qt.Assert(t, le.problems(), qt.HasLen, 0)
	})
}

// randomWitnesses is the number of sequences; PEPPERHATCH_SEED plays others.
const randomWitnesses = 100

const witnessHosts = 6

// disturb does one random thing, mostly to the owner's host.
func (ra *race) disturb(rt *rapid.T) {
	host := func(label string) string {
		return fmt.Sprint("e", rapid.IntRange(0, witnessHosts-1).Draw(rt, label))
	}
	ri := ra.last(host("host"))
	if rapid.IntRange(0, 2).Draw(rt, "owner") > 0 {
		ri = ra.likelyOwner(ri)
	}
	down := standin.Fault{Mode: standin.ModeDown}
	switch rapid.SampledFrom([]string{"outage", "refuse", "split", "split", "split", "split", "cut", "cut off", "lose", "restart", "restart", "release", "heal", "heal"}).Draw(rt, "act") {
	case "outage":
		ra.setGates(down, func(*rival) bool { return true })
	case "refuse":
		ri.gate.Set(down)
	case "split":
		refused := rapid.IntRange(0, 1<<witnessHosts-1).Draw(rt, "refused")
		apart := rapid.IntRange(0, 1<<witnessHosts-1).Draw(rt, "apart")
		ra.split(ri, down, refused, apart)
	case "cut":
		ra.cut(ri.keeper.Self, host("from"), true)
	case "cut off":
		for i := range witnessHosts {
			ra.cut(ri.keeper.Self, fmt.Sprint("e", i), true)
		}
	case "lose":
		ra.kill(ri)
	case "restart":
		ra.kill(ri)
		ra.addSized(ri.keeper.Self, 0)
	case "release":
		ri.keeper.Release(HeartbeatTimeout)
	case "heal":
		ra.setGates(standin.Fault{}, func(*rival) bool { return true })
		ra.cut("", "", false)
	}
}

// split has the store refuse a host and others, and some of them not reach the rest.
func (ra *race) split(alone *rival, fault standin.Fault, refused, apart int) {
	in := func(set int, name string) bool {
		return name == alone.keeper.Self || set&(1<<(name[1]-'0')) != 0
	}
	ra.setGates(fault, func(ri *rival) bool { return in(refused, ri.keeper.Self) })
	for i := range witnessHosts {
		for j := range witnessHosts {
			a, b := fmt.Sprint("e", i), fmt.Sprint("e", j)
			if in(refused&apart, a) && !in(refused, b) {
				ra.cut(a, b, true)
			}
		}
	}
}

// setGates sets the way to the store of the hosts that live and are wanted.
func (ra *race) setGates(fault standin.Fault, wanted func(*rival) bool) {
	for _, ri := range ra.hosts {
		if ri.lives() && wanted(ri) {
			ri.gate.Set(fault)
		}
	}
}

// cut cuts two hosts off from each other, or ends all cuts.
func (ra *race) cut(a, b string, cut bool) {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	if !cut {
		clear(ra.cuts)
		return
	}
	ra.cuts[pair(a, b)] = true
}

// TestHowManyWitnesses: any set that confirms an owner has one in common with any that
// confirms it no more.
func TestHowManyWitnesses(t *testing.T) {
	for n := range 10 {
		qt.Check(t, confirmNeed(n)+retireNeed(n) > n, qt.IsTrue, qt.Commentf("%d", n))
	}
}

// TestVouch has a process be asked to confirm owners.
func TestVouch(t *testing.T) {
	for _, tc := range []struct {
		name        string
		unread      bool
		process     string
		row, told   int64
		epoch       int64
		wantConfirm bool
	}{
		{"the owner that it knows", false, "e1-1", 3, 0, 3, true},
		{"one that it does not know yet", false, "e1-1", 2, 0, 3, true},
		{"it was told of a later one", false, "e1-1", 3, 4, 3, false},
		{"it knows of a later one", false, "e1-1", 4, 0, 3, false},
		{"another process is meant", false, "e1-0", 3, 0, 3, false},
		{"it has read nothing yet", true, "e1-1", 0, 0, 3, false},
	} {
		ke := &Keeper{Process: "e1-1", known: !tc.unread, row: OwnerRow{Epoch: tc.row}, told: tc.told, Log: slog.New(slog.DiscardHandler)}
		qt.Check(t, ke.Confirm(tc.epoch, tc.process), qt.Equals, tc.wantConfirm, qt.Commentf("%s", tc.name))
	}
}

// TestWitnessRowIsOfTheOwnersPart: the platform takes no write of rows of several parts.
func TestWitnessRowIsOfTheOwnersPart(t *testing.T) {
	ke := &Keeper{Cell: "c0"}
	part := func(key string) string { return strings.Split(key, "/")[1] }
	qt.Assert(t, part(ke.witnessKey()), qt.Equals, part(ke.ownerKey()))
}

// TestOrderOfWitnesses: data centres take turns, and those that are named stay.
func TestOrderOfWitnesses(t *testing.T) {
	me := func(name, dc string) registry.Member {
		return registry.Member{Name: name, Process: name + "-1", DataCentre: dc}
	}
	hosts := []registry.Member{me("a1", "a"), me("a2", "a"), me("a3", "a"), me("b1", "b"), me("b2", "b"), me("c1", "c")}
	for _, tc := range []struct {
		current []registry.Member
		want    string
	}{
		{nil, "b1 c1 a2 b2 a3"},
		{[]registry.Member{me("b2", "b"), me("a3", "a")}, "b2 c1 a3 b1 a2"},
	} {
		var names []string
		for _, me := range orderWitnesses(hosts, tc.current, "a1") {
			names = append(names, me.Name)
		}
		qt.Check(t, strings.Join(names, " "), qt.Equals, tc.want)
	}
}

// TestSetsOfWitnessesWhoseWriteIsInDoubt: the row may name the last set or the one before, so
// both have to confirm the owner; and none does before the first is surely written.
func TestSetsOfWitnessesWhoseWriteIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := registry.Member{Name: "a", Process: "a-1"}, registry.Member{Name: "b", Process: "b-1"}
		long := time.Now().Add(-time.Minute)
		ke := &Keeper{Cell: "c0", Log: slog.New(slog.DiscardHandler)}
		ke.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) { return store.CommitReply{}, errNobody }
		wi := &witnesses{ke: ke, ctx: t.Context(), said: map[string]time.Time{"a-1": time.Now()}}
		wi.name([]registry.Member{a})
		qt.Assert(t, wi.confirmedBy().IsZero(), qt.IsTrue)
		wi.wrote([]registry.Member{a}, 7, nil)
		qt.Assert(t, wi.confirmedBy(), qt.Equals, time.Now())
		wi.said["b-1"] = long
		wi.name([]registry.Member{b})
		qt.Assert(t, wi.confirmedBy(), qt.Equals, long)
		wi.said["a-1"], wi.said["b-1"] = long, time.Now()
		qt.Assert(t, wi.confirmedBy(), qt.Equals, long)
	})
}

// TestOwnerThatReachesNobodyNamesWitnesses: it named none, so that nobody could be told of a
// claim and the next owner waited for as long as leases run at all.
func TestOwnerThatReachesNobodyNamesWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []registry.Member{{Name: "a", Process: "a-1"}, {Name: "b", Process: "b-1"}, {Name: "c", Process: "c-1"}}
		ke := &Keeper{Cell: "c0", Log: slog.New(slog.DiscardHandler)}
		ke.AskFunc = func(_ context.Context, addr string, _ int64) (HostStatus, error) { return HostStatus{}, errNobody }
		wi := &witnesses{ke: ke, ctx: t.Context(), confirmedFunc: time.Now}
		qt.Assert(t, wi.best(members), qt.DeepEquals, members)
		qt.Assert(t, wi.best(nil), qt.HasLen, 0)
	})
}

// TestNoWitnessesBeforeFormerOnesAreTold: the row would no longer show the next owner whom to
// tell of its claim, while those that it had named still confirm a former owner.
func TestNoWitnessesBeforeFormerOnesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, retired := range []bool{false, true} {
			writes := 0
			ke := &Keeper{Cell: "c0", Log: slog.New(slog.DiscardHandler)}
			ke.AskFunc = func(context.Context, string, int64) (HostStatus, error) { return HostStatus{}, errNobody }
			ke.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) {
				writes++
				return store.CommitReply{}, nil
			}
			wi := &witnesses{ke: ke, ctx: t.Context(), confirmedFunc: time.Now, retiredFunc: func() bool { return retired }}
			wi.setHosts([]registry.Member{{Name: "a", Process: "a-1"}}, nil, true)
			wi.review()
			qt.Check(t, writes == 1, qt.Equals, retired)
		}
	})
}
