package sched

import "time"

// workerScan is what one pass over all workers has found.
type workerScan struct {
	// silent are the workers that get no orders, or have not answered for a while. leaving are
	// those that may have to be evacuated.
	silent, leaving []*workerState
	// contact counts the workers in the list by state, listed counts all of them. late counts
	// those that have got no orders for outageLogAfter.
	contact      [contactStates]int
	listed, late int
}

// scanWorkers handles what changes at workers with time alone. It is the only pass over all workers
// at each tick.
func (ow *Owner) scanWorkers(now time.Time) {
	sc := workerScan{silent: ow.scan.silent[:0], leaving: ow.scan.leaving[:0]}
	for wk := range ow.allWorkers() {
		if wk.ticks(now) {
			wk.tick(now)
			if ow.workers[wk.incarnation] != wk {
				continue
			}
		}
		if wk.needsOrders() {
			sc.add(wk, now)
		}
		if !wk.settled || !wk.failingSince.IsZero() || !wk.noContactSince.IsZero() {
			sc.silent = append(sc.silent, wk)
		}
		if wk.refusesStarts() {
			sc.leaving = append(sc.leaving, wk)
		}
	}
	clear(sc.silent[len(sc.silent):cap(sc.silent)])
	clear(sc.leaving[len(sc.leaving):cap(sc.leaving)])
	ow.scan = sc
}

// add records the contact state of a worker in the list.
func (sc *workerScan) add(wk *workerState, now time.Time) {
	cs := wk.contactState(now)
	wk.recordContactState(cs, now)
	sc.listed++
	sc.contact[cs]++
	if !wk.noContactSince.IsZero() && now.Sub(wk.noContactSince) > outageLogAfter {
		sc.late++
	}
}

// ticks reports whether anything at the worker may change with time alone.
func (wk *workerState) ticks(now time.Time) bool {
	return wk.trial != nil || len(wk.queued) > 0 || wk.unlisted || !wk.failingSince.IsZero() || wk.holdDue(now)
}
