package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// lostEnds counts the ends of the attempts on a lost worker for one log line, because
// the lines of single attempts may be dropped when many end at once.
type lostEnds struct {
	attempts, longRunning int
	ends                  map[job.End]int
}

// add counts the end of an attempt of a step.
func (le *lostEnds) add(st *job.Step, end job.End) {
	if le.ends == nil {
		le.ends = map[job.End]int{}
	}
	le.attempts++
	le.ends[end]++
	if st.LongRunning {
		le.longRunning++
	}
}

// logLost logs the ends of the attempts on a lost worker; quiet is the time since its last
// contact. Further arguments are added to the line.
func (ow *Owner) logLost(incarnation worker.Incarnation, le lostEnds, why string, quiet time.Duration, args ...any) {
	if le.attempts == 0 {
		return
	}
	ow.Log.Warn("attempts of a lost worker ended", append([]any{"worker", incarnation, "attempts", le.attempts, "lasting", le.longRunning,
		"ends", formatCounts(le.ends), "why", why, "quiet", quiet, "opened", time.Since(ow.startedAt)}, args...)...)
}
