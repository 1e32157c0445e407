package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
)

// disturbs rates how much a filler would disturb the services on a worker, and
// by how much headroom would be short of the wanted one through it.
func (ca *candidate) disturbs(st *job.Step) (sum, over float64) {
	part := share(st.Each.MilliCores, ca.ho.Capacity.MilliCores)
	for _, se := range ca.services() {
		drop := ca.ho.ow.model.Drop(interfere.Pair{Service: se.image, Filler: st.Image}) * part
		sum += drop * float64(se.count)
		if drop > harmless {
			over = max(over, se.excess+drop)
		}
	}
	return sum, over
}

// serving is what placement needs to know of the services of one image on a
// worker: how many there are, and the excess of the one that is worst off.
type serving struct {
	image  string
	count  int
	excess float64
}

// sumsKept is how long sums of services stay good while nothing changes on their
// worker but time: their load moves by a hundredth of itself in it.
const sumsKept = 100 * time.Millisecond

// services sums the services on the worker up, if anything there has changed.
func (ca *candidate) services() []serving {
	fi, now := &ca.ho.fillers, time.Now()
	if !fi.summedAt.IsZero() && now.Sub(fi.summedAt) < sumsKept {
		return fi.sums
	}
	fi.sums = fi.sums[:0]
	for _, at := range ca.ho.services {
		if at.serves() {
			fi.sum(at.step().Image, ca.ho.excess(at, roomy))
		}
	}
	fi.summedAt = now
	return fi.sums
}

func (fi *fillers) sum(image string, excess float64) {
	for i := range fi.sums {
		if se := &fi.sums[i]; se.image == image {
			se.count++
			se.excess = max(se.excess, excess)
			return
		}
	}
	fi.sums = append(fi.sums, serving{image: image, count: 1, excess: excess})
}

// Weights of disturbance in the rating of a worker, against the share of its
// processors that is idle.
const (
	disturbWeight = 0.1
	overWeight    = 0.7
)
