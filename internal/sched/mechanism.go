package sched

import (
	"errors"
	"fmt"
	"strings"
)

// Mechanism is a set of bits, one for each part of placement and pacing that can be disabled
// to measure its effect.
type Mechanism uint32

// The mechanisms.
const (
	// MechTrend predicts a step's load from its trend.
	MechTrend Mechanism = 1 << iota
	// MechPairs learns how much each filler image interferes with each service image.
	MechPairs
	// MechPersistPairs persists the learnt interference of pairs for the next owner.
	MechPersistPairs
	// MechSeparateImages places services of different images on different workers.
	MechSeparateImages
	// MechSimilarImages treats service images that fillers affect alike as the same image.
	MechSimilarImages
	// MechColocateReplicas places replicas of one step on the same worker.
	MechColocateReplicas
	// MechLeastWork orders jobs by the work that is left for their value, the least first.
	MechLeastWork
	// MechTurnsByAge gives every third turn to the oldest long-running job.
	MechTurnsByAge
	// MechTurnsOfLargest gives every third turn to the largest job, in queues that neglect
	// their largest.
	MechTurnsOfLargest
	// MechFeasibleFirst orders jobs that can still finish in time before those that cannot.
	MechFeasibleFirst
	// MechFillerWait lets fillers wait for a worker that accepts them without harm to its
	// services.
	MechFillerWait
	// MechHold stops fillers beside services that are over their target for long.
	MechHold
	// MechMove moves held fillers to better workers.
	MechMove
	// MechStall retries attempts without progress on another worker.
	MechStall
	// MechReserveCapacity reserves capacity for long-running tasks that fit on no worker.
	MechReserveCapacity
	// MechQueuedStarts places interrupted tasks on capacity that is being freed.
	MechQueuedStarts
	// MechHeadroom keeps workers free of new long-running tasks for short work that arrives.
	MechHeadroom
	// MechSlowLast chooses slow workers last.
	MechSlowLast
	// MechMoveOffSlow stops tasks on slow workers that end sooner elsewhere.
	MechMoveOffSlow
	// MechLearntDurations corrects estimated times by the learnt ratio of true to estimated ones.
	MechLearntDurations
	// MechPersistDurations persists the learnt ratios for the next owner.
	MechPersistDurations
	// MechCopies starts second attempts of late tasks, in steps that allow it.
	MechCopies
	// MechAdmission refuses jobs that cannot be done by their time limit.
	MechAdmission
)

// MechanismEntry documents a mechanism.
type MechanismEntry struct {
	// Mechanism is its bit, Name its name in the settings, and Meaning its description.
	Mechanism Mechanism
	Name      string
	Meaning   string
}

// Mechanisms documents all mechanisms that can be disabled.
var Mechanisms = []MechanismEntry{
	{MechTrend, "trend", "predicts a step's load from its trend"},
	{MechPairs, "pairs", "learns how much each filler image interferes with each service image"},
	{MechPersistPairs, "hand-on", "persists the learnt interference of pairs for the next owner"},
	{MechSeparateImages, "apart", "places services of different images on different workers"},
	{MechSimilarImages, "alike", "treats service images that fillers affect alike as the same image"},
	{MechColocateReplicas, "siblings", "places replicas of one step on the same worker"},
	{MechLeastWork, "least-work", "orders jobs by the work that is left for their value, the least first"},
	{MechTurnsByAge, "by-age", "gives every third turn to the oldest long-running job"},
	{MechTurnsOfLargest, "largest", "gives every third turn to the largest job, in queues whose large jobs are served much less often than all"},
	{MechFeasibleFirst, "hope", "orders jobs that can still finish in time before those that cannot"},
	{MechFillerWait, "patience", "lets fillers wait for a worker that accepts them without harm to its services"},
	{MechHold, "hold", "stops fillers beside services that are over their target for long"},
	{MechMove, "move", "moves held fillers to better workers"},
	{MechStall, "stall", "retries attempts without progress on another worker"},
	{MechReserveCapacity, "keep-room", "reserves capacity for long-running tasks that fit on no worker"},
	{MechQueuedStarts, "queue-starts", "places interrupted tasks on capacity that is being freed"},
	{MechHeadroom, "headroom", "keeps workers free of new long-running tasks for short work that arrives"},
	{MechSlowLast, "slow-last", "chooses slow workers last"},
	{MechMoveOffSlow, "move-off-slow", "stops tasks on slow workers that end sooner elsewhere"},
	{MechLearntDurations, "learnt-durations", "corrects estimated times by the learnt ratio of true to estimated ones"},
	{MechPersistDurations, "persist-durations", "persists the learnt ratios of true to estimated times for the next owner"},
	{MechCopies, "copies", "starts second attempts of tasks that are late because of their workers, in steps that allow it"},
	{MechAdmission, "admission", "refuses jobs that cannot be done by their time limit, with the time to retry"},
}

// ErrMechanism is returned for a name that is not in Mechanisms.
var ErrMechanism = errors.New("unknown mechanism")

// ParseMechanisms parses names separated by commas into their bits; empty names are
// ignored. An unknown name returns ErrMechanism.
func ParseMechanisms(text string) (Mechanism, error) {
	var all Mechanism
	for _, name := range strings.Split(text, ",") {
		if name == "" {
			continue
		}
		one, err := parseMechanism(name)
		if err != nil {
			return 0, err
		}
		all |= one
	}
	return all, nil
}

func parseMechanism(name string) (Mechanism, error) {
	for _, entry := range Mechanisms {
		if entry.Name == name {
			return entry.Mechanism, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrMechanism, name)
}

// enabled reports whether a mechanism is enabled.
func (ow *Owner) enabled(me Mechanism) bool { return ow.Without&me == 0 }
