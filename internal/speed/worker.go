package speed

import (
	"math"
	"slices"
	"time"
)

// Thresholds of the verdict on a worker.
const (
	// MinSlowdown is the slowdown from which on a worker counts as slow.
	MinSlowdown = 2
	// slowEvidence is the logarithm of the likelihood ratio from which on a worker becomes
	// slow. It is above maxGain. suspectEvidence is that from which on a slow worker stays slow,
	// and the ends on any are taken for those of a slow one. Below 0 a worker is healthy.
	slowEvidence    = 6
	suspectEvidence = 2
	// fadeTime is the time constant with which a slowdown fades without observations: workers
	// are slow for 6 to 10 s, and get few tasks while they are.
	fadeTime = 3 * time.Second
)

// Worker is what was observed of a worker's process.
type Worker struct {
	// running has what the current poll says of running attempts, ended that of the latest ends,
	// and jobs the sums by job, kept for its memory.
	running, ended []evidence
	jobs           []jobGains
	// total is the evidence of the last judgement, at judgedAt. slow is the verdict, slowdown its
	// factor, and supportedAt when there was last enough evidence for it. slowSince is when it
	// became slow, confirmed is set once later measurements alone agreed: a worker that was
	// frozen between two polls looks slow until then.
	total                  float64
	judgedAt               time.Time
	slow, confirmed        bool
	slowdown               float64
	slowSince, supportedAt time.Time
	// inputs are those of the last verdict.
	inputs Inputs
}

// evidence is what an attempt says about its worker.
type evidence struct {
	job             string
	filler, changed bool
	gains           gains
	// at is the time of the measurement.
	at time.Time
}

// jobGains is the sum of the gains of a job's attempts on a worker.
type jobGains struct {
	job string
	sum gains
}

// Slowdown returns how many times longer tasks take on the worker than on a healthy one: 1 unless
// it was found to be slow. It returns towards 1 while there are no observations.
func (wk *Worker) Slowdown(now time.Time) float64 {
	if !wk.slow {
		return 1
	}
	age := max(now.Sub(wk.supportedAt), 0)
	return 1 + (wk.slowdown-1)*math.Exp(-age.Seconds()/fadeTime.Seconds())
}

// Slow reports whether the worker counts as slow.
func (wk *Worker) Slow(now time.Time) bool { return wk.Slowdown(now) >= MinSlowdown }

// Confirmed reports whether it counts as slow by measurements at several times.
func (wk *Worker) Confirmed(now time.Time) bool { return wk.confirmed && wk.Slow(now) }

// suspected reports whether the worker is slow, or there is evidence that it may be.
func (wk *Worker) suspected(now time.Time) bool {
	return wk.Slow(now) || (wk.total >= suspectEvidence && now.Sub(wk.judgedAt) < runningAge)
}

func (wk *Worker) recordEnd(ev evidence) { wk.ended = append(wk.ended, ev) }

// Inputs are the inputs of the last verdict on a worker.
type Inputs struct {
	// Attempts counts the attempts with a measurement, Changed those whose own speed fell, and
	// Jobs their jobs. Evidence is the logarithm of the likelihood ratio.
	Attempts, Changed, Jobs int
	Evidence                float64
}

// Inputs returns the inputs of the last verdict.
func (wk *Worker) Inputs() Inputs { return wk.inputs }

// Judge decides whether the worker is slow, after all attempts that a poll listed were observed.
func (wk *Worker) Judge(now time.Time) {
	wk.ended = slices.DeleteFunc(wk.ended, func(ev evidence) bool { return now.Sub(ev.at) >= endedAge })
	defer func() { wk.running = wk.running[:0] }()
	if len(wk.running)+len(wk.ended) == 0 {
		return
	}
	was := wk.Slow(now)
	if bound := wk.evidenceBound(); !was && bound < suspectEvidence {
		wk.total, wk.judgedAt, wk.slow, wk.confirmed = bound, now, false, false
		return
	}
	sum, changed := wk.sum(now, time.Time{})
	wk.total, wk.judgedAt = sum.best(), now
	wk.inputs = Inputs{Attempts: len(wk.running) + len(wk.ended), Changed: changed, Jobs: len(wk.jobs), Evidence: wk.total}
	switch {
	case wk.total >= slowEvidence && !was:
		wk.slow, wk.slowSince, wk.confirmed = true, now, false
	case wk.total < 0 || !was:
		wk.slow, wk.confirmed = false, false
	case !wk.confirmed:
		later, _ := wk.sum(now, wk.slowSince)
		wk.confirmed = later.best() >= slowEvidence
	}
	if wk.slow && wk.total >= suspectEvidence {
		wk.slowdown, wk.supportedAt = max(sum.slowdown(), MinSlowdown), now
	}
}

// evidenceBound returns an upper bound of the evidence that the worker is slow, without the sums by
// job: most polls find a healthy worker, and the sums take a sixth of the owner's time.
func (wk *Worker) evidenceBound() float64 {
	var sum gains
	for _, list := range [][]evidence{wk.running, wk.ended} {
		for i := range list {
			for k, gain := range list[i].gains {
				sum[k] += max(gain, 0)
			}
		}
	}
	return sum.best()
}

// sum adds up the gains of all attempts that were measured after a time, with limits for each
// attempt and job, and counts those whose own speed fell.
func (wk *Worker) sum(now, after time.Time) (sum gains, changed int) {
	wk.jobs = wk.jobs[:0]
	for i := range wk.ended {
		if ev := &wk.ended[i]; ev.at.After(after) {
			wk.jobSum(ev.job).add(ev.limited(), 1-now.Sub(ev.at).Seconds()/endedAge.Seconds())
		}
	}
	for i := range wk.running {
		switch ev := &wk.running[i]; {
		case !ev.at.After(after):
		case ev.changed:
			changed++
			sum.add(ev.gains, 1)
		default:
			wk.jobSum(ev.job).add(ev.limited(), 1)
		}
	}
	for i := range wk.jobs {
		for k, gain := range wk.jobs[i].sum {
			sum[k] += min(gain, maxGain)
		}
	}
	return sum, changed
}

// limited returns the gains within the limits for one attempt.
func (ev *evidence) limited() gains {
	if ev.filler {
		return ev.gains.limited(maxFillerGain)
	}
	return ev.gains.limited(maxGain)
}

// jobSum returns the sum of a job, which it adds if needed.
func (wk *Worker) jobSum(job string) *gains {
	for i := range wk.jobs {
		if wk.jobs[i].job == job {
			return &wk.jobs[i].sum
		}
	}
	wk.jobs = append(wk.jobs, jobGains{job: job})
	return &wk.jobs[len(wk.jobs)-1].sum
}
