package sched

import "time"

// The rows of jobs retain how long attempts are known to have run. The next owner uses that
// to classify the ends of attempts on workers that it never saw. Otherwise every attempt on a
// worker that was lost together with an owner would count as a possible cause of the worker's
// crash. The proof is written with each change of its job; where a wrong classification is
// costly, the row is also written for the proof alone.

// proofWriteDelay is how long such a proof waits for another change of the job, and for the
// proofs of its other tasks: the polls of their workers return within a second.
const proofWriteDelay = 500 * time.Millisecond

// recordSighting records that a poll listed the attempt as running.
func (at *attempt) recordSighting(now time.Time) {
	at.lastSeenAt = now
	ran := at.observed().ran
	switch {
	case ran >= crashBlameLimit && at.en.jo.MarkStable(at.ref, at.number):
		at.en.backoffs.reset(at.ref)
		at.en.scheduleProofWrite(now)
	case ran >= startupDuration && at.en.jo.MarkStarted(at.ref, at.number) && at.wrongBlameCostly():
		at.en.scheduleProofWrite(now)
	}
}

// wrongBlameCostly reports whether it is costly to attribute a crash to the attempt by
// mistake: it is endless, and so outlives many owners, or was suspected before. Most other
// attempts end before their proof would be written.
func (at *attempt) wrongBlameCostly() bool { return at.step().Endless || at.task().Suspect() }

// scheduleProofWrite has the job's row written within proofWriteDelay.
func (en *entry) scheduleProofWrite(now time.Time) {
	if en.proofDue.IsZero() {
		en.proofDue = now.Add(proofWriteDelay)
	}
}

// writeDueProofs marks the jobs for writing whose proofs have waited long enough.
func (ow *Owner) writeDueProofs(now time.Time) {
	if ow.storeDown() {
		return
	}
	for _, en := range ow.entries {
		if !en.proofDue.IsZero() && now.After(en.proofDue) {
			ow.markDirty(en)
		}
	}
}
