package logs

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
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

func TestKindsDroppedAreNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sink
		wr := New(&si)
		log := slog.New(NewHandler(wr, slog.LevelInfo))
		busy(log, perSecondMost)
		wr.Close()
		each := perSecondMost - perSecondMost/4
		want := fmt.Sprintf(`lines=%d total=%d most="attempt ended: %d, attempt launched: %d, attempt placed: %d, job state: %d"`,
			4*each, 4*each, each, each, each, each)
		qt.Assert(t, strings.Contains(si.String(), want), qt.IsTrue, qt.Commentf("%s", lastLine(si.String())))
	})
}

func lastLine(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// TestDroppedLinesAreToldOfOnceASecond has some dropped in each of three seconds.
func TestDroppedLinesAreToldOfOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sink
		wr := New(&si)
		log := slog.New(NewHandler(wr, slog.LevelInfo))
		for n := range 30 {
			busy(log, perSecondMost/4)
			log.Info("worker reached another way", "worker", n)
			time.Sleep(tellEvery / 10)
		}
		wr.Close()
		// And the last of them at the end.
		qt.Assert(t, strings.Count(si.String(), "log lines dropped"), qt.Equals, 4)
		qt.Assert(t, strings.Count(si.String(), "worker reached another way"), qt.Equals, 30)
		qt.Assert(t, strings.Contains(lastLine(si.String()), fmt.Sprintf("total=%d ", wr.Dropped())), qt.IsTrue)
	})
}

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	sink
	let chan struct{}
}

func (st *stuck) Write(data []byte) (int, error) {
	<-st.let
	return st.sink.Write(data)
}

// TestRareLinesHaveRoomInTheBuffer fills the buffer with lines of one kind while
// nothing is read.
func TestRareLinesHaveRoomInTheBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := stuck{let: make(chan struct{})}
		wr := New(&st)
		log := slog.New(NewHandler(wr, slog.LevelInfo))
		long := strings.Repeat("x", 1000)
		for range 3 {
			for range perSecondMost / 2 {
				log.Info("attempt placed", "task", long)
			}
			time.Sleep(time.Second)
		}
		log.Warn("relay does not answer", "relay", "e1")
		close(st.let)
		wr.Close()
		qt.Assert(t, strings.Contains(st.String(), "relay does not answer"), qt.IsTrue)
		qt.Assert(t, len(st.String()) < 3*(waitMost+waitReserve), qt.IsTrue)
	})
}

// TestBudgetByKind gives any lines of any kinds: those of a second are bounded, and
// rare ones are written as long as their reserve has room.
func TestBudgetByKind(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var bu budget
		second := int64(0)
		for range rapid.IntRange(1, 5).Draw(rt, "seconds") {
			second += rapid.Int64Range(1, 3).Draw(rt, "later")
			kinds := rapid.IntRange(1, 2*kindsMost).Draw(rt, "kinds")
			lines := rapid.IntRange(1, 3*perSecondMost).Draw(rt, "lines")
			written, given := 0, map[string]int{}
			for n := range lines {
				name := fmt.Sprint("kind ", n*n%kinds)
				given[name]++
				ki := bu.kind(name)
				ok := bu.spend(ki, second)
				if ok {
					written++
				} else {
					ki.dropped++
				}
				few := given[name] <= rareMost && ki != bu.kinds[otherKind]
				if few && bu.reserve < reserveMost && !ok {
					rt.Fatalf("line %d of %s was left out, with room for it", given[name], name)
				}
			}
			bounded := written <= perSecondMost+reserveMost && written >= min(lines, perSecondMost) && len(bu.kinds) <= kindsMost
			if !bounded {
				rt.Fatalf("%d lines of %d kinds written of %d", written, len(bu.kinds), lines)
			}
			bu.most()
		}
	})
}

func TestKindsWithoutLinesMakeRoom(t *testing.T) {
	var bu budget
	for n := range 2 * kindsMost {
		bu.spend(bu.kind(fmt.Sprint("kind ", n)), 1)
	}
	qt.Assert(t, bu.kind("relay does not answer"), qt.Equals, bu.kinds[otherKind])
	bu.spend(bu.kind("attempt placed"), 2)
	bu.most()
	qt.Assert(t, bu.kind("relay does not answer"), qt.Not(qt.Equals), bu.kinds[otherKind])
}
