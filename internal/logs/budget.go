package logs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Limits on lines of one kind. The kind of a line is the text of its message.
const (
	// maxRareLines is the number of lines of a kind in one second above which it is
	// frequent. The loss of a relay takes two or three lines, and twenty lines about its
	// workers tell as much as hundreds.
	maxRareLines = 20
	// maxReserveLines is the number of lines a second, in addition to maxLinesPerSecond,
	// that are reserved for rare kinds: 25 kinds with maxRareLines each.
	maxReserveLines = 25 * maxRareLines
	// maxKinds bounds the kinds that are counted separately; the program has 110.
	maxKinds = 256
	// maxReported is the number of kinds that a report of dropped lines names.
	maxReported = 5
	// otherKind is the kind of lines without one, and of those beyond maxKinds.
	otherKind = "other"
)

// budget decides which lines of a second are written. All kinds share one part of it,
// and rare kinds have a reserve in addition, because the few lines that explain an
// incident are logged in the same seconds in which all others are frequent. The zero
// value is ready to use.
type budget struct {
	second int64
	// shared and reserve are the lines of this second that used each part.
	shared, reserve int
	kinds           map[string]*kind
}

// kind has the counters of one kind of lines.
type kind struct {
	// lines counts the lines in the second of the last one.
	lines  int
	second int64
	// dropped counts the lines dropped since the last report.
	dropped int
}

// rare reports whether the kind had at most maxRareLines lines in its second.
func (ki *kind) rare() bool { return ki.lines <= maxRareLines }

// allow counts a line of a kind, and reports whether it may be written. second is the
// Unix time in seconds.
func (bu *budget) allow(ki *kind, second int64) bool {
	if second != bu.second {
		bu.second, bu.shared, bu.reserve = second, 0, 0
	}
	if second != ki.second {
		ki.second, ki.lines = second, 0
	}
	ki.lines++
	switch {
	case bu.shared < maxLinesPerSecond:
		bu.shared++
		return true
	case ki.rare() && bu.reserve < maxReserveLines:
		bu.reserve++
		return true
	}
	return false
}

// kind returns the counters of a kind, or those of otherKind if there are too many
// kinds.
func (bu *budget) kind(name string) *kind {
	if ki := bu.kinds[name]; ki != nil {
		return ki
	}
	if bu.kinds == nil {
		bu.kinds = map[string]*kind{otherKind: {}}
	}
	if len(bu.kinds) >= maxKinds {
		return bu.kinds[otherKind]
	}
	ki := &kind{}
	bu.kinds[name] = ki
	return ki
}

// report lists the kinds with the most dropped lines and their numbers, and resets the
// numbers. It removes kinds without lines in the current second, so that other kinds can
// be counted.
func (bu *budget) report() string {
	names := slices.SortedFunc(maps.Keys(bu.kinds), func(a, b string) int {
		return cmp.Or(cmp.Compare(bu.kinds[b].dropped, bu.kinds[a].dropped), strings.Compare(a, b))
	})
	var reported []string
	for _, name := range names {
		ki := bu.kinds[name]
		if ki.dropped > 0 && len(reported) < maxReported {
			reported = append(reported, fmt.Sprintf("%s: %d", name, ki.dropped))
		}
		ki.dropped = 0
		if ki.second != bu.second && name != otherKind {
			delete(bu.kinds, name)
		}
	}
	return strings.Join(reported, ", ")
}
