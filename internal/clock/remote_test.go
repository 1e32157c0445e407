package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRemoteNeverDatesReadingsTooLate guards against figures that count as younger than they are:
// requests and answers take any time, and the clock runs at any rate within its bound.
func TestRemoteNeverDatesReadingsTooLate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(1-Drift, 1+Drift).Draw(rt, "rate")
		delays := rapid.Int64Range(0, int64(time.Second))
		start := time.Unix(1000, 0)
		var re Remote
		for now := start; now.Before(start.Add(20 * time.Second)); {
			sent := now
			read := sent.Add(time.Duration(delays.Draw(rt, "request")))
			now = read.Add(time.Duration(delays.Draw(rt, "answer")))
			got := re.Observe(sent, now, int64(rate*float64(read.Sub(start))/float64(time.Millisecond)))
			if got.After(read) || got.Before(sent) {
				rt.Fatalf("sent %v, read %v, dated %v", sent.Sub(start), read.Sub(start), got.Sub(start))
			}
		}
	})
}

func TestRemote(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	t.Run("a late answer is dated by the clock", func(t *testing.T) {
		var re Remote
		re.Observe(at(0), at(2), 5000)
		got := re.Observe(at(2), at(1202), 5600)
		qt.Assert(t, got.After(at(580)) && !got.After(at(600)), qt.IsTrue, qt.Commentf("%v", got.Sub(start)))
	})
	t.Run("a clock that jumps is followed again", func(t *testing.T) {
		var re Remote
		re.Observe(at(0), at(2), 5000)
		qt.Assert(t, re.Observe(at(100), at(102), 95_000), qt.Equals, at(100))
		qt.Assert(t, re.Observe(at(200), at(202), 95_100).Before(at(202)), qt.IsTrue)
	})
}
