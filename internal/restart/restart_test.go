package restart

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// TestBackoffs guards against a backoff after a single failure, one that grows without a limit, and
// one that applies to another task or outlasts a reset.
func TestBackoffs(t *testing.T) {
	var bo Backoffs
	now, ref := time.Unix(1_000_000, 0), job.TaskRef{Index: 1}
	for i, want := range []time.Duration{0, initial, 2 * initial, 4 * initial, 8 * initial, 16 * initial, Max, Max} {
		bo.RecordFailure(ref, now)
		qt.Check(t, bo.Active(ref, now.Add(want-1)), qt.Equals, want > 0, qt.Commentf("failure %d", i))
		qt.Check(t, bo.Active(ref, now.Add(want)), qt.IsFalse, qt.Commentf("failure %d", i))
	}
	qt.Check(t, bo.Active(job.TaskRef{}, now), qt.IsFalse)
	bo.Reset(ref)
	qt.Check(t, bo.Active(ref, now), qt.IsFalse)
	bo.RecordFailure(ref, now)
	qt.Check(t, bo.Active(ref, now), qt.IsFalse)
}
