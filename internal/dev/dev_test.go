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
	broken, err := Run(context.Background(), Settings{Duration: 3 * time.Second, Rate: 100, Out: &out, Log: slog.New(slog.DiscardHandler)})
	c.Assert(err, qt.IsNil)
	c.Assert(broken, qt.IsFalse, qt.Commentf("%s", out.String()))
	c.Assert(out.String(), qt.Contains, "no promise was seen broken")
	c.Assert(out.String(), qt.Matches, `(?s).*jobs with steps: [1-9]\d* accepted, .*, 0 tasks run twice.*`)
}

// TestRunTwice makes sure that a run-once request that ran twice is seen, and
// that another one that did is not taken for a fault: it may be hedged.
func TestRunTwice(t *testing.T) {
	c := qt.New(t)
	wo := &world{}
	once, plain := claim.NewID("burnaby-hall"), claim.NewID("")
	for range 2 {
		ru := standin.NewRunner(standin.RunnerSettings{ID: "r"})
		wo.runners = append(wo.runners, ru)
		ru.Note(plain)
	}
	c.Assert(wo.runTwice(), qt.HasLen, 0)
	wo.runners[0].Note(once)
	wo.runners[1].Note(once)
	c.Assert(wo.runTwice(), qt.HasLen, 1)
}
