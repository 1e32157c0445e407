package sched

import "time"

// What looks show of attempts at work is kept in their jobs' rows, as the next owner judges
// by it the ends of workers that it never saw: without it every attempt on a worker that was
// lost together with an owner counts as one that may have crashed it. A row is written with each change of its job; the
// proof of an attempt on which more depends has the row written for it.

// proofWait is how long such a proof waits for another change of the job, and for the proofs
// of its other tasks: their workers' looks come within a second.
const proofWait = 500 * time.Millisecond

// sight notes that a look listed the attempt as running.
func (at *attempt) sight(now time.Time) {
	at.sighted = now
	ran := at.observed().ran
	switch {
	case ran >= crashBlameLimit && at.en.jo.Lasted(at.ref, at.number):
		at.en.rests.lasted(at.ref)
		at.en.dueProof(now)
	case ran >= startupDuration && at.en.jo.Began(at.ref, at.number) && at.exposed():
		at.en.dueProof(now)
	}
}

// exposed reports whether a crash that is put down to the attempt wrongly costs much: it
// lasts, and so outlives many owners, or has been suspected before. Most others are over
// before their proof would be written.
func (at *attempt) exposed() bool { return at.step().Endless || at.task().Suspect() }

// dueProof has the job's row written soon.
func (en *entry) dueProof(now time.Time) {
	if en.proofDue.IsZero() {
		en.proofDue = now.Add(proofWait)
	}
}

// writeProofs has the rows written whose proofs have waited long enough.
func (ow *Owner) writeProofs(now time.Time) {
	if ow.storeDown() {
		return
	}
	for _, en := range ow.entries {
		if !en.proofDue.IsZero() && now.After(en.proofDue) {
			ow.touch(en)
		}
	}
}
