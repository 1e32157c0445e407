package standin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

func TestRunAfterAcknowledgedEndIsViolation(t *testing.T) {
	at := time.Unix(100, 0)
	done := func(number int, from time.Duration) FleetRun {
		until := at.Add(from + time.Second)
		return FleetRun{
			Attempt: worker.Attempt{Task: "t", Number: number}, From: at.Add(from), Until: until, Outcome: "done", AckedInLease: true, AckedAt: until,
		}
	}
	qt.Check(t, RunViolations([]FleetRun{done(1, 0)}), qt.HasLen, 0)
	again := []FleetRun{done(1, 0), done(2, 3*time.Second)}
	qt.Check(t, RunViolations(again), qt.HasLen, 2)
	again[1].AckedInLease, again[1].AckedAt = false, time.Time{}
	qt.Check(t, RunViolations(again), qt.HasLen, 2)
}
