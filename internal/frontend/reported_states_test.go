package frontend

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

func TestOnlyChangedStatesAreReported(t *testing.T) {
	var rs reportedStates
	for _, st := range []job.State{job.Queued, job.Running, job.Succeeded} {
		qt.Check(t, rs.changed("a", st), qt.IsTrue)
		qt.Check(t, rs.changed("a", st), qt.IsFalse)
	}
	for i := range 2 * maxReportedStates {
		rs.changed(strconv.Itoa(i), job.Running)
	}
	qt.Check(t, len(rs.states) <= maxReportedStates, qt.IsTrue)
}
