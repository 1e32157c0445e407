package worker

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestOnlyWholeListShowsAbsence(t *testing.T) {
	at := Attempt{Task: "a", Number: 1}
	for _, tc := range []struct {
		ends  int
		whole bool
	}{{0, true}, {MaxListedEnds - 1, true}, {MaxListedEnds, false}} {
		pr := PollResult{Ended: make([]EndedAttempt, tc.ends)}
		wl, ok := pr.Whole()
		qt.Check(t, ok, qt.Equals, tc.whole)
		qt.Check(t, wl.Absent(at), qt.Equals, tc.whole)
	}
	qt.Check(t, WholeList{}.Absent(at), qt.IsFalse)
}

func TestListedAttempts(t *testing.T) {
	runs, ended := Attempt{Task: "a", Number: 1}, Attempt{Task: "a", Number: 2}
	pr := PollResult{Running: []RunningAttempt{{Attempt: runs}}, Ended: []EndedAttempt{{Attempt: ended}}}
	wl, ok := pr.Whole()
	qt.Assert(t, ok, qt.IsTrue)
	for at, listed := range map[Attempt]bool{runs: true, ended: true, {Task: "a", Number: 3}: false} {
		qt.Check(t, pr.Lists(at), qt.Equals, listed)
		qt.Check(t, wl.Absent(at), qt.Equals, !listed)
	}
}
