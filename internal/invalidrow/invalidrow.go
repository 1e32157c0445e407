// Package invalidrow reports rows that cannot be decoded. Other programs write them too, and lists are
// read repeatedly, so each version of such a row is logged and counted once.
package invalidrow

import (
	"fmt"
	"log/slog"
	"sync"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// Limits of a report.
const (
	// maxRows bounds the rows that are remembered; beyond it they are logged again.
	maxRows = 1000
	// maxQuoted bounds the text of a key or an error that is logged, in characters.
	maxQuoted = 200
)

// Reporter reports rows. Set the exported fields before use.
type Reporter struct {
	// Metrics receives a counter. It may be nil.
	Metrics *telemetry.Metrics
	// Log receives a line for each report.
	Log *slog.Logger

	mu       sync.Mutex
	versions map[string]int64
}

// Report reports a version of a row of a list that cannot be decoded. effect says what follows.
func (re *Reporter) Report(list, key string, version int64, err error, effect string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if known, ok := re.versions[key]; ok && known == version {
		return
	}
	if re.versions == nil || len(re.versions) >= maxRows {
		re.versions = map[string]int64{}
	}
	re.versions[key] = version
	re.Metrics.Add(telemetry.UndecodableRows, 1, "list", list)
	re.Log.Error("row cannot be decoded", "list", list, "key", fmt.Sprintf("%.*s", maxQuoted, key), "version", version,
		"err", fmt.Sprintf("%.*s", maxQuoted, err.Error()), "effect", effect)
}
