package congestion

import "time"

const (
	// rateInterval is the time over which a rate is measured.
	rateInterval = time.Second
	// rateRetention is how long a rate is used after no start has waited any more. Without it,
	// an owner would accept and refuse by turns.
	rateRetention = 10 * time.Second
)

// Rates measures how many starts a second an owner orders while starts wait for it, by priority, and
// forecasts for how long further ones would wait. The zero value is ready.
type Rates struct {
	classes map[int]*rateClass
}

// rateClass is what is known of the starts of one priority.
type rateClass struct {
	// ahead is the number of starts that accepted jobs still take. ordered counts those ordered
	// since, while limitedAt is when starts last waited.
	ahead, ordered   int
	since, limitedAt time.Time
	// perSecond is the rate, 0 before the first measurement.
	perSecond float64
}

// RecordStart records that a start was ordered.
func (ra *Rates) RecordStart(priority int) {
	if cl := ra.classes[priority]; cl != nil {
		cl.ordered++
	}
}

// Limited records that starts of a priority wait for the owner.
func (ra *Rates) Limited(priority int, now time.Time) {
	if ra.classes == nil {
		ra.classes = map[int]*rateClass{}
	}
	cl := ra.classes[priority]
	if cl == nil {
		cl = &rateClass{}
		ra.classes[priority] = cl
	}
	if now.Sub(cl.limitedAt) > rateInterval {
		cl.ordered, cl.since = 0, now
	}
	cl.limitedAt = now
	cl.measure(now)
}

// Priorities returns the priorities for which the owner has lately been the limit. It forgets the
// rates of the others.
func (ra *Rates) Priorities(now time.Time) []int {
	var list []int
	for priority, cl := range ra.classes {
		if now.Sub(cl.limitedAt) > rateRetention {
			delete(ra.classes, priority)
			continue
		}
		list = append(list, priority)
	}
	return list
}

// SetAhead records how many starts the accepted jobs of a priority still take.
func (ra *Rates) SetAhead(priority, starts int) {
	if cl := ra.classes[priority]; cl != nil {
		cl.ahead = starts
	}
}

func (cl *rateClass) measure(now time.Time) {
	elapsed := now.Sub(cl.since)
	if elapsed < rateInterval {
		return
	}
	rate := float64(cl.ordered) / elapsed.Seconds()
	if cl.perSecond > 0 {
		rate = (rate + cl.perSecond) / 2
	}
	cl.perSecond, cl.ordered, cl.since = max(rate, 1), 0, now
}

// Wait returns how long the starts of a priority that are ahead take to be ordered, and how long so
// many further ones take. Both are 0 if the owner is not the limit.
func (ra *Rates) Wait(priority, further int) (ahead, own time.Duration) {
	cl := ra.classes[priority]
	if cl == nil || cl.perSecond == 0 {
		return 0, 0
	}
	take := func(starts int) time.Duration {
		return time.Duration(float64(starts) / cl.perSecond * float64(time.Second))
	}
	return take(cl.ahead), take(further)
}
