package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// newPlan returns a plan of hosts, given as data centre and cores.
func newPlan(hosts ...registry.Member) *plan {
	pl := &plan{self: "h0", cores: 0.8, members: map[string]registry.Member{}, lost: map[string]bool{}}
	for i, me := range hosts {
		me.Name = fmt.Sprint("h", i)
		pl.members[me.Name] = me
	}
	return pl
}

// assignAll assigns so many workers of data centre a.
func assignAll(pl *plan, n int) {
	for i := range n {
		pl.assign(fmt.Sprint("a", i), "a")
	}
}

func TestPlan(t *testing.T) {
	large := registry.Member{DataCentre: "a", Cores: 0.8}
	small := registry.Member{DataCentre: "a", Cores: 0.2}
	away := registry.Member{DataCentre: "b", Cores: 0.8}
	t.Run("small owners of few workers need none", func(t *testing.T) {
		pl := newPlan(large)
		qt.Check(t, pl.shared(256), qt.IsFalse)
		qt.Check(t, pl.shared(257), qt.IsTrue)
		qt.Check(t, (&plan{}).shared(5000), qt.IsFalse)
	})
	t.Run("the owner is no relay", func(t *testing.T) {
		qt.Assert(t, newPlan(large).assign("i", "a"), qt.Equals, "")
	})
	t.Run("large hosts of the data centre first, filled one after the other", func(t *testing.T) {
		pl := newPlan(large, small, away, large, large)
		assignAll(pl, 121)
		qt.Assert(t, pl.load, qt.DeepEquals, map[string]int{"h3": 120, "h4": 1})
	})
	t.Run("those of another data centre before full ones", func(t *testing.T) {
		pl := newPlan(large, small, away)
		assignAll(pl, 31)
		qt.Assert(t, pl.load, qt.DeepEquals, map[string]int{"h1": 30, "h2": 1})
	})
	t.Run("where all are full the load is shared by what they have", func(t *testing.T) {
		pl := newPlan(large, small, away)
		assignAll(pl, 300)
		qt.Assert(t, pl.load, qt.DeepEquals, map[string]int{"h1": 60, "h2": 240})
	})
	t.Run("a lost relay's workers go elsewhere, and stay there", func(t *testing.T) {
		pl := newPlan(large, large, large)
		assignAll(pl, 10)
		pl.lost["h1"] = true
		assignAll(pl, 10)
		qt.Assert(t, pl.load, qt.DeepEquals, map[string]int{"h1": 0, "h2": 10})
		delete(pl.lost, "h1")
		assignAll(pl, 10)
		qt.Assert(t, pl.load["h2"], qt.Equals, 10)
	})
	t.Run("a relay with too many workers is relieved once others come", func(t *testing.T) {
		pl := newPlan(large, small)
		assignAll(pl, 100)
		qt.Assert(t, pl.load["h1"], qt.Equals, 100)
		pl.members["h2"] = registry.Member{Name: "h2", DataCentre: "a", Cores: 0.8}
		assignAll(pl, 100)
		qt.Assert(t, pl.load, qt.DeepEquals, map[string]int{"h1": 30, "h2": 70})
	})
	t.Run("a worker that is gone leaves room", func(t *testing.T) {
		pl := newPlan(large, large)
		assignAll(pl, 2)
		pl.release("a0")
		pl.release("a0")
		qt.Assert(t, pl.load["h1"], qt.Equals, 1)
	})
}
