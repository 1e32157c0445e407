package sched

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

// startWindow bounds the starts in flight: those of tasks that are placed and whose workers
// have not answered yet. When the owner's link or CPU is saturated, answers arrive later and
// later until all of them time out. The window therefore shrinks while answers are slow, and
// grows while they are not. The zero value is ready.
type startWindow struct {
	inFlight int
	// size is the size of the window in starts, 0 before the first answer.
	size float64
	// slowRate is the moving average of the share of slow answers, shrunkAt when the window
	// last shrank.
	slowRate float64
	shrunkAt time.Time
}

// full reports whether no more starts may be in flight.
func (sw *startWindow) full() bool { return sw.inFlight >= sw.limit() }

func (sw *startWindow) limit() int {
	if sw.size == 0 {
		return initialWindow
	}
	return int(sw.size)
}

// recordAnswer adjusts the window to how long an answer took, and reports whether it shrank.
func (sw *startWindow) recordAnswer(took time.Duration, now time.Time) bool {
	slow := 0.0
	if took >= slowAnswer {
		slow = 1
	}
	sw.slowRate += (slow - sw.slowRate) / slowSamples
	size := float64(sw.limit())
	if sw.slowRate < slowShare {
		sw.size = min(size+1, maxWindow)
		return false
	}
	if now.Sub(sw.shrunkAt) < shrinkInterval {
		return false
	}
	sw.shrunkAt = now
	sw.size = max(size*shrinkFactor, minWindow)
	return true
}

// beginStart adds an attempt to the starts in flight.
func (ow *Owner) beginStart(at *attempt) {
	at.inFlight = true
	ow.window.inFlight++
}

// endStart removes an attempt from the starts in flight, if it is one of them.
func (ow *Owner) endStart(at *attempt) {
	if at.inFlight {
		at.inFlight = false
		ow.window.inFlight--
	}
}
