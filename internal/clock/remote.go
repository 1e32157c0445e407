package clock

import "time"

// Drift bounds how much faster or slower than true time the clock of another process may run, as
// a fraction of it.
const Drift = 0.02

// MaxElapsed returns the longest time in which the clock of another process advances by the given
// milliseconds.
func MaxElapsed(ms int64) time.Duration {
	return time.Duration(float64(ms) * float64(time.Millisecond) / (1 - Drift))
}

// Remote relates the clock of another process, which is read in milliseconds and only with the
// answers to requests, to the local clock. The zero value has no reading yet.
type Remote struct {
	// known is set once there is a reading: anchorMS, taken no earlier than anchorAt.
	known    bool
	anchorMS int64
	anchorAt time.Time
}

// Observe records a reading from the answer to a request that was sent and answered at the given
// local times. It returns the earliest time at which the reading can have been taken, which is
// between the two. A late answer does not make the reading any later, as the time between two
// readings is known within [Drift].
func (re *Remote) Observe(sent, answered time.Time, readingMS int64) time.Time {
	earliest := re.earliest(readingMS)
	if !re.known || !earliest.After(sent) || earliest.After(answered) {
		re.known, re.anchorMS, re.anchorAt = true, readingMS, sent
		return sent
	}
	return earliest
}

// earliest returns the earliest time at which the clock can have shown the reading, by the anchor
// alone.
func (re *Remote) earliest(readingMS int64) time.Time {
	const resolution = time.Millisecond
	elapsed := time.Duration(readingMS-re.anchorMS)*time.Millisecond - resolution
	if elapsed < 0 {
		return re.anchorAt.Add(time.Duration(float64(elapsed) / (1 - Drift)))
	}
	return re.anchorAt.Add(time.Duration(float64(elapsed) / (1 + Drift)))
}
