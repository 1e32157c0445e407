package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// newAssigner returns a plan of hosts, given as data centre and cores.
func newAssigner(hosts ...registry.Member) *assigner {
	as := &assigner{self: "h0", cores: 0.8, members: map[string]registry.Member{}, unavailable: map[string]bool{}}
	for i, me := range hosts {
		me.Name = fmt.Sprint("h", i)
		as.members[me.Name] = me
	}
	return as
}

// assignAll assigns so many workers of data centre a.
func assignAll(as *assigner, n int) {
	for i := range n {
		as.assign(fmt.Sprint("a", i), "a")
	}
}

func TestPlan(t *testing.T) {
	large := registry.Member{DataCentre: "a", Cores: 0.8}
	small := registry.Member{DataCentre: "a", Cores: 0.2}
	away := registry.Member{DataCentre: "b", Cores: 0.8}
	t.Run("small owners of few workers need none", func(t *testing.T) {
		as := newAssigner(large)
		qt.Check(t, as.needsRelays(256), qt.IsFalse)
		qt.Check(t, as.needsRelays(257), qt.IsTrue)
		qt.Check(t, (&assigner{}).needsRelays(5000), qt.IsFalse)
	})
	t.Run("the owner is no relay", func(t *testing.T) {
		qt.Assert(t, newAssigner(large).assign("i", "a"), qt.Equals, "")
	})
	t.Run("large hosts of the data centre first, filled one after the other", func(t *testing.T) {
		as := newAssigner(large, small, away, large, large)
		assignAll(as, 121)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h3": 120, "h4": 1})
	})
	t.Run("those of another data centre before full ones", func(t *testing.T) {
		as := newAssigner(large, small, away)
		assignAll(as, 31)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h1": 30, "h2": 1})
	})
	t.Run("where all are full the load is shared by what they have", func(t *testing.T) {
		as := newAssigner(large, small, away)
		assignAll(as, 300)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h1": 60, "h2": 240})
	})
	t.Run("a lost relay's workers go elsewhere, and stay there", func(t *testing.T) {
		as := newAssigner(large, large, large)
		assignAll(as, 10)
		as.unavailable["h1"] = true
		assignAll(as, 10)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h1": 0, "h2": 10})
		delete(as.unavailable, "h1")
		assignAll(as, 10)
		qt.Assert(t, as.load["h2"], qt.Equals, 10)
	})
	t.Run("a relay with too many workers is relieved once others come", func(t *testing.T) {
		as := newAssigner(large, small)
		assignAll(as, 100)
		qt.Assert(t, as.load["h1"], qt.Equals, 100)
		as.members["h2"] = registry.Member{Name: "h2", DataCentre: "a", Cores: 0.8}
		assignAll(as, 100)
		qt.Assert(t, as.load, qt.DeepEquals, map[string]int{"h1": 30, "h2": 70})
	})
	t.Run("a worker that is gone leaves room", func(t *testing.T) {
		as := newAssigner(large, large)
		assignAll(as, 2)
		as.unassign("a0")
		as.unassign("a0")
		qt.Assert(t, as.load["h1"], qt.Equals, 1)
	})
}
