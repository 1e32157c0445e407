package claim

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/lease"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/route"
)

func TestParse(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{NewID(""), NewID("burnaby-hall")} {
		id, err := Parse(text)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(id.CreatedAt) < time.Minute, qt.IsTrue)
		c.Assert(id.HomeIn([]string{"a", "b"}), qt.Not(qt.Equals), "")
	}
	for _, text := range []string{"", "x", "0190e8a1", "6ba7b810-9dad-11d1-80b4-00c04fd430c8", "{" + NewID("") + "}"} {
		_, err := Parse(text)
		c.Assert(err, qt.ErrorIs, ErrMalformed)
	}
}

// modelHost is one entry host of the model: a ledger and the tenure that the
// host believes to have.
type modelHost struct {
	le    *Ledger
	owns  bool
	since lease.OwnershipStart
}

func newModelHost(rules Rules) *modelHost {
	mh := &modelHost{}
	mh.le = &Ledger{
		Owns:  func(string) bool { return mh.owns },
		Since: func(string) lease.OwnershipStart { return mh.since },
		Rules: rules,
	}
	return mh
}

// model is three entry hosts that own all shards in turn. Changes of owner
// follow the rules of package lease: the old owner's tenure ends before the new
// one's begins.
type model struct {
	rt          *rapid.T
	hosts       []*modelHost
	owner       int
	epoch       int64
	ids         []string
	admitted    map[string]map[string]bool
	notRun      map[string]bool
	submissions int
	// violation describes an id that was admitted more than once.
	violation string
	// delayed holds handovers that arrive late.
	delayed []Handover
}

func (mo *model) check() {
	for id, subs := range mo.admitted {
		ran := 0
		for sub := range subs {
			if !mo.notRun[sub] {
				ran++
			}
		}
		if ran > 1 {
			mo.violation = fmt.Sprintf("id %s was admitted %d times", id, ran)
		}
	}
}

// take submits an id to any host, owner or not.
func (mo *model) take(id string) {
	mo.submissions++
	sub := fmt.Sprintf("s%d", mo.submissions)
	hostIndex := rapid.IntRange(0, len(mo.hosts)-1).Draw(mo.rt, "host")
	dec := mo.hosts[hostIndex].le.Take(TakeRequest{ID: id, Submission: sub})
	if !dec.Granted {
		return
	}
	if mo.admitted[id] == nil {
		mo.admitted[id] = map[string]bool{}
	}
	mo.admitted[id][sub] = true
	if rapid.Bool().Draw(mo.rt, "not run") {
		// The submission did not run; its release may reach the owner or be
		// lost.
		mo.notRun[sub] = true
		if rapid.Bool().Draw(mo.rt, "release arrives") {
			mo.hosts[hostIndex].le.Release(ReleaseRequest{ID: id, Submission: sub})
		}
	}
}

// changeOwner ends the owner's tenure and begins that of another host, with or
// without a handover.
func (mo *model) changeOwner(handover bool) {
	old := mo.hosts[mo.owner]
	next := (mo.owner + rapid.IntRange(1, len(mo.hosts)-1).Draw(mo.rt, "next owner")) % len(mo.hosts)
	old.owns = false
	if handover {
		for _, re := range Resources() {
			ho := old.le.Export(re, old.since, mo.epoch)
			if rapid.IntRange(0, 9).Draw(mo.rt, "handover") == 0 {
				mo.delayed = append(mo.delayed, ho)
				continue
			}
			mo.hosts[next].le.Import(ho)
		}
	}
	if handover && rapid.Bool().Draw(mo.rt, "assignment not written") {
		// The assignment was not written, as another one came first, in which
		// the owner stays.
		mo.epoch++
		old.owns = true
		return
	}
	time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(mo.rt, "gap ms")) * time.Millisecond)
	mo.epoch++
	if rapid.IntRange(0, 3).Draw(mo.rt, "restart") == 0 {
		mo.hosts[next] = newModelHost(mo.hosts[next].le.Rules)
	}
	mo.owner = next
	mo.hosts[next].owns = true
	mo.hosts[next].since = lease.OwnershipStart{At: time.Now(), Epoch: mo.epoch}
}

// modelChecks is the number of sequences that rapid tries: some faults were found
// only after several hundred.
const modelChecks = 1500

// actions returns the events of the model; the one without a name is the check
// that rapid runs after each.
func (mo *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"new id": func(*rapid.T) {
			mo.ids = append(mo.ids, idCreatedAt(time.Now().Add(-time.Duration(rapid.IntRange(-900, 900).Draw(mo.rt, "skew"))*time.Millisecond), len(mo.ids)))
			mo.take(mo.ids[len(mo.ids)-1])
		},
		"repeat": func(rt *rapid.T) {
			if len(mo.ids) == 0 {
				rt.Skip("no id yet")
			}
			mo.take(rapid.SampledFrom(mo.ids).Draw(rt, "id"))
		},
		"repeat the last": func(rt *rapid.T) {
			if len(mo.ids) == 0 {
				rt.Skip("no id yet")
			}
			mo.take(mo.ids[len(mo.ids)-1])
		},
		"takeover": func(*rapid.T) { mo.changeOwner(false) },
		"handover": func(*rapid.T) { mo.changeOwner(true) },
		"late handover": func(rt *rapid.T) {
			if len(mo.delayed) == 0 {
				rt.Skip("none")
			}
			mo.hosts[rapid.IntRange(0, 2).Draw(rt, "to")].le.Import(mo.delayed[0])
			mo.delayed = mo.delayed[1:]
		},
		"late handover to an owner that passes on the shard": func(rt *rapid.T) {
			if len(mo.delayed) == 0 {
				rt.Skip("none")
			}
			owner := mo.hosts[mo.owner]
			owner.owns = false
			owner.le.Import(mo.delayed[0])
			owner.owns = true
		},
		"wait": func(rt *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
		},
		"": func(*rapid.T) { mo.check() },
	}
}

// TestAtMostOnce runs ledgers through changes of owner, restarts, lost messages
// and repeated ids, and checks that no id is admitted twice.
func TestAtMostOnce(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: modelChecks}, func(rt *rapid.T) {
		var mo *model
		// A failure reported inside would end the fake-clock test before rapid
		// records it.
		defer func() {
			if mo != nil && mo.violation != "" {
				rt.Fatal(mo.violation)
			}
		}()
		proptest.InBubble(t, func() {
			rules := Rules{Window: 20 * time.Second, Skew: time.Second, MaxIDs: 1000}
			mo = &model{rt: rt, epoch: 1, admitted: map[string]map[string]bool{}, notRun: map[string]bool{}}
			for range 3 {
				mo.hosts = append(mo.hosts, newModelHost(rules))
			}
			mo.hosts[0].owns = true
			mo.hosts[0].since = lease.OwnershipStart{At: time.Now(), Epoch: 1}
			time.Sleep(2 * time.Second)
			rt.Repeat(mo.actions())
		})
	})
}

// idCreatedAt returns an id created at a time; the same n gives the same id.
func idCreatedAt(at time.Time, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", at.UnixMilli()>>16, at.UnixMilli()&0xffff, n)
}

func newOwningLedger() *Ledger {
	return &Ledger{
		Owns: func(string) bool { return true },
		Since: func(string) lease.OwnershipStart {
			return lease.OwnershipStart{At: time.Now().Add(-time.Hour), Epoch: 1}
		},
		Rules: DefaultRules,
	}
}

func TestTake(t *testing.T) {
	c := qt.New(t)
	begun := lease.OwnershipStart{At: time.Now().Add(-time.Hour), Epoch: 1}
	le := newOwningLedger()
	le.Since = func(string) lease.OwnershipStart { return begun }
	id := NewID("")
	c.Assert(le.Take(TakeRequest{ID: id, Submission: "a"}).Granted, qt.IsTrue)
	c.Assert(le.Take(TakeRequest{ID: id, Submission: "a"}).Granted, qt.IsTrue)
	c.Assert(le.Take(TakeRequest{ID: id, Submission: "b"}).Reason, qt.Equals, reason.ClaimTaken)
	le.Release(ReleaseRequest{ID: id, Submission: "b"})
	c.Assert(le.Take(TakeRequest{ID: id, Submission: "b"}).Reason, qt.Equals, reason.ClaimTaken)
	le.Release(ReleaseRequest{ID: id, Submission: "a"})
	c.Assert(le.Take(TakeRequest{ID: id, Submission: "b"}).Granted, qt.IsTrue)
	old := idCreatedAt(time.Now().Add(-DefaultRules.Window-time.Second), 1)
	c.Assert(le.Take(TakeRequest{ID: old, Submission: "a"}).Reason, qt.Equals, reason.IDStale)
	begun = lease.OwnershipStart{At: time.Now(), Epoch: 2}
	c.Assert(le.Take(TakeRequest{ID: NewID(""), Submission: "a"}).Reason, qt.Equals, reason.ClaimBeforeTenure)
	le.Owns = func(string) bool { return false }
	c.Assert(le.Take(TakeRequest{ID: NewID(""), Submission: "a"}).Reason, qt.Equals, reason.ClaimOwnerUnavailable)
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	le := newOwningLedger()
	begun := le.Since("")
	le.Since = func(string) lease.OwnershipStart { return begun }
	le.Rules.MaxIDs = 10
	for range 10 {
		c.Assert(le.Take(TakeRequest{ID: NewID(""), Submission: "a"}).Granted, qt.IsTrue)
	}
	c.Assert(le.Take(TakeRequest{ID: NewID(""), Submission: "a"}).Reason, qt.Equals, reason.ClaimMemoryFull)
}

// TestGuard checks the result for each decision and for a lost answer.
func TestGuard(t *testing.T) {
	errLost := errors.New("lost")
	for _, te := range []struct {
		name     string
		decision Decision
		err      error
		res      route.Result
		outcome  route.Outcome
		why      reason.Reason
		ran      int
		released int
	}{
		{"granted", Decision{Granted: true}, nil, route.Result{Outcome: route.Answered}, route.Answered, reason.None, 1, 0},
		{"granted, not run", Decision{Granted: true}, nil, route.NotRunResult(reason.NoRunner, 1), route.NotRun, reason.NoRunner, 1, 1},
		{"granted, unknown", Decision{Granted: true}, nil, route.Result{Outcome: route.Unknown, Reason: reason.AnswerLost}, route.Unknown, reason.AnswerLost, 1, 0},
		{"taken", Decision{Reason: reason.ClaimTaken}, nil, route.Result{}, route.Unknown, reason.ClaimTaken, 0, 0},
		{"before tenure", Decision{Reason: reason.ClaimBeforeTenure}, nil, route.Result{}, route.Unknown, reason.ClaimBeforeTenure, 0, 0},
		{"owner unavailable", Decision{}, errLost, route.Result{}, route.Unknown, reason.ClaimOwnerUnavailable, 0, 0},
		{"not the owner", Decision{Reason: reason.ClaimOwnerUnavailable}, nil, route.Result{}, route.Unknown, reason.ClaimOwnerUnavailable, 0, 0},
		{"memory full", Decision{Reason: reason.ClaimMemoryFull}, nil, route.Result{}, route.NotRun, reason.ClaimMemoryFull, 0, 0},
	} {
		t.Run(te.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ran, released := 0, 0
				gu := &Guard{
					DCs:     []string{"a"},
					Take:    func(context.Context, string, string, TakeRequest) (Decision, error) { return te.decision, te.err },
					Release: func(string, string, ReleaseRequest) { released++ },
				}
				res := gu.Do(context.Background(), NewID(""), func(context.Context) route.Result {
					ran++
					return te.res
				})
				c.Assert(res.Outcome, qt.Equals, te.outcome)
				c.Assert(res.Reason, qt.Equals, te.why)
				c.Assert(ran, qt.Equals, te.ran)
				c.Assert(released, qt.Equals, te.released)
			})
		})
	}
}

// TestHandoverOfUnusedShard guards against a fault in planned stops: a host
// that passed on a shard before any id was submitted dropped the records it had
// received, so that older ids were answered as unknown.
func TestHandoverOfUnusedShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		first, second, third := newModelHost(DefaultRules), newModelHost(DefaultRules), newModelHost(DefaultRules)
		first.owns, first.since = true, lease.OwnershipStart{At: time.Now(), Epoch: 1}
		time.Sleep(time.Minute)
		text := idCreatedAt(time.Now(), 1)
		id, err := Parse(text)
		c.Assert(err, qt.IsNil)
		second.le.Import(first.le.Export(id.Shard(), first.since, 1))
		second.since = lease.OwnershipStart{At: time.Now(), Epoch: 2}
		third.le.Import(second.le.Export(id.Shard(), second.since, 2))
		third.owns, third.since = true, lease.OwnershipStart{At: time.Now(), Epoch: 3}
		c.Assert(third.le.Take(TakeRequest{ID: text, Submission: "a"}).Granted, qt.IsTrue)
	})
}

// TestLateHandover guards against a handover that arrives late, while its
// receiver is about to pass on the shard, and replaces what the receiver has
// admitted since.
func TestLateHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		oldOwner, newOwner := newModelHost(DefaultRules), newModelHost(DefaultRules)
		oldOwner.owns, oldOwner.since = true, lease.OwnershipStart{At: time.Now(), Epoch: 1}
		time.Sleep(time.Minute)
		id, err := Parse(idCreatedAt(time.Now(), 1))
		c.Assert(err, qt.IsNil)
		ho := oldOwner.le.Export(id.Shard(), oldOwner.since, 1)
		newOwner.owns, newOwner.since = true, lease.OwnershipStart{At: time.Now().Add(-5 * time.Second), Epoch: 2}
		c.Assert(newOwner.le.Take(TakeRequest{ID: id.Text, Submission: "a"}).Granted, qt.IsTrue)
		newOwner.owns = false
		newOwner.le.Import(ho)
		newOwner.owns = true
		c.Assert(newOwner.le.Take(TakeRequest{ID: id.Text, Submission: "b"}).Reason, qt.Equals, reason.ClaimTaken)
	})
}
