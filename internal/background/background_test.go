package background

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_000_000, 0)

// newSchedule returns a schedule of two pieces of work, and the runs of each.
func newSchedule() (*Schedule, map[string][]time.Duration) {
	runs := map[string][]time.Duration{}
	sc := &Schedule{RanFunc: func(name string, delay time.Duration) { runs[name] = append(runs[name], delay) }}
	nop := func(time.Time) {}
	sc.Add(start, Work{"a", 100 * time.Millisecond, time.Second, nop}, Work{"b", time.Second, 3 * time.Second, nop})
	return sc, runs
}

// play calls Run every 10 ms.
func (sc *Schedule) play(from, d time.Duration, busy bool) {
	for at := from; at < from+d; at += 10 * time.Millisecond {
		sc.Run(start.Add(at), busy)
	}
}

// TestWorkRunsAtItsInterval guards against work that runs too often or late while the loop has time.
func TestWorkRunsAtItsInterval(t *testing.T) {
	sc, runs := newSchedule()
	sc.play(0, 2*time.Second, false)
	qt.Check(t, runs["a"], qt.DeepEquals, make([]time.Duration, 20))
	qt.Check(t, runs["b"], qt.DeepEquals, make([]time.Duration, 2))
}

// TestWorkGivesWay guards against work that takes the time of a busy loop, or that never runs while
// it is busy.
func TestWorkGivesWay(t *testing.T) {
	sc, runs := newSchedule()
	sc.play(0, 8*time.Second, true)
	qt.Check(t, runs["a"], qt.HasLen, 7)
	qt.Check(t, runs["b"], qt.HasLen, 2)
	for name, delays := range runs {
		for _, delay := range delays {
			limit := map[string]time.Duration{"a": time.Second, "b": 3 * time.Second}[name]
			qt.Check(t, delay >= limit && delay <= limit+20*time.Millisecond, qt.IsTrue, qt.Commentf("%s ran after %v", name, delay))
		}
	}
	_, delay := sc.Delay(start.Add(8 * time.Second))
	qt.Check(t, delay > 0, qt.IsTrue)
	sc.Run(start.Add(8*time.Second), false)
	_, delay = sc.Delay(start.Add(8 * time.Second))
	qt.Check(t, delay, qt.Equals, time.Duration(0))
}

// TestOnePieceAtATimeWhileBusy guards against a long pause of the loop once much work is late.
func TestOnePieceAtATimeWhileBusy(t *testing.T) {
	sc, runs := newSchedule()
	for i := range 3 {
		sc.Run(start.Add(time.Minute+time.Duration(i)*time.Millisecond), true)
		qt.Check(t, len(runs["a"])+len(runs["b"]), qt.Equals, min(i+1, 2), qt.Commentf(fmt.Sprint(runs)))
	}
}
