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

// members returns the last processes of all hosts, two in each data centre.
func (cl *cluster) members() []registry.Member {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	last := map[string]registry.Member{}
	for i, ho := range cl.hosts {
		ke := ho.keeper
		last[ke.Self] = registry.Member{Name: ke.Self, Process: ke.Process, Addr: ke.Addr, DataCentre: fmt.Sprint("dc", i%3)}
	}
	var list []registry.Member
	for _, me := range last {
		list = append(list, me)
	}
	return list
}

// leaseRecord records until when leases of owners run, and when later owners assume that
// these leases have ended.
type leaseRecord struct {
	cluster *cluster

	mu sync.Mutex
	// until is the latest end of a lease, actedAt when an owner first assumed that the
	// leases of all former owners had ended, both by epoch. early counts the owners that did
	// so less than WitnessedLeaseLimit after their tenure began.
	until, actedAt map[int64]time.Time
	early          int
	// sooner counts the owners that did so less than LeaseLimit after their tenure began,
	// although the former owner had reported no end of its leases.
	sooner int
}

// serve simulates an owner that extends leases whenever it may.
func (lr *leaseRecord) serve(ctx context.Context, te Tenure) (map[string]int64, error) {
	const step = 50 * time.Millisecond
	opened, listed := time.Now(), time.Time{}
	for {
		if now := time.Now(); now.Sub(listed) > time.Second {
			te.SetHosts(lr.cluster.members(), nil, true)
			listed = now
		}
		lr.record(te, opened)
		if !clock.Sleep(ctx, step) {
			return nil, nil
		}
	}
}

func (lr *leaseRecord) record(te Tenure, opened time.Time) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	now := time.Now()
	if confirmed := te.LastConfirmed(); now.Sub(confirmed) <= ExtendFor && te.MayExtend() {
		lr.until[te.Epoch] = laterTime(lr.until[te.Epoch], confirmed.Add(LeaseLimit))
	}
	if _, ok := lr.actedAt[te.Epoch]; ok {
		return
	}
	unconfirmed, reported := te.FormerUnconfirmedSince(), te.FormerLeasesEnd()
	if !unconfirmed.IsZero() && now.After(unconfirmed.Add(LeaseLimit)) || !reported.IsZero() && now.After(reported) || now.After(opened.Add(WitnessedLeaseLimit)) {
		lr.actedAt[te.Epoch] = now
		if now.Before(opened.Add(WitnessedLeaseLimit)) {
			lr.early++
		}
		if reported.IsZero() && now.Before(opened.Add(LeaseLimit)) {
			lr.sooner++
		}
	}
}

// problems lists the leases that still ran when a later owner assumed that they had ended.
func (lr *leaseRecord) problems() []string {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	var list []string
	for epoch, acted := range lr.actedAt {
		for other, until := range lr.until {
			if other < epoch && until.After(acted) {
				list = append(list, fmt.Sprintf("owner %d acted %v before a lease of owner %d ended", epoch, until.Sub(acted), other))
			}
		}
	}
	return list
}

// TestSuccessorWaitsForFormerLeases runs random outages, partitions, losses, restarts and
// stops, with requests and replies that are delayed. No owner may act while a lease of a
// former one runs.
func TestSuccessorWaitsForFormerLeases(t *testing.T) {
	early, all := 0, 0
	proptest.Check(t, proptest.Size{Checks: witnessSequences}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			lr := &leaseRecord{until: map[int64]time.Time{}, actedAt: map[int64]time.Time{}}
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "delay seed"), 1))
			var mu sync.Mutex
			cl := &cluster{t: t, serveFunc: lr.serve, partitions: map[[2]string]bool{}, delayFunc: func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(rng.IntN(300)) * time.Millisecond
			}}
			lr.cluster = cl
			for i := range witnessHosts {
				cl.addSized(fmt.Sprint("e", i), 0)
			}
			time.Sleep(3 * time.Second)
			for range rapid.IntRange(5, 30).Draw(rt, "acts") {
				cl.randomWitnessFault(rt)
				time.Sleep(time.Duration(rapid.SampledFrom([]int{100, 1500, 4000, 4000, 9000}).Draw(rt, "pause")) * time.Millisecond)
			}
			time.Sleep(WitnessedLeaseLimit)
			cl.stop()
			early, all = early+lr.early, all+len(lr.actedAt)
			for _, problem := range lr.problems() {
				rt.Error(problem)
			}
		})
	})
	t.Logf("%d takeovers, in %d of them the owner acted before WitnessedLeaseLimit", all, early)
	qt.Assert(t, early > all/4, qt.IsTrue)
	qt.Assert(t, early < all, qt.IsTrue)
}

// TestWitnessesOfFirstOwnerConfirmDuringThirdTakeover: the second owner is lost before it
// could notify most witnesses of the first one, which still confirm the first owner as the
// third takes over.
func TestWitnessesOfFirstOwnerConfirmDuringThirdTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := &leaseRecord{until: map[int64]time.Time{}, actedAt: map[int64]time.Time{}}
		cl := &cluster{t: t, serveFunc: lr.serve, partitions: map[[2]string]bool{}}
		lr.cluster = cl
		defer cl.stop()
		cl.add("e0")
		time.Sleep(time.Second)
		for i := 1; i < witnessHosts; i++ {
			cl.add(fmt.Sprint("e", i))
		}
		time.Sleep(5 * time.Second)
		cl.splitStore(cl.lastProcess("e0"), standin.Fault{Mode: standin.ModeDown}, 0b001110, 0b001110)
		time.Sleep(4 * time.Second)
		second := cl.likelyOwner(nil)
		qt.Assert(t, second.keeper.Self >= "e4", qt.IsTrue)
		cl.kill(second)
		time.Sleep(WitnessedLeaseLimit + 5*time.Second)
		lr.mu.Lock()
		remaining := lr.until[1].Sub(lr.until[2])
		lr.mu.Unlock()
		qt.Assert(t, remaining > LeaseLimit, qt.IsTrue)
		qt.Assert(t, lr.problems(), qt.HasLen, 0)
	})
}

// witnessSequences is the number of random sequences; PEPPERHATCH_SEED selects others.
const witnessSequences = 100

// witnessHosts is the number of hosts.
const witnessHosts = 6

// randomWitnessFault applies one random fault, mostly to the owner's host.
func (cl *cluster) randomWitnessFault(rt *rapid.T) {
	host := func(label string) string {
		return fmt.Sprint("e", rapid.IntRange(0, witnessHosts-1).Draw(rt, label))
	}
	ho := cl.lastProcess(host("host"))
	if rapid.IntRange(0, 2).Draw(rt, "owner") > 0 {
		ho = cl.likelyOwner(ho)
	}
	down := standin.Fault{Mode: standin.ModeDown}
	switch rapid.SampledFrom([]string{"outage", "refuse", "split", "split", "split", "split", "cut", "cut off", "lose", "restart", "restart", "release", "heal", "heal"}).Draw(rt, "act") {
	case "outage":
		cl.setGates(down, func(*clusterHost) bool { return true })
	case "refuse":
		ho.gate.Set(down)
	case "split":
		refused := rapid.IntRange(0, 1<<witnessHosts-1).Draw(rt, "refused")
		partitioned := rapid.IntRange(0, 1<<witnessHosts-1).Draw(rt, "apart")
		cl.splitStore(ho, down, refused, partitioned)
	case "cut":
		cl.partition(ho.keeper.Self, host("from"), true)
	case "cut off":
		for i := range witnessHosts {
			cl.partition(ho.keeper.Self, fmt.Sprint("e", i), true)
		}
	case "lose":
		cl.kill(ho)
	case "restart":
		cl.kill(ho)
		cl.addSized(ho.keeper.Self, 0)
	case "release":
		ho.keeper.Release(HeartbeatTimeout)
	case "heal":
		cl.setGates(standin.Fault{}, func(*clusterHost) bool { return true })
		cl.partition("", "", false)
	}
}

// splitStore has the store refuse the isolated host and the hosts of the set refused, and
// partitions the isolated host and the hosts of both sets from all that are not refused.
// Sets have one bit per host.
func (cl *cluster) splitStore(isolated *clusterHost, fault standin.Fault, refused, partitioned int) {
	in := func(set int, name string) bool {
		return name == isolated.keeper.Self || set&(1<<(name[1]-'0')) != 0
	}
	cl.setGates(fault, func(ho *clusterHost) bool { return in(refused, ho.keeper.Self) })
	for i := range witnessHosts {
		for j := range witnessHosts {
			a, b := fmt.Sprint("e", i), fmt.Sprint("e", j)
			if in(refused&partitioned, a) && !in(refused, b) {
				cl.partition(a, b, true)
			}
		}
	}
}

// setGates sets the fault between the store and each running host that is wanted.
func (cl *cluster) setGates(fault standin.Fault, wanted func(*clusterHost) bool) {
	for _, ho := range cl.hosts {
		if ho.running() && wanted(ho) {
			ho.gate.Set(fault)
		}
	}
}

// partition partitions two hosts from each other, or ends all partitions.
func (cl *cluster) partition(a, b string, partition bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !partition {
		clear(cl.partitions)
		return
	}
	cl.partitions[hostPair(a, b)] = true
}

// TestWitnessQuorumsOverlap: any set of witnesses that suffices to confirm an owner has a
// member in common with any set that suffices to retire the witnesses.
func TestWitnessQuorumsOverlap(t *testing.T) {
	for n := range 10 {
		qt.Check(t, confirmNeed(n)+retireNeed(n) > n, qt.IsTrue, qt.Commentf("%d", n))
	}
}

// TestConfirm asks a process to confirm owners.
func TestConfirm(t *testing.T) {
	for _, tc := range []struct {
		name          string
		unread        bool
		process       string
		row, notified int64
		epoch         int64
		wantConfirm   bool
	}{
		{"the owner that it knows", false, "e1-1", 3, 0, 3, true},
		{"one that it does not know yet", false, "e1-1", 2, 0, 3, true},
		{"it was notified of a later one", false, "e1-1", 3, 4, 3, false},
		{"it knows of a later one", false, "e1-1", 4, 0, 3, false},
		{"another process is meant", false, "e1-0", 3, 0, 3, false},
		{"it has read nothing yet", true, "e1-1", 0, 0, 3, false},
	} {
		ke := &Keeper{Process: "e1-1", known: !tc.unread, row: OwnerRow{Epoch: tc.row}, notifiedEpoch: tc.notified, Log: slog.New(slog.DiscardHandler)}
		qt.Check(t, ke.Confirm(tc.epoch, tc.process), qt.Equals, tc.wantConfirm, qt.Commentf("%s", tc.name))
	}
}

// TestWitnessRowSharesPartOfOwnerRow: the platform accepts no write of rows of several
// parts.
func TestWitnessRowSharesPartOfOwnerRow(t *testing.T) {
	ke := &Keeper{Cell: "c0"}
	part := func(key string) string { return strings.Split(key, "/")[1] }
	qt.Assert(t, part(ke.witnessKey()), qt.Equals, part(ke.ownerKey()))
}

// TestOrderWitnesses: data centres alternate, and hosts that are already named stay.
func TestOrderWitnesses(t *testing.T) {
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

// TestUnsettledWitnessSetsMustAllConfirm: the row may name the last set or the one before,
// so both have to confirm the owner. None does before the first set is certainly written.
func TestUnsettledWitnessSetsMustAllConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := registry.Member{Name: "a", Process: "a-1"}, registry.Member{Name: "b", Process: "b-1"}
		old := time.Now().Add(-time.Minute)
		ke := &Keeper{Cell: "c0", Log: slog.New(slog.DiscardHandler)}
		ke.Table.CommitFunc = func(context.Context, store.Txn) (store.CommitReply, error) {
			return store.CommitReply{}, errUnreachable
		}
		wi := &witnesses{ke: ke, ctx: t.Context(), confirmedAt: map[string]time.Time{"a-1": time.Now()}}
		wi.writeSet([]registry.Member{a})
		qt.Assert(t, wi.witnessesConfirmed().IsZero(), qt.IsTrue)
		wi.recordWrite([]registry.Member{a}, 7, nil)
		qt.Assert(t, wi.witnessesConfirmed(), qt.Equals, time.Now())
		wi.confirmedAt["b-1"] = old
		wi.writeSet([]registry.Member{b})
		qt.Assert(t, wi.witnessesConfirmed(), qt.Equals, old)
		wi.confirmedAt["a-1"], wi.confirmedAt["b-1"] = old, time.Now()
		qt.Assert(t, wi.witnessesConfirmed(), qt.Equals, old)
	})
}

// TestOwnerWithoutReachableHostsNamesWitnesses guards against an owner that names no
// witnesses as it reaches no host. No witness could then be notified of a claim, and the
// next owner waited for the longest possible lease.
func TestOwnerWithoutReachableHostsNamesWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []registry.Member{{Name: "a", Process: "a-1"}, {Name: "b", Process: "b-1"}, {Name: "c", Process: "c-1"}}
		ke := &Keeper{Cell: "c0", Log: slog.New(slog.DiscardHandler)}
		ke.AskFunc = func(_ context.Context, addr string, _ int64) (HostStatus, error) { return HostStatus{}, errUnreachable }
		wi := &witnesses{ke: ke, ctx: t.Context(), confirmedFunc: time.Now}
		qt.Assert(t, wi.selectWitnesses(members), qt.DeepEquals, members)
		qt.Assert(t, wi.selectWitnesses(nil), qt.HasLen, 0)
	})
}

// TestNoWitnessesBeforeFormerOnesRetire: a new set in the row would hide from the next
// owner which witnesses to notify of its claim, while the former ones may still confirm a
// former owner.
func TestNoWitnessesBeforeFormerOnesRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, retired := range []bool{false, true} {
			writes := 0
			ke := &Keeper{Cell: "c0", Log: slog.New(slog.DiscardHandler)}
			ke.AskFunc = func(context.Context, string, int64) (HostStatus, error) { return HostStatus{}, errUnreachable }
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
