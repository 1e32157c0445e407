package worker

import (
	"fmt"
	"strconv"
	"strings"
)

// Incarnation names one life of a worker's process. A process that starts again may have
// the id of the one before: it runs nothing, has seen no fencing token, and its clock and
// the numbers of its ends begin anew.
type Incarnation struct {
	// ID is the worker's name in the list of workers.
	ID string
	// StartedMS is when the process started, in milliseconds since 1970 by its host's time of
	// day; 0 is not known. It tells lives apart and does not order them, as that clock
	// may be set back.
	StartedMS int64
}

// bornBase is the base in which Born is written.
const bornBase = 36

// String returns the id, and when the process started if that is known.
func (in Incarnation) String() string {
	if in.StartedMS == 0 && !strings.Contains(in.ID, "@") {
		return in.ID
	}
	return in.ID + "@" + strconv.FormatInt(in.StartedMS, bornBase)
}

// MarshalText implements encoding.TextMarshaler.
func (in Incarnation) MarshalText() ([]byte, error) { return []byte(in.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Text without a start is of rows of
// earlier versions, and of workers that do not tell it.
func (in *Incarnation) UnmarshalText(text []byte) error {
	at := strings.LastIndexByte(string(text), '@')
	if at < 0 {
		*in = Incarnation{ID: string(text)}
		return nil
	}
	born, err := strconv.ParseInt(string(text[at+1:]), bornBase, 64)
	if err != nil {
		return fmt.Errorf("start of worker %q: %w", text, err)
	}
	*in = Incarnation{ID: string(text[:at]), StartedMS: born}
	return nil
}

// IsOtherIncarnation reports whether both name the same worker, and certainly not the same life.
func (in Incarnation) IsOtherIncarnation(other Incarnation) bool {
	return in.ID == other.ID && in.StartedMS != other.StartedMS && in.StartedMS != 0 && other.StartedMS != 0
}

// IncarnationError says that a worker's answer came from another life than the one that was
// meant. What was asked may have been carried out by it.
type IncarnationError struct {
	// Expected is the life that was asked, Answered the one that answered.
	Expected, Answered Incarnation
}

// Error implements error.
func (le *IncarnationError) Error() string {
	return fmt.Sprintf("worker %s was meant, and %s answered", le.Expected, le.Answered)
}

// CheckIncarnation returns a [IncarnationError] if an answer of a process that started at born, or 0 if
// it did not say, is not from the life that was meant.
func CheckIncarnation(meant Incarnation, born int64) error {
	answered := Incarnation{ID: meant.ID, StartedMS: born}
	if born == 0 || answered == meant {
		return nil
	}
	return &IncarnationError{Expected: meant, Answered: answered}
}
