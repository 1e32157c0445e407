package place

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// serviceOverTarget returns a snapshot of one worker with a service over its target and a
// batch task that is throttled to minShare.
func serviceOverTarget(pol Policy, lostMS int64) Snapshot {
	each := worker.Resources{MilliCores: 2000, MemMB: 1000}
	pol.TailTargetMS, pol.Evictions = 100, 1
	return Snapshot{
		Policy:  pol,
		Workers: []Worker{{ID: "w", Rack: "r", Capacity: each.Mul(4), Used: each.Mul(2)}},
		Tasks: []Task{
			{ID: "s", Job: "s", Kind: "s", Service: true, Each: each, Worker: "w", Share: 1, TailMS: 150, Fresh: true},
			{ID: "b", Job: "b", Kind: "b", Each: each, Worker: "w", Share: minShare, LostMS: lostMS},
		},
	}
}

// TestEachWeightPreventsEviction checks that a change of any single weight prevents an
// eviction that happens at equal weights.
func TestEachWeightPreventsEviction(t *testing.T) {
	even := Policy{WeightTail: 1, WeightEvictions: 1, WeightBatch: 1}
	const lost = 60_000
	for _, te := range []struct {
		name   string
		weight func(*Policy)
		evicts bool
	}{
		{"even", func(*Policy) {}, true},
		{"evictions cost more", func(po *Policy) { po.WeightEvictions = 3 }, false},
		{"lost batch work costs more", func(po *Policy) { po.WeightBatch = 3 }, false},
		{"the tail costs less", func(po *Policy) { po.WeightTail = 0.5 }, false},
	} {
		t.Run(te.name, func(t *testing.T) {
			pol := even
			te.weight(&pol)
			decs := Decide(serviceOverTarget(pol, lost))
			qt.Assert(t, len(decs) == 1 && decs[0].Verb == Evict, qt.Equals, te.evicts, qt.Commentf("%v", decs))
		})
	}
}
