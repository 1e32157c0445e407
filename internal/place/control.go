package place

import (
	"cmp"
	"slices"
)

// The numbers of control.
const (
	// calm is the part of the target under which throttles are loosened.
	calm = 0.7
	// tighten multiplies the share of a batch task that disturbs.
	tighten = 0.5
	// loosen is added to a share while services are calm.
	loosen = 0.25
	// leastShare is the lowest share; below it a task is evicted.
	leastShare = 0.25
)

// control looks after services whose tail is over the target. The cheapest
// remedy goes first: throttle the batch task that disturbs most; where all
// are throttled as far as they may be, evict the one that disturbs most for
// what it costs, under the budget. It acts on a worker only once there is a
// measurement from after its last action there: acting on older ones would
// answer the same news twice.
func (de *decider) control() {
	for _, se := range de.order {
		worst := de.worst(se)
		switch {
		case worst == nil:
		case worst.TailMS > de.sn.Policy.TailTargetMS:
			de.relieve(se, worst)
		case worst.TailMS < calm*de.sn.Policy.TailTargetMS:
			de.relax(se)
		}
	}
}

// worst returns the service task with the highest tail, or nil if there is
// none or a measurement is still to come.
func (de *decider) worst(se *seat) *Task {
	var worst *Task
	for _, ta := range se.tasks {
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

// relieve throttles, or else evicts, for a service over its target.
func (de *decider) relieve(se *seat, service *Task) {
	batch := de.disturbers(se, service)
	for _, ta := range batch {
		if ta.Share > leastShare {
			ta.Share = max(leastShare, ta.Share*tighten)
			de.add(Decision{Verb: Throttle, Task: ta.ID, Worker: se.ID, Share: ta.Share, Reason: "disturbs " + describe(service)})
			return
		}
	}
	if len(batch) == 0 || de.budget <= 0 || !de.worthEvicting(batch[0], service) {
		return
	}
	de.budget--
	batch[0].Stopping = true
	de.add(Decision{Verb: Evict, Task: batch[0].ID, Worker: se.ID, Reason: "disturbs " + describe(service)})
}

// disturbers returns the batch tasks of a worker, the most disturbing first.
func (de *decider) disturbers(se *seat, service *Task) []*Task {
	var batch []*Task
	for _, ta := range se.tasks {
		if !ta.Service && !ta.Stopping {
			batch = append(batch, ta)
		}
	}
	slices.SortStableFunc(batch, func(a, b *Task) int {
		return cmp.Compare(de.disturbs(service, b), de.disturbs(service, a))
	})
	return batch
}

func (de *decider) disturbs(service, ta *Task) float64 {
	return de.model.Disturbance(service.Kind, ta.Kind) * cores(ta) * ta.Share
}

// worthEvicting weighs the service's excess against the eviction.
func (de *decider) worthEvicting(ta, service *Task) bool {
	pol := de.sn.Policy
	excess := service.TailMS/pol.TailTargetMS - 1
	return pol.WeightTail*excess > de.evictionCost(ta)*evictionScale
}

// evictionScale is the excess over the target, as a part of it, that one
// cheap eviction is worth at even weights.
const evictionScale = 0.2

// relax gives one throttled task of a calm worker some of its share back, the
// least disturbing first.
func (de *decider) relax(se *seat) {
	var best *Task
	for _, ta := range se.tasks {
		if !ta.Service && !ta.Stopping && ta.Share < 1 && (best == nil || ta.Share < best.Share) {
			best = ta
		}
	}
	if best == nil {
		return
	}
	best.Share = min(1, best.Share+loosen)
	de.add(Decision{Verb: Throttle, Task: best.ID, Worker: se.ID, Share: best.Share, Reason: "services are calm"})
}
