package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// second is the work of one core in a second.
const second = 1000 * 1000

// testRequest is a job of one core for a second with a limit of 4 s.
func testRequest(id string, priority int) Request {
	return Request{ID: id, Queue: "q", Service: "s", Priority: priority, Work: second, Chain: time.Second, LargestWork: second, Each: worker.Resources{MilliCores: 1000}, Limit: 4 * time.Second}
}

// busy is the forecast for 10 cores of which none is free, with a wait of some time.
func busy(wait time.Duration) Forecast {
	return Forecast{Capacity: 10_000, Total: 10_000, Ahead: 10_000 * wait.Milliseconds(), Waiting: 1000}
}

func start() time.Time { return time.UnixMilli(0) }

// TestDecide guards against false refusals, and against accepted jobs that end too late.
func TestDecide(t *testing.T) {
	unlimited, free, unknown := testRequest("a", 1), busy(time.Minute), busy(time.Minute)
	unlimited.Limit, free.Free, unknown.Total = 0, 2000, 0
	fast, arriving := busy(8*time.Second), busy(3*time.Second)
	fast.Efficiency, arriving.Arriving = 4, 10_000
	for _, tc := range []struct {
		name string
		re   Request
		fo   Forecast
		want Cause
	}{
		{"no limit", unlimited, busy(time.Minute), CauseNoLimit},
		{"capacity not known", testRequest("a", 1), unknown, CauseUnknown},
		{"free capacity", testRequest("a", 1), free, CauseFree},
		{"in time", testRequest("a", 1), busy(2 * time.Second), CauseInTime},
		{"within the margin", testRequest("a", 1), busy(3500 * time.Millisecond), CauseInTime},
		{"too late", testRequest("a", 1), busy(5 * time.Second), CauseTooLate},
		{"urgent", testRequest("a", 0), busy(5 * time.Second), CauseInTime},
		{"urgent and too late", testRequest("a", 0), busy(8 * time.Second), CauseTooLate},
		{"more is done than estimated", testRequest("a", 1), fast, CauseInTime},
		{"work arrives that goes first", testRequest("a", 1), arriving, CauseTooLate},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var co Controller
			de := co.Decide(tc.re, tc.fo, start())
			qt.Check(t, de.Cause, qt.Equals, tc.want)
			qt.Check(t, de.Admitted, qt.Equals, tc.want != CauseTooLate)
		})
	}
}

// TestOneLargeTaskAmongSmallOnes guards against refusals of jobs whose many small tasks are forecast
// to run only where their one large task fits, and against large tasks that fit on no worker.
func TestOneLargeTaskAmongSmallOnes(t *testing.T) {
	for _, tc := range []struct {
		largest, capacity int64
		want              bool
	}{{0, 0, true}, {1 * second, 1000, true}, {6 * second, 1000, false}, {1 * second, 0, false}} {
		var co Controller
		re, fo := testRequest("a", 1), busy(0)
		re.Work, re.LargestWork, fo.Capacity = 20*second, tc.largest, tc.capacity
		qt.Check(t, co.Decide(re, fo, start()).Admitted, qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// TestTurns guards against callers that are refused although they return at the promised time.
func TestTurns(t *testing.T) {
	refuse := func(co *Controller, n int, now time.Time) Decision {
		return co.Decide(testRequest(fmt.Sprint(n), 1), busy(5*time.Second), now)
	}
	t.Run("admitted in its turn, with the time of its first try", func(t *testing.T) {
		var co Controller
		first := refuse(&co, 1, start())
		qt.Assert(t, first.HasTurn, qt.IsTrue)
		de := co.Decide(testRequest("1", 1), busy(300*time.Millisecond), start().Add(first.RetryAfter))
		qt.Assert(t, de.Admitted, qt.IsTrue)
		qt.Assert(t, de.FirstTry, qt.Equals, start())
		qt.Assert(t, co.Turns(start()), qt.Equals, 0)
	})
	t.Run("an early one is told the rest", func(t *testing.T) {
		var co Controller
		first := refuse(&co, 1, start())
		early := refuse(&co, 1, start().Add(500*time.Millisecond))
		qt.Assert(t, early.Cause, qt.Equals, CauseEarly)
		qt.Assert(t, early.RetryAfter, qt.Equals, first.RetryAfter-500*time.Millisecond)
	})
	t.Run("a turn is promised before callers without one", func(t *testing.T) {
		var co Controller
		refuse(&co, 1, start())
		qt.Assert(t, co.Decide(testRequest("2", 1), busy(0), start()).Promised, qt.Equals, int64(second))
		qt.Assert(t, co.Decide(testRequest("3", 0), busy(0), start()).Promised, qt.Equals, int64(0))
	})
	t.Run("a late one is decided like others", func(t *testing.T) {
		var co Controller
		late := start().Add(refuse(&co, 1, start()).RetryAfter + keepTurn + 1)
		qt.Assert(t, co.Turns(late), qt.Equals, 0)
		qt.Assert(t, refuse(&co, 1, late).FirstTry, qt.Equals, late)
	})
	t.Run("another turn while it cannot be in time", func(t *testing.T) {
		var co Controller
		now := start().Add(refuse(&co, 1, start()).RetryAfter)
		again := refuse(&co, 1, now)
		qt.Assert(t, again.Admitted, qt.IsFalse)
		qt.Assert(t, again.HasTurn, qt.IsTrue)
		qt.Assert(t, again.FirstTry, qt.Equals, start())
	})
	t.Run("none beyond the number that is kept", func(t *testing.T) {
		var co Controller
		for n := range maxTurns {
			qt.Assert(t, refuse(&co, n, start()).HasTurn, qt.IsTrue)
		}
		de := refuse(&co, maxTurns, start())
		qt.Assert(t, de.HasTurn, qt.IsFalse)
		qt.Assert(t, de.RetryAfter, qt.Equals, maxPromise)
		for n := range urgentTurns + 1 {
			de = co.Decide(testRequest(fmt.Sprint("urgent", n), 0), busy(9*time.Second), start())
			qt.Assert(t, de.HasTurn, qt.Equals, n < urgentTurns, qt.Commentf("urgent job %d", n))
		}
	})
}

// TestLargeTasksAreNotPromisedFragments guards against capacity for large tasks that is only the
// sum of what is left on many workers, and against work that is counted ahead but goes later.
func TestLargeTasksAreNotPromisedFragments(t *testing.T) {
	six, ten := worker.Resources{MilliCores: 6000, MemMB: 100}, worker.Resources{MilliCores: 10_000, MemMB: 100}
	lo := NewLoad([]Host{{Usable: ten, Free: six, Idle: 500, Labels: []string{"x"}}, {Usable: six, Free: six, Idle: 2000, FreeIdle: 2000}},
		[]Work{{Priority: 1, Cost: 5, Left: 50, Waiting: 1}, {Priority: 0, Left: 7, Waiting: 2}, {Priority: 1, Cost: 1, Left: 3}, {Kind: Filler, Left: 99}}, nil)
	lo.Add(Work{Priority: 1, Cost: 2, Left: 1000})
	re := Request{Priority: 1, Cost: 3, Each: worker.Resources{MilliCores: 7000, MemMB: 1}}
	qt.Check(t, lo.Forecast(re), qt.Equals, Forecast{Capacity: 7000, Total: 16_000, Ahead: 1010, Waiting: 2})
	re.Each.MilliCores, re.Cost = 5000, 9
	qt.Check(t, lo.Forecast(re), qt.Equals, Forecast{Capacity: 15_000, Free: 10_000, Total: 16_000, Ahead: 1060, Waiting: 3})
	re.Label = "x"
	qt.Check(t, lo.Forecast(re).Capacity, qt.Equals, int64(10_000))
	fi := Request{Kind: Filler, Each: worker.Resources{MilliCores: 3000, MemMB: 1}}
	qt.Check(t, lo.Forecast(fi), qt.Equals, Forecast{Capacity: 2000, Free: 2000, Total: 2500, Ahead: 99})
}

// TestLargestAreNotRefusedMoreOften guards against a queue whose large jobs are hardly admitted.
func TestLargestAreNotRefusedMoreOften(t *testing.T) {
	var co Controller
	admitted := map[bool]int{}
	for n := range 400 {
		re, fo := testRequest(fmt.Sprint(n), 1), busy(time.Second)
		large := n%10 == 0
		if large {
			re.Work, fo = 5*second, busy(6*time.Second)
		}
		if co.Decide(re, fo, start()).Admitted {
			admitted[large]++
		}
		co.Forget(re.ID)
	}
	qt.Check(t, admitted[false], qt.Equals, 360)
	qt.Check(t, admitted[true] >= 20, qt.IsTrue, qt.Commentf("%d of 40", admitted[true]))
}

// TestThroughput guards against an efficiency that is learnt while nothing waits, and against one
// that does not follow wrong estimates.
func TestThroughput(t *testing.T) {
	observe := func(done int64, waiting bool) float64 {
		var th Throughput
		for tick := range 100 {
			th.Complete(done)
			th.Observe(1000, waiting, start().Add(time.Duration(tick)*100*time.Millisecond))
		}
		return th.Efficiency(1000)
	}
	qt.Check(t, observe(0, false), qt.Equals, 1.0)
	qt.Check(t, observe(50_000, true) < 0.65, qt.IsTrue)
	qt.Check(t, observe(300_000, true) > 2, qt.IsTrue)
	qt.Check(t, observe(0, true), qt.Equals, minEfficiency)
}

// TestEfficiencyIsMeasuredOfRunningTasks guards against jobs that are refused at the begin of a
// burst of long tasks, as none of these has ended yet.
func TestEfficiencyIsMeasuredOfRunningTasks(t *testing.T) {
	var th Throughput
	for tick := range 100 {
		th.SetRunning(int64(100_000 * (tick + 1)))
		th.Observe(1000, true, start().Add(time.Duration(tick)*100*time.Millisecond))
	}
	qt.Check(t, th.Efficiency(1000), qt.Equals, 1.0)
	th.SetRunning(0)
	th.Complete(100 * 100_000)
	th.Observe(1000, true, start().Add(10*time.Second))
	qt.Check(t, math.Abs(th.Efficiency(1000)-1) < 0.05, qt.IsTrue, qt.Commentf("%v after the end", th.Efficiency(1000)))
}

// TestLowEfficiencyIsForgotten guards against jobs that are refused because of an overload long
// ago, in which workers were slow.
func TestLowEfficiencyIsForgotten(t *testing.T) {
	var th Throughput
	now := start()
	for tick := range 1000 {
		now = now.Add(100 * time.Millisecond)
		th.Observe(1000, tick < 100, now)
	}
	qt.Check(t, th.Efficiency(1000) > 0.9, qt.IsTrue, qt.Commentf("%v", th.Efficiency(1000)))
}

// TestPromisedWorkIsSumOfTurns guards against promised work that remains after its turn was removed,
// which would refuse jobs indefinitely, and against times to retry out of bounds.
func TestPromisedWorkIsSumOfTurns(t *testing.T) {
	proptest.Check(t, proptest.Size{}, func(rt *rapid.T) {
		var co Controller
		now := start()
		for range rapid.IntRange(1, 60).Draw(rt, "requests") {
			re := testRequest(fmt.Sprint(rapid.IntRange(0, 9).Draw(rt, "job")), rapid.IntRange(0, 2).Draw(rt, "priority"))
			re.Work = int64(rapid.IntRange(1, 4*second).Draw(rt, "work"))
			de := co.Decide(re, busy(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "wait"))*time.Millisecond), now)
			if !de.Admitted && (de.RetryAfter < minRetryAfter || de.RetryAfter > maxPromise) {
				rt.Fatalf("retry after %v", de.RetryAfter)
			}
			var sum, kept int64
			for _, one := range co.turns.byID {
				sum += one.work
			}
			for _, work := range co.turns.work {
				kept += work
			}
			if sum != kept || len(co.turns.queue) != len(co.turns.byID) {
				rt.Fatalf("turns of work %d are kept as %d, %d of %d queued", sum, kept, len(co.turns.queue), len(co.turns.byID))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
	})
}
