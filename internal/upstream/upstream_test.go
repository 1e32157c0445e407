package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

// rig is a registry of ten runners.
func newRig() (*Registry, []store.Host) {
	var hosts []store.Host
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		hosts = append(hosts, store.Host{ID: id, Addr: id, Kind: store.KindRunner, DC: "dc", Service: "s", State: store.HostLive})
	}
	re := &Registry{}
	re.SetList(hosts)
	return re, hosts
}

func stateOf(re *Registry) State {
	for _, ru := range re.Runners() {
		if ru.ID == "a" {
			return ru.State
		}
	}
	return "gone"
}

// assertState checks the state of runner a.
func assertState(c *qt.C, re *Registry, want State) {
	c.Helper()
	c.Assert(stateOf(re), qt.Equals, want)
}

func report(re *Registry, id string, ev Evidence, n int) {
	for range n {
		re.Report(id, ev, 10*time.Millisecond)
	}
}

func inBubble(t *testing.T, fn func(c *qt.C)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { fn(qt.New(t)) })
}

func TestLeaving(t *testing.T) {
	t.Run("by the list", func(t *testing.T) {
		inBubble(t, func(c *qt.C) {
			re, hosts := newRig()
			hosts[0].State = store.HostLeaving
			re.SetList(hosts)
			assertState(c, re, Leaving)
			re.SetList(hosts[1:])
			assertState(c, re, "gone")
		})
	})
	t.Run("by its own word, against a list that says live", func(t *testing.T) {
		inBubble(t, func(c *qt.C) {
			re, hosts := newRig()
			re.Report("a", SaidLeaving, 0)
			assertState(c, re, Leaving)
			re.SetList(hosts)
			assertState(c, re, Leaving)
			time.Sleep(leavingHold + time.Second)
			assertState(c, re, Probing)
			report(re, "a", Answered, probesToLive)
			assertState(c, re, Live)
		})
	})
}

func TestSetAside(t *testing.T) {
	for _, te := range []struct {
		name string
		ev   Evidence
		n    int
	}{
		{"unreached", Unreached, badInARow},
		{"lost", Lost, badInARow},
		{"wrong", Wrong, badInARow},
		{"refuses all", Refused, badInARow},
		{"hangs", GaveUp, gaveUpInARow},
	} {
		t.Run(te.name, func(t *testing.T) {
			inBubble(t, func(c *qt.C) {
				re, _ := newRig()
				report(re, "a", te.ev, te.n-1)
				assertState(c, re, Live)
				report(re, "a", te.ev, 1)
				assertState(c, re, Aside)
				time.Sleep(asideFirst)
				assertState(c, re, Probing)
				report(re, "a", te.ev, 1)
				assertState(c, re, Aside)
				time.Sleep(asideFirst)
				assertState(c, re, Aside)
				time.Sleep(asideFirst)
				report(re, "a", Answered, probesToLive)
				assertState(c, re, Live)
			})
		})
	}
	t.Run("a success in between starts the count anew", func(t *testing.T) {
		inBubble(t, func(c *qt.C) {
			re, _ := newRig()
			report(re, "a", Lost, badInARow-1)
			report(re, "a", Answered, 1)
			report(re, "a", Lost, badInARow-1)
			assertState(c, re, Live)
		})
	})
	t.Run("full says nothing", func(t *testing.T) {
		inBubble(t, func(c *qt.C) {
			re, _ := newRig()
			report(re, "a", Full, 100)
			assertState(c, re, Live)
		})
	})
	t.Run("never more than half", func(t *testing.T) {
		inBubble(t, func(c *qt.C) {
			re, _ := newRig()
			for _, ru := range re.Runners() {
				report(re, ru.ID, Lost, 2*badInARow)
			}
			live := 0
			for _, ru := range re.Runners() {
				if ru.State == Live {
					live++
				}
			}
			c.Assert(live, qt.Equals, 5)
		})
	})
	t.Run("a new address is a new process", func(t *testing.T) {
		inBubble(t, func(c *qt.C) {
			re, hosts := newRig()
			report(re, "a", Lost, badInARow)
			hosts[0].Addr = "elsewhere"
			re.SetList(hosts)
			assertState(c, re, Live)
		})
	})
}

func TestSlow(t *testing.T) {
	c := qt.New(t)
	re, _ := newRig()
	for _, ru := range re.Runners() {
		took := 10 * time.Millisecond
		if ru.ID == "a" {
			took = 50 * time.Millisecond
		}
		for range slowSamples {
			re.Report(ru.ID, Answered, took)
		}
	}
	for _, ru := range re.Runners() {
		c.Assert(ru.Slow, qt.Equals, ru.ID == "a")
	}
}
