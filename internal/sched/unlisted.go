package sched

import "time"

// Timing of workers without an entry in the list.
const (
	// entryReturnWait is how long a worker that answers is not evacuated after its entry
	// disappeared. Workers re-register within about 2 s of the end of a store outage, and the
	// feed and the owner's loop take up to one second more.
	entryReturnWait = 3 * time.Second
	// listStaleAfter is the age from which the list counts as not being read: a read waits
	// up to 1.5 s for a change, and the next read can take as long.
	listStaleAfter = 3500 * time.Millisecond
	// unconfirmedAfter is the maximum age of the last heartbeat that the store accepted and
	// of its last confirmation of the tenure. A heartbeat is written every 0.5 s, and a write
	// takes up to 1.5 s before it is sent again.
	unconfirmedAfter = 2 * time.Second
	// doubtDuration is how long a list is doubted that has less than half of its former
	// workers. It equals the time for which the entry hosts' filter of the platform's list,
	// store.ListFilter, keeps hosts that are missing from such a list.
	doubtDuration = 30 * time.Second
)

// listTrust tracks whether the list of workers can be relied on. The zero value has seen no
// workers.
type listTrust struct {
	// untrustedAt is when the store was last seen unhealthy, or when the owner started.
	untrustedAt time.Time
	// maxListed is the largest recent number of workers in the list, maxListedAt when the
	// list had it.
	maxListed   int
	maxListedAt time.Time
	// doubted is set while the list has less than half of maxListed.
	doubted bool
}

// listReadTimes returns when the list of workers was last known to be current, and since when
// it has been read without an error.
func (ow *Owner) listReadTimes(now time.Time) (last, since time.Time) {
	if ow.ListFunc == nil {
		return now, time.Time{}
	}
	return ow.ListFunc()
}

// listAge returns how long ago the list was last known to be current.
func (ow *Owner) listAge(now time.Time) time.Duration {
	last, _ := ow.listReadTimes(now)
	return now.Sub(last)
}

// checkWorkerList updates how far the list can be relied on.
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

// storeUnhealthy reports whether the store does not serve the owner. In that case entries
// may expire although their workers are healthy. Reads and writes are checked separately, as
// the store may answer reads and accept no writes.
func (ow *Owner) storeUnhealthy(now time.Time) bool {
	return !ow.writesFailingSince.IsZero() || ow.listAge(now) > listStaleAfter || ow.tenureUnconfirmed(now)
}

// tenureUnconfirmed reports whether the store has not confirmed the tenure for a while, by answers
// to reads and by accepted heartbeats.
func (ow *Owner) tenureUnconfirmed(now time.Time) bool {
	return now.Sub(ow.Tenure.Confirmed()) > unconfirmedAfter || now.Sub(ow.Tenure.HeartbeatWritten()) > unconfirmedAfter
}

// listReliable reports whether the list of workers has been reliable for so long that a
// worker without an entry counts as removed from it on purpose.
func (ow *Owner) listReliable(now time.Time) bool {
	return !ow.listTrust.doubted && now.Sub(ow.listTrust.untrustedAt) > entryReturnWait
}

// updateListDoubt marks a list as doubted that has recently lost more than half of its
// workers. It is more likely that they cannot reach the store, or that the list was read in
// part, than that all of them left.
func (ow *Owner) updateListDoubt(now time.Time) {
	listed := ow.scan.listed
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

// lostFromList reports whether the worker's entry is not expected back: it has been missing
// for longer than entryReturnWait, and no store outage explains that.
func (wk *workerState) lostFromList(now time.Time) bool {
	return wk.unlisted && now.Sub(wk.unlistedAt) > entryReturnWait && wk.ow.listReliable(now)
}

// logEvacuation logs once that a worker without an entry is evacuated.
func (wk *workerState) logEvacuation(now time.Time) {
	if wk.evacuationLogged {
		return
	}
	wk.evacuationLogged = true
	wk.ow.Log.Warn("emptying a worker without an entry", "worker", wk.incarnation, "attempts", len(wk.attempts), "draining", wk.Draining,
		"gone_for", now.Sub(wk.unlistedAt), "list_age", wk.ow.listAge(now), "store_well_for", now.Sub(wk.ow.listTrust.untrustedAt))
}
