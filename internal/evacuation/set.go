// Package evacuation decides on the requests of operators that nothing more be started on the
// workers of a data centre, and what becomes of the tasks that run there.
//
// A [Tracker] turns the rows of requests into a [Set], by row version, so that a change which
// is read through an older copy of the store has no effect. [Select] decides which long-running
// tasks move to other workers, [Guard] keeps launches from workers of evacuated data centres,
// and a [Monitor] reports on evacuations. Nothing here uses the network or a clock.
package evacuation

import (
	"slices"
	"strings"
)

// Set is the data centres whose evacuation is requested. It is immutable; the zero value has
// none.
type Set struct {
	// names are sorted.
	names []string
}

// With returns the set with one more data centre.
func (se Set) With(dataCentre string) Set {
	i, found := slices.BinarySearch(se.names, dataCentre)
	if found {
		return se
	}
	return Set{names: slices.Insert(slices.Clone(se.names), i, dataCentre)}
}

// Without returns the set without a data centre.
func (se Set) Without(dataCentre string) Set {
	i, found := slices.BinarySearch(se.names, dataCentre)
	if !found {
		return se
	}
	return Set{names: slices.Delete(slices.Clone(se.names), i, i+1)}
}

// Contains reports whether the evacuation of a data centre is requested.
func (se Set) Contains(dataCentre string) bool {
	return len(se.names) > 0 && se.find(dataCentre)
}

func (se Set) find(dataCentre string) bool {
	_, found := slices.BinarySearch(se.names, dataCentre)
	return found
}

// Empty reports whether no evacuation is requested.
func (se Set) Empty() bool { return len(se.names) == 0 }

// Equal reports whether both sets have the same data centres.
func (se Set) Equal(other Set) bool { return slices.Equal(se.names, other.names) }

// DataCentres returns the data centres in order of their names.
func (se Set) DataCentres() []string { return slices.Clone(se.names) }

// String returns the data centres separated by commas, for the log.
func (se Set) String() string { return strings.Join(se.names, ",") }
