package queuestats

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestValueOfJob guards against values that are not in proportion to the work or that are unbounded.
func TestValueOfJob(t *testing.T) {
	for _, tc := range []struct {
		name  string
		known []int64
		work  int64
		want  float64
	}{
		{"nothing known", nil, 7, 1},
		{"mean work", []int64{10, 30}, 20, 1},
		{"half of the mean", []int64{10, 30}, 10, 0.65},
		{"twice the mean", []int64{10, 30}, 40, 1.7},
		{"far over the mean", []int64{10, 30}, 1000, maxValue},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var qu Queue
			for _, work := range tc.known {
				qu.Add(work)
			}
			qt.Assert(t, math.Abs(qu.Value(tc.work)-tc.want) < 1e-9, qt.IsTrue, qt.Commentf("%v", qu.Value(tc.work)))
		})
	}
}

// TestNeglectedSizes guards against a queue that counts as neglecting its largest jobs though all are
// served alike, and one that does not though they are not served.
func TestNeglectedSizes(t *testing.T) {
	for _, tc := range []struct {
		name   string
		served func(size int) bool
		want   bool
	}{
		{"all served", func(int) bool { return true }, false},
		{"none served", func(int) bool { return false }, false},
		{"every second of each size", func(size int) bool { return size%2 == 0 }, false},
		{"largest tenth not served", func(size int) bool { return size < 90 }, true},
		{"fifth beneath it not served", func(size int) bool { return size < 70 || size >= 90 }, true},
		{"smallest half not served", func(size int) bool { return size >= 50 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var qu Queue
			for n := range 100 {
				size := n * 37 % 100
				qu.RecordOutcome(int64(size), tc.served(size))
			}
			qt.Assert(t, qu.NeglectsLargest(), qt.Equals, tc.want)
		})
	}
	t.Run("old outcomes are forgotten", func(t *testing.T) {
		var qu Queue
		for n := range 3 * outcomesKept {
			qu.RecordOutcome(int64(n%100), n >= outcomesKept || n%100 < 50)
		}
		qt.Assert(t, qu.NeglectsLargest(), qt.IsFalse)
	})
}
