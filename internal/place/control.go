package place

import (
	"cmp"
	"slices"
)

// Parameters of the control of tail latencies.
const (
	// relaxBelow is the fraction of the target below which throttled tasks get back some
	// of their share.
	relaxBelow = 0.7
	// throttleFactor multiplies the share of a throttled batch task.
	throttleFactor = 0.5
	// shareIncrement is added to the share of a throttled task while the tail is below
	// relaxBelow.
	shareIncrement = 0.25
	// minShare is the lowest share; if it does not suffice, a task is evicted.
	minShare = 0.25
)

// controlTails acts on workers with a service whose tail latency is over the target. The
// cheapest remedy comes first: it throttles the batch task that interferes most with the
// service; once all are at minShare, it evicts the batch task that interferes most, if that
// is worth its cost and within the budget. Where tails are well below the target, it gives
// throttled tasks some of their share back. It acts on a worker again only after a
// measurement that is newer than its last action there, as older ones do not show the
// effect of that action.
func (de *decider) controlTails() {
	for _, ws := range de.ordered {
		worst := de.highestTail(ws)
		switch {
		case worst == nil:
		case worst.TailMS > de.sn.Policy.TailTargetMS:
			de.throttleOrEvict(ws, worst)
		case worst.TailMS < relaxBelow*de.sn.Policy.TailTargetMS:
			de.restoreShare(ws)
		}
	}
}

// highestTail returns the service task with the highest tail latency, or nil if there is
// none or a measurement after the last action is missing.
func (de *decider) highestTail(ws *workerState) *Task {
	var worst *Task
	for _, ta := range ws.tasks {
		if !ta.Service || ta.TailMS == 0 {
			continue
		}
		if !ta.Fresh {
			return nil
		}
		if worst == nil || ta.TailMS > worst.TailMS {
			worst = ta
		}
	}
	return worst
}

// throttleOrEvict throttles, or else evicts, a batch task beside a service over its
// target.
func (de *decider) throttleOrEvict(ws *workerState, service *Task) {
	batch := de.batchByInterference(ws, service)
	for _, ta := range batch {
		if ta.Share > minShare {
			ta.Share = max(minShare, ta.Share*throttleFactor)
			de.add(Decision{Verb: Throttle, Task: ta.ID, Worker: ws.ID, Share: ta.Share, Reason: "disturbs " + describe(service)})
			return
		}
	}
	if len(batch) == 0 || de.evictionBudget <= 0 || !de.worthEvicting(batch[0], service) {
		return
	}
	de.evictionBudget--
	batch[0].Stopping = true
	de.add(Decision{Verb: Evict, Task: batch[0].ID, Worker: ws.ID, Reason: "disturbs " + describe(service)})
}

// batchByInterference returns the batch tasks of a worker, those that interfere most with
// the service first.
func (de *decider) batchByInterference(ws *workerState, service *Task) []*Task {
	var batch []*Task
	for _, ta := range ws.tasks {
		if !ta.Service && !ta.Stopping {
			batch = append(batch, ta)
		}
	}
	slices.SortStableFunc(batch, func(a, b *Task) int {
		return cmp.Compare(de.interference(service, b), de.interference(service, a))
	})
	return batch
}

func (de *decider) interference(service, ta *Task) float64 {
	return de.model.Interference(service.Kind, ta.Kind) * cores(ta) * ta.Share
}

// worthEvicting reports whether the service's excess over its target outweighs the cost of
// the eviction.
func (de *decider) worthEvicting(ta, service *Task) bool {
	pol := de.sn.Policy
	excess := service.TailMS/pol.TailTargetMS - 1
	return pol.WeightTail*excess > de.evictionCost(ta)*tailExcessPerEviction
}

// tailExcessPerEviction is the excess over the target, as a fraction of it, that equals
// the cost of one eviction without lost work at equal weights.
const tailExcessPerEviction = 0.2

// restoreShare raises the share of one throttled task of a worker whose services are well
// below their target, the most throttled one.
func (de *decider) restoreShare(ws *workerState) {
	var best *Task
	for _, ta := range ws.tasks {
		if !ta.Service && !ta.Stopping && ta.Share < 1 && (best == nil || ta.Share < best.Share) {
			best = ta
		}
	}
	if best == nil {
		return
	}
	best.Share = min(1, best.Share+shareIncrement)
	de.add(Decision{Verb: Throttle, Task: best.ID, Worker: ws.ID, Share: best.Share, Reason: "tail latencies of services are well below the target"})
}
