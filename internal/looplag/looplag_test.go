package looplag

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReports guards against a loop that is behind without a report, or with one at each tick, and
// against one that is not said to keep up again.
func TestReports(t *testing.T) {
	for _, tc := range []struct {
		name   string
		record func(me *Meter)
		want   bool
	}{
		{"events wait", func(me *Meter) { me.RecordEvent(eventsBehindAfter) }, true},
		{"changes wait", func(me *Meter) { me.RecordChange(changesBehindAfter) }, true},
		{"neither waits for long", func(me *Meter) { me.RecordEvent(eventsBehindAfter - 1); me.RecordChange(changesBehindAfter - 1) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var me Meter
			start := time.Unix(1_000_000, 0)
			me.Tick(start)
			var states []State
			for tick := 1; tick <= 40; tick++ {
				if tick <= 20 {
					tc.record(&me)
				}
				_, re := me.Tick(start.Add(time.Duration(tick) * logInterval / 10))
				if re.State == Unchanged {
					continue
				}
				states = append(states, re.State)
				qt.Check(t, re.Over, qt.Equals, logInterval)
				if re.State == CaughtUp {
					qt.Check(t, re.BehindFor, qt.Equals, 2*logInterval)
				}
			}
			if !tc.want {
				qt.Check(t, states, qt.HasLen, 0)
				return
			}
			qt.Check(t, states, qt.DeepEquals, []State{Behind, Behind, CaughtUp})
		})
	}
}

// TestWorkload guards against work that is counted twice or lost between a tick and a report.
func TestWorkload(t *testing.T) {
	var me Meter
	start := time.Unix(1_000_000, 0)
	me.Tick(start)
	var sum Workload
	for tick := 1; tick <= 10; tick++ {
		me.RecordEvent(time.Duration(tick) * time.Millisecond)
		me.RecordRound()
		me.RecordRated(3)
		me.RecordVisits(5)
		me.RecordWrite(2, 30*time.Millisecond, 4*time.Millisecond)
		me.RecordChange(200 * time.Millisecond)
		one := Workload{EventWait: time.Duration(tick) * time.Millisecond, ChangeWait: 200 * time.Millisecond, Events: 1, Rounds: 1, Rated: 3, Visits: 5, Writes: 1, Written: 2, WriteTime: 30 * time.Millisecond, StartDelay: 4 * time.Millisecond}
		qt.Check(t, me.Current(), qt.Equals, one)
		wl, re := me.Tick(start.Add(time.Duration(tick) * logInterval / 10))
		qt.Check(t, wl, qt.Equals, one)
		sum = re.Workload
	}
	qt.Check(t, sum, qt.Equals, Workload{EventWait: 10 * time.Millisecond, ChangeWait: 200 * time.Millisecond, Events: 10, Rounds: 10, Rated: 30, Visits: 50, Writes: 10, Written: 20, WriteTime: 30 * time.Millisecond, StartDelay: 4 * time.Millisecond})
}

// TestTimesAddUp guards against time of the loop that no part of its work accounts for.
func TestTimesAddUp(t *testing.T) {
	var me Meter
	now := time.Unix(1_000_000, 0)
	me.Tick(now)
	var want Times
	me.Begin(Idle, now)
	for i, pa := range []Part{Polls, Idle, Placement, Polls, Encoding, Idle, Ticks} {
		took := time.Duration(i+1) * 10 * time.Millisecond
		now = now.Add(took)
		want[[]Part{Idle, Polls, Idle, Placement, Polls, Encoding, Idle}[i]] += took
		me.Begin(pa, now)
	}
	wl, _ := me.Tick(now)
	qt.Check(t, wl.Times, qt.Equals, want)
	qt.Check(t, wl.Times.String(), qt.Equals, "idle:110 polls:70 placement:40 encoding:60")
	qt.Check(t, wl.Times.Busy() > 0.6 && wl.Times.Busy() < 0.61, qt.IsTrue, qt.Commentf("%v", wl.Times.Busy()))
	qt.Check(t, Times{}.Busy(), qt.Equals, 0.0)
}
