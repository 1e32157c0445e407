package frontend

import (
	"sync"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// maxReportedStates bounds the jobs whose last reported state is retained.
const maxReportedStates = 4096

// reportedStates holds the state that was last reported of each job. Callers poll each
// job four times a second, so only a changed state is logged above debug level. The zero
// value is ready for use.
type reportedStates struct {
	mu     sync.Mutex
	states map[string]job.State
}

// changed records the state reported of a job, and reports whether it differs from the
// last one.
func (rs *reportedStates) changed(id string, state job.State) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if known, ok := rs.states[id]; ok && known == state {
		return false
	}
	if rs.states == nil || len(rs.states) >= maxReportedStates {
		rs.states = map[string]job.State{}
	}
	rs.states[id] = state
	return true
}
