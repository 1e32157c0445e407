package sched

import "time"

// Numbers of the window.
const (
	// windowFirst is how many starts may be under way at first, windowMost and
	// windowLeast how many at most and at least. With a write of 15 ms and an order
	// of 10 ms, 256 are some 10,000 starts a second.
	initialWindow = 256
	maxWindow     = 1024
	minWindow     = 12
	// slowOrder is how long an answer to an order may take before it counts as
	// slow: fifty times the usual, over half of what is waited for.
	slowAnswer = 250 * time.Millisecond
	// slowShare is the share of slow answers, of the last slowOf or so, from which
	// on the window shrinks: one slow worker, or a few, are not a reason.
	slowShare   = 0.3
	slowSamples = 16
	// shrinkEvery is the least time between two times that the window shrinks, which
	// is how long it takes to show, and shrinkTo what is left of it then.
	shrinkInterval = 250 * time.Millisecond
	shrinkFactor   = 0.6
)

// window bounds the starts that are under way: placed, and not yet answered by
// their workers. An owner whose link or processor is full has its answers later and
// later, until it takes all of them for lost; so the window shrinks while answers
// are slow, and grows while they are not. The zero value is ready.
type startWindow struct {
	inFlight int
	size     float64
	slowRate float64
	shrunkAt time.Time
}

// full reports whether no more starts may be under way.
func (wi *startWindow) full() bool { return wi.inFlight >= wi.limit() }

func (wi *startWindow) limit() int {
	if wi.size == 0 {
		return initialWindow
	}
	return int(wi.size)
}

// answered takes in how long an answer took, and reports whether the window shrank.
func (wi *startWindow) recordAnswer(took time.Duration, now time.Time) bool {
	slow := 0.0
	if took >= slowAnswer {
		slow = 1
	}
	wi.slowRate += (slow - wi.slowRate) / slowSamples
	size := float64(wi.limit())
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

// depart and land count an attempt in and out.
func (ow *Owner) beginStart(at *attempt) {
	at.inFlight = true
	ow.window.inFlight++
}

func (ow *Owner) endStart(at *attempt) {
	if at.inFlight {
		at.inFlight = false
		ow.window.inFlight--
	}
}
