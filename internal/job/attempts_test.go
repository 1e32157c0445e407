package job

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// copied returns a job of one task that allows copies.
func copied(maxFailures int) *Job {
	sp := chain(1, 1)
	sp.Steps[0].Copies = true
	return New(testID, Terms{MaxFailures: maxFailures}, sp)
}

// withCopy returns such a job with attempt 1 running at a and attempt 2 at b, read back from
// its rows.
func withCopy(t *testing.T, maxFailures int) *Job {
	t.Helper()
	jo := copied(maxFailures)
	qt.Assert(t, jo.Start(TaskRef{}, worker.Incarnation{ID: "a"}), qt.Equals, 1)
	qt.Assert(t, jo.StartCopy(TaskRef{}, worker.Incarnation{ID: "b", StartedMS: 7}), qt.Equals, 2)
	return reread(t, jo)
}

// TestCopiesAreRefused guards against a copy that could exceed the failures of a task, run
// beside itself, or crash further workers.
func TestCopiesAreRefused(t *testing.T) {
	other := worker.Incarnation{ID: "b"}
	t.Run("where the step does not allow it", func(t *testing.T) {
		for _, change := range []func(*Step){func(st *Step) { st.Copies = false }, func(st *Step) { st.LongRunning = true }} {
			jo := copied(4)
			change(&jo.Spec.Steps[0])
			jo.Start(TaskRef{}, worker.Incarnation{ID: "a"})
			qt.Check(t, jo.StartCopy(TaskRef{}, other), qt.Equals, 0)
		}
	})
	t.Run("on the worker of the first", func(t *testing.T) {
		jo := copied(4)
		jo.Start(TaskRef{}, worker.Incarnation{ID: "b", StartedMS: 1})
		qt.Check(t, jo.StartCopy(TaskRef{}, other), qt.Equals, 0)
	})
	t.Run("beside two, none, or of a cancelled job", func(t *testing.T) {
		qt.Check(t, withCopy(t, 4).StartCopy(TaskRef{}, worker.Incarnation{ID: "c"}), qt.Equals, 0)
		jo := copied(4)
		qt.Check(t, jo.StartCopy(TaskRef{}, other), qt.Equals, 0)
		jo.Start(TaskRef{}, worker.Incarnation{ID: "a"})
		jo.Cancelled = true
		qt.Check(t, jo.StartCopy(TaskRef{}, other), qt.Equals, 0)
	})
	t.Run("if both may fail too often", func(t *testing.T) {
		for _, end := range []End{EndFailed, EndLapsed, EndCrashed} {
			jo := copied(2)
			jo.End(TaskRef{}, jo.Start(TaskRef{}, worker.Incarnation{ID: "a"}), end, "")
			jo.Start(TaskRef{}, worker.Incarnation{ID: "a"})
			qt.Check(t, jo.StartCopy(TaskRef{}, other), qt.Equals, 0, qt.Commentf("%s", end))
		}
	})
}

// formerStepRow has the fields of [StepRow] that versions of the program without copies know.
type formerStepRow struct {
	States   string               `json:"s"`
	Attempts map[int]int          `json:"a,omitempty"`
	GivenUp  map[int][]int        `json:"g,omitempty"`
	Workers  []worker.Incarnation `json:"w,omitempty"`
	On       []int                `json:"o,omitempty"`
	Phases   string               `json:"p,omitempty"`
}

// asFormer returns the job as an owner of a former version takes it over and writes it again.
func asFormer(t *testing.T, jo *Job) *Job {
	t.Helper()
	row := jo.NextRow(1)
	for i := range row.Steps {
		data, err := json.Marshal(row.Steps[i])
		qt.Assert(t, err, qt.IsNil)
		var former formerStepRow
		qt.Assert(t, json.Unmarshal(data, &former), qt.IsNil)
		row.Steps[i] = StepRow{States: former.States, Attempts: former.Attempts, GivenUp: former.GivenUp, Workers: former.Workers, On: former.On, Phases: former.Phases}
	}
	spec, err := json.Marshal(jo.SpecRow())
	qt.Assert(t, err, qt.IsNil)
	progress, err := json.Marshal(row)
	qt.Assert(t, err, qt.IsNil)
	again, err := Restore(jo.ID, spec, progress)
	qt.Assert(t, err, qt.IsNil)
	return again
}

// TestFormerVersionReadsRows guards against numbers that are used twice and failures that are
// not counted, once an owner of a former version has taken over with two attempts running.
func TestFormerVersionReadsRows(t *testing.T) {
	t.Run("the last attempt runs, the first one was given up", func(t *testing.T) {
		jo := asFormer(t, withCopy(t, 2))
		qt.Check(t, jo.Running(TaskRef{}), qt.DeepEquals, []Attempt{{Number: 2, Worker: worker.Incarnation{ID: "b", StartedMS: 7}}})
		qt.Check(t, jo.RecordLateFailure(TaskRef{}, 1), qt.IsTrue)
		qt.Check(t, jo.RecordLateFailure(TaskRef{}, 1), qt.IsFalse)
		qt.Check(t, jo.RecordLateCompletion(TaskRef{}, 1), qt.IsTrue)
		qt.Check(t, jo.End(TaskRef{}, 2, EndStopped, ""), qt.IsTrue)
		qt.Check(t, jo.State(), qt.Equals, Succeeded)
	})
	t.Run("the first one runs alone", func(t *testing.T) {
		jo := withCopy(t, 2)
		jo.End(TaskRef{}, 2, EndNeverRan, "")
		jo = asFormer(t, jo)
		// Its worker lists neither attempt 2 nor its end.
		qt.Check(t, jo.Running(TaskRef{})[0].Worker.ID, qt.Equals, "a")
		qt.Check(t, jo.End(TaskRef{}, 2, EndNeverRan, ""), qt.IsTrue)
		qt.Check(t, jo.Start(TaskRef{}, worker.Incarnation{ID: "c"}), qt.Equals, 3)
	})
	t.Run("a done task has no attempt", func(t *testing.T) {
		jo := withCopy(t, 2)
		jo.End(TaskRef{}, 2, EndDone, "")
		jo = asFormer(t, jo)
		qt.Check(t, jo.State(), qt.Equals, Succeeded)
		qt.Check(t, jo.Finished(), qt.IsTrue)
	})
}

// copiedTask is a task that starts, is copied and ends at random, with what is expected of it.
type copiedTask struct {
	rt *rapid.T
	jo *Job
	// running has the attempts that run, and last is the highest number.
	running        map[int]bool
	last, failures int
	done           bool
}

// start starts an attempt, or a copy, and checks whether it may.
func (ct *copiedTask) start() {
	begin := rapid.SampledFrom([]func(TaskRef, worker.Incarnation) int{ct.jo.Start, ct.jo.StartCopy}).Draw(ct.rt, "start")
	was := len(ct.running)
	number := begin(TaskRef{}, worker.Incarnation{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(ct.rt, "worker")})
	if number == 0 {
		return
	}
	if number != ct.last+1 || was > 1 || ct.done || ct.failures >= ct.jo.Terms.MaxFailures {
		ct.rt.Fatalf("attempt %d after %d, with %d running, done %v, %d failures", number, ct.last, was, ct.done, ct.failures)
	}
	ct.last, ct.running[number] = number, true
}

// end ends an attempt, whether it runs or not.
func (ct *copiedTask) end() {
	number := rapid.IntRange(1, ct.last+1).Draw(ct.rt, "attempt")
	end := rapid.SampledFrom([]End{EndDone, EndFailed, EndStopped, EndLapsed, EndNeverRan}).Draw(ct.rt, "end")
	if ended := ct.jo.End(TaskRef{}, number, end, ""); ended != ct.running[number] {
		ct.rt.Fatalf("end of attempt %d was new: %v; running %v", number, ended, ct.running)
	}
	if !ct.running[number] {
		return
	}
	delete(ct.running, number)
	if end == EndFailed && !ct.done {
		ct.failures++
	}
	ct.done = ct.done || end == EndDone
}

// check compares the job with what is expected, and reads it back from its rows.
func (ct *copiedTask) check(t *testing.T) {
	t.Helper()
	ta := ct.jo.Task(TaskRef{})
	for _, ra := range ta.Running() {
		if !ct.running[ra.Number] {
			ct.rt.Fatalf("attempt %d runs, want %v", ra.Number, ct.running)
		}
	}
	over := ct.done || (len(ct.running) == 0 && ct.failures >= ct.jo.Terms.MaxFailures)
	if len(ta.Running()) != len(ct.running) || ct.failures > ct.jo.Terms.MaxFailures || over != ct.jo.State().Final() || (!over && ta.Failures != ct.failures) {
		ct.rt.Fatalf("task %+v, want running %v, done %v, %d failures", *ta, ct.running, ct.done, ct.failures)
	}
	if ct.jo.Finished() != (over && len(ct.running) == 0) || (ta.State == Waiting) != (!over && len(ct.running) == 0) {
		ct.rt.Fatalf("task in state %v with %v running, finished %v", ta.State, ct.running, ct.jo.Finished())
	}
	if !ct.jo.Finished() && rapid.Bool().Draw(ct.rt, "reread") {
		ct.jo = reread(t, ct.jo)
	}
}

// TestRandomCopies draws random starts, copies and ends, and checks that at most two attempts
// run, that numbers rise, that each end counts once, that failures stay within their limit,
// and that the first success completes the task.
func TestRandomCopies(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 400}, func(rt *rapid.T) {
		ct := &copiedTask{rt: rt, jo: copied(rapid.IntRange(1, 4).Draw(rt, "failures")), running: map[int]bool{}}
		for range rapid.IntRange(1, 40).Draw(rt, "actions") {
			if rapid.Bool().Draw(rt, "starts") {
				ct.start()
			} else {
				ct.end()
			}
			ct.check(t)
		}
	})
}

// TestRowStatesLeasesOfRestartedWorkers guards against leases that the next owner does not await.
func TestRowStatesLeasesOfRestartedWorkers(t *testing.T) {
	jo := New("5", Terms{MaxFailures: 3}, Spec{Steps: []Step{{Tasks: 2}, {Tasks: 2}}})
	young, old := worker.Incarnation{ID: "i-1", StartedMS: 9}, worker.Incarnation{ID: "i-2", StartedMS: 3}
	for step := range 2 {
		jo.Start(TaskRef{Step: step, Index: 0}, old)
		jo.Start(TaskRef{Step: step, Index: 1}, young)
	}
	jo.RestartLeaseMS = map[worker.Incarnation]int64{young: 9300, {ID: "i-3"}: 1}
	spec, err := json.Marshal(jo.SpecRow())
	qt.Assert(t, err, qt.IsNil)
	row := jo.NextRow(1)
	progress, err := json.Marshal(row)
	qt.Assert(t, err, qt.IsNil)
	restored, err := Restore("5", spec, progress)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, restored.RestartLeaseMS, qt.DeepEquals, map[worker.Incarnation]int64{young: 9300})
	row.Steps[1].RestartMS = map[int]int64{2: 5}
	progress, err = json.Marshal(row)
	qt.Assert(t, err, qt.IsNil)
	_, err = Restore("5", spec, progress)
	qt.Check(t, err, qt.ErrorIs, errRowMismatch)
}
