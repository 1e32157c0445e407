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

// TestEven checks that every item has a host, that no host has more than its
// share, and that the order of the names does not matter.
func TestEven(t *testing.T) {
	proptest.Check(t, proptest.Size{}, func(rt *rapid.T) {
		items := names("i", rapid.IntRange(0, 60).Draw(rt, "items"))
		hosts := names("h", rapid.IntRange(1, 9).Draw(rt, "hosts"))
		given := AssignEvenly(items, hosts)
		count := map[string]int{}
		for _, it := range items {
			count[given[it]]++
		}
		if count[""] > 0 {
			rt.Fatalf("%d items have no host", count[""])
		}
		most := (len(items) + len(hosts) - 1) / len(hosts)
		for ho, n := range count {
			if n > most {
				rt.Fatalf("%s has %d of %d", ho, n, len(items))
			}
		}
		again := AssignEvenly(rapid.Permutation(items).Draw(rt, "items again"), rapid.Permutation(hosts).Draw(rt, "hosts again"))
		for _, it := range items {
			if again[it] != given[it] {
				rt.Fatalf("%s: %s and %s", it, given[it], again[it])
			}
		}
	})
}

func TestFewItemsMove(t *testing.T) {
	items, hosts := names("i", 300), names("h", 6)
	before, after := AssignEvenly(items, hosts), AssignEvenly(items, hosts[:5])
	moved := 0
	for _, it := range items {
		if before[it] != "h5" && before[it] != after[it] {
			moved++
		}
	}
	// 50 have to move; of the others few may.
	qt.Assert(t, moved <= 75, qt.IsTrue, qt.Commentf("%d others moved", moved))
}

func TestNoHosts(t *testing.T) {
	qt.Assert(t, AssignEvenly(names("i", 3), nil), qt.HasLen, 0)
	qt.Assert(t, Preferred("i", nil, 2), qt.HasLen, 0)
}
