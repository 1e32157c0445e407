package congestion

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var began = time.Unix(1_000_000, 0)

// answer records answers, one every 10 ms, and returns the time after the last.
func answer(wi *Window, n int, took time.Duration, from time.Time) time.Time {
	for range n {
		wi.RecordAnswer(took, from)
		from = from.Add(10 * time.Millisecond)
	}
	return from
}

// TestWindow guards against a window that stays large while answers are slow, that shrinks because
// of a few slow workers, and that does not grow again.
func TestWindow(t *testing.T) {
	var wi Window
	qt.Assert(t, wi.Limit(), qt.Equals, initialWindow)
	now := answer(&wi, 200, slowAnswer, began)
	shrunk := wi.Limit()
	qt.Check(t, shrunk < initialWindow/10, qt.IsTrue, qt.Commentf("%d", shrunk))
	now = answer(&wi, 100, time.Millisecond, now)
	qt.Check(t, wi.Limit() > shrunk+50, qt.IsTrue, qt.Commentf("%d", wi.Limit()))
	grown := wi.Limit()
	for range 50 {
		now = answer(&wi, 1, slowAnswer, now)
		now = answer(&wi, 9, time.Millisecond, now)
	}
	qt.Check(t, wi.Limit() > grown, qt.IsTrue, qt.Commentf("%d", wi.Limit()))
}

// TestWindowFull guards against starts that are counted after their end.
func TestWindowFull(t *testing.T) {
	var wi Window
	for range initialWindow {
		qt.Assert(t, wi.Full(), qt.IsFalse)
		wi.Begin()
	}
	qt.Check(t, wi.Full(), qt.IsTrue)
	wi.End()
	qt.Check(t, []any{wi.Full(), wi.InFlight()}, qt.DeepEquals, []any{false, initialWindow - 1})
}

// TestWindowProperties checks that the window stays within its limits, shrinks at most once in
// shrinkInterval, and says so exactly when it does.
func TestWindowProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var wi Window
		now, shrunkAt := began, time.Time{}
		for range rapid.IntRange(1, 300).Draw(rt, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "pause")) * time.Millisecond)
			before := wi.Limit()
			shrank := wi.RecordAnswer(time.Duration(rapid.IntRange(0, 400).Draw(rt, "took"))*time.Millisecond, now)
			if wi.Limit() < before != shrank && before > minWindow {
				rt.Fatalf("from %d to %d, reported %v", before, wi.Limit(), shrank)
			}
			if wi.Limit() < minWindow || wi.Limit() > maxWindow {
				rt.Fatalf("window of %d", wi.Limit())
			}
			if shrank {
				if now.Sub(shrunkAt) < shrinkInterval {
					rt.Fatalf("shrank twice within %v", now.Sub(shrunkAt))
				}
				shrunkAt = now
			}
		}
	})
}
