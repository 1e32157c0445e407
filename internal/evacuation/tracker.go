package evacuation

import (
	"log/slog"
	"sync"
)

// Request is the state of the row that requests the evacuation of a data centre, as read.
type Request struct {
	// DataCentre is the data centre that the row's key names.
	DataCentre string
	// Version is the version of the row, or of its removal.
	Version int64
	// Removed is set if the row was removed.
	Removed bool
	// Err is why the row's value cannot be read, or nil. The request is obeyed all the same.
	Err error
}

// Tracker keeps the requests in force: the latest state read of each row until a later one is
// read. Set Log, then use it from any goroutine; it has no requests at first.
type Tracker struct {
	// Log receives the changes.
	Log *slog.Logger

	mu  sync.Mutex
	set Set
	// rows has the state of each row ever read. Removed rows are kept, so that an older state
	// of theirs is recognized.
	rows map[string]rowState
}

// rowState is the latest state read of a row.
type rowState struct {
	version int64
	removed bool
}

// Current returns the requests in force.
func (tr *Tracker) Current() Set {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.set
}

// Contains reports whether the evacuation of a data centre is in force.
func (tr *Tracker) Contains(dataCentre string) bool { return tr.Current().Contains(dataCentre) }

// Apply applies rows that were read and returns the requests in force. If complete is set, they
// are all rows that existed at a version of the table: of the other rows, those of up to that
// version have been removed, and later ones are unknown to the copy of the store that answered.
func (tr *Tracker) Apply(list []Request, complete bool, version int64) Set {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.rows == nil {
		tr.rows = map[string]rowState{}
	}
	listed := map[string]bool{}
	for _, re := range list {
		listed[re.DataCentre] = true
		if re.Removed && re.Version == 0 {
			// A feed that does not have the version of a removal lists it after the state known.
			re.Version = tr.rows[re.DataCentre].version + 1
		}
		tr.apply(re, "row")
	}
	if !complete {
		return tr.set
	}
	for name, ro := range tr.rows {
		if !listed[name] && !ro.removed {
			tr.apply(Request{DataCentre: name, Version: version, Removed: true}, "list")
		}
	}
	return tr.set
}

// apply applies one change unless the state known is as late. The parameter by says whether a
// row or its absence from a list shows the change.
func (tr *Tracker) apply(re Request, by string) {
	if re.DataCentre == "" {
		tr.Log.Error("evacuation names no data centre", "row_version", re.Version, "removed", re.Removed)
		return
	}
	known, seen := tr.rows[re.DataCentre]
	if seen && re.Version <= known.version {
		if re.Removed != known.removed {
			tr.Log.Warn("older state of an evacuation ignored", "data_centre", re.DataCentre, "row_version", re.Version,
				"known_version", known.version, "removed", re.Removed, "by", by, "in_force", tr.set)
		}
		return
	}
	tr.rows[re.DataCentre] = rowState{version: re.Version, removed: re.Removed}
	if re.Err != nil && !re.Removed {
		tr.Log.Error("value of an evacuation cannot be read, the request is obeyed", "data_centre", re.DataCentre, "row_version", re.Version, "err", re.Err)
	}
	before, msg := tr.set, "evacuation requested"
	if re.Removed {
		tr.set, msg = before.Without(re.DataCentre), "evacuation withdrawn"
	} else {
		tr.set = before.With(re.DataCentre)
	}
	if tr.set.Equal(before) {
		return
	}
	tr.Log.Info(msg, "data_centre", re.DataCentre, "row_version", re.Version, "known_version", known.version, "by", by, "in_force", tr.set)
}
