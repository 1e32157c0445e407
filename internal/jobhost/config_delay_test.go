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

// rounds is the number of measurements for each kind of stall.
var rounds = flag.Int("change.rounds", 1, "how often each kind of lost contact with the store is measured")

// silence is a stall in which all open connections stay unresponsive for good while new
// ones work.
const silence standin.Stall = "permanently unresponsive"

// TestDelayUntilChangeIsInForce measures on real connections how long it takes from the end
// of a stall of the network path to the store until a change of the configuration, made
// during the stall, is in force. The test fails only if the change is not in force within
// a minute; TestOneChangeAfterSilence of package transport bounds the delay in virtual time.
//
//	go test ./internal/jobhost -run DelayUntilChange -v -change.rounds 60
func TestDelayUntilChangeIsInForce(t *testing.T) {
	for _, st := range append(slices.Clone(standin.Stalls), silence) {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			var took []time.Duration
			for range *rounds {
				took = append(took, delayUntilInForce(t, st))
			}
			slices.Sort(took)
			slow := len(took) - len(slices.DeleteFunc(slices.Clone(took), func(d time.Duration) bool { return d > 3*time.Second }))
			t.Logf("median %v, maximum %v, over 3 s: %d of %d", took[len(took)/2], took[len(took)-1], slow, len(took))
		})
	}
}

// delayUntilInForce returns the time from the end of one stall until a change of the
// configuration is in force.
func delayUntilInForce(t *testing.T, st standin.Stall) time.Duration {
	t.Helper()
	var ln *standin.Proxy
	th := newTestHostOver(t, 1, func(store string) string {
		ln = linetest.NewProxy(t, store)
		return ln.Addr()
	})
	th.configure()
	time.Sleep(time.Duration(rand.Int64N(int64(2 * time.Second))))
	if st == silence {
		ln.Blackhole()
		th.change(firstConfig + 1)
	} else {
		qt.Assert(t, ln.Stall(st), qt.IsNil)
		th.change(firstConfig + 1)
		time.Sleep(time.Duration(rand.Int64N(int64(4 * time.Second))))
		ln.Resume()
	}
	began := time.Now()
	for th.host.config.Load().Version == firstConfig {
		qt.Assert(t, time.Since(began) < time.Minute, qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}
