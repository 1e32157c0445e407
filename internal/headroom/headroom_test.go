package headroom

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var began = time.Unix(1_000_000, 0)

// assertNear asserts that a figure is within a fifth of another.
func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	qt.Check(t, got > 0.8*want && got < 1.25*want, qt.IsTrue, qt.Commentf("got %v, want about %v", got, want))
}

// feed records steps at random at the given rate for the given time, and returns its end.
func feed(de *Demand, rate float64, from time.Time, d time.Duration) time.Time {
	rng := rand.New(rand.NewPCG(3, 4))
	for now := from; now.Sub(from) < d; now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		de.Arrive(10, 2000, 800*time.Millisecond, now)
	}
	return from.Add(d)
}

func TestDemand(t *testing.T) {
	t.Run("zero value", func(t *testing.T) {
		var de Demand
		qt.Check(t, de.Load(began).Need(), qt.Equals, int64(0))
	})
	// Little's law: 20 steps a second, each 20 cores for 0.8 s, use 320 cores; their variance is
	// 20 x 20² x 0.8. Both must be known within seconds of the first job.
	for _, d := range []time.Duration{4 * time.Second, time.Minute} {
		t.Run("steady after "+d.String(), func(t *testing.T) {
			var de Demand
			lo := de.Load(feed(&de, 20, began, d))
			assertNear(t, lo.Mean, 320_000)
			assertNear(t, lo.Variance, 6400e6)
			assertNear(t, float64(lo.Need()), 320_000+quantile*80_000)
			qt.Check(t, lo.Task(), qt.Equals, int64(2000))
		})
	}
	t.Run("burst", func(t *testing.T) {
		var de Demand
		end := feed(&de, 80, feed(&de, 20, began, time.Minute), 4*time.Second)
		assertNear(t, float64(de.Load(end).Need()), 4*320_000*0.9)
	})
	t.Run("none after a while", func(t *testing.T) {
		var de Demand
		end := feed(&de, 20, began, time.Minute)
		qt.Check(t, de.Load(end.Add(10*time.Minute)), qt.Equals, Load{})
	})
	// Tasks that take three times their estimate need three times the cores.
	t.Run("estimates are corrected", func(t *testing.T) {
		var de Demand
		feed(&de, 20, began, time.Second)
		de.End(2000, 800*time.Millisecond, 2400*time.Millisecond, began.Add(time.Second))
		assertNear(t, de.Load(feed(&de, 20, began.Add(time.Second), time.Minute)).Mean, 3*320_000)
	})
	// Guards against a new owner that takes the jobs of its predecessor for a burst, or forgets
	// them before it has measured the demand itself.
	t.Run("seeded", func(t *testing.T) {
		var de Demand
		for range 16 {
			de.Seed(10, 2000, began)
		}
		assertNear(t, de.Load(began).Mean, 320_000)
		assertNear(t, de.Load(feed(&de, 20, began, 5*time.Second)).Mean, 320_000)
	})
	t.Run("long tasks do not count as more cores than they use", func(t *testing.T) {
		var de Demand
		de.Seed(1, 1, began)
		de.Arrive(10, 2000, time.Hour, began)
		qt.Check(t, de.Load(began).Mean <= 20_010, qt.IsTrue)
	})
}

func TestDemandsByPriority(t *testing.T) {
	var ds Demands
	ds.Of(Key{"a", 0}).Seed(1, 1000, began)
	ds.Of(Key{"a", 5}).Seed(1, 4000, began)
	ds.Of(Key{"b", 0}).Seed(1, 9000, began)
	qt.Check(t, int(ds.Load(Key{"a", 0}, began).Mean), qt.Equals, 1000)
	qt.Check(t, int(ds.Load(Key{"a", 5}, began).Mean), qt.Equals, 5000)
	qt.Check(t, ds.Load(Key{"c", 0}, began).Need(), qt.Equals, int64(0))
	qt.Check(t, ds.Lowest(), qt.ContentEquals, []Key{{"a", 5}, {"b", 0}})
}

func TestSelect(t *testing.T) {
	lo := Load{Mean: 30_000, sized: 30_000 * 7000}
	list := []Worker{{64_000, 60_000, 60_000, false}, {64_000, 40_000, 40_000, false}, {64_000, 64_000, 52_000, false}, {64_000, 61_000, 61_000, false}}
	t.Run("most unused first, in whole tasks", func(t *testing.T) {
		se := Select(list, lo)
		qt.Check(t, se.chosen, qt.DeepEquals, []bool{false, true, true, false})
		qt.Check(t, se.Covered, qt.Equals, int64(21_000+7_000))
	})
	t.Run("what exceeds the need stays usable", func(t *testing.T) {
		se := Select(list, Load{Mean: 10_000, sized: 10_000 * 7000})
		qt.Check(t, se.Workers, qt.Equals, 1)
		qt.Check(t, []bool{se.Allows(1, 10_000), se.Allows(1, 11_000), se.Allows(0, 11_000)}, qt.DeepEquals, []bool{true, false, true})
		qt.Check(t, se.With(1, 10_000).Allows(1, 1), qt.IsFalse)
	})
	// A cold worker gets short tasks last, and one start at a time.
	t.Run("cold workers last", func(t *testing.T) {
		empty := append([]Worker{{Capacity: 64_000, Cold: true}}, list...)
		qt.Check(t, Select(empty, lo).chosen, qt.DeepEquals, []bool{false, false, true, true, false})
		full := Worker{Capacity: 64_000, Reserved: 64_000, LongRunning: 64_000}
		qt.Check(t, Select([]Worker{{Capacity: 64_000, Cold: true}, full, full}, lo).chosen, qt.DeepEquals, []bool{true, false, false})
	})
	t.Run("no demand", func(t *testing.T) {
		qt.Check(t, Select(list, Load{}).Workers, qt.Equals, 0)
	})
	t.Run("much is free", func(t *testing.T) {
		qt.Check(t, Select([]Worker{{64_000, 31_000, 31_000, false}}, lo).Workers, qt.Equals, 0)
	})
	t.Run("only worker", func(t *testing.T) {
		qt.Check(t, Select([]Worker{{64_000, 60_000, 0, false}}, lo).Workers, qt.Equals, 0)
	})
}

// TestSelectProperties checks that a selection is at most half of the capacity, has no worker with
// less unused capacity than one left out, no cold one while a warm one that could run a task is left
// out, is no larger than needed, and grows with the demand.
func TestSelectProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Worker {
			capacity := rapid.Int64Range(1, 96_000).Draw(rt, "capacity")
			long := rapid.Int64Range(0, capacity).Draw(rt, "long")
			return Worker{Capacity: capacity, LongRunning: long, Reserved: rapid.Int64Range(long, capacity).Draw(rt, "reserved"), Cold: rapid.Bool().Draw(rt, "cold")}
		}), 0, 40).Draw(rt, "workers")
		mean, task := rapid.Float64Range(0, 1e6).Draw(rt, "mean"), rapid.Float64Range(1, 20_000).Draw(rt, "task")
		lo := Load{Mean: mean, sized: mean * task}
		se, more := Select(list, lo), Select(list, Load{Mean: 2 * mean, sized: 2 * mean * task})
		var capacity, selected int64
		for i, wk := range list {
			capacity += wk.Capacity
			if se.Contains(i) {
				selected += wk.Capacity
			}
			if se.Contains(i) && !more.Contains(i) {
				rt.Fatalf("worker %d is not selected for more", i)
			}
			if j := leftOut(list, se, wk, max(lo.Task(), 1)); se.Contains(i) && j >= 0 {
				rt.Fatalf("worker %d is selected before %d: %+v of %+v", i, j, se, list)
			}
		}
		if 2*selected > capacity || se.Workers > 0 && se.Covered-list[se.last].unused() >= int64(mean) {
			rt.Fatalf("%+v of %+v", se, list)
		}
	})
}

// leftOut returns the index of a worker that could run a task and should be selected before another
// one, but is not, or -1.
func leftOut(list []Worker, se Selection, wk Worker, task int64) int {
	for i, other := range list {
		if se.Contains(i) || other.unused() < task {
			continue
		}
		if wk.Cold && !other.Cold || wk.Cold == other.Cold && wk.unused() < other.unused() {
			return i
		}
	}
	return -1
}

// BenchmarkSelect measures a selection from as many workers as a cell may have.
func BenchmarkSelect(b *testing.B) {
	list := make([]Worker, 1000)
	for i := range list {
		list[i] = Worker{Capacity: 64_000, Reserved: 60_000, LongRunning: int64(i*7919%60) * 1000}
	}
	for b.Loop() {
		Select(list, Load{Mean: 2e6, sized: 2e6 * 7000})
	}
}
