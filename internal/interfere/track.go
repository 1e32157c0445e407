package interfere

import (
	"math"
	"time"
)

// The numbers of a track.
const (
	// firstLevel is the headroom assumed of a service of which nothing is
	// known, firstVar its variance.
	firstLevel = 3
	firstVar   = 4
	// wobble is the density of the noise that drives the trend: load was seen
	// to swing by half of itself within 10 s.
	wobble = 0.6
	// trendVar is the variance of a trend not known yet, in headroom a second
	// squared.
	trendVar = 0.3
	// trendLasts is the time within which a trend fades without measurements.
	trendLasts = 2 * time.Second
)

// Track follows the headroom that the replicas of a step have by themselves:
// its level and its trend. The zero Track knows nothing.
type Track struct {
	level, trend float64
	// levelVar, cross and trendVar are the covariance of both.
	levelVar, cross, trendVar float64
	seen                      time.Time
}

// at returns the level expected at a moment, and the trend by then.
func (tr *Track) at(at time.Time) (level, trend float64) {
	if tr.seen.IsZero() {
		return firstLevel, 0
	}
	ahead := max(at.Sub(tr.seen).Seconds(), 0)
	lasts := trendLasts.Seconds()
	fade := math.Exp(-ahead / lasts)
	return tr.level + tr.trend*lasts*(1-fade), tr.trend * fade
}

// advance moves the track on to a moment.
func (tr *Track) advance(now time.Time) {
	if tr.seen.IsZero() {
		tr.level, tr.levelVar, tr.trendVar, tr.seen = firstLevel, firstVar, trendVar, now
		return
	}
	dt := now.Sub(tr.seen).Seconds()
	if dt <= 0 {
		return
	}
	fade := math.Exp(-dt / trendLasts.Seconds())
	reach := trendLasts.Seconds() * (1 - fade)
	tr.level, tr.trend = tr.at(now)
	tr.levelVar += 2*reach*tr.cross + reach*reach*tr.trendVar + wobble*reach*reach*reach/3
	tr.cross = fade*(tr.cross+reach*tr.trendVar) + wobble*reach*reach/2
	tr.trendVar = fade*fade*tr.trendVar + wobble*reach
	tr.bound()
	tr.seen = now
}

// bound keeps the level's variance under that of a level not known at all.
func (tr *Track) bound() {
	if tr.levelVar <= firstVar {
		return
	}
	tr.cross *= math.Sqrt(firstVar / tr.levelVar)
	tr.levelVar = firstVar
}

// correct takes in a miss of the level whose variance is sum.
func (tr *Track) correct(miss, sum float64) {
	byLevel, byTrend := tr.levelVar/sum, tr.cross/sum
	tr.level += byLevel * miss
	tr.trend += byTrend * miss
	tr.trendVar -= byTrend * tr.cross
	tr.cross -= byLevel * tr.cross
	tr.levelVar -= byLevel * tr.levelVar
}
