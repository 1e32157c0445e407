package sched

import "time"

// The progress row of a job records how far attempts are known to have run: past their
// startup, or long enough not to be blamed for a crash. That record is called a proof. The next
// owner uses it to classify the ends of attempts on workers that it never saw. Otherwise every
// attempt on a worker that was lost together with an owner would count as a possible cause of
// the worker's crash. Proofs are written with each change of their job; where a wrong
// classification is costly, the row is also written for the proof alone.

// proofWriteDelay is how long such a write waits for another change of the job, and for the
// proofs of its other tasks: the polls of their workers return within a second.
const proofWriteDelay = 500 * time.Millisecond

// ackWriteDelay is the same for acknowledgements, which arrive together. Until they are written,
// the next owner awaits orders that may still be carried out.
const ackWriteDelay = 200 * time.Millisecond

// dueWrite is a job whose row is to be written at some time, unless another change has it written
// before.
type dueWrite struct {
	tj  *trackedJob
	due time.Time
}

// recordObservation records that a poll listed the attempt as running.
func (at *attempt) recordObservation(now time.Time) {
	at.lastSeenAt = now
	ran := at.observed().ran
	switch {
	case ran >= crashBlameLimit && at.tj.jo.MarkStable(at.ref, at.number):
		at.tj.backoffs.Reset(at.ref)
		at.tj.scheduleProofWrite(now)
	case ran >= startupDuration && at.tj.jo.MarkStarted(at.ref, at.number) && at.needsEarlyProof():
		at.tj.scheduleProofWrite(now)
	}
}

// needsEarlyProof reports whether it is costly to attribute a crash to the attempt by
// mistake: it is long-running, and so outlives many owners, or was suspected before. Most other
// attempts end before their proof would be written.
func (at *attempt) needsEarlyProof() bool { return at.step().LongRunning || at.task().Suspect() }

// scheduleProofWrite has the job's row written after proofWriteDelay, unless another change
// has it written before.
func (tj *trackedJob) scheduleProofWrite(now time.Time) {
	if tj.proofDue.IsZero() {
		tj.proofDue = now.Add(proofWriteDelay)
		tj.ow.dueProofs = append(tj.ow.dueProofs, dueWrite{tj, tj.proofDue})
	}
}

// scheduleAckWrite does the same after ackWriteDelay.
func (tj *trackedJob) scheduleAckWrite(now time.Time) {
	if due := now.Add(ackWriteDelay); tj.proofDue.IsZero() || due.Before(tj.proofDue) {
		tj.proofDue = due
		tj.ow.dueAcks = append(tj.ow.dueAcks, dueWrite{tj, due})
	}
}

// writeDueProofs marks the jobs for writing whose proofs have waited long enough.
func (ow *Owner) writeDueProofs(now time.Time) {
	if !ow.storeDown() {
		ow.dueAcks, ow.dueProofs = ow.writeDue(ow.dueAcks, now), ow.writeDue(ow.dueProofs, now)
	}
}

// writeDue marks the jobs for writing that are due, and returns the others. The jobs of the list are
// in the order in which they are due.
func (ow *Owner) writeDue(list []dueWrite, now time.Time) []dueWrite {
	for len(list) > 0 && now.After(list[0].due) {
		if tj := list[0].tj; !tj.proofDue.IsZero() {
			ow.markDirty(tj)
		}
		list = list[1:]
	}
	return list
}
