package dev

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/claim"
	"github.com/pepperhatch/pepperhatch/internal/standin"
)

func TestRun(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	violated, err := Run(context.Background(), Settings{Duration: 3 * time.Second, Rate: 100, Out: &out, Log: slog.New(slog.DiscardHandler)})
	c.Assert(err, qt.IsNil)
	c.Assert(violated, qt.IsFalse, qt.Commentf("%s", out.String()))
	c.Assert(out.String(), qt.Contains, "no violated guarantee was found")
	c.Assert(out.String(), qt.Matches, `(?s).*jobs with steps: [1-9]\d* accepted, .*, 0 tasks run twice.*`)
}

// TestDuplicateRuns guards the check itself: a run-once request that ran twice is
// reported; any other request may run twice, because it may be hedged.
func TestDuplicateRuns(t *testing.T) {
	c := qt.New(t)
	de := &deployment{}
	runOnce, notRunOnce := claim.NewID("burnaby-hall"), claim.NewID("")
	for range 2 {
		ru := standin.NewRunner(standin.RunnerSettings{ID: "r"})
		de.runners = append(de.runners, ru)
		ru.RecordRun(notRunOnce)
	}
	c.Assert(de.duplicateRuns(), qt.HasLen, 0)
	de.runners[0].RecordRun(runOnce)
	de.runners[1].RecordRun(runOnce)
	c.Assert(de.duplicateRuns(), qt.HasLen, 1)
}
