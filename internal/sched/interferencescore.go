package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
)

// interferencePenalty predicts what a filler would do to the services on a worker: sum is the
// total drop of their headroom, over the largest excess at placeBelowPart among them (see
// [workerState.excess]), or 0 if there is none. Services whose headroom would drop by
// minPlacementDrop or less do not count for over.
func (ca *candidate) interferencePenalty(st *job.Step) (sum, over float64) {
	part := share(st.Each.MilliCores, ca.wk.Capacity.MilliCores)
	for _, ims := range ca.serviceSummaries() {
		drop := ca.wk.ow.model.Drop(interfere.Pair{Service: ims.image, Filler: st.Image}) * part
		sum += drop * float64(ims.count)
		if drop > minPlacementDrop {
			over = max(over, ims.excess+drop)
		}
	}
	return sum, over
}

// imageServices summarizes the services of one image on a worker for placement: their number,
// and the largest excess at placeBelowPart among them.
type imageServices struct {
	image  string
	count  int
	excess float64
}

// summaryMaxAge is how long summaries of services stay valid while the attempts and paces on
// their worker do not change: the load of a service changes by 1% in that time.
const summaryMaxAge = 100 * time.Millisecond

// serviceSummaries returns the summaries of the services on the worker. It computes them again
// if they are outdated, and with them whether the fillers there are to be held.
func (ca *candidate) serviceSummaries() []imageServices {
	fs, now := &ca.wk.fillers, time.Now()
	if !fs.summariesAt.IsZero() && now.Sub(fs.summariesAt) < summaryMaxAge {
		return fs.summaries
	}
	fs.summaries, fs.held = fs.summaries[:0], ca.wk.holdDue(now)
	for _, at := range ca.wk.services {
		if at.isMeasuredService() {
			fs.addService(at.step().Image, ca.wk.excess(at, placeBelowPart))
		}
	}
	fs.summariesAt = now
	return fs.summaries
}

func (fs *fillerStats) addService(image string, excess float64) {
	for i := range fs.summaries {
		if ims := &fs.summaries[i]; ims.image == image {
			ims.count++
			ims.excess = max(ims.excess, excess)
			return
		}
	}
	fs.summaries = append(fs.summaries, imageServices{image: image, count: 1, excess: excess})
}

// Weights of interference in the score of a worker, relative to the idle share of its
// processors.
const (
	interferenceWeight = 0.1
	excessWeight       = 0.7
)
