package lease

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cenkalti/backoff/v5"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

var errUnreachable = errors.New("unreachable")

// Sizes and parameters of the model.
const (
	modelHosts  = 3
	modelChecks = 1500
	modelSteps  = 40
	// maxDrift is the largest relative error of a clock's rate.
	maxDrift = 0.005
	callTime = 300 * time.Millisecond
)

var modelResources = []string{"ids/0", "ids/1", "ids/2", "ids/3", CellResource("dc")}

// modelHost is a host of the model with its faults.
type modelHost struct {
	ke   *Keeper
	rate float64
	// tableCut cuts the host off from the table, losesAnswers loses the answers to its
	// writes, dead ends it.
	tableCut, losesAnswers, dead bool
	// answerDelay is how long the answers to its requests take to arrive.
	answerDelay time.Duration
	// busy is set while the host performs a step.
	busy bool
	// cutFrom has the indices of the hosts that it neither reaches nor is reached by.
	cutFrom map[int]bool
}

// model is a data centre of entry hosts that share one table.
type model struct {
	rt        *rapid.T
	table     standin.Table
	hosts     []*modelHost
	startedAt time.Time
	// started counts the processes started.
	started int
	// violation describes the first case in which a resource had two owners.
	violation string
	// depth counts the calls of interleave in progress. While it is not 0, no other host
	// acts in between.
	depth int
	// events counts the events of the keepers by kind.
	events map[string]int
	// mu guards the faults in tests that run keepers concurrently.
	mu sync.Mutex
}

func newModel(rt *rapid.T) *model {
	mo := &model{rt: rt, startedAt: time.Now(), events: map[string]int{}}
	for range modelHosts {
		mo.add()
	}
	return mo
}

// add starts a process, which joins.
func (mo *model) add() {
	mo.started++
	mh := &modelHost{rate: 1 + maxDrift*float64(rapid.IntRange(-10, 10).Draw(mo.rt, "drift"))/10, cutFrom: map[int]bool{}}
	id := fmt.Sprintf("h%d", mo.started)
	mh.ke = &Keeper{
		ID: id, Addr: id, DC: "dc", Resources: modelResources, Timing: DefaultTiming,
		Table: mo.tableOf(mh),
		Peers: Peers{PromiseFunc: mo.promiseFunc(mh), DenialFunc: mo.denialFunc(mh)},
		Now:   func() time.Time { return mo.startedAt.Add(time.Duration(float64(time.Since(mo.startedAt)) * mh.rate)) },
		OnEvent: func(ev Event) {
			mo.events[ev.Kind]++
		},
	}
	mo.hosts = append(mo.hosts, mh)
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	mh.busy = true
	_ = mh.ke.Join(ctx)
	mh.busy = false
}

// tableOf returns the table with a host's faults injected. Before a request reaches the
// table and before the answer reaches the host, time may pass and other hosts may act, as
// they would while the host is paused.
func (mo *model) tableOf(mh *modelHost) store.Table {
	cl := mo.table.Client()
	return store.Table{
		// There is no jitter, so that rapid can repeat a sequence.
		BackOffFunc: func() backoff.BackOff { return backoff.NewConstantBackOff(50 * time.Millisecond) },
		ReadFunc: func(ctx context.Context, req store.ReadRequest) (store.ReadReply, error) {
			mo.interleave()
			if mo.faulty(&mh.tableCut) {
				return store.ReadReply{}, errUnreachable
			}
			reply, err := cl.ReadFunc(ctx, req)
			mo.interleave()
			return reply, err
		},
		CommitFunc: func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
			mo.interleave()
			if mo.faulty(&mh.tableCut) {
				return store.CommitReply{}, errUnreachable
			}
			reply, err := cl.CommitFunc(ctx, txn)
			if mo.faulty(&mh.losesAnswers) {
				return store.CommitReply{}, errUnreachable
			}
			mo.interleave()
			return reply, err
		},
	}
}

// faulty reads a fault.
func (mo *model) faulty(fault *bool) bool {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	return *fault
}

// setFaults changes faults while keepers run.
func (mo *model) setFaults(fn func()) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	fn()
}

// interleave sometimes lets time pass and other hosts act.
func (mo *model) interleave() {
	mo.check()
	if mo.depth >= 1 || rapid.IntRange(0, 5).Draw(mo.rt, "meanwhile") > 0 {
		return
	}
	mo.depth++
	defer func() { mo.depth-- }()
	for range rapid.IntRange(1, 3).Draw(mo.rt, "rounds") {
		time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(mo.rt, "pause ms")) * time.Millisecond)
		mo.check()
		mo.stepHosts()
	}
}

// stepHosts has all hosts except possibly one perform their periodic step.
func (mo *model) stepHosts() {
	skip := rapid.IntRange(-1, len(mo.hosts)-1).Draw(mo.rt, "skip")
	for i, mh := range mo.hosts {
		if i == skip || mh.dead || mh.busy || !mh.ke.joined {
			continue
		}
		mh.busy = true
		_ = mh.ke.step(context.Background())
		mh.busy = false
		mo.check()
	}
}

// reachable returns the host with the id, or nil if a message from mh doesn't reach it.
func (mo *model) reachable(mh *modelHost, id string) *modelHost {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	for i, other := range mo.hosts {
		if other.ke.ID != id || other.dead || mh.cutFrom[i] || mh.dead {
			continue
		}
		for j, me := range mo.hosts {
			if me == mh && other.cutFrom[j] {
				return nil
			}
		}
		return other
	}
	return nil
}

func (mo *model) promiseFunc(mh *modelHost) func(context.Context, string, string, PromiseRequest) (Answer, error) {
	return func(_ context.Context, id, _ string, req PromiseRequest) (Answer, error) {
		other := mo.reachable(mh, id)
		if other == nil {
			return Answer{}, errUnreachable
		}
		ans := other.ke.AnswerPromise(req)
		time.Sleep(mh.answerDelay)
		return ans, nil
	}
}

func (mo *model) denialFunc(mh *modelHost) func(context.Context, string, string, DenialRequest) (Answer, error) {
	return func(_ context.Context, id, _ string, req DenialRequest) (Answer, error) {
		mo.interleave()
		other := mo.reachable(mh, id)
		if other == nil {
			return Answer{}, errUnreachable
		}
		return other.ke.AnswerDenial(req), nil
	}
}

// randomStep has a host perform one random operation of the protocol.
func (mo *model) randomStep(i int) {
	mh := mo.hosts[i]
	if mh.dead || mh.busy {
		return
	}
	mh.busy = true
	defer func() { mh.busy = false }()
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	switch rapid.IntRange(0, 9).Draw(mo.rt, "step") {
	case 0, 1, 2, 3:
		_ = mh.ke.Renew(ctx)
	case 4, 5:
		mh.ke.Extend(ctx)
	case 6, 7:
		_, _ = mh.ke.Watch(ctx)
	case 8:
		_ = mh.ke.rebalance(ctx)
	case 9:
		_ = mh.ke.Leave(ctx)
	}
	mo.check()
}

// check records a violation if two hosts own a resource at this moment.
func (mo *model) check() {
	for _, re := range modelResources {
		var owners []string
		for _, mh := range mo.hosts {
			if !mh.dead && mh.ke.Owns(re) {
				owners = append(owners, mh.ke.ID)
			}
		}
		if len(owners) > 1 && mo.violation == "" {
			mo.violation = fmt.Sprintf("%s is owned by %v", re, owners)
		}
	}
}

func (mo *model) actions() map[string]func(*rapid.T) {
	pick := func(rt *rapid.T) *modelHost { return mo.hosts[rapid.IntRange(0, len(mo.hosts)-1).Draw(rt, "host")] }
	step := func(rt *rapid.T) { mo.randomStep(rapid.IntRange(0, len(mo.hosts)-1).Draw(rt, "host")) }
	tick := func(rt *rapid.T) {
		time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
		mo.stepHosts()
	}
	return map[string]func(*rapid.T){
		"step": step, "step 2": step, "tick": tick, "tick 2": tick, "tick 3": tick, "tick 4": tick,
		"time": func(rt *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
		},
		"table cut": func(rt *rapid.T) { mh := pick(rt); mh.tableCut = !mh.tableCut },
		"table cut for all": func(rt *rapid.T) {
			isCut := rapid.Bool().Draw(rt, "cut")
			for _, mh := range mo.hosts {
				mh.tableCut = isCut
			}
		},
		"lossy": func(rt *rapid.T) { mh := pick(rt); mh.losesAnswers = !mh.losesAnswers },
		"answers lag": func(rt *rapid.T) {
			pick(rt).answerDelay = time.Duration(rapid.IntRange(0, 6).Draw(rt, "lag")) * time.Second
		},
		"cut": func(rt *rapid.T) {
			mh, i := pick(rt), rapid.IntRange(0, len(mo.hosts)-1).Draw(rt, "from")
			mh.cutFrom[i] = !mh.cutFrom[i]
		},
		"kill": func(rt *rapid.T) {
			if len(mo.hosts) < 3*modelHosts {
				pick(rt).dead = true
			}
		},
		"start": func(*rapid.T) {
			if len(mo.hosts) < 3*modelHosts {
				mo.add()
			}
		},
		"": func(*rapid.T) { mo.check() },
	}
}

// TestOneOwner runs keepers through partitions, pauses, kills, joins, lost answers and
// clocks of different rates, and checks at every step that no resource has two owners.
func TestOneOwner(t *testing.T) {
	events := map[string]int{}
	proptest.Check(t, proptest.Size{Checks: modelChecks, Steps: modelSteps}, func(rt *rapid.T) {
		var mo *model
		defer func() {
			if mo == nil {
				return
			}
			if mo.violation != "" {
				rt.Fatal(mo.violation)
			}
			for kind, n := range mo.events {
				events[kind] += n
			}
		}()
		proptest.InBubble(t, func() {
			mo = newModel(rt)
			rt.Repeat(mo.actions())
		})
	})
	t.Log(events)
	for _, kind := range []string{"joined", "extended", "took-over", "left"} {
		qt.Check(t, events[kind] > 0, qt.IsTrue, qt.Commentf("%s never happened", kind))
	}
}

// withModel runs a test with a model without faults.
func withModel(t *testing.T, fn func(c *qt.C, mo *model)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// The depth keeps hosts from acting in between, which would need a rapid.T.
		mo := &model{startedAt: time.Now(), events: map[string]int{}, depth: 2}
		fn(qt.New(t), mo)
	})
}

// addReliable adds n hosts with exact clocks, which do not join yet.
func (mo *model) addReliable(n int) []*Keeper {
	var kes []*Keeper
	for i := range n {
		mh := &modelHost{rate: 1, cutFrom: map[int]bool{}}
		id := fmt.Sprintf("p%d", i)
		mh.ke = &Keeper{
			ID: id, Addr: id, DC: "dc", Resources: modelResources, Timing: DefaultTiming, Table: mo.tableOf(mh),
			Peers: Peers{PromiseFunc: mo.promiseFunc(mh), DenialFunc: mo.denialFunc(mh)},
		}
		mo.hosts = append(mo.hosts, mh)
		kes = append(kes, mh.ke)
	}
	return kes
}

// owned returns how many resources a host owns.
func owned(ke *Keeper) int {
	return len(slices.DeleteFunc(slices.Clone(modelResources), func(re string) bool { return !ke.Owns(re) }))
}

// startAll has all keepers join, and runs them until ctx ends.
func startAll(ctx context.Context, c *qt.C, kes []*Keeper) {
	for _, ke := range kes {
		c.Assert(ke.Join(ctx), qt.IsNil)
		go func() { _ = ke.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
}

func TestIsolatedDataCentreKeepsItsLeases(t *testing.T) {
	withModel(t, func(c *qt.C, mo *model) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		kes := mo.addReliable(3)
		startAll(ctx, c, kes)
		mo.setFaults(func() {
			for _, mh := range mo.hosts {
				mh.tableCut = true
			}
		})
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(owned(kes[0])+owned(kes[1])+owned(kes[2]), qt.Equals, len(modelResources))
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestIsolatedHostLosesItsLeases(t *testing.T) {
	withModel(t, func(c *qt.C, mo *model) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		kes := mo.addReliable(3)
		startAll(ctx, c, kes)
		mo.setFaults(func() {
			isolated := mo.hosts[0]
			isolated.tableCut, isolated.cutFrom[1], isolated.cutFrom[2] = true, true, true
		})
		time.Sleep(DefaultTiming.TTL + time.Second)
		c.Assert(owned(kes[0]), qt.Equals, 0)
		time.Sleep(2 * DefaultTiming.TTL)
		c.Assert(owned(kes[1])+owned(kes[2]), qt.Equals, len(modelResources))
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestRepeatedJoinGrantsNoTenure has a host join again after its first attempt was written
// and its answer lost. Other members may have seen its row unchanged since then, and may
// soon take over from it, so that only a renewal begins a tenure, not the second attempt.
func TestRepeatedJoinGrantsNoTenure(t *testing.T) {
	withModel(t, func(c *qt.C, mo *model) {
		kes := mo.addReliable(2)
		c.Assert(kes[0].Join(context.Background()), qt.IsNil)
		cl := kes[1].Table
		kes[1].Table.CommitFunc = func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
			_, err := cl.CommitFunc(ctx, txn)
			c.Check(err, qt.IsNil)
			<-ctx.Done()
			return store.CommitReply{}, errUnreachable
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Assert(kes[1].Join(ctx), qt.IsNotNil)
		kes[1].Table = cl
		time.Sleep(DefaultTiming.TTL)
		c.Assert(kes[1].Join(context.Background()), qt.IsNil)
		c.Assert(kes[1].Valid(), qt.IsFalse)
		c.Assert(kes[1].Renew(context.Background()), qt.IsNil)
		c.Assert(kes[1].Valid(), qt.IsTrue)
	})
}

// TestNoExtensionFromEmptyKnownSet guards against two owners. The first host has recorded
// an empty known set, and does not know whether the renewal that recorded its first peer
// reached the table. A promise of that peer must not extend the tenure, since a takeover
// needs no denial if the renewal did not reach the table.
func TestNoExtensionFromEmptyKnownSet(t *testing.T) {
	withModel(t, func(c *qt.C, mo *model) {
		ctx := context.Background()
		kes := mo.addReliable(2)
		c.Assert(kes[0].Join(ctx), qt.IsNil)
		c.Assert(kes[1].Join(ctx), qt.IsNil)
		_, err := kes[0].Watch(ctx)
		c.Assert(err, qt.IsNil)
		mo.hosts[0].tableCut = true
		c.Assert(kes[0].Renew(ctx), qt.ErrorIs, errUnreachable)
		c.Assert(kes[0].Extend(ctx), qt.IsFalse)
	})
}

func TestDeclareDead(t *testing.T) {
	withModel(t, func(c *qt.C, mo *model) {
		ctx, cancel := context.WithCancel(context.Background())
		kes := mo.addReliable(4)
		startAll(ctx, c, kes[:3])
		cancel()
		time.Sleep(time.Minute)
		// All members are lost at once. No host of their known sets is left to deny, so only
		// an operator can declare them dead.
		ctx, cancel = context.WithCancel(context.Background())
		defer cancel()
		mo.setFaults(func() {
			for i := range 3 {
				mo.hosts[i].dead = true
			}
		})
		startAll(ctx, c, kes[3:])
		time.Sleep(time.Minute)
		c.Assert(owned(kes[3]), qt.Equals, 0)
		members, err := kes[3].Members(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(members, qt.HasLen, 4)
		for _, me := range members[:3] {
			c.Assert(kes[3].DeclareDead(ctx, me.ID, me.Beat-1), qt.ErrorIs, ErrRenewed)
			c.Assert(kes[3].DeclareDead(ctx, me.ID, me.Beat), qt.IsNil)
			c.Assert(kes[3].DeclareDead(ctx, me.ID, me.Beat), qt.IsNil)
		}
		c.Assert(kes[3].DeclareDead(ctx, members[3].ID, members[3].Beat), qt.ErrorIs, ErrRenewed)
		c.Assert(owned(kes[3]), qt.Equals, len(modelResources))
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestAssignment(t *testing.T) {
	c := qt.New(t)
	as := Assignment{}.WithMember("a", modelResources)
	c.Assert(as.OwnedBy("a"), qt.HasLen, len(modelResources))
	two := as.WithMember("b", modelResources).WithOwner("ids/0", "b")
	c.Assert(two.OwnedBy("b"), qt.DeepEquals, []string{"ids/0"})
	c.Assert(as.OwnedBy("a"), qt.HasLen, len(modelResources), qt.Commentf("the original assignment changed"))
	rest := two.WithoutMember("a")
	c.Assert(rest.OwnedBy("b"), qt.HasLen, len(modelResources))
	c.Assert(slices.Sorted(maps.Keys(rest.Owners)), qt.HasLen, len(modelResources))
	c.Assert(rest.Owners["ids/0"].Epoch, qt.Equals, two.Epoch)
	c.Assert(rest.Owners["ids/1"].Epoch, qt.Equals, rest.Epoch)
}
