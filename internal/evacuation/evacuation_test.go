package evacuation

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestSetIsImmutable guards against a change of a set that shows in an older one.
func TestSetIsImmutable(t *testing.T) {
	one := Set{}.With("b")
	three := one.With("c").With("a")
	less := three.Without("b")
	qt.Check(t, one.DataCentres(), qt.DeepEquals, []string{"b"})
	qt.Check(t, three.DataCentres(), qt.DeepEquals, []string{"a", "b", "c"})
	qt.Check(t, less.DataCentres(), qt.DeepEquals, []string{"a", "c"})
	qt.Check(t, less.Contains("b") || !less.Contains("c") || less.Without("a").Without("c").Contains("c"), qt.IsFalse)
}

// TestTracker guards against requests that are lost or come back: through an older copy of the
// store, a removal in a lost history, or a value that cannot be read.
func TestTracker(t *testing.T) {
	put := func(name string, version int64) Request { return Request{DataCentre: name, Version: version} }
	removed := func(name string, version int64) Request {
		return Request{DataCentre: name, Version: version, Removed: true}
	}
	// A list has the version of the table, a change of single rows none.
	type read struct {
		rows []Request
		list int64
	}
	for name, tc := range map[string]struct {
		reads []read
		want  string
	}{
		"requested":                          {[]read{{rows: []Request{put("a", 5)}}}, "a"},
		"two at once, one withdrawn":         {[]read{{rows: []Request{put("a", 5), put("b", 6)}}, {rows: []Request{removed("a", 7)}}}, "b"},
		"removed while the history was lost": {[]read{{rows: []Request{put("a", 5)}}, {list: 9}}, ""},
		"list from an older copy lacks it":   {[]read{{rows: []Request{put("a", 5)}}, {list: 4}}, "a"},
		"older copy still has it":            {[]read{{rows: []Request{put("a", 5)}}, {list: 9}, {rows: []Request{put("a", 5)}, list: 8}}, ""},
		"older removal":                      {[]read{{rows: []Request{put("a", 8)}}, {rows: []Request{removed("a", 7)}}}, "a"},
		"requested again":                    {[]read{{rows: []Request{put("a", 5)}}, {rows: []Request{removed("a", 7)}}, {rows: []Request{put("a", 8)}}}, "a"},
		"removal without a version":          {[]read{{rows: []Request{put("a", 5)}}, {rows: []Request{removed("a", 0)}}}, ""},
		"unreadable value":                   {[]read{{rows: []Request{{DataCentre: "a", Version: 5, Err: errors.New("no object")}}}}, "a"},
		"no name":                            {[]read{{rows: []Request{put("", 5)}}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			tr := Tracker{Log: slog.New(slog.DiscardHandler)}
			for _, re := range tc.reads {
				tr.Apply(re.rows, re.list > 0, re.list)
			}
			qt.Check(t, tr.Current().String(), qt.Equals, tc.want)
		})
	}
}

// TestListOfEmptyCopy guards against a request that is withdrawn by a list from a copy of the store
// which has received no writes yet.
func TestListOfEmptyCopy(t *testing.T) {
	tr := Tracker{Log: slog.New(slog.DiscardHandler)}
	tr.Apply([]Request{{DataCentre: "a", Version: 5}}, true, 5)
	tr.Apply(nil, true, 0)
	qt.Check(t, tr.Contains("a"), qt.IsTrue)
}

// TestSelect guards against moves that do harm: of too many tasks of a step or at once, to
// capacity that others need, or without capacity.
func TestSelect(t *testing.T) {
	cores := func(n int64) worker.Resources { return worker.Resources{MilliCores: 1000 * n} }
	one, three, down := &Step{}, &Step{MaxUnavailable: 3}, &Step{MaxUnavailable: 2, Unavailable: 2}
	others := []*Step{{}, {}, {}, {}, {}, {}, {}}
	var leaving []Task
	for _, st := range others {
		leaving = append(leaving, Task{Step: st, Leaving: true})
	}
	for name, tc := range map[string]struct {
		tasks []Task
		room  int
		want  []int
	}{
		"largest first, as many as a step may miss": {[]Task{{Need: cores(2), Step: one}, {Need: cores(4), Step: one}, {Need: cores(3), Step: three}}, 9, []int{1, 2}},
		"bounded rate":               {[]Task{{Step: three}, {Step: three}, {Step: three}}, 9, []int{0, 1}},
		"step that misses enough":    {[]Task{{Step: down}}, 9, nil},
		"no capacity":                {[]Task{{Step: one}, {Step: three}}, 0, nil},
		"capacity for one":           {[]Task{{Step: three}, {Step: three}}, 1, []int{0}},
		"others wait for capacity":   {[]Task{{Step: one, Contended: true}}, 9, nil},
		"leaving workers come first": {[]Task{{Need: cores(9), Step: three}, {Step: down, Leaving: true}, {Step: down, Leaving: true}}, 9, []int{1, 2, 0}},
		"bounded at all":             {leaving, 9, []int{0, 1, 2, 3, 4, 5}},
	} {
		t.Run(name, func(t *testing.T) {
			room := tc.room
			got := Select(tc.tasks, func(int) bool { room--; return room >= 0 })
			qt.Check(t, got, qt.DeepEquals, tc.want)
		})
	}
}

// TestGuard guards against launches in an evacuated data centre, and against stops that are kept
// from it.
func TestGuard(t *testing.T) {
	sent := 0
	ag := Guard(worker.Agent{
		LaunchFunc: func(context.Context, worker.Addr, worker.Launch) (worker.Ack, error) {
			sent++
			return worker.Ack{}, nil
		},
		HaltFunc: func(context.Context, worker.Addr, worker.Halt) (worker.Ack, error) { sent++; return worker.Ack{}, nil },
	}, Set{}.With("a").Contains)
	_, err := ag.LaunchFunc(t.Context(), worker.Addr{DataCentre: "a"}, worker.Launch{})
	qt.Check(t, err, qt.ErrorIs, worker.ErrEvacuated)
	qt.Check(t, sent, qt.Equals, 0)
	_, err = ag.LaunchFunc(t.Context(), worker.Addr{DataCentre: "b"}, worker.Launch{})
	qt.Check(t, err, qt.IsNil)
	_, err = ag.HaltFunc(t.Context(), worker.Addr{DataCentre: "a"}, worker.Halt{})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, sent, qt.Equals, 2)
}

// TestMonitor guards against evacuations that the operator does not see, and log lines at each
// update.
func TestMonitor(t *testing.T) {
	var log bytes.Buffer
	mo := Monitor{Log: slog.New(slog.NewTextHandler(&log, nil))}
	loads := map[string]Load{"a": {Workers: 2, LongRunning: 3, Other: 1}, "b": {Workers: 1}}
	now := time.Unix(1, 0)
	play := func(se Set, d time.Duration) {
		for range d / (100 * time.Millisecond) {
			if now = now.Add(100 * time.Millisecond); mo.Due(now, se) {
				mo.Update(now, se, loads)
			}
		}
	}
	play(Set{}.With("a"), 5*time.Second)
	play(Set{}.With("a").With("typo"), time.Second)
	play(Set{}.With("a").With("b"), time.Second)
	play(Set{}, time.Second)
	for line, want := range map[string]int{
		"evacuation began": 3, "evacuation in progress": 3, "long_running=3 other=1 for=": 3, "evacuation ended": 3,
		"has no workers, is its name right?\" data_centre=typo": 1, "level=WARN msg=\"all data centres are evacuated": 1,
	} {
		qt.Check(t, strings.Count(log.String(), line), qt.Equals, want, qt.Commentf("%s in\n%s", line, log.String()))
	}
}
