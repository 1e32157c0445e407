package standin

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Overlaps looks for attempts of a task that ran at the same time, and for
// attempts that did not begin from a checkpoint of the one before.
func SpanViolations(byTask map[string][]TaskSpan) []string {
	var broken []string
	for id, spans := range byTask {
		slices.SortFunc(spans, func(a, b TaskSpan) int { return cmp.Compare(a.Start, b.Start) })
		for i := 1; i < len(spans); i++ {
			before, after := spans[i-1], spans[i]
			if end(before) > after.Start {
				broken = append(broken, fmt.Sprintf("task %s ran at %s and %s at once", id, before.Worker, after.Worker))
			}
			if after.FromMS > before.ToMS && before.End != 0 {
				broken = append(broken, fmt.Sprintf("task %s: attempt %d began at %d ms, the one before came to %d ms",
					id, after.Attempt, after.FromMS, before.ToMS))
			}
		}
	}
	slices.Sort(broken)
	return broken
}

func end(sp TaskSpan) int64 {
	if sp.End == 0 {
		return math.MaxInt64
	}
	return sp.End
}
