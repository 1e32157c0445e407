package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// restPerWorker is how long a search for a place for fillers that found none rests,
// for each worker that was searched: there may be a round of placement every 15 ms,
// and with it the part of the time that such searches take would grow with the
// number of workers. With 1,000 workers a filler waits 50 ms longer at most.
const restPerWorker = 50 * time.Microsecond

// shape is a step for which no place was found.
type shape struct {
	st      *job.Step
	service string
	// patient is set for fillers that wait for a good place.
	patient bool
	// interrupted is set for tasks that were, yields for those that leave room for others.
	interrupted, yields bool
}

// covers reports whether no place for the shape means none for the other.
func (sh shape) covers(other shape) bool {
	if sh.yields && !other.yields || other.interrupted && !sh.interrupted || sh.st.Filler != other.st.Filler || sh.service != other.service || sh.st.MaxPerWorker > 0 || sh.st.Label != "" || !sh.st.Each.Fits(other.st.Each) {
		return false
	}
	return !sh.st.Filler || (sh.st.Image == other.st.Image && sh.patient == other.patient)
}

// noPlace has the shapes for which no place was found: in this round, and for
// fillers for a little while. The zero value is ready.
type noPlace struct {
	shapes  []shape
	fillers []shape
	// forgetAt is when the fillers are forgotten.
	forgetAt time.Time
}

// begin begins a round over so many workers.
func (np *noPlace) begin(now time.Time, workers int) {
	np.shapes = np.shapes[:0]
	if now.Before(np.forgetAt) {
		return
	}
	np.fillers = np.fillers[:0]
	np.forgetAt = now.Add(time.Duration(workers) * restPerWorker)
}

// add enters a shape.
func (np *noPlace) add(sh shape) {
	if sh.st.Filler {
		np.fillers = append(np.fillers, sh)
		return
	}
	np.shapes = append(np.shapes, sh)
}

// has reports whether there is no place for the shape.
func (np *noPlace) has(sh shape) bool {
	list := np.shapes
	if sh.st.Filler {
		list = np.fillers
	}
	for _, known := range list {
		if known.covers(sh) {
			return true
		}
	}
	return false
}
