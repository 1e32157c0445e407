package worker

import "slices"

// MaxListedEnds is the largest number of ends that a worker lists at once. It lists the oldest ones
// that were not acknowledged; the others follow once these are.
const MaxListedEnds = 500

// Lists reports whether the worker lists the attempt as running or ended. An attempt that is not
// listed may still have ended there; see [PollResult.Whole].
func (pr *PollResult) Lists(at Attempt) bool {
	return slices.ContainsFunc(pr.Running, func(ra RunningAttempt) bool { return ra.Attempt == at }) ||
		slices.ContainsFunc(pr.Ended, func(ea EndedAttempt) bool { return ea.Attempt == at })
}

// Whole returns the list if it certainly has all attempts at the worker.
func (pr *PollResult) Whole() (WholeList, bool) {
	if len(pr.Ended) >= MaxListedEnds {
		return WholeList{}, false
	}
	return WholeList{pr: pr}, true
}

// WholeList is the list of all attempts that run at a worker or have ended there and were not
// acknowledged. Only [PollResult.Whole] returns one. The zero value is no list.
type WholeList struct{ pr *PollResult }

// Absent reports whether the attempt neither runs at the worker nor has an end that was not
// acknowledged.
func (wl WholeList) Absent(at Attempt) bool { return wl.pr != nil && !wl.pr.Lists(at) }
