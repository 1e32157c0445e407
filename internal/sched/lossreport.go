package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// lostEnds are the ends of what a lost worker ran, for one line: those of its attempts are
// of a frequent kind, which is dropped in just such seconds.
type lostEnds struct {
	attempts, longRunning int
	verdicts              map[job.End]int
}

// add counts the end of an attempt of a step.
func (le *lostEnds) add(st *job.Step, end job.End) {
	if le.verdicts == nil {
		le.verdicts = map[job.End]int{}
	}
	le.attempts++
	le.verdicts[end]++
	if st.Endless {
		le.longRunning++
	}
}

// logLost tells of the ends of what a lost worker ran, and how long ago it was last heard of.
func (ow *Owner) logLost(incarnation worker.Incarnation, le lostEnds, why string, quiet time.Duration) {
	if le.attempts == 0 {
		return
	}
	ow.Log.Warn("attempts of a lost worker ended", "worker", incarnation, "attempts", le.attempts, "lasting", le.longRunning,
		"ends", formatCounts(le.verdicts), "why", why, "quiet", quiet, "opened", time.Since(ow.startedAt))
}
