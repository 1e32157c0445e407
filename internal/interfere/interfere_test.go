package interfere

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	testTarget   = 24
	testReplicas = 6
)

// simulatedStep is a step with several replicas on separate workers, whose tail latencies
// follow the model that the package assumes.
type simulatedStep struct {
	rng      *rand.Rand
	drops    map[string]float64
	replicas []*Replica
	now      time.Time
	began    time.Time
}

func newSimulatedStep(seed uint64, drops map[string]float64) *simulatedStep {
	ss := &simulatedStep{rng: rand.New(rand.NewPCG(seed, 1)), drops: drops, began: time.Unix(0, 0), now: time.Unix(0, 0)}
	tr := &Track{}
	for range testReplicas {
		ss.replicas = append(ss.replicas, &Replica{Track: tr})
	}
	return ss
}

// baseline returns the headroom without fillers: the load varies by half of its mean, with
// a period of 10 s.
func (ss *simulatedStep) baseline() float64 {
	load := 0.48 * (1 + 0.5*math.Sin(ss.now.Sub(ss.began).Seconds()*2*math.Pi/10))
	return 6 * (1 - load)
}

// tail returns a tail latency with noise beside fillers, in whole milliseconds.
func (ss *simulatedStep) tail(sh Shares) int64 {
	headroom := ss.baseline()
	for filler, share := range sh {
		headroom -= ss.drops[filler] * share
	}
	noise := 1 + 0.15*ss.rng.NormFloat64()
	return max(int64(math.Round(noise*testTarget/max(headroom, 0.12))), 1)
}

// shares draws which fillers run and how much they use. It draws in the order of their
// names, as the order of map iteration would make a seed irreproducible.
func (ss *simulatedStep) shares() Shares {
	sh := Shares{}
	for _, filler := range slices.Sorted(maps.Keys(ss.drops)) {
		if ss.rng.IntN(2) == 0 {
			sh[filler] = 0.05 + 0.1*ss.rng.Float64()
		}
	}
	return sh
}

// observe measures each replica once, over 0.6 s.
func (ss *simulatedStep) observe(mo *Model, sharesFunc func() Shares) {
	for _, re := range ss.replicas {
		ss.now = ss.now.Add(600 * time.Millisecond / time.Duration(len(ss.replicas)))
		sh := sharesFunc()
		mo.Observe(re, "s", Measurement{At: ss.now, TailMS: ss.tail(sh), TargetMS: testTarget, Shares: sh})
	}
}

func TestObserveSeparatesPairs(t *testing.T) {
	for seed := range uint64(200) {
		ss := newSimulatedStep(seed, map[string]float64{"good": 0, "bad": 9})
		mo := &Model{}
		for range 20 {
			ss.observe(mo, ss.shares)
		}
		qt.Check(t, mo.Drop(Pair{"s", "good"}) < 2, qt.IsTrue, qt.Commentf("seed %d: %v", seed, mo.Drop(Pair{"s", "good"})))
		qt.Check(t, mo.Drop(Pair{"s", "bad"}) > 6, qt.IsTrue, qt.Commentf("seed %d: %v", seed, mo.Drop(Pair{"s", "bad"})))
	}
}

// TestObserveConstantFillers has fillers with constant shares beside replicas whose load
// varies. The drops are distinguished by the replicas without fillers.
func TestObserveConstantFillers(t *testing.T) {
	for seed := range uint64(20) {
		ss := newSimulatedStep(seed, map[string]float64{"good": 0, "bad": 9})
		mo := &Model{}
		always := []Shares{{"bad": 0.1}, {"good": 0.1}, nil, {"bad": 0.1}, {"good": 0.1}, nil}
		n := 0
		for range 30 {
			ss.observe(mo, func() Shares { n++; return always[n%len(always)] })
		}
		bad, good := mo.Drop(Pair{"s", "bad"}), mo.Drop(Pair{"s", "good"})
		qt.Check(t, bad > good+2, qt.IsTrue, qt.Commentf("seed %d: bad %v, good %v", seed, bad, good))
	}
}

// TestBaselinePredictsAhead compares the headroom predicted for 0.6 s later with the
// actual one.
func TestBaselinePredictsAhead(t *testing.T) {
	ss := newSimulatedStep(3, nil)
	mo := &Model{}
	sum := 0.0
	const rounds = 100
	for range rounds {
		ss.observe(mo, func() Shares { return nil })
		expected := ss.replicas[0].Baseline(ss.now.Add(600 * time.Millisecond))
		later := *ss
		later.now = ss.now.Add(600 * time.Millisecond)
		residual := expected - later.baseline()
		sum += residual * residual
	}
	rms := math.Sqrt(sum / rounds)
	qt.Assert(t, rms < 0.6, qt.IsTrue, qt.Commentf("%v", rms))
}

func TestUnknownPairHasPriorDrop(t *testing.T) {
	mo := &Model{}
	qt.Assert(t, mo.Drop(Pair{"s", "f"}), qt.Equals, float64(priorDrop))
	qt.Assert(t, mo.PredictedDrop("s", Shares{"f": 0.5}), qt.Equals, 0.5*priorDrop)
}

func TestMeasurementsThatAreIgnored(t *testing.T) {
	for _, tc := range []struct {
		name string
		me   Measurement
	}{
		{"no tail", Measurement{At: time.Unix(1, 0), TargetMS: testTarget, Shares: Shares{"f": 0.1}}},
		{"no target", Measurement{At: time.Unix(1, 0), TailMS: 9, Shares: Shares{"f": 0.1}}},
		{"a saturated tail", Measurement{At: time.Unix(1, 0), TailMS: 5000, TargetMS: testTarget, Shares: Shares{"f": 2}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mo := &Model{}
			mo.Observe(&Replica{Track: &Track{}}, "s", tc.me)
			qt.Assert(t, mo.Drop(Pair{"s", "f"}), qt.Equals, float64(priorDrop))
		})
	}
}

func TestEstimatesStayInRange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mo := &Model{}
		re := &Replica{Track: &Track{}}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 20_000).Draw(rt, "ms")) * time.Millisecond)
			mo.Observe(re, "s", Measurement{
				At: now, TailMS: rapid.Int64Range(0, 5000).Draw(rt, "tail"), TargetMS: rapid.Int64Range(1, 500).Draw(rt, "target"),
				Shares: Shares{"f": rapid.Float64Range(0, 2).Draw(rt, "f"), "g": rapid.Float64Range(0, 2).Draw(rt, "g")},
			})
			if baseline := re.Baseline(now.Add(time.Second)); math.IsNaN(baseline) || math.IsInf(baseline, 0) {
				rt.Fatalf("expected headroom %v", baseline)
			}
		}
		for _, filler := range []string{"f", "g"} {
			if drop := mo.Drop(Pair{"s", filler}); !(drop >= 0 && drop <= maxDrop) {
				rt.Fatalf("drop %v", drop)
			}
		}
	})
}

func TestRestoreKeepsEstimates(t *testing.T) {
	ss := newSimulatedStep(1, map[string]float64{"good": 0, "bad": 9})
	var mo Model
	for range 20 {
		ss.observe(&mo, ss.shares)
	}
	restored := Restore(mo.Estimates(10))
	for _, filler := range []string{"good", "bad", "unknown"} {
		qt.Check(t, restored.Drop(Pair{"s", filler}), qt.Equals, mo.Drop(Pair{"s", filler}))
	}
}

func TestRestoreClipsDrops(t *testing.T) {
	mo := Restore([]PairEstimate{{Pair: Pair{"s", "f"}, Drop: 1e9}, {Pair: Pair{"s", "g"}, Drop: -3}})
	qt.Assert(t, mo.Drop(Pair{"s", "f"}), qt.Equals, float64(maxDrop))
	qt.Assert(t, mo.Drop(Pair{"s", "g"}), qt.Equals, 0.0)
}

func TestEstimatesAreLimited(t *testing.T) {
	mo := Restore([]PairEstimate{
		{Pair: Pair{"s", "f"}, Drop: 1, Variance: 9}, {Pair: Pair{"s", "g"}, Drop: 2, Variance: 3}, {Pair: Pair{"s", "h"}, Drop: 3, Variance: 4},
	})
	qt.Assert(t, mo.Estimates(2), qt.DeepEquals, []PairEstimate{
		{Pair: Pair{"s", "g"}, Drop: 2, Variance: 3}, {Pair: Pair{"s", "h"}, Drop: 3, Variance: 4},
	})
}
