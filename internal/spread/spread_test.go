package spread

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
)

func names(prefix string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return all
}

// TestAssignEvenly checks that every item has a host, that no host has more than its share,
// and that the result does not depend on the order of the names.
func TestAssignEvenly(t *testing.T) {
	proptest.Check(t, proptest.Size{}, func(rt *rapid.T) {
		items := names("i", rapid.IntRange(0, 60).Draw(rt, "items"))
		hosts := names("h", rapid.IntRange(1, 9).Draw(rt, "hosts"))
		assigned := AssignEvenly(items, hosts)
		count := map[string]int{}
		for _, it := range items {
			count[assigned[it]]++
		}
		if count[""] > 0 {
			rt.Fatalf("%d items have no host", count[""])
		}
		limit := (len(items) + len(hosts) - 1) / len(hosts)
		for ho, n := range count {
			if n > limit {
				rt.Fatalf("host %s has %d of %d items", ho, n, len(items))
			}
		}
		permuted := AssignEvenly(rapid.Permutation(items).Draw(rt, "permuted items"), rapid.Permutation(hosts).Draw(rt, "permuted hosts"))
		for _, it := range items {
			if permuted[it] != assigned[it] {
				rt.Fatalf("item %s: host %s, and %s with the names in another order", it, assigned[it], permuted[it])
			}
		}
	})
}

func TestRemovedHostMovesFewItems(t *testing.T) {
	items, hosts := names("i", 300), names("h", 6)
	before, after := AssignEvenly(items, hosts), AssignEvenly(items, hosts[:5])
	moved := 0
	for _, it := range items {
		if before[it] != "h5" && before[it] != after[it] {
			moved++
		}
	}
	// The 50 items of the removed host have to move; only few others may.
	qt.Assert(t, moved <= 75, qt.IsTrue, qt.Commentf("%d other items moved", moved))
}

func TestNoHosts(t *testing.T) {
	qt.Assert(t, AssignEvenly(names("i", 3), nil), qt.HasLen, 0)
	qt.Assert(t, Preferred("i", nil, 2), qt.HasLen, 0)
}
