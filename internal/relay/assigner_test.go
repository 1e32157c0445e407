package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// newAssigner returns an assigner with the given hosts, named h0, h1 and so on; h0 is the
// owner's host.
func newAssigner(hosts ...registry.Member) *assigner {
	as := &assigner{self: "h0", cores: 0.8, members: map[string]registry.Member{}, unavailable: map[string]bool{}}
	for i, me := range hosts {
		me.Name = fmt.Sprint("h", i)
		as.members[me.Name] = me
	}
	return as
}

// assignAll assigns n workers in data centre a.
func assignAll(as *assigner, n int) {
	for i := range n {
		as.assign(fmt.Sprint("a", i), "a")
	}
}

func TestAssign(t *testing.T) {
	large := registry.Member{DataCentre: "a", Cores: 0.8}
	small := registry.Member{DataCentre: "a", Cores: 0.2}
	remote := registry.Member{DataCentre: "b", Cores: 0.8}
	t.Run("an owner with few workers for its cores needs no relays", func(t *testing.T) {
		as := newAssigner(large)
		qt.Check(t, as.needsRelays(256), qt.IsFalse)
		qt.Check(t, as.needsRelays(257), qt.IsTrue)
		qt.Check(t, (&assigner{}).needsRelays(5000), qt.IsFalse)
	})
	t.Run("the owner's host is not used as a relay", func(t *testing.T) {
		qt.Assert(t, newAssigner(large).assign("i", "a"), qt.Equals, "")
	})
	t.Run("large hosts of the data centre are filled first, one after the other", func(t *testing.T) {
		as := newAssigner(large, small, remote, large, large)
		assignAll(as, 121)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h3": 120, "h4": 1})
	})
	t.Run("a host of another data centre is preferred to full hosts", func(t *testing.T) {
		as := newAssigner(large, small, remote)
		assignAll(as, 31)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h1": 30, "h2": 1})
	})
	t.Run("when all hosts are full the load is proportional to their cores", func(t *testing.T) {
		as := newAssigner(large, small, remote)
		assignAll(as, 300)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h1": 60, "h2": 240})
	})
	t.Run("workers of a lost relay are reassigned, and stay when it returns", func(t *testing.T) {
		as := newAssigner(large, large, large)
		assignAll(as, 10)
		as.unavailable["h1"] = true
		assignAll(as, 10)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h1": 0, "h2": 10})
		delete(as.unavailable, "h1")
		assignAll(as, 10)
		qt.Assert(t, as.load["h2"], qt.Equals, 10)
	})
	t.Run("an overloaded relay is rebalanced once other hosts join", func(t *testing.T) {
		as := newAssigner(large, small)
		assignAll(as, 100)
		qt.Assert(t, as.load["h1"], qt.Equals, 100)
		as.members["h2"] = registry.Member{Name: "h2", DataCentre: "a", Cores: 0.8}
		assignAll(as, 100)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h1": 30, "h2": 70})
	})
	t.Run("a worker that is removed frees capacity", func(t *testing.T) {
		as := newAssigner(large, large)
		assignAll(as, 2)
		as.unassign("a0")
		as.unassign("a0")
		qt.Assert(t, as.load["h1"], qt.Equals, 1)
	})
}

// TestLostWorkersEndRelaying guards against an owner that gives up its relays when it has just lost
// workers.
func TestLostWorkersEndRelaying(t *testing.T) {
	as := newAssigner()
	for _, tc := range []struct {
		workers int
		want    bool
	}{{256, false}, {490, true}, {240, true}, {129, true}, {128, false}, {240, false}} {
		qt.Check(t, as.needsRelays(tc.workers), qt.Equals, tc.want, qt.Commentf("%d workers", tc.workers))
	}
}
