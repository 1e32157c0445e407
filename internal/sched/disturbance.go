package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
)

// disturbance returns the sum by which a filler would lower the headroom of the services on
// a worker, and the largest predicted excess of a service over placeBelowPart with the
// filler there; zero or less if there is none.
func (ca *candidate) disturbance(st *job.Step) (sum, over float64) {
	part := share(st.Each.MilliCores, ca.ho.Capacity.MilliCores)
	for _, se := range ca.serviceSummaries() {
		drop := ca.ho.ow.model.Drop(interfere.Pair{Service: se.image, Filler: st.Image}) * part
		sum += drop * float64(se.count)
		if drop > minPlacementDrop {
			over = max(over, se.excess+drop)
		}
	}
	return sum, over
}

// imageServices sums up the services of one image on a worker for placement: how many there
// are, and the largest excess among them.
type imageServices struct {
	image  string
	count  int
	excess float64
}

// summaryMaxAge is how long summaries of services stay valid while nothing but time changes
// on their worker: their load changes by a hundredth of itself within it.
const summaryMaxAge = 100 * time.Millisecond

// serviceSummaries returns the summaries of the services on the worker, computed again if
// they are outdated.
func (ca *candidate) serviceSummaries() []imageServices {
	fi, now := &ca.ho.fillers, time.Now()
	if !fi.summariesAt.IsZero() && now.Sub(fi.summariesAt) < summaryMaxAge {
		return fi.summaries
	}
	fi.summaries = fi.summaries[:0]
	for _, at := range ca.ho.services {
		if at.serves() {
			fi.addService(at.step().Image, ca.ho.excess(at, placeBelowPart))
		}
	}
	fi.summariesAt = now
	return fi.summaries
}

func (fi *fillerStats) addService(image string, excess float64) {
	for i := range fi.summaries {
		if se := &fi.summaries[i]; se.image == image {
			se.count++
			se.excess = max(se.excess, excess)
			return
		}
	}
	fi.summaries = append(fi.summaries, imageServices{image: image, count: 1, excess: excess})
}

// Weights of interference in the score of a worker, relative to the idle share of its
// processors.
const (
	disturbanceWeight = 0.1
	excessWeight      = 0.7
)
