package capacity

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSummary guards against figures that are added up under the wrong data centre, and against
// sums that change with a later tally.
func TestSummary(t *testing.T) {
	var gr Groups
	a, b, other := Key{"a", "s"}, Key{"b", "s"}, Key{"a", "other"}
	worker := Figures{Workers: 1, Available: 1, Total: 1000, Usable: 1000, LongRunning: 500, Finite: 200, Idle: 300}
	ta := gr.Tally()
	for _, ke := range []Key{a, b, other, a} {
		ta.Add(gr.Number(ke), worker)
	}
	su := ta.Summary()
	later := gr.Tally()
	later.Add(gr.Number(Key{"c", "s"}), worker)
	lost := later.Summary()
	qt.Check(t, su.Keys(), qt.DeepEquals, []Key{a, b, other})
	qt.Check(t, su.Of(a), qt.Equals, worker.Add(worker))
	qt.Check(t, su.OfService("s"), qt.Equals, worker.Add(worker).Add(worker))
	qt.Check(t, Summary{}.Of(a), qt.Equals, Figures{})
	qt.Check(t, lost.Changed(su), qt.DeepEquals, []Key{a, b, other, {"c", "s"}})
	little, much := su.Of(b), su.Of(b)
	little.Finite, much.Finite = 299, 301
	qt.Check(t, su.With(b, little).Changed(su), qt.HasLen, 0)
	qt.Check(t, su.With(b, much).Changed(su), qt.DeepEquals, []Key{b})
}

// BenchmarkTally measures what a summary adds to a round of placement over 1,000 workers.
func BenchmarkTally(b *testing.B) {
	var gr Groups
	for i := range 10 {
		gr.Number(Key{DataCentre: string(rune('a' + i))})
	}
	for b.Loop() {
		ta := gr.Tally()
		for i := range 1000 {
			ta.Add(i%10+1, Figures{Workers: 1, Total: 64_000})
		}
		ta.Summary()
	}
}
