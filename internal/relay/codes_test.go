package relay

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestWorkerErrorsKeepIdentity checks that errors.Is holds for each worker error after it was
// sent over a stream.
func TestWorkerErrorsKeepIdentity(t *testing.T) {
	for _, known := range codes {
		t.Run(string(known.code), func(t *testing.T) {
			an := answer{}.withError(fmt.Errorf("launch: %w", known.err))
			err := an.asError("r0", worker.Incarnation{ID: "i-0"})
			qt.Check(t, errors.Is(err, known.err), qt.IsTrue)
			for _, mark := range []error{worker.ErrNotSent, worker.ErrConnectionLost} {
				qt.Check(t, errors.Is(err, mark), qt.Equals, errors.Is(known.err, mark))
			}
		})
	}
}

func TestOtherIncarnationKeepsStartTime(t *testing.T) {
	expected := worker.Incarnation{ID: "i-0", StartedMS: 5}
	an := answer{}.withError(fmt.Errorf("poll: %w", worker.CheckIncarnation(expected, 9)))
	var ie *worker.IncarnationError
	qt.Assert(t, errors.As(an.asError("r0", expected), &ie), qt.IsTrue)
	qt.Check(t, *ie, qt.Equals, worker.IncarnationError{Expected: expected, Answered: worker.Incarnation{ID: "i-0", StartedMS: 9}})
}
