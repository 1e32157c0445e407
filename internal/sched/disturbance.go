package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
)

// disturbs rates how much a filler would disturb the services on a worker, and
// by how much headroom would be short of the wanted one through it.
func (ca *candidate) disturbance(st *job.Step) (sum, over float64) {
	part := share(st.Each.MilliCores, ca.ho.Holds.MilliCores)
	for _, se := range ca.serviceSummaries() {
		drop := ca.ho.ow.model.Drop(interfere.Pair{Service: se.image, Filler: st.Image}) * part
		sum += drop * float64(se.count)
		if drop > minPlacementDrop {
			over = max(over, se.excess+drop)
		}
	}
	return sum, over
}

// serving is what placement needs to know of the services of one image on a
// worker: how many there are, and the excess of the one that is worst off.
type imageServices struct {
	image  string
	count  int
	excess float64
}

// sumsKept is how long sums of services stay good while nothing changes on their
// worker but time: their load moves by a hundredth of itself in it.
const summaryMaxAge = 100 * time.Millisecond

// services sums the services on the worker up, if anything there has changed.
func (ca *candidate) serviceSummaries() []imageServices {
	fi, now := &ca.ho.fill, time.Now()
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

// Weights of disturbance in the rating of a worker, against the share of its
// processors that is idle.
const (
	disturbanceWeight = 0.1
	excessWeight      = 0.7
)
