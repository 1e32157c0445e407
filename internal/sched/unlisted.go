package sched

import "time"

// Times of workers without an entry in the list.
const (
	// entryBack is how long a worker without an entry is left alone that answers: the
	// users' machines enter themselves again within some 2 s of the end of an outage, and
	// the feed and the owner's turn take up to one more.
	entryBack = 3 * time.Second
	// listStale is the age from which on the list counts as not read: a call waits 1.5 s
	// for a change, and the next is under way for as long.
	listStale = 3500 * time.Millisecond
	// unconfirmedAfter is how old the last heartbeat that the store took may be, and
	// its last confirmation of the tenure: one is written each 0.5 s, and a write takes
	// up to 1.5 s before it is sent again.
	unconfirmedAfter = 2 * time.Second
	// doubtFor is how long a list is doubted that has less than half of the workers
	// which it had, as the entry hosts of `serve` do.
	doubtFor = 30 * time.Second
)

// roll follows how far the list of workers can be believed. The zero value has had no
// workers.
type roll struct {
	// trouble is when the store was last seen not to serve, or the owner began.
	trouble time.Time
	// most is the most workers that the list had of late, mostAt when it had.
	most   int
	mostAt time.Time
	// doubted is set while it has less than half of them.
	doubted bool
}

// listRead returns when the list of workers was last known to be true, and since when
// it has been read without an error.
func (ow *Owner) listRead(now time.Time) (last, since time.Time) {
	if ow.ListFunc == nil {
		return now, time.Time{}
	}
	return ow.ListFunc()
}

// listAge is how long ago the list was last known to be true.
func (ow *Owner) listAge(now time.Time) time.Duration {
	last, _ := ow.listRead(now)
	return now.Sub(last)
}

// noteList looks at how far the list can be believed now.
func (ow *Owner) noteList(now time.Time) {
	if ow.storeTrouble(now) {
		ow.roll.trouble = now
	}
	_, since := ow.listRead(now)
	if since.After(ow.roll.trouble) {
		ow.roll.trouble = since
	}
	ow.doubtList(now)
}

// storeTrouble reports whether the store does not serve the owner: entries lapse then
// although their workers are well. It may answer reads and take no writes.
func (ow *Owner) storeTrouble(now time.Time) bool {
	return !ow.failing.IsZero() || ow.listAge(now) > listStale ||
		now.Sub(ow.Tenure.Confirmed()) > unconfirmedAfter || now.Sub(ow.Tenure.Written()) > unconfirmedAfter
}

// listSound reports whether the list of workers has been believed for so long that a
// worker without an entry is gone.
func (ow *Owner) listSound(now time.Time) bool {
	return !ow.roll.doubted && now.Sub(ow.roll.trouble) > entryBack
}

// doubtList doubts a list that has lost more than half of its workers of late: it is
// more likely that they cannot reach the store, or that the list was read in part, than
// that all of them left.
func (ow *Owner) doubtList(now time.Time) {
	listed := 0
	for _, ho := range ow.hosts {
		if ho.expected() {
			listed++
		}
	}
	if listed >= ow.roll.most || now.Sub(ow.roll.mostAt) > doubtFor {
		ow.roll.most, ow.roll.mostAt = listed, now
	}
	doubted := 2*listed < ow.roll.most
	if doubted == ow.roll.doubted {
		return
	}
	ow.roll.doubted = doubted
	msg := "list of workers believed again"
	if doubted {
		msg = "list of workers doubted"
	}
	ow.Log.Warn(msg, "cell", ow.Cell, "listed", listed, "most", ow.roll.most, "list_age", ow.listAge(now))
}

// goneForGood reports whether the worker, which has no entry, is not to be waited for:
// neither an outage of the store nor its last seconds are why.
func (ho *workerState) goneForGood(now time.Time) bool {
	return ho.unlisted && now.Sub(ho.unlistedAt) > entryBack && ho.ow.listSound(now)
}

// tellEmptied tells once that a worker without an entry is emptied.
func (ho *workerState) tellEmptied(now time.Time) {
	if ho.evacuationLogged {
		return
	}
	ho.evacuationLogged = true
	ho.ow.Log.Warn("emptying a worker without an entry", "worker", ho.incarnation, "attempts", len(ho.attempts), "draining", ho.Draining,
		"gone_for", now.Sub(ho.unlistedAt), "list_age", ho.ow.listAge(now), "store_well_for", now.Sub(ho.ow.roll.trouble))
}
