package speed

import (
	"math"
	"time"
)

// Limits on stopping attempts on slow workers.
const (
	// slowFor is how long a worker is expected to stay slow: they are slow for 6 to 10 s, and
	// are found to be so after 1 to 2 s.
	slowFor = 5 * time.Second
	// restartTime is the time until a stopped attempt runs elsewhere: the order to stop it, the
	// write of its end and of the next start, and the order to start it.
	restartTime = 700 * time.Millisecond
	// minSaved is the least time that a stop must save if the next attempt resumes, and
	// minSavedAnew if it begins anew, which also does work twice.
	minSaved     = 300 * time.Millisecond
	minSavedAnew = time.Second
	// maxLostPercent is the progress up to which an attempt is stopped although its work is
	// lost, nearlyDonePercent that from which on none is stopped. A task of 0.8 s on a worker
	// that is five times slower has done a fifth when the verdict is confirmed.
	maxLostPercent    = 30
	nearlyDonePercent = 85
)

// Escape describes an attempt on a slow worker that could be stopped to continue elsewhere.
type Escape struct {
	// Total is the time of the whole task on a healthy worker, Slowdown that of its worker.
	Total    time.Duration
	Slowdown float64
	// Percent is its progress. Resumes is set if the next attempt resumes there.
	Percent int
	Resumes bool
}

// Escape returns the description of an attempt by its last observation.
func (mo *Model) Escape(wk *Worker, at *Attempt, ob Observation, resumes bool, now time.Time) Escape {
	es := Escape{Slowdown: wk.Slowdown(now), Percent: ob.Percent, Resumes: resumes}
	es.Total = time.Duration(float64(ob.Estimate) * mo.Ratio(ob.Kind))
	if !at.measuredAt.IsZero() && now.Sub(at.measuredAt) <= runningAge {
		es.Total = time.Duration(float64(ob.Estimate) * math.Exp(at.logRatio) / es.Slowdown)
	}
	return es
}

// Saved returns by how much sooner the task is expected to end if it is stopped now.
func (es Escape) Saved() time.Duration {
	rest := time.Duration(float64(es.Total) * float64(100-es.Percent) / 100)
	stays := time.Duration(float64(rest) * es.Slowdown)
	if stays > slowFor {
		stays = slowFor + rest - time.Duration(float64(slowFor)/es.Slowdown)
	}
	if es.Resumes {
		return stays - restartTime - rest
	}
	return stays - restartTime - es.Total
}

// Worthwhile reports whether the attempt should be stopped to continue elsewhere.
func (es Escape) Worthwhile() bool {
	switch {
	case es.Slowdown < MinSlowdown || es.Percent >= nearlyDonePercent:
		return false
	case es.Resumes:
		return es.Saved() >= minSaved
	}
	return es.Percent <= maxLostPercent && es.Saved() >= minSavedAnew
}
