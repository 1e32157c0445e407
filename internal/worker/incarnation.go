package worker

import (
	"fmt"
	"strconv"
	"strings"
)

// Incarnation identifies one run of a worker's process. A process that is started again
// may reuse the id of the one before: it runs no attempts, has seen no fencing token, and
// its clock and its numbering of ended attempts begin anew.
type Incarnation struct {
	// ID is the worker's id in the list of workers.
	ID string
	// StartedMS is when the process started, in milliseconds since 1970 by the wall clock
	// of its host; 0 if unknown. It distinguishes incarnations but does not order them, as
	// that clock may be set back.
	StartedMS int64
}

// startBase is the number base in which StartedMS is encoded as text.
const startBase = 36

// String returns the id, followed by "@" and the start time if that is known.
func (in Incarnation) String() string {
	if in.StartedMS == 0 && !strings.Contains(in.ID, "@") {
		return in.ID
	}
	return in.ID + "@" + strconv.FormatInt(in.StartedMS, startBase)
}

// MarshalText implements encoding.TextMarshaler.
func (in Incarnation) MarshalText() ([]byte, error) { return []byte(in.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Rows of earlier versions, and workers
// that do not report their start time, have text without one.
func (in *Incarnation) UnmarshalText(text []byte) error {
	at := strings.LastIndexByte(string(text), '@')
	if at < 0 {
		*in = Incarnation{ID: string(text)}
		return nil
	}
	startedMS, err := strconv.ParseInt(string(text[at+1:]), startBase, 64)
	if err != nil {
		return fmt.Errorf("start time of worker %q: %w", text, err)
	}
	*in = Incarnation{ID: string(text[:at]), StartedMS: startedMS}
	return nil
}

// IsOtherIncarnation reports whether both have the same id but are certainly different
// incarnations. An unknown start time proves no difference.
func (in Incarnation) IsOtherIncarnation(other Incarnation) bool {
	return in.ID == other.ID && in.StartedMS != other.StartedMS && in.StartedMS != 0 && other.StartedMS != 0
}

// IncarnationError reports that another incarnation of a worker answered than the one that
// was addressed. That incarnation may have carried out the request.
type IncarnationError struct {
	// Expected is the incarnation that was addressed, Answered the one that answered.
	Expected, Answered Incarnation
}

// Error implements error.
func (ie *IncarnationError) Error() string {
	return fmt.Sprintf("request for worker %s was answered by %s", ie.Expected, ie.Answered)
}

// CheckIncarnation returns an [IncarnationError] if an answer of a process that started at
// startedMS, or 0 if the answer does not say, does not come from the expected incarnation.
func CheckIncarnation(expected Incarnation, startedMS int64) error {
	answered := Incarnation{ID: expected.ID, StartedMS: startedMS}
	if startedMS == 0 || answered == expected {
		return nil
	}
	return &IncarnationError{Expected: expected, Answered: answered}
}
