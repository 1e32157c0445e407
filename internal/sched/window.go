package sched

import "time"

// Numbers of the window.
const (
	// windowFirst is how many starts may be under way at first, windowMost and
	// windowLeast how many at most and at least. With a write of 15 ms and an order
	// of 10 ms, 256 are some 10,000 starts a second.
	windowFirst = 256
	windowMost  = 1024
	windowLeast = 12
	// slowOrder is how long an answer to an order may take before it counts as
	// slow: fifty times the usual, over half of what is waited for.
	slowOrder = 250 * time.Millisecond
	// slowShare is the share of slow answers, of the last slowOf or so, from which
	// on the window shrinks: one slow worker, or a few, are not a reason.
	slowShare = 0.3
	slowOf    = 16
	// shrinkEvery is the least time between two times that the window shrinks, which
	// is how long it takes to show, and shrinkTo what is left of it then.
	shrinkEvery = 250 * time.Millisecond
	shrinkTo    = 0.6
)

// window bounds the starts that are under way: placed, and not yet answered by
// their workers. An owner whose link or processor is full has its answers later and
// later, until it takes all of them for lost; so the window shrinks while answers
// are slow, and grows while they are not. The zero value is ready.
type window struct {
	underWay int
	size     float64
	slow     float64
	shrunk   time.Time
}

// full reports whether no more starts may be under way.
func (wi *window) full() bool { return wi.underWay >= wi.limit() }

func (wi *window) limit() int {
	if wi.size == 0 {
		return windowFirst
	}
	return int(wi.size)
}

// answered takes in how long an answer took, and reports whether the window shrank.
func (wi *window) answered(took time.Duration, now time.Time) bool {
	slow := 0.0
	if took >= slowOrder {
		slow = 1
	}
	wi.slow += (slow - wi.slow) / slowOf
	size := float64(wi.limit())
	if wi.slow < slowShare {
		wi.size = min(size+1, windowMost)
		return false
	}
	if now.Sub(wi.shrunk) < shrinkEvery {
		return false
	}
	wi.shrunk = now
	wi.size = max(size*shrinkTo, windowLeast)
	return true
}

// depart and land count an attempt in and out.
func (ow *Owner) depart(at *attempt) {
	at.underWay = true
	ow.window.underWay++
}

func (ow *Owner) land(at *attempt) {
	if at.underWay {
		at.underWay = false
		ow.window.underWay--
	}
}
