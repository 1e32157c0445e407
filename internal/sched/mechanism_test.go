package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

func TestParseMechanisms(t *testing.T) {
	t.Run("every name, alone and together", func(t *testing.T) {
		var all Mechanism
		names := ""
		for _, entry := range Mechanisms {
			one, err := ParseMechanisms(entry.Name)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, one, qt.Equals, entry.Mechanism)
			qt.Assert(t, all&one, qt.Equals, Mechanism(0), qt.Commentf("%s shares a bit", entry.Name))
			all |= one
			names += "," + entry.Name
		}
		got, err := ParseMechanisms(names)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, all)
	})
	t.Run("none", func(t *testing.T) {
		got, err := ParseMechanisms("")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, Mechanism(0))
	})
	t.Run("an unknown name", func(t *testing.T) {
		_, err := ParseMechanisms("apart,luck")
		qt.Assert(t, err, qt.ErrorIs, ErrMechanism)
	})
}

// TestDisabledMechanism has a job that cannot finish in time, with MechFeasibleFirst
// enabled and disabled.
func TestDisabledMechanism(t *testing.T) {
	ow := ownerWithoutLoop(t)
	tj := addJob(ow, 1, job.Step{Tasks: 1, EstimateMS: 1000})
	tj.targetMS = 500
	qt.Assert(t, tj.evaluateFeasibility(time.Now()), qt.Equals, late)
	ow.Without = MechFeasibleFirst
	qt.Assert(t, tj.evaluateFeasibility(time.Now()), qt.Equals, inTime)
	qt.Assert(t, ow.enabled(MechMove), qt.IsTrue)
}
