package sched

import "github.com/pepperhatch/pepperhatch/internal/job"

// score rates a worker for a task; the highest score wins. Fillers go where the largest
// share of processor time is idle. All others go where the least is left unreserved, so
// that large tasks fit elsewhere and workers without services stay available to fillers
// that interfere with every service.
func (ca *candidate) score(tj *trackedJob, st *job.Step) float64 {
	score := -share(ca.free.MilliCores, ca.wk.Capacity.MilliCores)
	if st.Filler {
		sum, over := ca.interferencePenalty(st)
		score = share(ca.idle, ca.wk.Capacity.MilliCores) - interferenceWeight*sum - excessWeight*over
	}
	if st.LongRunning && st.Image != "" {
		score += ca.affinity(tj, st.Image)
	}
	if st.Rack != "" && st.Rack != ca.wk.Rack {
		score -= otherRackPenalty
	}
	if tj.failedOn[ca.wk.incarnation] {
		score -= failedPenalty
	}
	if ca.wk.answers.Missing() || ca.wk.dataCentreAnswers().Missing() {
		score -= unansweredPenalty
	}
	if ca.slowdown > 0 {
		score -= slowPenalty + ca.slowdown
	}
	if ca.cold {
		score -= coldPenalty
	}
	return score - float64(ca.wk.failures)*perFailurePenalty
}

// affinity rates how well a long-running task matches the services on the worker. A filler must
// be tolerated by every service on its worker, so it finds a worker more easily if fillers
// affect all services there in the same way. They do so with services of one image, and may
// have been observed to do so with other images. Replicas share their load, so that on one
// worker they leave capacity to fillers at the same time. All services of a job count as
// replicas.
func (ca *candidate) affinity(tj *trackedJob, image string) float64 {
	ow, all := ca.wk.ow, len(ca.wk.services)
	if all == 0 {
		return 0
	}
	similar, sameJob := 0.0, 0
	for _, at := range ca.wk.services {
		similar += ow.imageSimilarity(image, at.step().Image)
		if at.tj == tj {
			sameJob++
		}
	}
	sum := 0.0
	if ow.enabled(MechSeparateImages) {
		sum += imageWeight * similar / float64(all)
	}
	if ow.enabled(MechColocateReplicas) {
		sum += jobWeight * balance(sameJob, all)
	}
	return sum
}

// imagePair is a pair of service images.
type imagePair struct{ a, b string }

// imageSimilarity rates how alike fillers affect two service images, from -1 to 1. The model
// is queried once per pair and round of placement.
func (ow *Owner) imageSimilarity(a, b string) float64 {
	switch {
	case a == b:
		return 1
	case !ow.enabled(MechSimilarImages):
		return -1
	}
	pa := imagePair{a, b}
	if known, ok := ow.similarity[pa]; ok {
		return known
	}
	ow.similarity[pa] = ow.model.Similarity(a, b)
	return ow.similarity[pa]
}

// balance returns the share of services that match minus the share of the others, from -1
// to 1.
func balance(matching, all int) float64 { return float64(2*matching-all) / float64(all) }

// Weights of affinity relative to the free share of a worker, which is at most 1. That of the
// image outweighs any free share; that of the job equals a free share of one half.
const (
	imageWeight = 3
	jobWeight   = 0.5
)

// Penalties of workers that are far from the data, or on which attempts failed.
const (
	// otherRackPenalty is subtracted from the score of a worker outside the rack that has
	// the step's data.
	otherRackPenalty = 0.5
	// failedPenalty keeps a job's tasks away from a worker on which one of them failed.
	failedPenalty = 4
	// unansweredPenalty keeps tasks away from a worker or a data centre that has answered nothing
	// since an order which was given up. It exceeds the affinity, which differs by up to 7 between
	// two workers, so that services don't follow their replicas to a lost worker.
	unansweredPenalty = 10
	// perFailurePenalty is subtracted for each attempt that has failed there since one
	// succeeded.
	perFailurePenalty = 1
	// slowPenalty is subtracted from the score of a slow worker. It exceeds all other terms
	// together, so that slow workers are chosen last.
	slowPenalty = 40
	// coldPenalty outweighs everything else, so that a cold worker gets only what no warm one
	// can take.
	coldPenalty = 1000
)
