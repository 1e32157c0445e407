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

// TestRareLinesAreWrittenBesideFrequentOnes guards against a log without the lines that
// explain an incident. A new owner takes the cell over and starts the waiting tasks,
// four lines for each attempt, which uses up the budget of the second. Then a relay does
// not answer, and neither do the workers behind it. With a single budget for all kinds,
// those few lines are dropped too.
func TestRareLinesAreWrittenBesideFrequentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sink
		wr := New(&si)
		log := slog.New(NewHandler(wr, slog.LevelInfo))
		logAttempts(log, maxLinesPerSecond)
		log.Warn("relay does not answer", "relay", "e1")
		log.Info("relay not used for a while", "relay", "e1")
		wr.Close()
		for _, line := range []string{"relay does not answer", "relay not used for a while"} {
			qt.Check(t, strings.Contains(si.String(), line), qt.IsTrue, qt.Commentf("%s", line))
		}
	})
}

// logAttempts writes the four lines of each of so many attempts.
func logAttempts(log *slog.Logger, attempts int) {
	for n := range attempts {
		for _, message := range []string{"attempt placed", "attempt launched", "attempt ended", "job state"} {
			log.Info(message, "attempt", n)
		}
	}
}

func TestReportNamesDroppedKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sink
		wr := New(&si)
		log := slog.New(NewHandler(wr, slog.LevelInfo))
		logAttempts(log, maxLinesPerSecond)
		wr.Close()
		each := maxLinesPerSecond - maxLinesPerSecond/4
		want := fmt.Sprintf(`lines=%d total=%d most="attempt ended: %d, attempt launched: %d, attempt placed: %d, job state: %d"`,
			4*each, 4*each, each, each, each, each)
		qt.Assert(t, strings.Contains(si.String(), want), qt.IsTrue, qt.Commentf("%s", lastLine(si.String())))
	})
}

func lastLine(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// TestDroppedLinesAreReportedOnceASecond drops lines in each of three seconds.
func TestDroppedLinesAreReportedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si sink
		wr := New(&si)
		log := slog.New(NewHandler(wr, slog.LevelInfo))
		for n := range 30 {
			logAttempts(log, maxLinesPerSecond/4)
			log.Info("worker reached another way", "worker", n)
			time.Sleep(reportInterval / 10)
		}
		wr.Close()
		// The fourth report is made on Close.
		qt.Assert(t, strings.Count(si.String(), "log lines dropped"), qt.Equals, 4)
		qt.Assert(t, strings.Count(si.String(), "worker reached another way"), qt.Equals, 30)
		qt.Assert(t, strings.Contains(lastLine(si.String()), fmt.Sprintf("total=%d ", wr.Dropped())), qt.IsTrue)
	})
}

// blockedOutput blocks writes until it is released.
type blockedOutput struct {
	sink
	release chan struct{}
}

func (bo *blockedOutput) Write(data []byte) (int, error) {
	<-bo.release
	return bo.sink.Write(data)
}

// TestRareLinesHaveReserveInBuffer fills the buffer with lines of one kind while the
// output is blocked.
func TestRareLinesHaveReserveInBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bo := blockedOutput{release: make(chan struct{})}
		wr := New(&bo)
		log := slog.New(NewHandler(wr, slog.LevelInfo))
		long := strings.Repeat("x", 1000)
		for range 3 {
			for range maxLinesPerSecond / 2 {
				log.Info("attempt placed", "task", long)
			}
			time.Sleep(time.Second)
		}
		log.Warn("relay does not answer", "relay", "e1")
		close(bo.release)
		wr.Close()
		qt.Assert(t, strings.Contains(bo.String(), "relay does not answer"), qt.IsTrue)
		qt.Assert(t, len(bo.String()) < 3*(maxBuffered+bufferReserve), qt.IsTrue)
	})
}

// TestBudgetByKind logs any lines of any kinds: the lines of a second are bounded, and
// rare ones are written as long as their reserve is not used up.
func TestBudgetByKind(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var bu budget
		second := int64(0)
		for range rapid.IntRange(1, 5).Draw(rt, "seconds") {
			second += rapid.Int64Range(1, 3).Draw(rt, "later")
			kinds := rapid.IntRange(1, 2*maxKinds).Draw(rt, "kinds")
			lines := rapid.IntRange(1, 3*maxLinesPerSecond).Draw(rt, "lines")
			written, given := 0, map[string]int{}
			for n := range lines {
				name := fmt.Sprint("kind ", n*n%kinds)
				given[name]++
				ki := bu.kind(name)
				ok := bu.allow(ki, second)
				if ok {
					written++
				} else {
					ki.dropped++
				}
				rare := given[name] <= maxRareLines && ki != bu.kinds[otherKind]
				if rare && bu.reserve < maxReserveLines && !ok {
					rt.Fatalf("line %d of %s was dropped although the reserve is not used up", given[name], name)
				}
			}
			bounded := written <= maxLinesPerSecond+maxReserveLines && written >= min(lines, maxLinesPerSecond) && len(bu.kinds) <= maxKinds
			if !bounded {
				rt.Fatalf("%d lines of %d kinds written of %d", written, len(bu.kinds), lines)
			}
			bu.report()
		}
	})
}

func TestKindsWithoutLinesAreRemoved(t *testing.T) {
	var bu budget
	for n := range 2 * maxKinds {
		bu.allow(bu.kind(fmt.Sprint("kind ", n)), 1)
	}
	qt.Assert(t, bu.kind("relay does not answer"), qt.Equals, bu.kinds[otherKind])
	bu.allow(bu.kind("attempt placed"), 2)
	bu.report()
	qt.Assert(t, bu.kind("relay does not answer"), qt.Not(qt.Equals), bu.kinds[otherKind])
}
