package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/store"
)

// newTestRegistry returns a registry of ten live runners and their list.
func newTestRegistry() (*Registry, []store.Host) {
	var hosts []store.Host
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		hosts = append(hosts, store.Host{ID: id, Addr: id, Kind: store.KindRunner, DC: "dc", Service: "s", State: store.HostLive})
	}
	re := &Registry{}
	re.SetList(hosts)
	return re, hosts
}

// stateOf returns the state of runner a, or "gone" if it is not listed.
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

// report reports the results of n requests to a runner of newTestRegistry.
func report(re *Registry, id string, ev Evidence, n int) {
	for range n {
		re.Report(id, id, ev, 10*time.Millisecond)
	}
}

func withFakeClock(t *testing.T, fn func(c *qt.C)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { fn(qt.New(t)) })
}

func TestLeaving(t *testing.T) {
	t.Run("reported by the list", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			re, hosts := newTestRegistry()
			hosts[0].State = store.HostLeaving
			re.SetList(hosts)
			assertState(c, re, Leaving)
			re.SetList(hosts[1:])
			assertState(c, re, "gone")
		})
	})
	t.Run("reported by the runner, while the list says live", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			re, hosts := newTestRegistry()
			re.Report("a", "a", ReportedLeaving, 0)
			assertState(c, re, Leaving)
			re.SetList(hosts)
			assertState(c, re, Leaving)
			time.Sleep(leavingHold + time.Second)
			assertState(c, re, Probing)
			report(re, "a", Answered, probesRequired)
			assertState(c, re, Live)
		})
	})
}

func TestQuarantine(t *testing.T) {
	for _, te := range []struct {
		name string
		ev   Evidence
		n    int
	}{
		{"unreachable", Unreachable, failureLimit},
		{"lost", AnswerLost, failureLimit},
		{"wrong", InvalidAnswer, failureLimit},
		{"refuses all requests", Refused, failureLimit},
		{"hangs", Abandoned, abandonLimit},
	} {
		t.Run(te.name, func(t *testing.T) {
			withFakeClock(t, func(c *qt.C) {
				re, _ := newTestRegistry()
				report(re, "a", te.ev, te.n-1)
				assertState(c, re, Live)
				report(re, "a", te.ev, 1)
				assertState(c, re, Quarantined)
				time.Sleep(minQuarantineTime)
				assertState(c, re, Probing)
				report(re, "a", te.ev, 1)
				assertState(c, re, Quarantined)
				time.Sleep(minQuarantineTime)
				assertState(c, re, Quarantined)
				time.Sleep(minQuarantineTime)
				report(re, "a", Answered, probesRequired)
				assertState(c, re, Live)
			})
		})
	}
	t.Run("a success in between resets the count", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			re, _ := newTestRegistry()
			report(re, "a", AnswerLost, failureLimit-1)
			report(re, "a", Answered, 1)
			report(re, "a", AnswerLost, failureLimit-1)
			assertState(c, re, Live)
		})
	})
	t.Run("full is not a failure", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			re, _ := newTestRegistry()
			report(re, "a", Full, 100)
			assertState(c, re, Live)
		})
	})
	t.Run("never more than half are quarantined", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			re, _ := newTestRegistry()
			for _, ru := range re.Runners() {
				report(re, ru.ID, AnswerLost, 2*failureLimit)
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
	t.Run("a new address clears the record", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			re, hosts := newTestRegistry()
			report(re, "a", AnswerLost, failureLimit)
			hosts[0].Addr = "elsewhere"
			re.SetList(hosts)
			assertState(c, re, Live)
		})
	})
	t.Run("late results of a former process don't count", func(t *testing.T) {
		withFakeClock(t, func(c *qt.C) {
			for _, ev := range []Evidence{ReportedLeaving, AnswerLost, Unreachable, Abandoned} {
				re, hosts := newTestRegistry()
				hosts[0].Addr = "elsewhere"
				re.SetList(hosts)
				report(re, "a", ev, failureLimit+abandonLimit)
				assertState(c, re, Live)
			}
		})
	})
}

func TestSlow(t *testing.T) {
	c := qt.New(t)
	re, _ := newTestRegistry()
	for _, ru := range re.Runners() {
		took := 10 * time.Millisecond
		if ru.ID == "a" {
			took = 50 * time.Millisecond
		}
		for range slowSamples {
			re.Report(ru.ID, ru.Addr, Answered, took)
		}
	}
	for _, ru := range re.Runners() {
		c.Assert(ru.Slow, qt.Equals, ru.ID == "a")
	}
}
