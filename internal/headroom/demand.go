// Package headroom decides how much capacity of a service new long-running tasks leave to short
// work, and on which workers.
//
// Short work is the tasks that reserve processors and end by themselves. The cores that it would
// use if every task found a worker at once are random: steps arrive at random and have many tasks.
// By Little's law their mean is the rate of arriving work, in core-seconds per second. Where steps
// arrive independently of each other, the variance is the rate of the squared cores of a step
// times its duration. [Demand] measures both, [Select] chooses the workers that cover them.
package headroom

import (
	"math"
	"time"
)

// Time constants of the two averages of a [Demand].
const (
	// shortWindow is long enough to include many steps and short enough to show a burst of a
	// few seconds. longWindow averages over bursts and, as long-running tasks take minutes to
	// make way, over the gaps between them.
	shortWindow = 2 * time.Second
	longWindow  = 15 * time.Second
)

const (
	// assumedDuration is that of a task without an estimate.
	assumedDuration = time.Second
	// maxCorrection bounds the learnt correction of estimates in both directions. Estimates are
	// known to be off by up to nine tenths.
	maxCorrection = 10
	// quantile is the number of standard deviations over the mean below which a normal variable
	// is in 95 of 100 cases. Callers need a worker at once for 95 of 100 short tasks; the value of
	// the other tasks falls slowly enough to wait for one of them to end.
	quantile = 1.645
	// negligible is a demand in thousandths of a core that is treated as none.
	negligible = 1
)

// Demand measures the arriving short work of one service and priority. Its zero value is ready to
// use.
type Demand struct {
	// work and square add up, in both windows, the work of arriving steps and the squares of
	// their cores times their duration. taskWork is the work weighted with the size of a task.
	workShort, workLong, squareLong, taskWork float64
	// estimated and taken add up the estimated and the observed work of tasks that ended.
	estimated, taken float64
	// at is the time up to which the sums have decayed, since the start of the observation.
	at, since time.Time
}

// Arrive records a step whose tasks may start from now on: their number, the cores of each in
// thousandths, and their estimated duration, 0 if unknown.
func (de *Demand) Arrive(tasks int, milliCores int64, estimate time.Duration, now time.Time) {
	if de.since.IsZero() {
		de.since = now
	}
	de.decay(now)
	took := time.Duration(float64(orAssumed(estimate)) * de.correction())
	cores := float64(tasks) * float64(milliCores)
	// The averages take the work as done on arrival. More than the length of the window would
	// count as more cores than the step can use.
	long := min(took, longWindow).Seconds()
	de.workShort += cores * min(took, shortWindow).Seconds()
	de.workLong += cores * long
	de.squareLong += cores * cores * long
	de.taskWork += cores * long * float64(milliCores)
}

// Seed records a step some of whose tasks run or wait at the start of the observation. The cores
// in use at one moment are an estimate of their mean, so they count as if they had been in use
// before.
func (de *Demand) Seed(tasks int, milliCores int64, now time.Time) {
	de.decay(now)
	de.since = now.Add(-10 * longWindow)
	cores, long := float64(tasks)*float64(milliCores), longWindow.Seconds()
	de.workShort += cores * shortWindow.Seconds()
	de.workLong += cores * long
	de.squareLong += cores * cores * long
	de.taskWork += cores * long * float64(milliCores)
}

// End records that a task of the given estimate has ended, and for how long it held its cores.
func (de *Demand) End(milliCores int64, estimate, took time.Duration, now time.Time) {
	de.decay(now)
	de.estimated += float64(milliCores) * min(orAssumed(estimate), longWindow).Seconds()
	de.taken += float64(milliCores) * min(took, longWindow).Seconds()
}

// Load returns the measured demand.
func (de *Demand) Load(now time.Time) Load {
	de.decay(now)
	long := de.span(longWindow, now)
	lo := Load{Mean: de.workLong / long, Recent: de.workShort / de.span(shortWindow, now), Variance: de.squareLong / long}
	lo.sized = de.taskWork / long
	if lo.Mean < negligible && lo.Recent < negligible {
		return Load{}
	}
	return lo
}

// decay lets the sums decay up to now.
func (de *Demand) decay(now time.Time) {
	if elapsed := now.Sub(de.at); elapsed > 0 && !de.at.IsZero() {
		short, long := math.Exp(-elapsed.Seconds()/shortWindow.Seconds()), math.Exp(-elapsed.Seconds()/longWindow.Seconds())
		de.workShort *= short
		de.workLong *= long
		de.squareLong *= long
		de.taskWork *= long
		de.estimated *= long
		de.taken *= long
	}
	if now.After(de.at) {
		de.at = now
	}
}

// span returns the length in seconds that a sum in the window covers. After a short observation it
// is that observation, but at least shortWindow: the first steps alone say little about the rate.
func (de *Demand) span(window time.Duration, now time.Time) float64 {
	observed := max(now.Sub(de.since), shortWindow).Seconds()
	return window.Seconds() * (1 - math.Exp(-observed/window.Seconds()))
}

// correction returns the ratio of observed to estimated durations of the tasks that ended lately.
func (de *Demand) correction() float64 {
	if de.estimated < negligible {
		return 1
	}
	return min(max(de.taken/de.estimated, 1.0/maxCorrection), maxCorrection)
}

func orAssumed(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return assumedDuration
	}
	return estimate
}

// Load is a measured demand, in thousandths of a core. The zero value means that there is none.
type Load struct {
	// Mean is the mean over the long window, Recent that over the short one, and Variance the
	// variance of the cores in use.
	Mean, Recent, Variance float64
	// sized is the mean weighted with the size of a task.
	sized float64
}

// Add returns the sum of two independent demands.
func (lo Load) Add(other Load) Load {
	return Load{Mean: lo.Mean + other.Mean, Recent: lo.Recent + other.Recent, Variance: lo.Variance + other.Variance, sized: lo.sized + other.sized}
}

// Need returns the cores, in thousandths, in which short tasks find a worker at once in 95 of 100
// cases: the mean with a margin for its variance, or the recent demand during a burst that is
// larger. The recent demand gets no margin, as it contains the variation that the margin is for.
func (lo Load) Need() int64 {
	return int64(max(lo.Mean+quantile*math.Sqrt(lo.Variance), lo.Recent))
}

// Task returns the size of a task, in thousandths of a core, as the mean over all cores in demand.
func (lo Load) Task() int64 {
	if lo.Mean <= 0 {
		return 0
	}
	return int64(math.Round(lo.sized / lo.Mean))
}
