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

// scene is a worker whose looks are told as differences.
type scene struct {
	rt          *rapid.T
	diffEncoder diffEncoder
	diffDecoder diffDecoder
	now         time.Time
	running     map[worker.Attempt]worker.RunningAttempt
	ended       []worker.EndedAttempt
	next        int
	ends        int64
}

// act changes what the worker lists.
func (sc *scene) act() {
	names := slices.SortedFunc(maps.Keys(sc.running), func(a, b worker.Attempt) int { return strings.Compare(a.Task, b.Task) })
	switch what := rapid.SampledFrom([]string{"start", "start", "work", "end", "forget", "time"}).Draw(sc.rt, "act"); {
	case what == "start":
		sc.next++
		at := worker.Attempt{Task: fmt.Sprintf("t%d", sc.next), Number: rapid.IntRange(1, 3).Draw(sc.rt, "number")}
		sc.running[at] = worker.RunningAttempt{Attempt: at}
	case what == "work" && len(names) > 0:
		ra := sc.running[rapid.SampledFrom(names).Draw(sc.rt, "task")]
		ra.Percent = rapid.IntRange(0, 100).Draw(sc.rt, "percent")
		ra.Usage = rapid.Int64Range(0, 9).Draw(sc.rt, "usage")
		ra.Checkpoint = rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(sc.rt, "checkpoint")
		sc.running[ra.Attempt] = ra
	case what == "end" && len(names) > 0:
		at := rapid.SampledFrom(names).Draw(sc.rt, "task")
		delete(sc.running, at)
		sc.ends++
		sc.ended = append(sc.ended, worker.EndedAttempt{Attempt: at, EndNumber: sc.ends, How: rapid.SampledFrom([]string{"done", "failed", "stopped"}).Draw(sc.rt, "how"), Checkpoint: "c3"})
	case what == "forget":
		sc.ended = nil
	case what == "time":
		sc.now = sc.now.Add(minUpdateInterval)
	}
}

// look tells a look as a difference, and returns what is made of that. It is told
// whole figures only if whole is set.
func (sc *scene) look(whole bool) worker.Sight {
	if whole {
		sc.now = sc.now.Add(minUpdateInterval)
	}
	si := worker.Sight{ClockMS: 7, Running: slices.Collect(maps.Values(sc.running)), Ended: sc.ended}
	data, err := json.Marshal(sc.diffEncoder.encode(si, sc.now))
	if err != nil {
		sc.rt.Fatal(err)
	}
	var li pollDiff
	if err := json.Unmarshal(data, &li); err != nil {
		sc.rt.Fatal(err)
	}
	return sc.diffDecoder.decode(&li, 7)
}

// TestDifferencesTellAll plays looks at a worker and checks that what is made of the
// differences names the same attempts and ends, and has the same figures once they
// are due.
func TestDifferencesTellAll(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 300}, func(rt *rapid.T) {
		sc := &scene{rt: rt, now: time.Unix(100, 0), running: map[worker.Attempt]worker.RunningAttempt{}}
		for range rapid.IntRange(1, 40).Draw(rt, "acts") {
			sc.act()
			if !rapid.Bool().Draw(rt, "look") {
				continue
			}
			whole := rapid.Bool().Draw(rt, "whole")
			checkSight(rt, sc, sc.look(whole), whole)
		}
	})
}

func checkSight(rt *rapid.T, sc *scene, si worker.Sight, whole bool) {
	if len(si.Running) != len(sc.running) {
		rt.Fatalf("%d attempts run, told %d", len(sc.running), len(si.Running))
	}
	for _, ra := range si.Running {
		want, ok := sc.running[ra.Attempt]
		if !ok || (whole && ra != want) {
			rt.Fatalf("told %v, listed %v", ra, want)
		}
	}
	if len(si.Ended) != len(sc.ended) {
		rt.Fatalf("%d ends, told %d", len(sc.ended), len(si.Ended))
	}
	for i, ea := range si.Ended {
		want := sc.ended[i]
		if want.How == outcomeDone {
			want.Checkpoint = ""
		}
		if ea != want {
			rt.Fatalf("told %v, listed %v", ea, want)
		}
	}
}

func TestFiguresAreNotToldTooOften(t *testing.T) {
	var di diffEncoder
	at := worker.Attempt{Task: "t", Number: 1}
	look := func(usage int64, now time.Duration) *pollDiff {
		si := worker.Sight{Running: []worker.RunningAttempt{{Attempt: at, Usage: usage}}}
		return di.encode(si, time.Unix(0, 0).Add(now))
	}
	qt.Assert(t, len(look(1, 0).Updated), qt.Equals, 1)
	qt.Assert(t, len(look(2, minUpdateInterval/2).Updated), qt.Equals, 0)
	qt.Assert(t, len(look(2, minUpdateInterval).Updated), qt.Equals, 1)
	qt.Assert(t, len(look(2, 3*minUpdateInterval).Updated), qt.Equals, 0)
}
