package relay

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestErrorsStayWhatTheyAre sends each error of a worker over a stream.
func TestErrorsStayWhatTheyAre(t *testing.T) {
	for _, known := range codes {
		t.Run(string(known.code), func(t *testing.T) {
			an := answer{Code: codeOf(fmt.Errorf("launch: %w", known.err))}
			err := an.asError("r0")
			qt.Check(t, errors.Is(err, known.err), qt.IsTrue)
			for _, mark := range []error{worker.ErrNotSent, worker.ErrBrokeOff} {
				qt.Check(t, errors.Is(err, mark), qt.Equals, errors.Is(known.err, mark))
			}
		})
	}
}
