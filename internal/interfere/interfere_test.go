package interfere

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// world is a service whose tail follows the law that the package assumes.
type world struct {
	rng   *rand.Rand
	rises map[string]float64
	load  float64
}

const testTarget = 24

// tail returns the tail beside fillers, in whole milliseconds.
func (wo *world) tail(sh Shares) int64 {
	strain := -6 * (1 - wo.load)
	for filler, share := range sh {
		strain += wo.rises[filler] * share
	}
	return int64(math.Round(testTarget / max(-strain, 0.12)))
}

// step moves the service's own load a little.
func (wo *world) step() {
	wo.load = min(max(wo.load+0.08*(wo.rng.Float64()-0.5), 0.24), 0.72)
}

func (wo *world) shares() Shares {
	sh := Shares{}
	for filler := range wo.rises {
		if wo.rng.IntN(2) == 0 {
			sh[filler] = 0.05 + 0.15*wo.rng.Float64()
		}
	}
	return sh
}

func learnt200(wo *world) *Model {
	mo := &Model{}
	before := Measurement{TailMS: wo.tail(nil), TargetMS: testTarget}
	for range 200 {
		wo.step()
		sh := wo.shares()
		after := Measurement{TailMS: wo.tail(sh), TargetMS: testTarget, Shares: sh}
		mo.Learn("s", before, after)
		before = after
	}
	return mo
}

func TestLearnTellsBadPairsFromGood(t *testing.T) {
	for seed := range uint64(20) {
		wo := &world{rng: rand.New(rand.NewPCG(seed, 1)), rises: map[string]float64{"good": 0, "bad": 9}, load: 0.5}
		mo := learnt200(wo)
		qt.Check(t, mo.Rise(Pair{"s", "good"}) < 3, qt.IsTrue, qt.Commentf("seed %d", seed))
		qt.Check(t, mo.Rise(Pair{"s", "bad"}) > 4, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}

func TestUnknownPairsGetThePrior(t *testing.T) {
	mo := &Model{}
	qt.Assert(t, mo.Rise(Pair{"s", "f"}), qt.Equals, float64(prior))
	qt.Assert(t, mo.Load("s", Shares{"f": 0.5}), qt.Equals, 0.5*prior)
}

func TestNothingIsLearntFrom(t *testing.T) {
	for _, tc := range []struct {
		name          string
		before, after Measurement
	}{
		{"no tail", Measurement{TargetMS: testTarget}, Measurement{TailMS: 9, TargetMS: testTarget, Shares: Shares{"f": 0.1}}},
		{"no change", Measurement{TailMS: 9, TargetMS: testTarget}, Measurement{TailMS: 90, TargetMS: testTarget}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mo := &Model{}
			mo.Learn("s", tc.before, tc.after)
			qt.Assert(t, mo.Rise(Pair{"s", "f"}), qt.Equals, float64(prior))
		})
	}
}

func TestSaturatedTailsLowerNoRise(t *testing.T) {
	mo := &Model{}
	before := Measurement{TailMS: 150, TargetMS: testTarget}
	after := Measurement{TailMS: 152, TargetMS: testTarget, Shares: Shares{"f": 0.2}}
	mo.Learn("s", before, after)
	qt.Assert(t, mo.Rise(Pair{"s", "f"}), qt.Equals, float64(prior))
}

func TestRisesStayInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mo := &Model{}
		draw := func(name string) Measurement {
			return Measurement{
				TailMS: rapid.Int64Range(0, 5000).Draw(rt, name), TargetMS: rapid.Int64Range(1, 500).Draw(rt, name+" target"),
				Shares: Shares{"f": rapid.Float64Range(0, 2).Draw(rt, name+" f"), "g": rapid.Float64Range(0, 2).Draw(rt, name+" g")},
			}
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			mo.Learn("s", draw("before"), draw("after"))
		}
		for _, filler := range []string{"f", "g"} {
			rise := mo.Rise(Pair{"s", filler})
			if !(rise >= 0 && rise <= most) {
				rt.Fatalf("rise %v", rise)
			}
		}
	})
}
