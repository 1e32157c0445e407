package speed

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
)

var testKind = Kind{Queue: "q", Image: "i"}

// script feeds a model with the polls of one worker, whose tasks are estimated at one second.
type script struct {
	Worker
	mo    Model
	now   time.Time
	tasks []*Attempt
	share float64
}

// newScript returns a worker with tasks, and a model that knows that they take a second.
func newScript(tasks int) *script {
	sc := &script{now: time.UnixMilli(1), share: 1}
	for i := range 100 {
		sc.mo.statsOf(testKind, sc.now).ends.add(0.1*float64(i%7-3), 1)
	}
	for range tasks {
		at := &Attempt{}
		at.Begin(sc.now)
		sc.tasks = append(sc.tasks, at)
	}
	return sc
}

// poll lists the tasks with their progress after some time. Each belongs to a job of its own, or
// all to one.
func (sc *script) poll(after time.Duration, percent int, oneJob bool) {
	sc.now = sc.now.Add(after)
	for i, at := range sc.tasks {
		ob := Observation{Kind: testKind, Job: "one", Estimate: time.Second, Share: sc.share, Percent: percent, At: sc.now}
		if !oneJob {
			ob.Job = fmt.Sprint(i)
		}
		sc.mo.ObserveProgress(&sc.Worker, at, ob, sc.now)
	}
	sc.Judge(sc.now)
}

// assertSlow checks whether the worker counts as slow, and whether that is confirmed.
func (sc *script) assertSlow(t *testing.T, slow, confirmed bool) {
	t.Helper()
	qt.Check(t, sc.Slow(sc.now), qt.Equals, slow, qt.Commentf("%+v", sc.Inputs()))
	qt.Check(t, sc.Confirmed(sc.now), qt.Equals, confirmed)
}

func TestVerdict(t *testing.T) {
	t.Run("several tasks are slow, and later fast", func(t *testing.T) {
		sc := newScript(5)
		sc.poll(600*time.Millisecond, 12, false)
		sc.assertSlow(t, true, false)
		qt.Check(t, math.Abs(sc.Slowdown(sc.now)-5) < 1, qt.IsTrue)
		sc.poll(600*time.Millisecond, 24, false)
		sc.assertSlow(t, true, true)
		sc.poll(300*time.Millisecond, 54, false)
		sc.assertSlow(t, false, false)
	})
	t.Run("a slowdown fades without observations", func(t *testing.T) {
		sc := newScript(5)
		sc.poll(600*time.Millisecond, 12, false)
		sc.now = sc.now.Add(10 * time.Second)
		sc.assertSlow(t, false, false)
	})
	t.Run("one long task", func(t *testing.T) {
		sc := newScript(1)
		for i := range 10 {
			sc.poll(600*time.Millisecond, 8*(i+1), false)
			sc.assertSlow(t, false, false)
		}
	})
	t.Run("one job with a wrong estimate", func(t *testing.T) {
		sc := newScript(8)
		sc.poll(600*time.Millisecond, 12, true)
		sc.assertSlow(t, false, false)
	})
	t.Run("tasks of one job become slow", func(t *testing.T) {
		sc := newScript(8)
		sc.poll(300*time.Millisecond, 30, true)
		sc.poll(300*time.Millisecond, 36, true)
		sc.assertSlow(t, true, false)
	})
	t.Run("a silent worker", func(t *testing.T) {
		sc := newScript(5)
		sc.poll(300*time.Millisecond, 30, false)
		sc.poll(3*time.Second, 31, false)
		sc.assertSlow(t, false, false)
	})
	t.Run("a frozen worker is not confirmed", func(t *testing.T) {
		sc := newScript(5)
		sc.poll(300*time.Millisecond, 30, false)
		sc.poll(time.Second, 35, false)
		sc.poll(300*time.Millisecond, 65, false)
		sc.assertSlow(t, false, false)
	})
	for share, slow := range map[float64]bool{0.2: false, 0: false, 1: true} {
		t.Run(fmt.Sprint("share ", share), func(t *testing.T) {
			sc := newScript(5)
			sc.share = share
			sc.poll(600*time.Millisecond, 12, false)
			sc.assertSlow(t, slow, false)
		})
	}
}

// TestRestoredRatio checks that the median of any kind survives storage. A kind that is stored
// wrongly would change the order of jobs at a takeover.
func TestRestoredRatio(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var mo Model
		median, spread := rapid.Float64Range(-2, 2).Draw(rt, "median"), rapid.Float64Range(0, 1).Draw(rt, "spread")
		for i := range 999 {
			mo.statsOf(testKind, time.Time{}).ends.add(median+spread*(float64(i*7%10)/5-0.9), 1)
		}
		restored := Restore(mo.Estimates(1), time.Time{})
		learnt, next := math.Log(mo.Ratio(testKind)), math.Log(restored.Ratio(testKind))
		if math.Abs(learnt-median) > 0.2*spread+binWidth || math.Abs(next-learnt) > binWidth {
			rt.Fatalf("median %.3f, learnt as %.3f, restored as %.3f", median, learnt, next)
		}
	})
}

func TestEscape(t *testing.T) {
	for _, tc := range []struct {
		name string
		es   Escape
		want bool
	}{
		{"resumes", Escape{Total: 4 * time.Second, Slowdown: 5, Percent: 50, Resumes: true}, true},
		{"resumes, nearly done", Escape{Total: 4 * time.Second, Slowdown: 5, Percent: 90, Resumes: true}, false},
		{"little progress", Escape{Total: time.Second, Slowdown: 5, Percent: 10}, true},
		{"much work lost", Escape{Total: time.Second, Slowdown: 5, Percent: 40}, false},
		{"sooner done there", Escape{Total: 200 * time.Millisecond, Slowdown: 5}, false},
		{"a healthy worker", Escape{Total: time.Minute, Slowdown: 1, Resumes: true}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, tc.es.Worthwhile(), qt.Equals, tc.want) })
	}
}

// BenchmarkPoll measures the observations and the verdict of one poll with 15 tasks.
func BenchmarkPoll(b *testing.B) {
	sc := newScript(15)
	percent := 0
	b.ReportAllocs()
	for b.Loop() {
		percent = (percent + 7) % 100
		sc.poll(60*time.Millisecond, percent, true)
	}
}

// TestEvidenceBound guards against slow workers that are missed because their evidence is not added
// up.
func TestEvidenceBound(t *testing.T) {
	proptest.Check(t, proptest.Size{}, func(rt *rapid.T) {
		now := time.Now()
		var wk Worker
		draw := func() evidence {
			ev := evidence{job: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "job"), filler: rapid.Bool().Draw(rt, "filler"), changed: rapid.Bool().Draw(rt, "changed")}
			for k := range ev.gains {
				ev.gains[k] = rapid.Float64Range(-6, 6).Draw(rt, "gain")
			}
			ev.at = now.Add(-time.Duration(rapid.IntRange(0, int(endedAge.Milliseconds())).Draw(rt, "age")) * time.Millisecond)
			return ev
		}
		for range rapid.IntRange(0, 8).Draw(rt, "running") {
			wk.running = append(wk.running, draw())
		}
		for range rapid.IntRange(0, 8).Draw(rt, "ended") {
			wk.ended = append(wk.ended, draw())
		}
		bound := wk.evidenceBound()
		if sum, _ := wk.sum(now, time.Time{}); len(wk.running)+len(wk.ended) > 0 && sum.best() > bound+1e-9 {
			rt.Fatalf("evidence %v, bound %v", sum.best(), bound)
		}
	})
}
