package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// restPerWorker is how long a search for a place for fillers that found none rests,
// for each worker that was searched: there may be a round of placement every 15 ms,
// and with it the part of the time that such searches take would grow with the
// number of workers. With 1,000 workers a filler waits 50 ms longer at most.
const noFitTTLPerWorker = 50 * time.Microsecond

// shape is a step for which no place was found.
type shape struct {
	st      *job.Step
	service string
	// patient is set for fillers that wait for a good place.
	selective bool
	// interrupted is set for tasks that were, yields for those that leave room for others.
	interrupted, respectsReservations bool
}

// covers reports whether no place for the shape means none for the other.
func (sh shape) covers(other shape) bool {
	if sh.respectsReservations && !other.respectsReservations || other.interrupted && !sh.interrupted || sh.st.Filler != other.st.Filler || sh.service != other.service || sh.st.MaxPerWorker > 0 || sh.st.Label != "" || !sh.st.Each.Fits(other.st.Each) {
		return false
	}
	return !sh.st.Filler || (sh.st.Image == other.st.Image && sh.selective == other.selective)
}

// noPlace has the shapes for which no place was found: in this round, and for
// fillers for a little while. The zero value is ready.
type noFitCache struct {
	shapes  []shape
	fillers []shape
	// forgetAt is when the fillers are forgotten.
	fillersExpireAt time.Time
}

// begin begins a round over so many workers.
func (nf *noFitCache) startRound(now time.Time, workers int) {
	nf.shapes = nf.shapes[:0]
	if now.Before(nf.fillersExpireAt) {
		return
	}
	nf.fillers = nf.fillers[:0]
	nf.fillersExpireAt = now.Add(time.Duration(workers) * noFitTTLPerWorker)
}

// add enters a shape.
func (nf *noFitCache) add(sh shape) {
	if sh.st.Filler {
		nf.fillers = append(nf.fillers, sh)
		return
	}
	nf.shapes = append(nf.shapes, sh)
}

// has reports whether there is no place for the shape.
func (nf *noFitCache) has(sh shape) bool {
	list := nf.shapes
	if sh.st.Filler {
		list = nf.fillers
	}
	for _, known := range list {
		if known.covers(sh) {
			return true
		}
	}
	return false
}
