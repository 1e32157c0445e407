package frontend

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

func TestOnlyChangedStatesAreReported(t *testing.T) {
	var ts reportedStates
	for _, st := range []job.State{job.Queued, job.Running, job.Succeeded} {
		qt.Check(t, ts.changed("a", st), qt.IsTrue)
		qt.Check(t, ts.changed("a", st), qt.IsFalse)
	}
	for i := range 2 * maxReportedStates {
		ts.changed(strconv.Itoa(i), job.Running)
	}
	qt.Check(t, len(ts.states) <= maxReportedStates, qt.IsTrue)
}
