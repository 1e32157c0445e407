package job

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// play has the only task of a job begin and end in the given ways, the job read anew after
// each, and returns how it then is.
func play(t *testing.T, sp Spec, ends ...End) *Job {
	t.Helper()
	jo := New(testID, Terms{MaxFailures: 2}, sp)
	for _, end := range ends {
		number := jo.Start(TaskRef{}, worker.Incarnation{ID: "w"})
		qt.Assert(t, number > 0, qt.IsTrue, qt.Commentf("%s", end))
		jo = reread(t, jo)
		qt.Assert(t, jo.End(TaskRef{}, number, end, ""), qt.IsTrue)
		jo = reread(t, jo)
	}
	return jo
}

func TestTaskIsGivenUpForCrashes(t *testing.T) {
	endless := chain(1, 1)
	endless.Steps[0].Endless = true
	for _, sp := range []Spec{chain(1, 1), endless} {
		for _, tc := range []struct {
			ends         []End
			want         State
			apart, alone bool
		}{
			{[]End{EndCrashed}, Running, true, false},
			{[]End{EndCrashed, EndCrashed}, Running, true, true},
			{[]End{EndCrashed, EndCrashed, EndCrashed}, Failed, false, false},
			{[]End{EndCrashed, EndStopped, EndLapsed, EndNeverRan, EndCrashed, EndCrashed}, Failed, false, false},
			{[]End{EndLost}, Running, true, false},
			{[]End{EndLost, EndLost, EndLost, EndLost}, Running, true, true},
			{[]End{EndLost, EndLost, EndLost, EndCrashed, EndLost}, Running, true, true},
			{[]End{EndLost, EndCrashed, EndLost, EndLost, EndCrashed}, Failed, false, false},
			{slices.Repeat([]End{EndLost}, 9), Running, true, true},
			{slices.Repeat([]End{EndLost}, 10), Failed, false, false},
			{[]End{EndLapsed, EndLapsed, EndLapsed, EndLapsed, EndLapsed, EndLapsed}, Running, false, false},
			{[]End{EndStopped, EndNeverRan, EndStopped, EndNeverRan, EndStopped}, Running, false, false},
		} {
			jo := play(t, sp, tc.ends...)
			qt.Check(t, jo.State(), qt.Equals, tc.want, qt.Commentf("%v", tc.ends))
			if tc.want == Failed {
				// Nothing is kept of the tasks of a job that is over.
				continue
			}
			qt.Check(t, jo.Task(TaskRef{}).Suspect(), qt.Equals, tc.apart, qt.Commentf("%v", tc.ends))
			qt.Check(t, jo.Task(TaskRef{}).Isolated(), qt.Equals, tc.alone, qt.Commentf("%v", tc.ends))
		}
	}
}

func TestTaskThatLastsIsNotBlamed(t *testing.T) {
	jo := play(t, chain(1, 1), EndCrashed, EndCrashed)
	number := jo.Start(TaskRef{}, worker.Incarnation{ID: "w"})
	jo.MarkStable(TaskRef{}, number-1)
	qt.Assert(t, jo.Task(TaskRef{}).Isolated(), qt.IsTrue)
	jo.MarkStable(TaskRef{}, number)
	qt.Assert(t, jo.End(TaskRef{}, number, EndCrashed, ""), qt.IsTrue)
	jo = reread(t, jo)
	qt.Assert(t, jo.State(), qt.Equals, Running)
	qt.Assert(t, jo.Task(TaskRef{}).Isolated(), qt.IsFalse)
}

// TestFailureOfAnAttemptThatWasGivenUp is the story of a task that fails more often than
// its queue allows.
//
// Users saw tasks start again after as many failures as the queue allows. Order of events:
// a worker is silent until its leases have lapsed, or is taken for dead; the attempt is
// given up and the next one begins; the worker answers again and lists the first as
// failed. Cause: only a late end as done was taken in. Evidence: the end is listed, and
// the count of failures in the row stays as it was.
func TestFailureOfAnAttemptThatWasGivenUp(t *testing.T) {
	ref := TaskRef{}
	t.Run("counts once, over a takeover", func(t *testing.T) {
		jo := play(t, chain(1, 1), EndLapsed)
		qt.Assert(t, jo.RecordLateFailure(ref, 1), qt.IsTrue)
		jo = reread(t, jo)
		qt.Assert(t, jo.RecordLateFailure(ref, 1), qt.IsFalse)
		qt.Assert(t, jo.Task(ref).Failures, qt.Equals, 1)
		qt.Assert(t, jo.State(), qt.Equals, Running)
	})
	t.Run("ends a task that waits", func(t *testing.T) {
		jo := play(t, chain(1, 1), EndFailed, EndLost)
		qt.Assert(t, jo.RecordLateFailure(ref, 2), qt.IsTrue)
		qt.Assert(t, jo.State(), qt.Equals, Failed)
	})
	t.Run("lets the attempt under way be done", func(t *testing.T) {
		for _, end := range []End{EndDone, EndStopped, EndLapsed, EndNeverRan} {
			jo := play(t, chain(1, 1), EndFailed, EndLapsed)
			number := jo.Start(ref, worker.Incarnation{ID: "w"})
			qt.Assert(t, jo.RecordLateFailure(ref, 2), qt.IsTrue)
			qt.Assert(t, jo.State(), qt.Equals, Running)
			qt.Assert(t, jo.End(ref, number, end, ""), qt.IsTrue)
			want := Failed
			if end == EndDone {
				want = Succeeded
			}
			qt.Assert(t, jo.State(), qt.Equals, want, qt.Commentf("%s", end))
		}
	})
	t.Run("of an attempt that was not given up", func(t *testing.T) {
		jo := play(t, chain(1, 1), EndFailed)
		qt.Assert(t, jo.RecordLateFailure(ref, 1), qt.IsFalse)
		qt.Assert(t, jo.RecordLateFailure(ref, 2), qt.IsFalse)
		qt.Assert(t, jo.Task(ref).Failures, qt.Equals, 1)
	})
}

// tries is a task that begins and ends at random, and what a model counts of it.
type tries struct {
	rt *rapid.T
	jo *Job
	// crashes are those since an attempt lasted, given the attempts that were given up.
	crashes, failures int
	given             []int
}

// once has the task begin and end once more, and reports false if it does not begin.
func (tr *tries) once(t *testing.T) bool {
	t.Helper()
	number := tr.jo.Start(TaskRef{}, worker.Incarnation{ID: "w"})
	if number == 0 {
		return false
	}
	if tr.crashes >= 3 || tr.failures >= 2 {
		tr.rt.Fatalf("attempt %d after %d crashes and %d failures", number, tr.crashes, tr.failures)
	}
	if rapid.IntRange(0, 3).Draw(tr.rt, "lasts") == 0 {
		tr.jo.MarkStable(TaskRef{}, number)
		tr.crashes = 0
	}
	end := rapid.SampledFrom([]End{EndFailed, EndStopped, EndLapsed, EndNeverRan, EndCrashed, EndLost}).Draw(tr.rt, "end")
	tr.jo.End(TaskRef{}, number, end, "")
	switch end {
	case EndCrashed:
		tr.crashes++
	case EndFailed:
		tr.failures++
	case EndLapsed, EndLost:
		tr.given = append(tr.given, number)
	}
	tr.tellLate()
	if rapid.Bool().Draw(tr.rt, "reread") && !tr.jo.State().Final() {
		tr.jo = reread(t, tr.jo)
	}
	return true
}

// tellLate has an attempt that was given up turn out to have failed, once or again.
func (tr *tries) tellLate() {
	if len(tr.given) == 0 || !rapid.Bool().Draw(tr.rt, "told late") {
		return
	}
	at := rapid.IntRange(max(0, len(tr.given)-givenUpMost), len(tr.given)-1).Draw(tr.rt, "which")
	if tr.jo.RecordLateFailure(TaskRef{}, tr.given[at]) {
		tr.failures++
	}
}

// TestStartsAreBounded plays random ends and checks that no task begins after three
// crashes without an attempt between them that lasted, nor after it failed as often as
// its queue allows, told late or not.
func TestStartsAreBounded(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 300}, func(rt *rapid.T) {
		tr := &tries{rt: rt, jo: New(testID, Terms{MaxFailures: 2}, chain(1, 1))}
		for range rapid.IntRange(1, 40).Draw(rt, "attempts") {
			if !tr.once(t) {
				return
			}
		}
	})
}
