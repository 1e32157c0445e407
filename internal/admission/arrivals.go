package admission

import "time"

// Times of arriving work.
const (
	// arrivalWindow is the time over which the rate of arriving work is averaged.
	arrivalWindow = 2 * time.Second
	// arrivalHorizon is how long arrivals are expected to continue at that rate. With 2 s, jobs
	// are accepted that end too late; with 6 s, urgent jobs are refused after a short burst.
	arrivalHorizon = 4 * time.Second
)

// Arrivals remembers the accepted work of the last seconds. The zero value is empty.
type Arrivals struct {
	list []arrival
}

type arrival struct {
	work Work
	at   time.Time
}

// Add records work that was accepted.
func (ar *Arrivals) Add(wo Work, now time.Time) {
	ar.list = append(ar.list, arrival{work: wo, at: now})
}

// Recent returns the work that was accepted within the last arrivalWindow, and forgets the rest.
func (ar *Arrivals) Recent(now time.Time) []Work {
	first := 0
	for first < len(ar.list) && now.Sub(ar.list[first].at) > arrivalWindow {
		first++
	}
	ar.list = append(ar.list[:0], ar.list[first:]...)
	list := make([]Work, 0, len(ar.list))
	for _, one := range ar.list {
		list = append(list, one.work)
	}
	return list
}
