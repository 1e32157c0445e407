package sched

import "github.com/pepperhatch/pepperhatch/internal/job"

// score rates a worker for a task; the highest wins. Fillers go where most
// processor time is idle. All others go where least is left unreserved, so that
// large tasks find room elsewhere, and workers without services are left to
// fillers that would disturb any.
func (ca *candidate) score(en *entry, st *job.Step) float64 {
	score := -share(ca.free.MilliCores, ca.ho.Holds.MilliCores)
	if st.Filler {
		sum, over := ca.disturbance(st)
		score = share(ca.idle, ca.ho.Holds.MilliCores) - disturbanceWeight*sum - excessWeight*over
	}
	if st.Endless && st.Image != "" {
		score += ca.affinity(en, st.Image)
	}
	if st.Rack != "" && st.Rack != ca.ho.Rack {
		score -= otherRackPenalty
	}
	if en.failedOn[ca.ho.incarnation] {
		score -= failedPenalty
	}
	return score - float64(ca.ho.failures)*perFailurePenalty
}

// kinship rates the company that an endless task would have. A filler must suit
// every service on its worker, so it finds a place more easily if a worker's
// services suffer alike: those of one image do, and others may be seen to. Replicas
// of one step share their load, so side by side they leave room to fillers at the
// same time.
func (ca *candidate) affinity(en *entry, image string) float64 {
	ow, all := ca.ho.ow, len(ca.ho.services)
	if all == 0 {
		return 0
	}
	similar, sameJob := 0.0, 0
	for _, at := range ca.ho.services {
		similar += ow.imageSimilarity(image, at.step().Image)
		if at.en == en {
			sameJob++
		}
	}
	sum := 0.0
	if ow.uses(MechSeparateImages) {
		sum += imageWeight * similar / float64(all)
	}
	if ow.uses(MechColocateReplicas) {
		sum += jobWeight * balance(sameJob, all)
	}
	return sum
}

// imagePair is two images of services.
type imagePair struct{ a, b string }

// alike rates how alike two images of services suffer from fillers, from -1 to 1.
// It is worked out once a round of placement.
func (ow *Owner) imageSimilarity(a, b string) float64 {
	switch {
	case a == b:
		return 1
	case !ow.uses(MechSimilarImages):
		return -1
	}
	pa := imagePair{a, b}
	if known, ok := ow.similarity[pa]; ok {
		return known
	}
	ow.similarity[pa] = ow.model.Similarity(a, b)
	return ow.similarity[pa]
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
	otherRackPenalty = 0.5
	// failedPenalty keeps a job's tasks off a worker that failed one of them.
	failedPenalty = 4
	// doubtPenalty is for each attempt that failed there since one was done.
	perFailurePenalty = 1
)
