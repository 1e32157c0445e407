package interfere

import (
	"math"
	"time"
)

// Parameters of a track.
const (
	// priorLevel is the headroom assumed of a service without measurements, priorLevelVar
	// its variance.
	priorLevel    = 3
	priorLevelVar = 4
	// trendNoise is the spectral density of the noise that drives the trend. Loads varied
	// by half of their mean within 10 s.
	trendNoise = 0.6
	// priorTrendVar is the variance of an unknown trend, in (headroom per second) squared.
	priorTrendVar = 0.3
	// trendDecay is the time constant with which a trend decays without measurements.
	trendDecay = 2 * time.Second
)

// Track follows the baseline of the replicas of a step, their headroom without fillers:
// its level and its trend per second. The zero Track has no measurements.
type Track struct {
	level, trend float64
	// levelVar, covariance and trendVar form the covariance matrix of level and trend.
	levelVar, covariance, trendVar float64
	updated                        time.Time
}

// at returns the expected level and trend at a time.
func (tr *Track) at(at time.Time) (level, trend float64) {
	if tr.updated.IsZero() {
		return priorLevel, 0
	}
	ahead := max(at.Sub(tr.updated).Seconds(), 0)
	decay := trendDecay.Seconds()
	fade := math.Exp(-ahead / decay)
	return tr.level + tr.trend*decay*(1-fade), tr.trend * fade
}

// advance moves the track to a later time by prediction. Its first call begins the track.
func (tr *Track) advance(now time.Time) {
	if tr.updated.IsZero() {
		tr.level, tr.levelVar, tr.trendVar, tr.updated = priorLevel, priorLevelVar, priorTrendVar, now
		return
	}
	dt := now.Sub(tr.updated).Seconds()
	if dt <= 0 {
		return
	}
	fade := math.Exp(-dt / trendDecay.Seconds())
	// reach is by how much a trend of 1 changes the level during dt.
	reach := trendDecay.Seconds() * (1 - fade)
	tr.level, tr.trend = tr.at(now)
	tr.levelVar += 2*reach*tr.covariance + reach*reach*tr.trendVar + trendNoise*reach*reach*reach/3
	tr.covariance = fade*(tr.covariance+reach*tr.trendVar) + trendNoise*reach*reach/2
	tr.trendVar = fade*fade*tr.trendVar + trendNoise*reach
	tr.boundVariance()
	tr.updated = now
}

// boundVariance keeps the variance of the level below that of an unknown level.
func (tr *Track) boundVariance() {
	if tr.levelVar <= priorLevelVar {
		return
	}
	tr.covariance *= math.Sqrt(priorLevelVar / tr.levelVar)
	tr.levelVar = priorLevelVar
}

// correct updates the track with a residual of the level whose variance is residualVar.
func (tr *Track) correct(residual, residualVar float64) {
	levelGain, trendGain := tr.levelVar/residualVar, tr.covariance/residualVar
	tr.level += levelGain * residual
	tr.trend += trendGain * residual
	tr.trendVar -= trendGain * tr.covariance
	tr.covariance -= levelGain * tr.covariance
	tr.levelVar -= levelGain * tr.levelVar
}
