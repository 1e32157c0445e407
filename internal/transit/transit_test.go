package transit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

func cores(n int64) worker.Resources { return worker.Resources{MilliCores: 1000 * n} }

// TestEnabling guards against transit that is counted from an end which did not make the difference.
func TestEnabling(t *testing.T) {
	var en Ends
	for i, n := range []int64{8, 2, 4} {
		en = en.With(End{ClockMS: 100 * int64(i+1), Resources: cores(n)})
	}
	for _, tc := range []struct {
		name       string
		need, free int64
		// want is the clock of the end, 0 if there is none.
		want int64
	}{
		{"the last end", 6, 6, 300},
		{"an end before it", 6, 10, 200},
		{"the first end", 8, 14, 100},
		{"free before all ends", 2, 20, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := en.Enabling(cores(tc.need), cores(tc.free))
			qt.Check(t, got.ClockMS, qt.Equals, tc.want)
			qt.Check(t, ok, qt.Equals, tc.want != 0)
		})
	}
}

// TestRetention guards against ends that are kept for good, or dropped while they count.
func TestRetention(t *testing.T) {
	var en Ends
	for i := range int64(1000) {
		en = en.With(End{ClockMS: 100 * i})
	}
	qt.Check(t, en, qt.HasLen, int(Retention/(100*time.Millisecond))+1)
}

// TestSum guards against means over the wrong number of starts.
func TestSum(t *testing.T) {
	var su Sum
	qt.Check(t, su.Attrs(time.Second), qt.HasLen, 0)
	su.Add(100*time.Millisecond, 20*time.Millisecond)
	su.Add(300*time.Millisecond, 0)
	qt.Check(t, su.Starts(), qt.Equals, 2)
	var got []string
	for _, at := range su.Attrs(2 * time.Second) {
		got = append(got, at.String())
	}
	qt.Check(t, got, qt.DeepEquals, []string{"starts=2", "transit=210ms", "unpolled=10ms", "longest_transit=300ms", "in_transit=0.21"})
}
