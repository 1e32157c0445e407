package congestion

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRates guards against waits that are forecast although the owner orders starts at once, and
// against forecasts that don't follow its rate.
func TestRates(t *testing.T) {
	var ra Rates
	now := began
	play := func(seconds, perSecond, ahead int, limited bool) {
		for range seconds {
			for range perSecond {
				ra.RecordStart(2)
			}
			if limited {
				ra.Limited(2, now)
			}
			for _, priority := range ra.Priorities(now) {
				ra.SetAhead(priority, ahead)
			}
			now = now.Add(rateInterval)
		}
	}
	play(3, 100, 300, false)
	ahead, own := ra.Wait(2, 50)
	qt.Check(t, []time.Duration{ahead, own}, qt.DeepEquals, []time.Duration{0, 0})
	play(8, 100, 300, true)
	ahead, own = ra.Wait(2, 50)
	qt.Check(t, ahead.Round(100*time.Millisecond), qt.Equals, 3*time.Second)
	qt.Check(t, own.Round(100*time.Millisecond), qt.Equals, 500*time.Millisecond)
	ahead, _ = ra.Wait(0, 50)
	qt.Check(t, ahead, qt.Equals, time.Duration(0))
	play(8, 10, 300, true)
	ahead, _ = ra.Wait(2, 50)
	qt.Check(t, ahead > 25*time.Second && ahead < 31*time.Second, qt.IsTrue, qt.Commentf("%v", ahead))
	play(5, 100, 20, false)
	ahead, _ = ra.Wait(2, 50)
	qt.Check(t, ahead > time.Second && ahead < 3*time.Second, qt.IsTrue, qt.Commentf("%v", ahead))
	play(7, 100, 20, false)
	ahead, _ = ra.Wait(2, 50)
	qt.Check(t, ahead, qt.Equals, time.Duration(0))
}
