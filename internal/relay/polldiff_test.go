package relay

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// diffModel is a worker whose poll results are encoded as differences.
type diffModel struct {
	rt      *rapid.T
	encoder diffEncoder
	decoder diffDecoder
	now     time.Time
	running map[worker.Attempt]worker.RunningAttempt
	ended   []worker.EndedAttempt
	next    int
	ends    int64
}

// step makes a random change to the attempts that the worker lists, or advances the clock.
func (dm *diffModel) step() {
	names := slices.SortedFunc(maps.Keys(dm.running), func(a, b worker.Attempt) int { return strings.Compare(a.Task, b.Task) })
	switch what := rapid.SampledFrom([]string{"start", "start", "work", "end", "forget", "time"}).Draw(dm.rt, "step"); {
	case what == "start":
		dm.next++
		at := worker.Attempt{Task: fmt.Sprintf("t%d", dm.next), Number: rapid.IntRange(1, 3).Draw(dm.rt, "number")}
		dm.running[at] = worker.RunningAttempt{Attempt: at}
	case what == "work" && len(names) > 0:
		ra := dm.running[rapid.SampledFrom(names).Draw(dm.rt, "task")]
		ra.Percent = rapid.IntRange(0, 100).Draw(dm.rt, "percent")
		ra.Usage = rapid.Int64Range(0, 9).Draw(dm.rt, "usage")
		ra.Checkpoint = rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(dm.rt, "checkpoint")
		dm.running[ra.Attempt] = ra
	case what == "end" && len(names) > 0:
		at := rapid.SampledFrom(names).Draw(dm.rt, "task")
		delete(dm.running, at)
		dm.ends++
		dm.ended = append(dm.ended, worker.EndedAttempt{Attempt: at, EndNumber: dm.ends, Outcome: rapid.SampledFrom([]string{"done", "failed", "stopped"}).Draw(dm.rt, "how"), Checkpoint: "c3"})
	case what == "forget":
		dm.ended = nil
	case what == "time":
		dm.now = dm.now.Add(minUpdateInterval)
	}
}

// poll encodes the current state as a difference and returns the decoded result. If full is
// set, an update of the progress is due.
func (dm *diffModel) poll(full bool) worker.PollResult {
	if full {
		dm.now = dm.now.Add(minUpdateInterval)
	}
	res := worker.PollResult{ClockMS: 7, Running: slices.Collect(maps.Values(dm.running)), Ended: dm.ended}
	data, err := json.Marshal(dm.encoder.encode(res, dm.now))
	if err != nil {
		dm.rt.Fatal(err)
	}
	var pd pollDiff
	if err := json.Unmarshal(data, &pd); err != nil {
		dm.rt.Fatal(err)
	}
	return dm.decoder.decode(&pd, 7)
}

// TestDiffsReproducePolls checks, for random sequences of changes, that decoded polls list the
// same running and ended attempts as the worker, with the same progress once an update is due.
func TestDiffsReproducePolls(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 300}, func(rt *rapid.T) {
		dm := &diffModel{rt: rt, now: time.Unix(100, 0), running: map[worker.Attempt]worker.RunningAttempt{}}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			dm.step()
			if !rapid.Bool().Draw(rt, "poll") {
				continue
			}
			full := rapid.Bool().Draw(rt, "full")
			checkPoll(rt, dm, dm.poll(full), full)
		}
	})
}

func checkPoll(rt *rapid.T, dm *diffModel, res worker.PollResult, full bool) {
	if len(res.Running) != len(dm.running) {
		rt.Fatalf("%d attempts run, decoded %d", len(dm.running), len(res.Running))
	}
	for _, ra := range res.Running {
		want, ok := dm.running[ra.Attempt]
		if !ok || (full && ra != want) {
			rt.Fatalf("decoded %v, want %v", ra, want)
		}
	}
	if len(res.Ended) != len(dm.ended) {
		rt.Fatalf("%d attempts ended, decoded %d", len(dm.ended), len(res.Ended))
	}
	for i, ea := range res.Ended {
		want := dm.ended[i]
		if want.Outcome == outcomeDone {
			want.Checkpoint = ""
		}
		if ea != want {
			rt.Fatalf("decoded %v, want %v", ea, want)
		}
	}
}

func TestProgressUpdatesAreRateLimited(t *testing.T) {
	var di diffEncoder
	at := worker.Attempt{Task: "t", Number: 1}
	poll := func(usage int64, now time.Duration) *pollDiff {
		res := worker.PollResult{Running: []worker.RunningAttempt{{Attempt: at, Usage: usage}}}
		return di.encode(res, time.Unix(0, 0).Add(now))
	}
	qt.Assert(t, len(poll(1, 0).Updated), qt.Equals, 1)
	qt.Assert(t, len(poll(2, minUpdateInterval/2).Updated), qt.Equals, 0)
	qt.Assert(t, len(poll(2, minUpdateInterval).Updated), qt.Equals, 1)
	qt.Assert(t, len(poll(2, 3*minUpdateInterval).Updated), qt.Equals, 0)
}

// TestRepeatedUsageIsNotDatedAnew guards against figures of a worker that count as younger than they
// are because a relay leaves out updates.
func TestRepeatedUsageIsNotDatedAnew(t *testing.T) {
	var di diffEncoder
	var de diffDecoder
	for _, tc := range []struct {
		at                time.Duration
		usage, usageClock int64
	}{{0, 1, 0}, {minUpdateInterval / 2, 1, 0}, {minUpdateInterval, 3, minUpdateInterval.Milliseconds()}} {
		const startMS = 1000
		clockMS := startMS + tc.at.Milliseconds()
		polled := worker.PollResult{ClockMS: clockMS, Running: []worker.RunningAttempt{{Attempt: worker.Attempt{Task: "t", Number: 1}, Usage: 1 + tc.at.Milliseconds()*2/minUpdateInterval.Milliseconds()}}}
		res := de.decode(di.encode(polled, time.Unix(0, 0).Add(tc.at)), clockMS)
		qt.Check(t, res.Running[0].Usage, qt.Equals, tc.usage)
		qt.Check(t, res.UsageClockMS, qt.Equals, startMS+tc.usageClock)
	}
}
