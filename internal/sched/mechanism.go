package sched

import (
	"errors"
	"fmt"
	"strings"
)

// Mechanism is a part of how the owner decides that can be switched off, for
// trials of what it is worth. Several are or'ed together.
type Mechanism uint32

// The mechanisms.
const (
	// MechTrend looks ahead along the trend of a step's load.
	MechTrend Mechanism = 1 << iota
	// MechPairs learns how much each filler's image disturbs each service's.
	MechPairs
	// MechHandOn keeps what was learnt of pairs for the next owner.
	MechPersistPairs
	// MechApart keeps services of different images on different workers.
	MechSeparateImages
	// MechAlike counts images that were seen to suffer alike as one.
	MechSimilarImages
	// MechSiblings places replicas of one step side by side.
	MechColocateReplicas
	// MechLeastWork has jobs with least work left go first.
	MechLeastWork
	// MechByAge has every third job take its turn by age.
	MechTurnsByAge
	// MechHope has jobs that can be in time go before those that cannot.
	MechFeasibleFirst
	// MechPatience has fillers wait for a good place.
	MechFillerWait
	// MechPace slows fillers beside services that are close to their target.
	MechPace
	// MechHold holds fillers beside services that are over their target for long.
	MechHold
	// MechMove moves held fillers to better places.
	MechMove
	// MechStall tries attempts that make no progress elsewhere.
	MechStall
	// MechKeepRoom keeps room for endless tasks that find none.
	MechReserveCapacity
)

// MechanismEntry documents a mechanism.
type MechanismEntry struct {
	// Mechanism is the bit, Name the word in the settings, Means what it does.
	Mechanism Mechanism
	Name      string
	Means     string
}

// Mechanisms documents all that can be switched off.
var Mechanisms = []MechanismEntry{
	{MechTrend, "trend", "looks ahead along the trend of a step's load"},
	{MechPairs, "pairs", "learns how much each filler's image disturbs each service's"},
	{MechPersistPairs, "hand-on", "keeps what was learnt of pairs for the next owner"},
	{MechSeparateImages, "apart", "keeps services of different images on different workers"},
	{MechSimilarImages, "alike", "counts images of services that were seen to suffer alike as one"},
	{MechColocateReplicas, "siblings", "places replicas of one step side by side"},
	{MechLeastWork, "least-work", "has jobs with least work left go first"},
	{MechTurnsByAge, "by-age", "has every third job take its turn by age"},
	{MechFeasibleFirst, "hope", "has jobs that can be in time go before those that cannot"},
	{MechFillerWait, "patience", "has fillers wait for a good place"},
	{MechPace, "pace", "slows fillers beside services that are close to their target"},
	{MechHold, "hold", "holds fillers beside services that are over their target for long"},
	{MechMove, "move", "moves held fillers to better places"},
	{MechStall, "stall", "tries attempts that make no progress elsewhere"},
	{MechReserveCapacity, "keep-room", "keeps room for endless tasks that find none"},
}

// ErrMechanism is returned for a word that names no mechanism.
var ErrMechanism = errors.New("no such mechanism")

// ParseMechanisms reads names separated by commas; none is no mechanism.
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
	for _, en := range Mechanisms {
		if en.Name == name {
			return en.Mechanism, nil
		}
	}
	return 0, fmt.Errorf("%w: %q", ErrMechanism, name)
}

// uses reports whether a mechanism is on.
func (ow *Owner) uses(me Mechanism) bool { return ow.Without&me == 0 }
