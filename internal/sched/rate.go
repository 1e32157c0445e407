package sched

import "github.com/pepperhatch/pepperhatch/internal/job"

// score rates a worker for a task; the highest wins. Fillers go where most
// processor time is idle. All others go where least is left unreserved, so that
// large tasks find room elsewhere, and workers without services are left to
// fillers that would disturb any.
func (ca *candidate) score(en *entry, st *job.Step) float64 {
	score := -share(ca.free.MilliCores, ca.ho.Capacity.MilliCores)
	if st.Filler {
		sum, over := ca.disturbs(st)
		score = share(ca.idle, ca.ho.Capacity.MilliCores) - disturbWeight*sum - overWeight*over
	}
	if st.Endless && st.Image != "" {
		score += ca.kinship(en, st.Image)
	}
	if st.Rack != "" && st.Rack != ca.ho.Rack {
		score -= farPenalty
	}
	if en.failedOn[ca.ho.incarnation] {
		score -= failedPenalty
	}
	return score - float64(ca.ho.failures)*doubtPenalty
}

// kinship rates the company that an endless task would have. A filler must suit
// every service on its worker, so it finds a place more easily if a worker's
// services suffer alike: those of one image do, and others may be seen to. Replicas
// of one step share their load, so side by side they leave room to fillers at the
// same time.
func (ca *candidate) kinship(en *entry, image string) float64 {
	ow, all := ca.ho.ow, len(ca.ho.services)
	if all == 0 {
		return 0
	}
	alike, sameJob := 0.0, 0
	for _, at := range ca.ho.services {
		alike += ow.alike(image, at.step().Image)
		if at.en == en {
			sameJob++
		}
	}
	sum := 0.0
	if ow.uses(MechApart) {
		sum += imageWeight * alike / float64(all)
	}
	if ow.uses(MechSiblings) {
		sum += jobWeight * balance(sameJob, all)
	}
	return sum
}

// imagePair is two images of services.
type imagePair struct{ a, b string }

// alike rates how alike two images of services suffer from fillers, from -1 to 1.
// It is worked out once a round of placement.
func (ow *Owner) alike(a, b string) float64 {
	switch {
	case a == b:
		return 1
	case !ow.uses(MechAlike):
		return -1
	}
	pa := imagePair{a, b}
	if known, ok := ow.likeness[pa]; ok {
		return known
	}
	ow.likeness[pa] = ow.model.Alike(a, b)
	return ow.likeness[pa]
}

// balance is the share of those that are alike less that of the others.
func balance(alike, all int) float64 { return float64(2*alike-all) / float64(all) }

// Weights of kinship against the share of a worker that is free. That of the image
// goes before any share, by trials at 0.5 and 3; that of the job is as much as half
// a worker, by trials at 0, 0.5 and 1.
const (
	imageWeight = 3
	jobWeight   = 0.5
)

// Penalties of workers that are far from the data, or failed.
const (
	// farPenalty is taken off the share of free room of a worker outside the
	// rack that has the step's data.
	farPenalty = 0.5
	// failedPenalty keeps a job's tasks off a worker that failed one of them.
	failedPenalty = 4
	// doubtPenalty is for each attempt that failed there since one was done.
	doubtPenalty = 1
)
