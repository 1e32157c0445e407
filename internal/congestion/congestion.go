// Package congestion bounds how many starts of tasks are in flight, so that an owner whose link or
// processor is saturated does not start more than it gets answers for.
//
// [Window] sees how long answers took, and how long the owner's own work waits. It cannot tell a
// saturated link from many slow workers, and treats both alike; a lost answer counts like one that
// took as long as its timeout.
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
	// Work of the owner that waits for longLag shrinks the window, the more the longer it waits,
	// down to minLagWindow; while it waits for shortLag, the window doesn't grow. A start that is
	// urgent may lose 250 ms, and passes through the owner four times.
	shortLag           = 20 * time.Millisecond
	longLag            = 40 * time.Millisecond
	maxLagShrinkFactor = 0.8
	minLagShrinkFactor = 0.4
	minLagWindow       = 64
	lagGrowth          = 16
	// agedShare is the share of the window that is reserved for aged starts, as 1 in this many.
	agedShare = 8
)

// Window bounds the starts in flight: those of tasks that are placed and whose workers
// have not answered yet. When the owner's link or processor is saturated, answers arrive later and
// later until all of them time out. The window therefore shrinks while answers are slow or the owner's
// work waits, and grows while neither is the case. The zero value is ready.
//
// A start counts against those of its own priority and of lower ones, so that urgent tasks don't wait
// behind others. A part of the window is for aged starts, which would otherwise wait for as long as
// more urgent tasks arrive.
type Window struct {
	inFlight, agedInFlight int
	// byPriority has the starts in flight by priority.
	byPriority map[int]int
	// size is the size of the window in starts, 0 before the first answer.
	size float64
	// slowRate is the moving average of the share of slow answers, shrunkAt when the window
	// last shrank. lagging is set while the owner's work waits, lagged once the window has shrunk
	// for that.
	slowRate        float64
	shrunkAt        time.Time
	lagging, lagged bool
}

// Start is a start in flight.
type Start struct {
	// Priority is the priority of its job; lower numbers are more urgent.
	Priority int
	// Aged is set if its job has waited for so long that it starts beside more urgent ones.
	Aged bool
}

// Begin adds a start to those in flight.
func (wi *Window) Begin(st Start) { wi.add(st, 1) }

// End removes a start from those in flight.
func (wi *Window) End(st Start) { wi.add(st, -1) }

func (wi *Window) add(st Start, n int) {
	if wi.byPriority == nil {
		wi.byPriority = map[int]int{}
	}
	wi.inFlight += n
	wi.byPriority[st.Priority] += n
	if st.Aged {
		wi.agedInFlight += n
	}
}

// InFlight returns the number of starts in flight.
func (wi *Window) InFlight() int { return wi.inFlight }

// Full reports whether no more such starts may be in flight.
func (wi *Window) Full(st Start) bool {
	if st.Aged {
		return wi.agedInFlight >= max(wi.Limit()/agedShare, 1)
	}
	ahead := 0
	for priority, n := range wi.byPriority {
		if priority <= st.Priority {
			ahead += n
		}
	}
	return ahead >= wi.Limit()
}

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
	size := wi.size
	if size == 0 {
		size = initialWindow
	}
	if wi.slowRate < slowShare {
		if !wi.lagging {
			wi.size = min(size+wi.growth(size), maxWindow)
		}
		return false
	}
	return wi.shrink(shrinkFactor, minWindow, now)
}

// growth returns by how much the window grows with an answer. Once it has shrunk because the owner's
// work waited, it grows more slowly the larger it is, so that it does not oscillate.
func (wi *Window) growth(size float64) float64 {
	if !wi.lagged {
		return 1
	}
	return lagGrowth / size
}

// RecordLag adjusts the window to how long the owner's work has waited lately, and reports whether it
// shrank.
func (wi *Window) RecordLag(lag time.Duration, now time.Time) bool {
	wi.lagging = lag >= shortLag
	if lag < longLag || wi.Limit() <= minLagWindow {
		return false
	}
	wi.lagged = true
	factor := float64(longLag) / float64(lag)
	return wi.shrink(min(max(factor, minLagShrinkFactor), maxLagShrinkFactor), minLagWindow, now)
}

func (wi *Window) shrink(factor, least float64, now time.Time) bool {
	if now.Sub(wi.shrunkAt) < shrinkInterval {
		return false
	}
	wi.shrunkAt = now
	wi.size = max(float64(wi.Limit())*factor, least)
	return true
}
