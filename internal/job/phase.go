package job

import (
	"fmt"
	"strings"
)

// Phase is how far the running attempt was seen to get. It decides whether the end of the
// worker may be blamed on the task. It is stored in the row, as a new owner has not seen
// the attempt run and would otherwise blame the end of a worker on every task that ran
// there.
type Phase int8

// Phases of an attempt.
const (
	// PhaseStarting attempts may still be starting. A program that crashes its host does
	// so at its start.
	PhaseStarting Phase = iota
	// PhaseStarted attempts have started without a crash.
	PhaseStarted
	// PhaseStable attempts have run for so long that neither the ends of earlier workers
	// nor that of their own are blamed on the task.
	PhaseStable
)

// phaseChars has the character of each phase in a row, indexed by Phase.
const phaseChars = "012"

// MarkStarted records that an attempt has started without a crash, and reports whether
// that was new.
func (jo *Job) MarkStarted(ref TaskRef, attempt int) bool {
	return jo.advancePhase(ref, attempt, PhaseStarted)
}

// MarkStable records that an attempt has run for so long that the task did not cause the
// ends of earlier workers, and reports whether that was new.
func (jo *Job) MarkStable(ref TaskRef, attempt int) bool {
	if !jo.advancePhase(ref, attempt, PhaseStable) {
		return false
	}
	ta := jo.Task(ref)
	ta.Crashes, ta.PresumedCrashes, ta.Losses = 0, 0, 0
	return true
}

func (jo *Job) advancePhase(ref TaskRef, attempt int, ph Phase) bool {
	ta := jo.Task(ref)
	if ta == nil {
		return false
	}
	of := ta.phaseOf(attempt)
	if of == nil || *of >= ph {
		return false
	}
	*of = ph
	return true
}

// encodePhases returns the phases of the started tasks in order, one character each. It
// returns a single character if all are equal, and nothing if all are [PhaseStarting].
func encodePhases(tasks []Task) string {
	var phases strings.Builder
	for _, ta := range tasks {
		if ta.State == Started {
			_ = phases.WriteByte(phaseChars[ta.Phase])
		}
	}
	list := collapse(phases.String())
	if list == phaseChars[:1] {
		return ""
	}
	return list
}

// collapse returns the first character of text if all its characters are equal, and text
// otherwise.
func collapse(text string) string {
	if text != "" && strings.Count(text, text[:1]) == len(text) {
		return text[:1]
	}
	return text
}

// decodePhases sets the phases of the started tasks from the result of encodePhases.
func decodePhases(phases string, tasks []Task) error {
	if phases == "" {
		return nil
	}
	n := 0
	for i := range tasks {
		if tasks[i].State != Started {
			continue
		}
		at := min(n, len(phases)-1)
		n++
		ph := strings.IndexByte(phaseChars, phases[at])
		if ph < 0 {
			return fmt.Errorf("%w: unknown phase %q", errRowMismatch, phases[at])
		}
		tasks[i].Phase = Phase(ph)
	}
	if len(phases) > 1 && len(phases) != n {
		return fmt.Errorf("%w: %d phases for %d started tasks", errRowMismatch, len(phases), n)
	}
	return nil
}
