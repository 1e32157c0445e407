package sched

import "time"

// Times of workers without an entry in the list.
const (
	// entryBack is how long a worker without an entry is left alone that answers: the
	// users' machines enter themselves again within some 2 s of the end of an outage, and
	// the feed and the owner's turn take up to one more.
	entryReturnWait = 3 * time.Second
	// listStale is the age from which on the list counts as not read: a call waits 1.5 s
	// for a change, and the next is under way for as long.
	listStaleAfter = 3500 * time.Millisecond
	// unconfirmedAfter is how old the last heartbeat that the store took may be, and
	// its last confirmation of the tenure: one is written each 0.5 s, and a write takes
	// up to 1.5 s before it is sent again.
	unconfirmedAfter = 2 * time.Second
	// doubtFor is how long a list is doubted that has less than half of the workers
	// which it had, as the entry hosts of `serve` do.
	doubtDuration = 30 * time.Second
)

// roll follows how far the list of workers can be believed. The zero value has had no
// workers.
type listTrust struct {
	// trouble is when the store was last seen not to serve, or the owner began.
	untrustedAt time.Time
	// most is the most workers that the list had of late, mostAt when it had.
	maxListed   int
	maxListedAt time.Time
	// doubted is set while it has less than half of them.
	doubted bool
}

// listRead returns when the list of workers was last known to be true, and since when
// it has been read without an error.
func (ow *Owner) listReadTimes(now time.Time) (last, since time.Time) {
	if ow.ListFunc == nil {
		return now, time.Time{}
	}
	return ow.ListFunc()
}

// listAge is how long ago the list was last known to be true.
func (ow *Owner) listAge(now time.Time) time.Duration {
	last, _ := ow.listReadTimes(now)
	return now.Sub(last)
}

// noteList looks at how far the list can be believed now.
func (ow *Owner) checkWorkerList(now time.Time) {
	if ow.storeUnhealthy(now) {
		ow.listTrust.untrustedAt = now
	}
	_, since := ow.listReadTimes(now)
	if since.After(ow.listTrust.untrustedAt) {
		ow.listTrust.untrustedAt = since
	}
	ow.updateListDoubt(now)
}

// storeTrouble reports whether the store does not serve the owner: entries lapse then
// although their workers are well. It may answer reads and take no writes.
func (ow *Owner) storeUnhealthy(now time.Time) bool {
	return !ow.writesFailingSince.IsZero() || ow.listAge(now) > listStaleAfter ||
		now.Sub(ow.Tenure.Confirmed()) > unconfirmedAfter || now.Sub(ow.Tenure.Written()) > unconfirmedAfter
}

// listSound reports whether the list of workers has been believed for so long that a
// worker without an entry is gone.
func (ow *Owner) listReliable(now time.Time) bool {
	return !ow.listTrust.doubted && now.Sub(ow.listTrust.untrustedAt) > entryReturnWait
}

// doubtList doubts a list that has lost more than half of its workers of late: it is
// more likely that they cannot reach the store, or that the list was read in part, than
// that all of them left.
func (ow *Owner) updateListDoubt(now time.Time) {
	listed := 0
	for _, ho := range ow.hosts {
		if ho.expected() {
			listed++
		}
	}
	if listed >= ow.listTrust.maxListed || now.Sub(ow.listTrust.maxListedAt) > doubtDuration {
		ow.listTrust.maxListed, ow.listTrust.maxListedAt = listed, now
	}
	doubted := 2*listed < ow.listTrust.maxListed
	if doubted == ow.listTrust.doubted {
		return
	}
	ow.listTrust.doubted = doubted
	msg := "list of workers believed again"
	if doubted {
		msg = "list of workers doubted"
	}
	ow.Log.Warn(msg, "cell", ow.Cell, "listed", listed, "most", ow.listTrust.maxListed, "list_age", ow.listAge(now))
}

// goneForGood reports whether the worker, which has no entry, is not to be waited for:
// neither an outage of the store nor its last seconds are why.
func (ho *host) lostFromList(now time.Time) bool {
	return ho.gone && now.Sub(ho.goneAt) > entryReturnWait && ho.ow.listReliable(now)
}

// tellEmptied tells once that a worker without an entry is emptied.
func (ho *host) logEvacuation(now time.Time) {
	if ho.emptied {
		return
	}
	ho.emptied = true
	ho.ow.Log.Warn("emptying a worker without an entry", "worker", ho.incarnation, "attempts", len(ho.attempts), "draining", ho.Draining,
		"gone_for", now.Sub(ho.goneAt), "list_age", ho.ow.listAge(now), "store_well_for", now.Sub(ho.ow.listTrust.untrustedAt))
}
