package job

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// runAttempts starts the only task of a job and ends its attempt, once for each of the given
// ends. It reads the job back from its rows after each start and end, and returns it.
func runAttempts(t *testing.T, sp Spec, ends ...End) *Job {
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

func TestTaskIsGivenUpAfterCrashes(t *testing.T) {
	longRunning := chain(1, 1)
	longRunning.Steps[0].LongRunning = true
	for _, sp := range []Spec{chain(1, 1), longRunning} {
		for _, tc := range []struct {
			ends              []End
			want              State
			suspect, isolated bool
		}{
			{[]End{EndCrashed}, Running, true, false},
			{[]End{EndCrashed, EndCrashed}, Running, true, true},
			{[]End{EndCrashed, EndCrashed, EndCrashed}, Failed, false, false},
			{[]End{EndCrashed, EndStopped, EndLapsed, EndNeverRan, EndCrashed, EndCrashed}, Failed, false, false},
			{[]End{EndPresumedCrash, EndPresumedCrash}, Running, true, true},
			{[]End{EndPresumedCrash, EndPresumedCrash, EndCrashed, EndPresumedCrash}, Running, true, true},
			{[]End{EndPresumedCrash, EndCrashed, EndCrashed, EndPresumedCrash, EndCrashed}, Failed, false, false},
			{slices.Repeat([]End{EndPresumedCrash}, 5), Failed, false, false},
			{[]End{EndLost, EndPresumedCrash, EndLost, EndLost, EndPresumedCrash}, Failed, false, false},
			{[]End{EndLost}, Running, true, false},
			{[]End{EndLost, EndLost, EndLost, EndLost}, Running, true, true},
			{[]End{EndLost, EndLost, EndLost, EndCrashed, EndLost}, Running, true, true},
			{[]End{EndLost, EndCrashed, EndLost, EndLost, EndCrashed}, Failed, false, false},
			{slices.Repeat([]End{EndLost}, 9), Running, true, true},
			{slices.Repeat([]End{EndLost}, 10), Failed, false, false},
			{[]End{EndLapsed, EndLapsed, EndLapsed, EndLapsed, EndLapsed, EndLapsed}, Running, false, false},
			{[]End{EndStopped, EndNeverRan, EndStopped, EndNeverRan, EndStopped}, Running, false, false},
		} {
			jo := runAttempts(t, sp, tc.ends...)
			qt.Check(t, jo.State(), qt.Equals, tc.want, qt.Commentf("%v", tc.ends))
			if tc.want == Failed {
				// The rows of a job that is over hold no tasks.
				continue
			}
			qt.Check(t, jo.Task(TaskRef{}).Suspect(), qt.Equals, tc.suspect, qt.Commentf("%v", tc.ends))
			qt.Check(t, jo.Task(TaskRef{}).Isolated(), qt.Equals, tc.isolated, qt.Commentf("%v", tc.ends))
		}
	}
}

func TestStableTaskIsNotBlamed(t *testing.T) {
	jo := runAttempts(t, chain(1, 1), EndCrashed, EndPresumedCrash, EndCrashed)
	number := jo.Start(TaskRef{}, worker.Incarnation{ID: "w"})
	jo.MarkStable(TaskRef{}, number-1)
	qt.Assert(t, jo.Task(TaskRef{}).Isolated(), qt.IsTrue)
	jo.MarkStable(TaskRef{}, number)
	qt.Assert(t, jo.End(TaskRef{}, number, EndCrashed, ""), qt.IsTrue)
	jo = reread(t, jo)
	qt.Assert(t, jo.State(), qt.Equals, Running)
	qt.Assert(t, jo.Task(TaskRef{}).Isolated(), qt.IsFalse)
}

// TestFailureOfAnAttemptThatWasGivenUp guards against a task that starts again after as
// many failures as its queue allows. A worker does not answer until its leases have
// expired, or is taken for dead; the attempt is given up and the next one starts. Then the
// worker answers and reports the first attempt as failed. That failure must be counted,
// not only a late completion.
func TestFailureOfAnAttemptThatWasGivenUp(t *testing.T) {
	ref := TaskRef{}
	t.Run("counts once, also after a takeover", func(t *testing.T) {
		jo := runAttempts(t, chain(1, 1), EndLapsed)
		qt.Assert(t, jo.RecordLateFailure(ref, 1), qt.IsTrue)
		jo = reread(t, jo)
		qt.Assert(t, jo.RecordLateFailure(ref, 1), qt.IsFalse)
		qt.Assert(t, jo.Task(ref).Failures, qt.Equals, 1)
		qt.Assert(t, jo.State(), qt.Equals, Running)
	})
	t.Run("ends a waiting task", func(t *testing.T) {
		jo := runAttempts(t, chain(1, 1), EndFailed, EndLost)
		qt.Assert(t, jo.RecordLateFailure(ref, 2), qt.IsTrue)
		qt.Assert(t, jo.State(), qt.Equals, Failed)
	})
	t.Run("lets the running attempt complete the task", func(t *testing.T) {
		for _, end := range []End{EndDone, EndStopped, EndLapsed, EndNeverRan} {
			jo := runAttempts(t, chain(1, 1), EndFailed, EndLapsed)
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
	t.Run("is ignored for an attempt that was not given up", func(t *testing.T) {
		jo := runAttempts(t, chain(1, 1), EndFailed)
		qt.Assert(t, jo.RecordLateFailure(ref, 1), qt.IsFalse)
		qt.Assert(t, jo.RecordLateFailure(ref, 2), qt.IsFalse)
		qt.Assert(t, jo.Task(ref).Failures, qt.Equals, 1)
	})
}

// randomTask is a task that starts and ends at random, with the counts that are expected
// of it.
type randomTask struct {
	rt *rapid.T
	jo *Job
	// crashes and presumed count certain and presumed crashes since an attempt was stable,
	// givenUp has the attempts that were given up.
	crashes, presumed, failures int
	givenUp                     []int
}

// runOnce starts and ends one attempt. It returns false if the task does not start.
func (tr *randomTask) runOnce(t *testing.T) bool {
	t.Helper()
	number := tr.jo.Start(TaskRef{}, worker.Incarnation{ID: "w"})
	if number == 0 {
		return false
	}
	if tr.crashes >= 3 || tr.crashes+tr.presumed >= 5 || tr.failures >= 2 {
		tr.rt.Fatalf("attempt %d after %d crashes, %d presumed ones and %d failures", number, tr.crashes, tr.presumed, tr.failures)
	}
	if rapid.IntRange(0, 3).Draw(tr.rt, "stable") == 0 {
		tr.jo.MarkStable(TaskRef{}, number)
		tr.crashes, tr.presumed = 0, 0
	}
	end := rapid.SampledFrom([]End{EndFailed, EndStopped, EndLapsed, EndNeverRan, EndCrashed, EndPresumedCrash, EndLost}).Draw(tr.rt, "end")
	tr.jo.End(TaskRef{}, number, end, "")
	switch end {
	case EndCrashed:
		tr.crashes++
	case EndFailed:
		tr.failures++
	case EndPresumedCrash:
		tr.presumed++
		tr.givenUp = append(tr.givenUp, number)
	case EndLapsed, EndLost:
		tr.givenUp = append(tr.givenUp, number)
	}
	tr.reportLateFailure()
	if rapid.Bool().Draw(tr.rt, "reread") && !tr.jo.State().Final() {
		tr.jo = reread(t, tr.jo)
	}
	return true
}

// reportLateFailure reports the failure of an attempt that was given up, for the first
// time or again.
func (tr *randomTask) reportLateFailure() {
	if len(tr.givenUp) == 0 || !rapid.Bool().Draw(tr.rt, "reported late") {
		return
	}
	at := rapid.IntRange(max(0, len(tr.givenUp)-maxGivenUp), len(tr.givenUp)-1).Draw(tr.rt, "which")
	if tr.jo.RecordLateFailure(TaskRef{}, tr.givenUp[at]) {
		tr.failures++
	}
}

// TestStartsAreBounded draws random ends and checks that no task starts after three
// certain crashes without a stable attempt between them, nor after five crashes of which
// some are presumed, nor after it failed as often as its queue allows, whether the failures
// were reported late or in time.
func TestStartsAreBounded(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 300}, func(rt *rapid.T) {
		tr := &randomTask{rt: rt, jo: New(testID, Terms{MaxFailures: 2}, chain(1, 1))}
		for range rapid.IntRange(1, 40).Draw(rt, "attempts") {
			if !tr.runOnce(t) {
				return
			}
		}
	})
}
