package logs

import (
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// TestRareLinesComeThrough is the story of an incident whose deciding lines were not
// in the log.
//
// Users saw services that never ran again. Order of events: a new owner takes the
// cell over and starts what waits, which is four lines for each attempt; the budget of
// the second is spent within part of it; then a relay does not answer, and nor do the
// workers behind it. Those lines, a few each, were dropped like all others, as one
// budget was for all of them, whoever came first.
//
// Evidence: the owner's log of that second has "log lines dropped" and none of the
// lines of its relays; with a budget a hundred times as large they were there.
func TestRareLinesComeThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sink
		wr := New(&si)
		log := slog.New(NewHandler(wr, slog.LevelInfo))
		busy(log, perSecondMost)
		log.Warn("relay does not answer", "relay", "e1")
		log.Info("relay not used for a while", "relay", "e1")
		wr.Close()
		for _, line := range []string{"relay does not answer", "relay not used for a while"} {
			qt.Check(t, strings.Contains(si.String(), line), qt.IsTrue, qt.Commentf("%s", line))
		}
	})
}

// busy writes the four lines of so many attempts.
func busy(log *slog.Logger, attempts int) {
	for n := range attempts {
		for _, message := range []string{"attempt placed", "attempt launched", "attempt ended", "job state"} {
			log.Info(message, "attempt", n)
		}
	}
}
