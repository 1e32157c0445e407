// Package nofit remembers, in a round of placement, which tasks fit on no worker, so that the workers
// are not searched again for tasks that need no less.
//
// Results may be too old, but only in one direction: capacity that becomes free is found in the next
// round, and for fillers once their results expire. A result tells that no worker takes the task, not
// why, except for [Shape.LacksCapacity].
package nofit

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// ttlPerWorker is how long the result of a search that found no worker for fillers is
// cached, for each worker that was searched. There may be a placement round every 15 ms,
// and without the cache the share of time spent on such searches would grow with the number
// of workers. With 1,000 workers a filler waits up to 50 ms longer.
const ttlPerWorker = 50 * time.Microsecond

// Shape holds what determines whether the tasks of a step fit on a worker.
type Shape struct {
	Step    *job.Step
	Service string
	// Selective is set for fillers that wait for a worker that accepts them without harm to
	// its services.
	Selective bool
	// Interrupted is set for tasks that were interrupted, RespectsReservations for those
	// that must not use capacity reserved for such tasks.
	Interrupted, RespectsReservations bool
	// Headroom is the capacity to be left as headroom, in thousandths of a core. A larger one is
	// taken to leave out all workers that a smaller one of the same service does in the round.
	// For jobs of two priorities whose short tasks differ in size that may be wrong; then the task
	// of the lower priority waits although it could start.
	Headroom int64
	// LacksCapacity is set if no worker had the capacity, whatever else the step requires.
	LacksCapacity bool
}

// covers reports whether the other shape fits nowhere if this one does not.
func (sh Shape) covers(other Shape) bool {
	if other.Interrupted && !sh.Interrupted || sh.Step.Filler != other.Step.Filler || !sh.Step.Each.Fits(other.Step.Each) {
		return false
	}
	return sh.LacksCapacity || sh.requiresNoMoreThan(other)
}

// requiresNoMoreThan reports whether a worker that has the capacity for both shapes takes this
// one if it takes the other.
func (sh Shape) requiresNoMoreThan(other Shape) bool {
	if sh.RespectsReservations && !other.RespectsReservations || sh.Headroom > other.Headroom || sh.Service != other.Service || sh.Step.MaxPerWorker > 0 || sh.Step.Label != "" {
		return false
	}
	return !sh.Step.Filler || (sh.Step.Image == other.Step.Image && sh.Selective == other.Selective)
}

// Cache holds the shapes that fit on no worker: those of fillers until fillersExpireAt,
// the others for the current round. The zero value is ready to use.
type Cache struct {
	shapes  []Shape
	fillers []Shape
	// fillersExpireAt is when the entries for fillers are discarded.
	fillersExpireAt time.Time
}

// StartRound starts a placement round over the given number of workers.
func (ca *Cache) StartRound(now time.Time, workers int) {
	ca.shapes = ca.shapes[:0]
	if now.Before(ca.fillersExpireAt) {
		return
	}
	ca.fillers = ca.fillers[:0]
	ca.fillersExpireAt = now.Add(time.Duration(workers) * ttlPerWorker)
}

// Add records a shape that fits on no worker.
func (ca *Cache) Add(sh Shape) {
	if sh.Step.Filler {
		ca.fillers = append(ca.fillers, sh)
		return
	}
	ca.shapes = append(ca.shapes, sh)
}

// Has reports whether the shape is known to fit on no worker.
func (ca *Cache) Has(sh Shape) bool {
	list := ca.shapes
	if sh.Step.Filler {
		list = ca.fillers
	}
	for _, known := range list {
		if known.covers(sh) {
			return true
		}
	}
	return false
}
