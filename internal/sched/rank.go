package sched

import (
	"container/heap"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// ranking has the workers on which tasks of one step find room, the best first.
// The tasks of a step are alike, and placing one changes nothing but the worker it
// goes to; so all workers are rated once a step, and that one again.
type ranking struct {
	pl   *placer
	en   *entry
	step int
	st   *job.Step
	// patient is set if fillers still wait for a good place.
	patient bool
	// interrupted is set for tasks that were, yields if the tasks leave room for those.
	interrupted, yields bool
	// counts are the attempts of the step by worker, if their number is bounded.
	counts map[*workerState]int
	heap   rated
	// lack is what lacks if there is no worker.
	lack Cause
}

// rank rates all workers for a step, for its tasks that were interrupted or the others.
func (pl *placer) rank(en *entry, step int, interrupted bool) *ranking {
	st := &en.jo.Spec.Steps[step]
	ra := &ranking{pl: pl, en: en, step: step, st: st, patient: st.Filler && pl.patient(en), interrupted: interrupted, lack: CauseRoom}
	ra.yields = st.Endless && !interrupted && pl.ow.promises.appliesTo(en)
	sh := shape{st: st, service: en.jo.Terms.Service, patient: ra.patient, interrupted: interrupted, yields: ra.yields}
	if pl.ow.noPlace.has(sh) {
		if st.Filler {
			ra.lack = CausePlace
		}
		return ra
	}
	if st.PerWorker > 0 {
		ra.counts = en.countBy(step)
	}
	for _, ca := range pl.hosts {
		if ra.fits(ca) {
			ra.heap = append(ra.heap, rating{ca: ca, score: ca.score(en, st)})
		}
	}
	if len(ra.heap) == 0 {
		pl.ow.noPlace.add(sh)
	}
	heap.Init(&ra.heap)
	return ra
}

// fits reports whether the worker may get a task of the step now, and notes what
// lacks if not.
func (ra *ranking) fits(ca *candidate) bool {
	if !ca.hasRoom(ra.st, ra.interrupted) || !ca.suitable(ra.en, ra.st) || (ra.counts != nil && ra.counts[ca.ho] >= ra.st.PerWorker) {
		return false
	}
	if ra.yields && !ra.st.Reserved().Fits(ca.free.Without(ca.ho.restartReserved)) {
		return false
	}
	if ra.patient && !ca.suits(ra.st) {
		ra.lack = CausePlace
		return false
	}
	return true
}

// best returns the best worker, or nil.
func (ra *ranking) best() *candidate {
	if len(ra.heap) == 0 {
		return nil
	}
	ra.lack = CauseOrder
	return ra.heap[0].ca
}

// changed rates the best worker anew, after a task went there.
func (ra *ranking) changed(ca *candidate) {
	if ra.counts != nil {
		ra.counts[ca.ho]++
	}
	ra.lack = CauseRoom
	if !ra.fits(ca) {
		heap.Pop(&ra.heap)
		return
	}
	ra.heap[0].score = ca.score(ra.en, ra.st)
	heap.Fix(&ra.heap, 0)
}

// rating is a worker with its score.
type rating struct {
	ca    *candidate
	score float64
}

// rated are workers as a heap, the best first.
type rated []rating

// Len implements heap.Interface.
func (ra rated) Len() int { return len(ra) }

// Less implements heap.Interface.
func (ra rated) Less(i, j int) bool {
	if ra[i].score != ra[j].score {
		return ra[i].score > ra[j].score
	}
	return ra[i].ca.index < ra[j].ca.index
}

// Swap implements heap.Interface.
func (ra rated) Swap(i, j int) { ra[i], ra[j] = ra[j], ra[i] }

// Push implements heap.Interface.
func (ra *rated) Push(x any) { *ra = append(*ra, x.(rating)) }

// Pop implements heap.Interface.
func (ra *rated) Pop() any {
	last := (*ra)[len(*ra)-1]
	*ra = (*ra)[:len(*ra)-1]
	return last
}

// countBy counts the attempts of a step by worker.
func (en *entry) countBy(step int) map[*workerState]int {
	counts := map[*workerState]int{}
	for ref, at := range en.attempts {
		if ref.Step == step {
			counts[at.ho]++
		}
	}
	return counts
}
