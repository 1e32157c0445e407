package logs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Bounds on lines of one kind, which is the text of a line's message.
const (
	// rareMost is how many lines of a kind in one second make it a frequent one. A
	// loss of a relay takes two or three lines, and twenty of its workers tell as
	// much as hundreds.
	rareMost = 20
	// reserveMost is how many lines a second are for rare kinds only, over
	// perSecondMost: 25 kinds with all that they may have.
	reserveMost = 25 * rareMost
	// kindsMost bounds the kinds that are told apart: the program has some 110.
	kindsMost = 256
	// toldMost is how many kinds are named as dropped.
	toldMost = 5
	// otherKind stands for kinds beyond kindsMost, and for lines without one.
	otherKind = "other"
)

// budget decides which lines of a second are written. Frequent kinds share one
// part of it and rare ones have a reserve behind that, as the few lines that tell
// of an incident come in just the seconds in which all others are many. The zero
// value is ready.
type budget struct {
	second int64
	// shared and reserve are what was spent of the two parts in this second.
	shared, reserve int
	kinds           map[string]*kind
}

// kind is what is known of the lines of a kind.
type kind struct {
	// lines are those of the second in which the last one came.
	lines  int
	second int64
	// dropped counts those that were not written since the kind was last told.
	dropped int
}

// rare reports whether the kind had few lines in its second.
func (ki *kind) rare() bool { return ki.lines <= rareMost }

// spend takes a line of a kind in, and reports whether it may be written. The second
// is that of the clock.
func (bu *budget) spend(ki *kind, second int64) bool {
	if second != bu.second {
		bu.second, bu.shared, bu.reserve = second, 0, 0
	}
	if second != ki.second {
		ki.second, ki.lines = second, 0
	}
	ki.lines++
	switch {
	case bu.shared < perSecondMost:
		bu.shared++
		return true
	case ki.rare() && bu.reserve < reserveMost:
		bu.reserve++
		return true
	}
	return false
}

// kind returns what is known of a kind, or of all others together if there are too
// many.
func (bu *budget) kind(name string) *kind {
	if ki := bu.kinds[name]; ki != nil {
		return ki
	}
	if bu.kinds == nil {
		bu.kinds = map[string]*kind{otherKind: {}}
	}
	if len(bu.kinds) >= kindsMost {
		return bu.kinds[otherKind]
	}
	ki := &kind{}
	bu.kinds[name] = ki
	return ki
}

// most names the kinds of which most were dropped, with how many, and begins to
// count anew. It forgets kinds without lines for a while, to make room for others.
func (bu *budget) most() string {
	names := slices.SortedFunc(maps.Keys(bu.kinds), func(a, b string) int {
		return cmp.Or(cmp.Compare(bu.kinds[b].dropped, bu.kinds[a].dropped), strings.Compare(a, b))
	})
	var told []string
	for _, name := range names {
		ki := bu.kinds[name]
		if ki.dropped > 0 && len(told) < toldMost {
			told = append(told, fmt.Sprintf("%s: %d", name, ki.dropped))
		}
		ki.dropped = 0
		if ki.second != bu.second && name != otherKind {
			delete(bu.kinds, name)
		}
	}
	return strings.Join(told, ", ")
}
