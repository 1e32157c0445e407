package admission

import (
	"math"
	"time"
)

// Parameters of Throughput.
const (
	// throughputWindow is the time over which observations lose most of their weight. It covers
	// several tasks of usual length, and a loss of workers shows within it.
	throughputWindow = 4 * time.Second
	// idleWindow replaces throughputWindow while no task waits, as the throughput then says
	// nothing of the capacity. Observations expire slowly meanwhile, since bursts often follow
	// one another.
	idleWindow = 20 * time.Second
	// priorTime is the weight of the assumption that estimates are right, as the time in which
	// as much was observed.
	priorTime = time.Second
	// minEfficiency and maxEfficiency bound the result. Estimates are off by up to nine tenths,
	// so that the work done may be ten times the capacity; much less is done only for a short
	// time, as after a loss of workers or while the store is slow.
	minEfficiency = 0.25
	maxEfficiency = 10
)

// Throughput measures the work that is done, in estimated units, while work was waiting, as a
// part of the capacity that there was for it. The zero value has observed nothing.
type Throughput struct {
	// done and offered are the decayed sums of the work done and the capacity.
	done, offered float64
	// pending is the work completed since the last observation at observedAt. waited is set if
	// work was waiting then.
	pending    int64
	observedAt time.Time
	waited     bool
	// running is what running tasks have done, observedRunning the same at observedAt.
	running, observedRunning int64
}

// Complete records completed work.
func (th *Throughput) Complete(work int64) { th.pending += work }

// SetRunning sets the work that the running tasks have done so far. Without it, tasks that take
// longer than the window would count as no work until they end.
func (th *Throughput) SetRunning(done int64) { th.running = done }

// Observe records the capacity since the last observation. It counts only if work was waiting
// at both.
func (th *Throughput) Observe(capacity int64, waiting bool, now time.Time) {
	passed := now.Sub(th.observedAt)
	if waiting && th.waited && passed > 0 {
		decay := math.Exp(-float64(passed) / float64(throughputWindow))
		// Less runs than before if tasks were interrupted: their work has to be done again.
		th.done = max(th.done*decay+float64(th.pending+th.running-th.observedRunning), 0)
		th.offered = th.offered*decay + float64(capacity)*float64(passed)/float64(time.Millisecond)
	} else if passed > 0 {
		decay := math.Exp(-float64(passed) / float64(idleWindow))
		th.done, th.offered = th.done*decay, th.offered*decay
	}
	th.pending, th.observedAt, th.waited, th.observedRunning = 0, now, waiting, th.running
}

// Efficiency returns the work done as a part of the given present capacity, 1 before the
// first observation.
func (th *Throughput) Efficiency(capacity int64) float64 {
	prior := float64(capacity) * float64(priorTime.Milliseconds())
	if prior <= 0 {
		return 1
	}
	return min(max((th.done+prior)/(th.offered+prior), minEfficiency), maxEfficiency)
}
