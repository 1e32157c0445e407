// Package congestion bounds how many starts of tasks are in flight, so that an owner whose link or
// processor is saturated does not start more than it gets answers for.
//
// [Window] sees only how long answers took. It cannot tell a saturated owner from many slow
// workers, and treats both alike; a lost answer counts like one that took as long as its timeout.
package congestion

import "time"

// Parameters of the start window.
const (
	// initialWindow, maxWindow and minWindow are numbers of starts in flight. With a write of
	// 15 ms and an order of 10 ms, a window of 256 allows about 10,000 starts a second.
	initialWindow = 256
	maxWindow     = 1024
	minWindow     = 12
	// slowAnswer is the time from which an answer to an order counts as slow: 50 times the
	// usual time, and more than half of the timeout.
	slowAnswer = 250 * time.Millisecond
	// slowShare is the share of slow answers, averaged over about slowSamples answers, from
	// which the window shrinks. It is so high that one slow worker, or a few, do not shrink it.
	slowShare   = 0.3
	slowSamples = 16
	// shrinkInterval is the minimum time between two reductions, which is how long one takes
	// to show an effect. The window is multiplied by shrinkFactor each time.
	shrinkInterval = 250 * time.Millisecond
	shrinkFactor   = 0.6
)

// Window bounds the starts in flight: those of tasks that are placed and whose workers
// have not answered yet. When the owner's link or CPU is saturated, answers arrive later and
// later until all of them time out. The window therefore shrinks while answers are slow, and
// grows while they are not. The zero value is ready.
type Window struct {
	inFlight int
	// size is the size of the window in starts, 0 before the first answer.
	size float64
	// slowRate is the moving average of the share of slow answers, shrunkAt when the window
	// last shrank.
	slowRate float64
	shrunkAt time.Time
}

// Begin adds a start to those in flight.
func (wi *Window) Begin() { wi.inFlight++ }

// End removes a start from those in flight.
func (wi *Window) End() { wi.inFlight-- }

// InFlight returns the number of starts in flight.
func (wi *Window) InFlight() int { return wi.inFlight }

// Full reports whether no more starts may be in flight.
func (wi *Window) Full() bool { return wi.inFlight >= wi.Limit() }

// Limit returns how many starts may be in flight.
func (wi *Window) Limit() int {
	if wi.size == 0 {
		return initialWindow
	}
	return int(wi.size)
}

// RecordAnswer adjusts the window to how long an answer took, and reports whether it shrank.
func (wi *Window) RecordAnswer(took time.Duration, now time.Time) bool {
	slow := 0.0
	if took >= slowAnswer {
		slow = 1
	}
	wi.slowRate += (slow - wi.slowRate) / slowSamples
	size := float64(wi.Limit())
	if wi.slowRate < slowShare {
		wi.size = min(size+1, maxWindow)
		return false
	}
	if now.Sub(wi.shrunkAt) < shrinkInterval {
		return false
	}
	wi.shrunkAt = now
	wi.size = max(size*shrinkFactor, minWindow)
	return true
}
