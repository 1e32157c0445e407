package jobhost

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
)

// rounds is how often each way of losing touch is measured; it is set by hand.
var rounds = flag.Int("change.rounds", 1, "how often each way of losing touch with the store is measured")

// silence has all open connections go silent for good; new ones work.
const silence standin.Stall = "silent for good"

// TestTimeUntilAChangeIsInForce measures, on real connections, how long it takes from the
// end of a trouble on the way to the store until one change made within it is in force.
// It bounds nothing but that it comes, without another change; the bounds are those of
// transport.TestOneChangeAfterSilence, in virtual time.
//
//	go test ./internal/jobhost -run TimeUntilAChange -v -change.rounds 60
func TestTimeUntilAChangeIsInForce(t *testing.T) {
	for _, st := range append(slices.Clone(standin.Stalls), silence) {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			var took []time.Duration
			for range *rounds {
				took = append(took, timeInForce(t, st))
			}
			slices.Sort(took)
			over := len(took) - len(slices.DeleteFunc(slices.Clone(took), func(d time.Duration) bool { return d > 3*time.Second }))
			t.Logf("median %v, most %v, over 3 s: %d of %d", took[len(took)/2], took[len(took)-1], over, len(took))
		})
	}
}

// timeInForce returns how long a change takes after one trouble.
func timeInForce(t *testing.T, st standin.Stall) time.Duration {
	t.Helper()
	var ln *standin.Line
	to := newTownOver(t, 1, func(store string) string {
		ln = linetest.NewLine(t, store)
		return ln.Addr()
	})
	to.configure()
	time.Sleep(time.Duration(rand.Int64N(int64(2 * time.Second))))
	if st == silence {
		ln.Silence()
		to.change(firstConfig + 1)
	} else {
		qt.Assert(t, ln.Stall(st), qt.IsNil)
		to.change(firstConfig + 1)
		time.Sleep(time.Duration(rand.Int64N(int64(4 * time.Second))))
		ln.Thaw()
	}
	began := time.Now()
	for to.host.config.Load().Version == firstConfig {
		qt.Assert(t, time.Since(began) < time.Minute, qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}
