package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Parameters for the usage that workers report.
const (
	// usageWindow is the interval that a worker's reported usage covers: processor time, or
	// the tail latency of services.
	usageWindow = 500 * time.Millisecond
	// steadyPaceAfter is how long after a change of pace a filler's reported usage covers
	// the new pace only.
	steadyPaceAfter = usageWindow + 200*time.Millisecond
	// minCPUShare and maxCPUShare bound the part of its declared processor time that a filler
	// is assumed to use, cpuShareSmoothing is the weight of a new report in that estimate.
	minCPUShare       = 0.3
	maxCPUShare       = 1.2
	cpuShareSmoothing = 0.5
)

// fillerStats tracks the processor time that fillers use on a worker, and values that placement
// derives from it.
type fillerStats struct {
	// ended are fillers that ended within the last usage window.
	ended []endedFiller
	// expectedShares are the shares of fillers at the ordered paces; nil if they have to be
	// computed again. summaries are the services by image, computed at summariesAt.
	expectedShares interfere.Shares
	summaries      []imageServices
	summariesAt    time.Time
	// held is set if the fillers were to be held at summariesAt.
	held bool
	// clock dates the figures of the worker. figuresAt is the earliest time as of which those that
	// were last used can be.
	clock     clock.Remote
	figuresAt time.Time
	// hold is the hold of the fillers.
	hold hold
}

// invalidate discards the derived values, so that they are computed again.
func (fs *fillerStats) invalidate() { fs.expectedShares, fs.summariesAt = nil, time.Time{} }

// endedFiller is a filler that ended, with the share of the worker's processors that it
// used.
type endedFiller struct {
	image string
	share float64
	at    time.Time
}

func (at *attempt) step() *job.Step { return &at.tj.jo.Spec.Steps[at.ref.Step] }

// isMeasuredService reports whether the attempt is a service with a latency target that has
// reported its tail latency.
func (at *attempt) isMeasuredService() bool {
	return at.usage > 0 && at.step().HasTarget()
}

// effectivePace returns the pace in per cent at which the attempt is assumed to work: full
// speed if it is unknown.
func (at *attempt) effectivePace() int {
	if at.pace < 0 {
		return fullPace
	}
	return at.pace
}

// fullShare returns the share of the worker's processors that a filler uses at full speed.
func (at *attempt) fullShare() float64 {
	declared := share(at.step().Each.MilliCores, at.wk.Capacity.MilliCores)
	if at.cpuShare == 0 {
		return declared
	}
	return at.cpuShare * declared
}

// expectedShare returns the share of the worker's processors that a filler uses at its
// pace.
func (at *attempt) expectedShare() float64 {
	return at.fullShare() * float64(at.effectivePace()) / fullPace
}

// learnUsage updates the estimate of the part of its declared processor time that a filler
// uses, by the usage as of the given time.
func (at *attempt) learnUsage(taken time.Time) {
	if !at.step().Filler || at.usage <= 0 || at.pace < fullPace || taken.Sub(at.pacedAt) < steadyPaceAfter || taken.Sub(at.launchedAt) < steadyPaceAfter {
		return
	}
	cpuShare := min(max(share(at.usage, at.step().Each.MilliCores), minCPUShare), maxCPUShare)
	if at.cpuShare == 0 {
		at.cpuShare = cpuShare
		return
	}
	at.cpuShare += cpuShareSmoothing * (cpuShare - at.cpuShare)
}

// usedShares returns the shares of the worker's processors that fillers used in the window
// that ends at taken, by image, as the worker reported them.
func (wk *workerState) usedShares(taken time.Time) interfere.Shares {
	sh := interfere.Shares{}
	for _, at := range wk.pacedFillers() {
		at.learnUsage(taken)
		if at.usage > 0 {
			sh[at.step().Image] += share(at.usage, wk.Capacity.MilliCores)
		}
	}
	for _, ef := range wk.fillers.ended {
		if within := min(usageWindow-taken.Sub(ef.at), usageWindow); within > 0 {
			sh[ef.image] += ef.share * within.Seconds() / usageWindow.Seconds()
		}
	}
	return sh
}

// expectedShares returns the shares of fillers at the ordered paces by image, including
// attempts that are still being launched.
func (wk *workerState) expectedShares() interfere.Shares {
	if wk.fillers.expectedShares != nil {
		return wk.fillers.expectedShares
	}
	wk.fillers.expectedShares = interfere.Shares{}
	for at := range wk.allAttempts() {
		if at.step().Filler {
			wk.fillers.expectedShares[at.step().Image] += at.expectedShare()
		}
	}
	return wk.fillers.expectedShares
}

// recordEndedFiller records the share of a filler that is removed from the worker.
func (wk *workerState) recordEndedFiller(at *attempt, now time.Time) {
	wk.fillers.invalidate()
	if at.step().Filler && !at.launchedAt.IsZero() {
		wk.fillers.ended = append(wk.fillers.ended, endedFiller{image: at.step().Image, share: at.expectedShare(), at: now})
	}
}

// dateUsage returns the earliest time as of which the worker can have reported the usage in the
// result of a poll that was sent and answered at the given times.
func (fs *fillerStats) dateUsage(res worker.PollResult, sent, got time.Time) time.Time {
	taken := fs.clock.Observe(sent, got, res.ClockMS)
	if res.UsageClockMS != 0 {
		taken = taken.Add(-clock.MaxElapsed(res.ClockMS - res.UsageClockMS))
	}
	return taken
}

// measure updates the model from the usage reported by a poll, at most once per half usage
// window, and adjusts the paces of fillers. The usage is as of some time after taken, and the
// answer to the poll may be late.
func (wk *workerState) measure(taken, got time.Time) {
	fs := &wk.fillers
	if taken.Sub(fs.figuresAt) < usageWindow/2 {
		return
	}
	fs.figuresAt = taken
	fs.invalidate()
	used := wk.usedShares(taken)
	for _, at := range wk.services {
		if at.isMeasuredService() {
			me := interfere.Measurement{At: taken, TailMS: at.usage, TargetMS: at.step().TargetMS, Shares: used}
			wk.ow.model.Observe(&at.replica, at.step().Image, me)
		}
	}
	wk.recordOverTarget(taken)
	wk.checkPaces(taken)
	fs.ended = slices.DeleteFunc(fs.ended, func(ef endedFiller) bool { return taken.Sub(ef.at) > usageWindow })
	wk.adjustPaces(got)
}

// predictionHorizon returns how far ahead the load of services is predicted.
func (ow *Owner) predictionHorizon() time.Duration {
	if !ow.enabled(MechTrend) {
		return 0
	}
	return predictAhead
}

// excess returns by how much a service's headroom, the ratio of its target to its tail latency,
// is predicted to fall short of the headroom at the given part of its target, with the fillers
// at their ordered paces. It is negative if the headroom is larger.
func (wk *workerState) excess(at *attempt, part float64) float64 {
	left := at.replica.Baseline(time.Now().Add(wk.ow.predictionHorizon())) - wk.ow.model.PredictedDrop(at.step().Image, wk.expectedShares())
	return 1/part - left
}
