package frontend

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/queue"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// TestJobOverRowLimitIsInvalid guards against a job that is under the limit of bodies and that the
// store can't take, neither as a row of the owner nor as one of the intake.
func TestJobOverRowLimitIsInvalid(t *testing.T) {
	fe := &FrontEnd{Log: slog.New(slog.DiscardHandler)}
	qu := queue.Queue{Name: "q", Service: "s"}
	sp := job.Spec{Steps: []job.Step{{Tasks: 1}}}
	rowSize := func() int {
		data, err := json.Marshal(sched.IntakeRow{Terms: qu.Terms(), Spec: sp})
		qt.Assert(t, err, qt.IsNil)
		return len(data)
	}
	sp.Steps[0].Rack = "r"
	sp.Steps[0].Rack += strings.Repeat("r", store.MaxRowBytes-rowSize())
	qt.Assert(t, rowSize(), qt.Equals, store.MaxRowBytes)
	qt.Check(t, fe.Check("00000000000000aa", qu, sp), qt.IsNil)
	sp.Steps[0].Rack += "r"
	qt.Check(t, fe.Check("00000000000000aa", qu, sp), qt.ErrorIs, job.ErrTooLarge)
}
