package capacitywait

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMissedChecks guards against checks that are counted though they found no capacity, or
// that are left out because a tick was late.
func TestMissedChecks(t *testing.T) {
	const ticks = 45 // three checks with each phase
	for _, tc := range []struct {
		name string
		// workersFunc returns how many workers have the capacity at a tick, or a negative number
		// if the tick is left out.
		workersFunc func(tick int) int
		want        int
	}{
		{"two workers", func(int) int { return 2 }, 15},
		{"one worker", func(int) int { return 1 }, 0},
		{"one worker at one check", func(tick int) int { return 2 - b2i(tick == 20) }, 14},
		{"one worker between the checks of all phases but one", func(tick int) int { return 2 - b2i(tick%15 != 3) }, 1},
		{"late ticks", func(tick int) int { return 2 - 3*b2i(tick%4 != 0) }, 15},
		{"a pause", func(tick int) int { return 2 - 3*b2i(tick > 1 && tick < 44) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start, got := time.Unix(1_000_000_000, 0), 0
			var wa Wait
			for tick := range ticks {
				if workers := tc.workersFunc(tick); workers >= 0 {
					got += wa.check(workers, start.Add(time.Duration(tick)*phaseInterval))
				}
			}
			qt.Check(t, got, qt.Equals, tc.want)
		})
	}
}

// TestPause guards against a pause of the owner that counts as time in which
// workers had the capacity.
func TestPause(t *testing.T) {
	var wa Wait
	start := time.Unix(1_000_000_000, 0)
	var sum time.Duration
	for _, after := range []time.Duration{0, phaseInterval, 5 * time.Second, 5*time.Second + 2*phaseInterval} {
		elapsed, missed := wa.Observe(2, start.Add(after))
		sum += elapsed
		qt.Check(t, missed, qt.Equals, 0)
	}
	qt.Check(t, wa.Longest(), qt.Equals, [MaxWorkers]time.Duration{2 * phaseInterval, 2 * phaseInterval})
	qt.Check(t, sum, qt.Equals, 3*phaseInterval)
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
