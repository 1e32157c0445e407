package standin

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// SpanViolations lists attempts of a task that ran at the same time, and attempts that
// started from more progress than the one before had checkpointed. It sorts the spans
// of each task by their start.
func SpanViolations(byTask map[string][]TaskSpan) []string {
	var violations []string
	for id, spans := range byTask {
		slices.SortFunc(spans, func(a, b TaskSpan) int { return cmp.Compare(a.Start, b.Start) })
		for i := 1; i < len(spans); i++ {
			before, after := spans[i-1], spans[i]
			if endOf(before) > after.Start {
				violations = append(violations, fmt.Sprintf("task %s ran at %s and %s at the same time", id, before.Worker, after.Worker))
			}
			if after.FromMS > before.ToMS && before.End != 0 {
				violations = append(violations, fmt.Sprintf("task %s: attempt %d started at %d ms of progress, the one before had checkpointed %d ms",
					id, after.Attempt, after.FromMS, before.ToMS))
			}
		}
	}
	slices.Sort(violations)
	return violations
}

// endOf returns when a span ended in Unix nanoseconds, or the largest value if it still
// runs.
func endOf(sp TaskSpan) int64 {
	if sp.End == 0 {
		return math.MaxInt64
	}
	return sp.End
}
