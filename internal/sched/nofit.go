package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// noFitTTLPerWorker is how long the result of a search that found no worker for fillers is
// cached, for each worker that was searched. There may be a placement round every 15 ms,
// and without the cache the share of time spent on such searches would grow with the number
// of workers. With 1,000 workers a filler waits up to 50 ms longer.
const noFitTTLPerWorker = 50 * time.Microsecond

// shape holds what determines whether the tasks of a step fit on a worker.
type shape struct {
	st      *job.Step
	service string
	// selective is set for fillers that wait for a worker that accepts them without harm to
	// its services.
	selective bool
	// interrupted is set for tasks that were interrupted, respectsReservations for those
	// that must not use capacity reserved for such tasks.
	interrupted, respectsReservations bool
	// headroom is the capacity to be left as headroom, in thousandths of a core. In a round, a
	// larger one leaves out all workers that a smaller one of the same service does.
	headroom int64
	// lacksCapacity is set if no worker had the capacity, whatever else the step requires.
	lacksCapacity bool
}

// covers reports whether the other shape fits nowhere if this one does not.
func (sh shape) covers(other shape) bool {
	if other.interrupted && !sh.interrupted || sh.st.Filler != other.st.Filler || !sh.st.Each.Fits(other.st.Each) {
		return false
	}
	return sh.lacksCapacity || sh.requiresNoMoreThan(other)
}

// requiresNoMoreThan reports whether a worker that has the capacity for both shapes takes this
// one if it takes the other.
func (sh shape) requiresNoMoreThan(other shape) bool {
	if sh.respectsReservations && !other.respectsReservations || sh.headroom > other.headroom || sh.service != other.service || sh.st.MaxPerWorker > 0 || sh.st.Label != "" {
		return false
	}
	return !sh.st.Filler || (sh.st.Image == other.st.Image && sh.selective == other.selective)
}

// noFitCache holds the shapes that fit on no worker: those of fillers until fillersExpireAt,
// the others for the current round. The zero value is ready to use.
type noFitCache struct {
	shapes  []shape
	fillers []shape
	// fillersExpireAt is when the entries for fillers are discarded.
	fillersExpireAt time.Time
}

// startRound starts a placement round over the given number of workers.
func (nf *noFitCache) startRound(now time.Time, workers int) {
	nf.shapes = nf.shapes[:0]
	if now.Before(nf.fillersExpireAt) {
		return
	}
	nf.fillers = nf.fillers[:0]
	nf.fillersExpireAt = now.Add(time.Duration(workers) * noFitTTLPerWorker)
}

// add records a shape that fits on no worker.
func (nf *noFitCache) add(sh shape) {
	if sh.st.Filler {
		nf.fillers = append(nf.fillers, sh)
		return
	}
	nf.shapes = append(nf.shapes, sh)
}

// has reports whether the shape is known to fit on no worker.
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
