package config

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

func TestWithAppliesValidChanges(t *testing.T) {
	c := qt.New(t)
	doc, err := Doc{}.With(map[string]string{QueueLimit: "5", QuotaPrefix + "depot": "cores:2,mem:100"})
	c.Assert(err, qt.IsNil)
	c.Assert(doc.Version, qt.Equals, int64(1))
	c.Assert(doc.Int(QueueLimit), qt.Equals, 5)
	c.Assert(doc.Duration(TailTarget), qt.Equals, 100*time.Millisecond)
	c.Assert(doc.Quotas()["depot"].MilliCores, qt.Equals, int64(2000))
	c.Assert(doc.All()[BatchEvery], qt.Equals, "8")
	defaulted, err := doc.With(map[string]string{QueueLimit: ""})
	c.Assert(err, qt.IsNil)
	c.Assert(defaulted.Int(QueueLimit), qt.Equals, 1024)
	c.Assert(doc.Int(QueueLimit), qt.Equals, 5)
	_, err = doc.With(map[string]string{"nothing": "1", RetryRatio: "2", TailTarget: "soon", QuotaPrefix + "x": "beds:2"})
	for _, name := range []string{"nothing", RetryRatio, TailTarget, "quota.x"} {
		c.Assert(err, qt.ErrorMatches, `(?s).*`+name+`.*`)
	}
}

func TestDefaultsAreValid(t *testing.T) {
	for _, ke := range Keys {
		if ke.Default != "" {
			qt.Check(t, ke.check(ke.Default), qt.IsNil, qt.Commentf("%s", ke.Name))
		}
	}
}

// model is three hosts that share one table.
type model struct {
	table  standin.Table
	stores [3]*Store
	// last is the last version seen at each host, and accepted the value of each
	// accepted version.
	last     [3]int64
	accepted map[int64]string
}

func newModel() *model {
	mo := &model{accepted: map[int64]string{}}
	for i := range mo.stores {
		mo.restart(i)
	}
	return mo
}

func (mo *model) restart(i int) {
	mo.stores[i], mo.last[i] = &Store{Table: mo.table.Client()}, -1
}

func (mo *model) change(rt *rapid.T, st *Store) {
	doc, _ := st.Current()
	value := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(rt, "value")
	plan := "plan/" + rapid.StringMatching(`[a-z]{12}`).Draw(rt, "plan")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	next, err := st.Change(ctx, doc.Version, map[string]string{QueueLimit: value}, ExtraRow{Key: plan, Value: 1})
	if err != nil {
		return
	}
	if was, ok := mo.accepted[next.Version]; ok {
		rt.Fatalf("version %d accepted twice: %s and %s", next.Version, was, value)
	}
	mo.accepted[next.Version] = value
}

func (mo *model) check(rt *rapid.T) {
	for i, st := range mo.stores {
		doc, ok := st.Current()
		if !ok {
			continue
		}
		if doc.Version < mo.last[i] {
			rt.Fatalf("host %d went back from %d to %d", i, mo.last[i], doc.Version)
		}
		if want, ok := mo.accepted[doc.Version]; ok && doc.Values[QueueLimit] != want {
			rt.Fatalf("version %d has %q, accepted was %q", doc.Version, doc.Values[QueueLimit], want)
		}
		mo.last[i] = doc.Version
	}
}

func (mo *model) actions() map[string]func(*rapid.T) {
	pick := func(rt *rapid.T, name string) int { return rapid.IntRange(0, len(mo.stores)-1).Draw(rt, name) }
	return map[string]func(*rapid.T){
		"poll": func(rt *rapid.T) { _ = mo.stores[pick(rt, "host")].Poll(context.Background()) },
		"peer": func(rt *rapid.T) {
			if doc, ok := mo.stores[pick(rt, "from")].Current(); ok {
				mo.stores[pick(rt, "to")].Adopt(doc)
			}
		},
		"change":  func(rt *rapid.T) { mo.change(rt, mo.stores[pick(rt, "host")]) },
		"restart": func(rt *rapid.T) { mo.restart(pick(rt, "host")) },
		"fault": func(rt *rapid.T) {
			mode := rapid.SampledFrom([]standin.Mode{standin.ModeOK, standin.ModeDown, standin.ModeLost}).Draw(rt, "mode")
			mo.table.Faults.Set(standin.Fault{Mode: mode, Count: rapid.IntRange(0, 3).Draw(rt, "count")})
		},
		"": mo.check,
	}
}

// TestVersionsNeverGoBack runs several hosts through changes, polls, versions from peers
// that may be outdated, outages, lost answers and restarts. No host goes back to a lower
// version, and an accepted change is never replaced by one that is not based on it.
func TestVersionsNeverGoBack(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 300}, func(rt *rapid.T) {
		proptest.InBubble(t, func() { rt.Repeat(newModel().actions()) })
	})
}

func TestConcurrentChangeIsRefused(t *testing.T) {
	c := qt.New(t)
	table := &standin.Table{}
	a, b := &Store{Table: table.Client()}, &Store{Table: table.Client()}
	ctx := context.Background()
	_, err := a.Change(ctx, 0, map[string]string{QueueLimit: "1"}, ExtraRow{Key: "plan/a", Value: 1})
	c.Assert(err, qt.IsNil)
	_, err = b.Change(ctx, 0, map[string]string{QueueLimit: "2"}, ExtraRow{Key: "plan/b", Value: 1})
	c.Assert(errors.Is(err, ErrConflict), qt.IsTrue)
	// The other host's change is written between the read and the write.
	cl := table.Client()
	a.Table.CommitFunc = func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
		_, err := b.Change(ctx, 1, map[string]string{QueueLimit: "3"}, ExtraRow{Key: "plan/c", Value: 1})
		c.Assert(err, qt.IsNil)
		return cl.CommitFunc(ctx, txn)
	}
	_, err = a.Change(ctx, 1, map[string]string{QueueLimit: "4"}, ExtraRow{Key: "plan/d", Value: 1})
	c.Assert(errors.Is(err, ErrConflict), qt.IsTrue)
}
