package job

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

const testID = "0123456789abcdef"

// chain returns a spec of steps that each wait for the one before, with the given number
// of tasks each.
func chain(steps, tasks int) Spec {
	var sp Spec
	for i := range steps {
		st := Step{Tasks: tasks, Each: worker.Resources{MilliCores: 100}}
		if i > 0 {
			st.After = []int{i - 1}
		}
		sp.Steps = append(sp.Steps, st)
	}
	return sp
}

// reread returns the job as it is read back from its rows.
func reread(t *testing.T, jo *Job) *Job {
	t.Helper()
	spec, err := json.Marshal(jo.SpecRow())
	qt.Assert(t, err, qt.IsNil)
	progress, err := json.Marshal(jo.NextRow(1))
	qt.Assert(t, err, qt.IsNil)
	again, err := Restore(jo.ID, spec, progress)
	qt.Assert(t, err, qt.IsNil)
	return again
}

func TestJobLifecycle(t *testing.T) {
	jo := New(testID, Terms{MaxFailures: 2}, chain(2, 1))
	first, second := TaskRef{0, 0}, TaskRef{1, 0}
	qt.Assert(t, jo.State(), qt.Equals, Queued)
	qt.Assert(t, jo.Start(second, worker.Incarnation{ID: "w"}), qt.Equals, 0)
	qt.Assert(t, jo.Start(first, worker.Incarnation{ID: "w"}), qt.Equals, 1)
	qt.Assert(t, jo.Start(first, worker.Incarnation{ID: "w"}), qt.Equals, 0)
	qt.Assert(t, jo.State(), qt.Equals, Running)
	qt.Assert(t, jo.End(first, 1, EndFailed, "c1"), qt.IsTrue)
	qt.Assert(t, jo.Task(first).Checkpoint, qt.Equals, "c1")
	qt.Assert(t, jo.Start(first, worker.Incarnation{ID: "w"}), qt.Equals, 2)
	qt.Assert(t, jo.End(first, 1, EndDone, ""), qt.IsFalse)
	qt.Assert(t, jo.End(first, 2, EndDone, ""), qt.IsTrue)
	qt.Assert(t, jo.Start(second, worker.Incarnation{ID: "w"}), qt.Equals, 1)
	qt.Assert(t, jo.End(second, 1, EndDone, ""), qt.IsTrue)
	qt.Assert(t, jo.State(), qt.Equals, Succeeded)
	qt.Assert(t, reread(t, jo).State(), qt.Equals, Succeeded)
}

func TestJobFailsAfterMaxFailures(t *testing.T) {
	jo := New(testID, Terms{MaxFailures: 2}, chain(1, 2))
	ref := TaskRef{0, 0}
	for attempt := 1; attempt <= 2; attempt++ {
		qt.Assert(t, jo.Start(ref, worker.Incarnation{ID: "w"}), qt.Equals, attempt)
		qt.Assert(t, jo.End(ref, attempt, EndFailed, ""), qt.IsTrue)
	}
	qt.Assert(t, jo.State(), qt.Equals, Failed)
	qt.Assert(t, jo.Start(TaskRef{0, 1}, worker.Incarnation{ID: "w"}), qt.Equals, 0)
	qt.Assert(t, reread(t, jo).State(), qt.Equals, Failed)
}

func TestLongRunningTasksAreRestarted(t *testing.T) {
	sp := chain(1, 1)
	sp.Steps[0].LongRunning = true
	jo := New(testID, Terms{MaxFailures: 1}, sp)
	ref := TaskRef{0, 0}
	for attempt, end := range []End{EndFailed, EndDone, EndLapsed, EndStopped, EndNeverRan, EndCrashed, EndPresumedCrash, EndLost} {
		qt.Assert(t, jo.Start(ref, worker.Incarnation{ID: "w"}), qt.Equals, attempt+1)
		qt.Assert(t, jo.End(ref, attempt+1, end, ""), qt.IsTrue)
		qt.Assert(t, jo.State(), qt.Equals, Running)
	}
}

func TestTaskIDs(t *testing.T) {
	jo := New(testID, Terms{}, chain(2, 3))
	id, ref, ok := ParseTaskID(jo.TaskID(TaskRef{1, 2}))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, id, qt.Equals, testID)
	qt.Assert(t, ref, qt.Equals, TaskRef{1, 2})
	for _, bad := range []string{"", "x", testID, testID + ".0.1", testID + ".0.1.", testID + ".0..1", testID + ".0.1.2.3", testID + ".00.1.2", strings.ToUpper(testID) + ".0.1.2", testID[1:] + "g.0.1.2", testID + ".1.0.0", testID + ".0.a.0", "xyz.0.0.0"} {
		_, _, ok := ParseTaskID(bad)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%q", bad))
	}
}

const oneTask = `{"spec":{"steps":[{"tasks":1,"each":{}}]}}`

func TestRestoreRejectsInvalidRows(t *testing.T) {
	for _, tc := range [][2]string{{"", "{}"}, {"{}", ""}, {`{"spec":{"steps":[{"tasks":1,"each":{}}]}}`, `{"tasks":[[],[]]}`},
		{oneTask, `{"steps":[{"s":"w"},{"s":"w"}]}`}, {oneTask, `{"steps":[{"s":"ww"}]}`}, {oneTask, `{"steps":[{"s":""}]}`}, {oneTask, `{"steps":[{"s":"x"}]}`},
		{oneTask, `{"steps":[{"s":"s","w":["a"]}]}`}, {oneTask, `{"steps":[{"s":"s","w":["a"],"o":[1]}]}`}, {oneTask, `{"state":"running"}`},
		{oneTask, `{"steps":[{"s":"s","w":["a"],"o":[0],"p":"x"}]}`}, {oneTask, `{"steps":[{"s":"s","w":["a"],"o":[0],"p":"11"}]}`},
		{oneTask, `{"steps":[{"s":"s","w":["a"],"o":[0],"k":"11"}]}`}, {oneTask, `{"steps":[{"s":"w","u":{"1":{"w":"a","m":5}}}]}`},
		{oneTask, `{"steps":[{"s":"s","w":["a"],"o":[0],"h":["","10.0.0.1:80"]}]}`},
		{oneTask, `{"steps":[{"s":"w","w":["a"],"e":{"0":{"n":1}}}]}`}, {oneTask, `{"steps":[{"s":"d","w":["a"],"e":{"0":{"n":1,"o":1}}}]}`},
		{oneTask, `{"steps":[{"s":"d","w":["a"],"e":{"0":{"n":1,"p":3}}}]}`}, {oneTask, `{"steps":[{"s":"d","w":["a"],"e":{"0":{"o":0}}}]}`}} {
		_, err := Restore(testID, []byte(tc[0]), []byte(tc[1]))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", tc[1]))
	}
}

// TestStepRowRoundTrip checks that the rows of random tasks read back as they were.
func TestStepRowRoundTrip(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 300}, func(rt *rapid.T) {
		tasks := rapid.SliceOfN(rapid.Custom(drawTask), 1, 40).Draw(rt, "tasks")
		data, err := json.Marshal(newStepRow(tasks))
		qt.Assert(t, err, qt.IsNil)
		var sr StepRow
		qt.Assert(t, json.Unmarshal(data, &sr), qt.IsNil)
		again, err := sr.tasks(len(tasks))
		qt.Assert(t, err, qt.IsNil)
		for i := range tasks {
			want := asStored(tasks[i])
			qt.Assert(t, again[i], qt.DeepEquals, want)
		}
	})
}

// asStored is what the row holds of a task: of one that is done only the state, the worker
// only of a started one, and of a started one's checkpoints only the base.
func asStored(ta Task) Task {
	switch ta.State {
	case Done:
		return Task{State: Done, Attempt: 1, Other: ta.Other}
	case Started:
		ta.Checkpoint = ta.Base
	default:
		ta.Worker, ta.Base, ta.Phase, ta.EarlierDone, ta.Acknowledged = worker.Incarnation{}, "", PhaseStarting, false, false
	}
	return ta
}

func drawTask(rt *rapid.T) Task {
	ta := Task{
		State: TaskState(rapid.IntRange(0, len(stateChars)-1).Draw(rt, "state")), Attempt: rapid.IntRange(0, 3).Draw(rt, "attempt"),
		Failures: rapid.IntRange(0, 2).Draw(rt, "failures"), Worker: rapid.SampledFrom([]worker.Incarnation{{ID: "i-1"}, {ID: "i-1", StartedMS: 7}, {ID: "i-3", StartedMS: 1787123510000}}).Draw(rt, "worker"),
		Checkpoint: rapid.SampledFrom([]string{"", "c1"}).Draw(rt, "checkpoint"),
		Base:       rapid.SampledFrom([]string{"", "c0"}).Draw(rt, "base"),
		Crashes:    rapid.IntRange(0, 2).Draw(rt, "crashes"), PresumedCrashes: rapid.IntRange(0, 2).Draw(rt, "presumed"), Losses: rapid.IntRange(0, 3).Draw(rt, "losses"),
		GivenUp:     rapid.SampledFrom([][]int{nil, {1}, {2, 5}}).Draw(rt, "given up"),
		EarlierDone: rapid.Bool().Draw(rt, "done before"), Acknowledged: rapid.Bool().Draw(rt, "acknowledged"),
	}
	if (ta.State == Started || ta.State == Done) && rapid.Bool().Draw(rt, "two attempts") {
		ta.Other = Attempt{Number: 7, Worker: worker.Incarnation{ID: "i-7"}, Phase: Phase(rapid.IntRange(0, 2).Draw(rt, "phase"))}
		ta.LastEnded = ta.State == Started && rapid.Bool().Draw(rt, "last ended")
	}
	return ta
}

// assertStart starts a task if it may start, and checks the attempt's number.
func assertStart(rt *rapid.T, jo *Job, ref TaskRef) {
	before := *jo.Task(ref)
	if number := jo.Start(ref, worker.Incarnation{ID: "w"}); number > 0 && (before.State != Waiting || number != before.Attempt+1) {
		rt.Fatalf("attempt %d of a task in state %v", number, before)
	}
}

// assertLateCompletion reports the first attempt as done, and checks the state of the
// task.
func assertLateCompletion(rt *rapid.T, jo *Job, ref TaskRef) {
	if ta := jo.Task(ref); jo.RecordLateCompletion(ref, 1) && ta.State != Done && !ta.EarlierDone {
		rt.Fatalf("attempt 1 was done, and the task is %v", *ta)
	}
}

// TestRandomJobLifecycle draws random starts and ends, reads the job back at random
// moments, and checks that a final state never changes.
func TestRandomJobLifecycle(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 200}, func(rt *rapid.T) {
		sp := chain(rapid.IntRange(1, 4).Draw(rt, "steps"), rapid.IntRange(1, 3).Draw(rt, "tasks"))
		jo := New(testID, Terms{MaxFailures: 2}, sp)
		var last State
		for range rapid.IntRange(1, 80).Draw(rt, "actions") {
			ref := TaskRef{rapid.IntRange(0, len(sp.Steps)-1).Draw(rt, "step"), rapid.IntRange(0, sp.Steps[0].Tasks-1).Draw(rt, "index")}
			assertStart(rt, jo, ref)
			end := rapid.SampledFrom([]End{EndDone, EndFailed, EndStopped, EndLapsed, EndNeverRan, EndCrashed, EndPresumedCrash, EndLost}).Draw(rt, "end")
			if rapid.Bool().Draw(rt, "ends") {
				jo.End(ref, jo.Task(ref).Attempt, end, fmt.Sprint(ref))
			}
			if rapid.Bool().Draw(rt, "was done") {
				assertLateCompletion(rt, jo, ref)
			}
			if rapid.Bool().Draw(rt, "reread") && !jo.State().Final() {
				jo = reread(t, jo)
			}
			if last.Final() && jo.State() != last {
				rt.Fatalf("state %s after %s", jo.State(), last)
			}
			last = jo.State()
		}
	})
}
