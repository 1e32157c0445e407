package invalidrow

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRowIsReportedOnceAVersion guards against a log that fills with each read of a list.
func TestRowIsReportedOnceAVersion(t *testing.T) {
	var out bytes.Buffer
	re := Reporter{Log: slog.New(slog.NewTextHandler(&out, nil))}
	lines := func() int { return strings.Count(out.String(), "\n") }
	err := errors.New(strings.Repeat("x", 5000))
	for range 50 {
		re.Report("workers", "servers//a", 7, err, "none")
		re.Report("workers", "servers//b", 9, err, "none")
	}
	qt.Check(t, lines(), qt.Equals, 2)
	qt.Check(t, out.Len() < 1500, qt.IsTrue)
	re.Report("workers", "servers//a", 8, err, "none")
	qt.Check(t, lines(), qt.Equals, 3)
	for i := range 3 * maxRows {
		re.Report("workers", fmt.Sprint("servers//", i), 1, err, "none")
	}
	qt.Check(t, len(re.versions) <= maxRows, qt.IsTrue)
}
