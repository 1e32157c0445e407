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
		qt.Assert(t, wi.Full(Start{}), qt.IsFalse)
		wi.Begin(Start{})
	}
	qt.Check(t, wi.Full(Start{}), qt.IsTrue)
	wi.End(Start{})
	qt.Check(t, []any{wi.Full(Start{}), wi.InFlight()}, qt.DeepEquals, []any{false, initialWindow - 1})
}

// TestWindowByPriority guards against urgent starts that wait behind others, and against aged ones
// that wait for as long as urgent ones arrive.
func TestWindowByPriority(t *testing.T) {
	var wi Window
	bulk, urgent, aged := Start{Priority: 2}, Start{}, Start{Priority: 2, Aged: true}
	for !wi.Full(bulk) {
		wi.Begin(bulk)
	}
	qt.Check(t, wi.InFlight(), qt.Equals, initialWindow)
	for !wi.Full(urgent) {
		wi.Begin(urgent)
	}
	qt.Check(t, wi.InFlight(), qt.Equals, 2*initialWindow)
	for range initialWindow {
		wi.End(bulk)
	}
	qt.Check(t, wi.Full(bulk), qt.IsTrue)
	n := 0
	for ; !wi.Full(aged); n++ {
		wi.Begin(aged)
	}
	qt.Check(t, n, qt.Equals, initialWindow/agedShare)
}

// TestWindowShrinksWhileOwnerLags guards against starts that accumulate in an owner whose own work
// waits, and against a window that oscillates.
func TestWindowShrinksWhileOwnerLags(t *testing.T) {
	var wi Window
	now := answer(&wi, 2*maxWindow, time.Millisecond, began)
	qt.Assert(t, wi.Limit(), qt.Equals, maxWindow)
	for range 100 {
		wi.RecordLag(2*longLag, now)
		now = now.Add(100 * time.Millisecond)
	}
	qt.Check(t, wi.Limit(), qt.Equals, minLagWindow)
	now = answer(&wi, 500, time.Millisecond, now)
	qt.Check(t, wi.Limit(), qt.Equals, minLagWindow)
	wi.RecordLag(0, now)
	answer(&wi, 500, time.Millisecond, now)
	qt.Check(t, wi.Limit() > minLagWindow && wi.Limit() < 3*minLagWindow, qt.IsTrue, qt.Commentf("%d", wi.Limit()))
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
