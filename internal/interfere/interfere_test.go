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

// world is a step of several replicas on workers of their own, whose tails
// follow the law that the package assumes.
type world struct {
	rng      *rand.Rand
	drops    map[string]float64
	replicas []*Replica
	now      time.Time
	began    time.Time
}

func newWorld(seed uint64, drops map[string]float64) *world {
	wo := &world{rng: rand.New(rand.NewPCG(seed, 1)), drops: drops, began: time.Unix(0, 0), now: time.Unix(0, 0)}
	tr := &Track{}
	for range testReplicas {
		wo.replicas = append(wo.replicas, &Replica{Track: tr})
	}
	return wo
}

// alone is the headroom without fillers: the load swings by half of itself in
// 10 s.
func (wo *world) alone() float64 {
	load := 0.48 * (1 + 0.5*math.Sin(wo.now.Sub(wo.began).Seconds()*2*math.Pi/10))
	return 6 * (1 - load)
}

// tail returns a rough tail beside fillers, in whole milliseconds.
func (wo *world) tail(sh Shares) int64 {
	headroom := wo.alone()
	for filler, share := range sh {
		headroom -= wo.drops[filler] * share
	}
	rough := 1 + 0.15*wo.rng.NormFloat64()
	return max(int64(math.Round(rough*testTarget/max(headroom, 0.12))), 1)
}

// shares draws which fillers are at work, and how much. They are drawn in the order
// of their names: by the order of the map, a seed would not mean one world.
func (wo *world) shares() Shares {
	sh := Shares{}
	for _, filler := range slices.Sorted(maps.Keys(wo.drops)) {
		if wo.rng.IntN(2) == 0 {
			sh[filler] = 0.05 + 0.1*wo.rng.Float64()
		}
	}
	return sh
}

// observe has each replica measured once, over 0.6 s.
func (wo *world) observe(mo *Model, sharesFunc func() Shares) {
	for _, re := range wo.replicas {
		wo.now = wo.now.Add(600 * time.Millisecond / time.Duration(len(wo.replicas)))
		sh := sharesFunc()
		mo.Observe(re, "s", Measurement{At: wo.now, TailMS: wo.tail(sh), TargetMS: testTarget, Shares: sh})
	}
}

func TestObserveTellsBadPairsFromGood(t *testing.T) {
	for seed := range uint64(200) {
		wo := newWorld(seed, map[string]float64{"good": 0, "bad": 9})
		mo := &Model{}
		for range 20 {
			wo.observe(mo, wo.shares)
		}
		qt.Check(t, mo.Drop(Pair{"s", "good"}) < 2, qt.IsTrue, qt.Commentf("seed %d: %v", seed, mo.Drop(Pair{"s", "good"})))
		qt.Check(t, mo.Drop(Pair{"s", "bad"}) > 6, qt.IsTrue, qt.Commentf("seed %d: %v", seed, mo.Drop(Pair{"s", "bad"})))
	}
}

// TestObserveWithoutChange has fillers that never change beside replicas whose
// load swings: they are told apart by replicas that have none.
func TestObserveWithoutChange(t *testing.T) {
	for seed := range uint64(20) {
		wo := newWorld(seed, map[string]float64{"good": 0, "bad": 9})
		mo := &Model{}
		always := []Shares{{"bad": 0.1}, {"good": 0.1}, nil, {"bad": 0.1}, {"good": 0.1}, nil}
		n := 0
		for range 30 {
			wo.observe(mo, func() Shares { n++; return always[n%len(always)] })
		}
		bad, good := mo.Drop(Pair{"s", "bad"}), mo.Drop(Pair{"s", "good"})
		qt.Check(t, bad > good+2, qt.IsTrue, qt.Commentf("seed %d: bad %v, good %v", seed, bad, good))
	}
}

// TestAloneLooksAhead compares what is expected in 0.6 s with what comes.
func TestAloneLooksAhead(t *testing.T) {
	wo := newWorld(3, nil)
	mo := &Model{}
	sum := 0.0
	const rounds = 100
	for range rounds {
		wo.observe(mo, func() Shares { return nil })
		expected := wo.replicas[0].Baseline(wo.now.Add(600 * time.Millisecond))
		later := *wo
		later.now = wo.now.Add(600 * time.Millisecond)
		miss := expected - later.alone()
		sum += miss * miss
	}
	rms := math.Sqrt(sum / rounds)
	qt.Assert(t, rms < 0.6, qt.IsTrue, qt.Commentf("%v", rms))
}

func TestUnknownPairsGetThePrior(t *testing.T) {
	mo := &Model{}
	qt.Assert(t, mo.Drop(Pair{"s", "f"}), qt.Equals, float64(priorDrop))
	qt.Assert(t, mo.PredictedDrop("s", Shares{"f": 0.5}), qt.Equals, 0.5*priorDrop)
}

func TestNothingIsLearntFrom(t *testing.T) {
	for _, tc := range []struct {
		name string
		me   Measurement
	}{
		{"no tail", Measurement{At: time.Unix(1, 0), TargetMS: testTarget, Shares: Shares{"f": 0.1}}},
		{"no target", Measurement{At: time.Unix(1, 0), TailMS: 9, Shares: Shares{"f": 0.1}}},
		{"a tail that tells only that it is bad", Measurement{At: time.Unix(1, 0), TailMS: 5000, TargetMS: testTarget, Shares: Shares{"f": 2}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mo := &Model{}
			mo.Observe(&Replica{Track: &Track{}}, "s", tc.me)
			qt.Assert(t, mo.Drop(Pair{"s", "f"}), qt.Equals, float64(priorDrop))
		})
	}
}

func TestEstimatesStayInBounds(t *testing.T) {
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
			if alone := re.Baseline(now.Add(time.Second)); math.IsNaN(alone) || math.IsInf(alone, 0) {
				rt.Fatalf("expected headroom %v", alone)
			}
		}
		for _, filler := range []string{"f", "g"} {
			if drop := mo.Drop(Pair{"s", filler}); !(drop >= 0 && drop <= mostDrop) {
				rt.Fatalf("drop %v", drop)
			}
		}
	})
}

func TestLearntIsKept(t *testing.T) {
	wo := newWorld(1, map[string]float64{"good": 0, "bad": 9})
	var mo Model
	for range 20 {
		wo.observe(&mo, wo.shares)
	}
	kept := Restore(mo.Estimates(10))
	for _, filler := range []string{"good", "bad", "unknown"} {
		qt.Check(t, kept.Drop(Pair{"s", filler}), qt.Equals, mo.Drop(Pair{"s", filler}))
	}
}

func TestLearntOutOfBoundsIsNotTrusted(t *testing.T) {
	mo := Restore([]PairEstimate{{Pair: Pair{"s", "f"}, Drop: 1e9}, {Pair: Pair{"s", "g"}, Drop: -3}})
	qt.Assert(t, mo.Drop(Pair{"s", "f"}), qt.Equals, float64(mostDrop))
	qt.Assert(t, mo.Drop(Pair{"s", "g"}), qt.Equals, 0.0)
}

func TestLearntIsBounded(t *testing.T) {
	mo := Restore([]PairEstimate{
		{Pair: Pair{"s", "f"}, Drop: 1, Variance: 9}, {Pair: Pair{"s", "g"}, Drop: 2, Variance: 3}, {Pair: Pair{"s", "h"}, Drop: 3, Variance: 4},
	})
	qt.Assert(t, mo.Estimates(2), qt.DeepEquals, []PairEstimate{
		{Pair: Pair{"s", "g"}, Drop: 2, Variance: 3}, {Pair: Pair{"s", "h"}, Drop: 3, Variance: 4},
	})
}
