package sched

import (
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
)

// The numbers of figures that workers report.
const (
	// usageWindow is the time that a worker's figures are of.
	usageWindow = 500 * time.Millisecond
	// steadyAfter is how long after a change of pace a filler's figure is of
	// the new pace alone.
	steadyAfter = usageWindow + 200*time.Millisecond
	// usesLeast and usesMost bound what part of its declared processor time a
	// filler is taken to use, usesRate is the part by which that is corrected
	// with a figure.
	usesLeast = 0.3
	usesMost  = 1.2
	usesRate  = 0.5
)

// fillers follows what fills a worker.
type fillers struct {
	// ended are fillers that were still at work within the last window.
	ended []endedFiller
	// expected are the shares by the paces ordered, or nil if they are to be
	// summed up anew, and sums those services, summed up at summedAt.
	expected interfere.Shares
	sums     []serving
	summedAt time.Time
	// measured is when the services were last measured.
	measured time.Time
}

// change has what was summed up summed up anew.
func (fi *fillers) change() { fi.expected, fi.summedAt = nil, time.Time{} }

// endedFiller is a filler that ended, with the share that it used.
type endedFiller struct {
	image string
	share float64
	at    time.Time
}

func (at *attempt) step() *job.Step { return &at.en.jo.Spec.Steps[at.ref.Step] }

// serves reports whether the attempt has a target to keep.
func (at *attempt) serves() bool {
	return at.usage > 0 && at.step().HasTarget()
}

// speed is the pace in per cent that the attempt is taken to work at.
func (at *attempt) speed() int {
	if at.pace < 0 {
		return fullPace
	}
	return at.pace
}

// fullShare is the share of the worker's processors that a filler uses at full
// speed.
func (at *attempt) fullShare() float64 {
	declared := share(at.step().Each.MilliCores, at.ho.Capacity.MilliCores)
	if at.uses == 0 {
		return declared
	}
	return at.uses * declared
}

// expectedShare is the share that a filler uses at its pace.
func (at *attempt) expectedShare() float64 {
	return at.fullShare() * float64(at.speed()) / fullPace
}

// seeUsage learns what part of its declared processor time a filler uses.
func (at *attempt) seeUsage(now time.Time) {
	if !at.step().Filler || at.usage <= 0 || at.pace < fullPace || now.Sub(at.pacedAt) < steadyAfter || now.Sub(at.launched) < steadyAfter {
		return
	}
	uses := min(max(share(at.usage, at.step().Each.MilliCores), usesLeast), usesMost)
	if at.uses == 0 {
		at.uses = uses
		return
	}
	at.uses += usesRate * (uses - at.uses)
}

// usedShares are the shares of fillers over the window that ends now, as the
// worker reported them.
func (ho *workerState) usedShares(now time.Time) interfere.Shares {
	sh := interfere.Shares{}
	for at := range ho.attempts {
		if !at.step().Filler || at.launched.IsZero() {
			continue
		}
		at.seeUsage(now)
		if at.usage > 0 {
			sh[at.step().Image] += share(at.usage, ho.Capacity.MilliCores)
		}
	}
	for _, ef := range ho.fillers.ended {
		if within := usageWindow - now.Sub(ef.at); within > 0 {
			sh[ef.image] += ef.share * within.Seconds() / usageWindow.Seconds()
		}
	}
	return sh
}

// expectedShares are the shares of fillers by the paces ordered, those on their
// way to the worker included.
func (ho *workerState) expectedShares() interfere.Shares {
	if ho.fillers.expected != nil {
		return ho.fillers.expected
	}
	ho.fillers.expected = interfere.Shares{}
	for at := range ho.attempts {
		if at.step().Filler {
			ho.fillers.expected[at.step().Image] += at.expectedShare()
		}
	}
	return ho.fillers.expected
}

// noteEnded keeps the share of a filler that is taken off the worker.
func (ho *workerState) noteEnded(at *attempt, now time.Time) {
	ho.fillers.change()
	if at.step().Filler && !at.launched.IsZero() {
		ho.fillers.ended = append(ho.fillers.ended, endedFiller{image: at.step().Image, share: at.expectedShare(), at: now})
	}
}

// measure learns from the figures of a look and sets the pace of fillers.
func (ho *workerState) measure(got time.Time) {
	fi := &ho.fillers
	if got.Sub(fi.measured) < usageWindow/2 {
		return
	}
	fi.measured = got
	fi.change()
	used := ho.usedShares(got)
	for _, at := range ho.services {
		if at.serves() {
			me := interfere.Measurement{At: got, TailMS: at.usage, TargetMS: at.step().TargetMS, Shares: used}
			ho.ow.model.Observe(&at.replica, at.step().Image, me)
		}
	}
	fi.ended = slices.DeleteFunc(fi.ended, func(ef endedFiller) bool { return got.Sub(ef.at) > usageWindow })
	ho.control(got)
}

// lookAhead is how far ahead of the figures control looks.
func (ow *Owner) lookAhead() time.Duration {
	if !ow.uses(MechTrend) {
		return 0
	}
	return ahead
}

// excess is by how much a service's headroom is expected to be short of that at
// the wanted part of its target, with the fillers as ordered.
func (ho *workerState) excess(at *attempt, part float64) float64 {
	left := at.replica.Alone(time.Now().Add(ho.ow.lookAhead())) - ho.ow.model.Load(at.step().Image, ho.expectedShares())
	return 1/part - left
}
