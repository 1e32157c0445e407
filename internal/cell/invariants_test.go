package cell

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

// TestNoTaskRunsTwice subjects a cell to random faults and commands:
// unreachable workers, delayed and lost messages, restarts, new owners beside
// former ones, a table that is down or loses replies, drains and cancellations.
// By the workers' logs, no task may run on two workers at a time, no worker may
// be overcommitted, and every attempt must start from a checkpoint.
func TestNoTaskRunsTwice(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 300}, func(rt *rapid.T) {
		var violations []string
		proptest.InBubble(t, func() {
			tc := newTestCell(4)
			defer tc.stop()
			tc.startOwner(false)
			time.Sleep(2 * time.Second)
			rt.Repeat(tc.actions())
			violations = tc.violations()
		})
		if len(violations) > 0 {
			rt.Fatal(violations)
		}
	})
}

// actions returns the actions that rapid picks from. "time" is listed three times,
// so that time passes more often.
func (tc *testCell) actions() map[string]func(*rapid.T) {
	pickWorker := func(rt *rapid.T) string {
		return fmt.Sprintf("w%d", rapid.IntRange(0, len(tc.workers)-1).Draw(rt, "worker"))
	}
	last := func() *testOwner { return tc.owners[len(tc.owners)-1] }
	n := 0
	command := func(cmd Command) {
		n++
		_, _ = last().confirm(fmt.Sprintf("p%d", n), cmd)
	}
	advance := func(rt *rapid.T) {
		time.Sleep(time.Duration(rapid.IntRange(0, 15_000).Draw(rt, "ms")) * time.Millisecond)
	}
	return map[string]func(*rapid.T){
		"time": advance, "time 2": advance, "time 3": advance,
		"job": func(rt *rapid.T) {
			run := time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds")) * time.Second
			command(batchJob(fmt.Sprintf("j%d", n), rapid.IntRange(1, 8).Draw(rt, "tasks"), run))
		},
		"service": func(rt *rapid.T) { command(service(fmt.Sprintf("s%d", n), rapid.IntRange(1, 3).Draw(rt, "tasks"))) },
		"cancel":  func(rt *rapid.T) { command(Command{Cancel: fmt.Sprintf("j%d", rapid.IntRange(0, n).Draw(rt, "job"))}) },
		"resize": func(rt *rapid.T) {
			job := fmt.Sprintf("s%d", rapid.IntRange(0, n).Draw(rt, "job"))
			command(Command{Resize: &Resize{Name: job, Tasks: rapid.IntRange(1, 4).Draw(rt, "tasks")}})
		},
		"drain": func(rt *rapid.T) {
			command(Command{Drain: &Drain{Rack: fmt.Sprintf("r%d", rapid.IntRange(0, 1).Draw(rt, "rack")), Undo: rapid.Bool().Draw(rt, "undo")}})
		},
		"cut messages":    func(rt *rapid.T) { tc.set(pickWorker(rt), func(tw *testWorker) { tw.unreachable = !tw.unreachable }) },
		"discard replies": func(rt *rapid.T) { tc.set(pickWorker(rt), func(tw *testWorker) { tw.repliesLost = !tw.repliesLost }) },
		"restart":         func(rt *rapid.T) { tc.restart(tc.workers[pickWorker(rt)]) },
		"late messages": func(rt *rapid.T) {
			delay := time.Duration(rapid.SampledFrom([]int{0, 0, 500, 5000, 60_000}).Draw(rt, "delay")) * time.Millisecond
			tc.set(pickWorker(rt), func(tw *testWorker) { tw.delay = delay })
		},
		"owner": func(rt *rapid.T) { tc.startOwner(rapid.Bool().Draw(rt, "keep former owner")) },
		"table": func(rt *rapid.T) {
			mode := rapid.SampledFrom([]standin.Mode{standin.ModeOK, standin.ModeOK, standin.ModeDown, standin.ModeLost, standin.ModeSlow}).Draw(rt, "mode")
			delay := rapid.SampledFrom([]int64{150, 5000}).Draw(rt, "table delay")
			tc.table.Faults.Set(standin.Fault{Mode: mode, DelayMS: delay})
		},
	}
}
