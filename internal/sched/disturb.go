package sched

import (
	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
)

// disturbs rates how much a filler would disturb the services on a worker, and
// by how much headroom would be short of the wanted one through it.
func (ca *candidate) disturbs(st *job.Step) (sum, over float64) {
	part := share(st.Each.MilliCores, ca.ho.Holds.MilliCores)
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

// services sums the services on the worker up, once until something is placed
// there.
func (ca *candidate) services() []serving {
	if ca.summed {
		return ca.sums
	}
	ca.summed, ca.sums = true, ca.sums[:0]
	for _, at := range ca.ho.services {
		if at.serves() {
			ca.sum(at.step().Image, ca.ho.excess(at, roomy))
		}
	}
	return ca.sums
}

func (ca *candidate) sum(image string, excess float64) {
	for i := range ca.sums {
		if se := &ca.sums[i]; se.image == image {
			se.count++
			se.excess = max(se.excess, excess)
			return
		}
	}
	ca.sums = append(ca.sums, serving{image: image, count: 1, excess: excess})
}

// Weights of disturbance in the rating of a worker, against the share of its
// processors that is idle.
const (
	disturbWeight = 0.1
	overWeight    = 0.7
)
