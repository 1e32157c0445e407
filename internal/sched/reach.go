package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// reach is the state of a worker with regard to the owner's orders.
type reach string

const (
	// reachAnswering: it gets orders.
	reachAnswering reach = "answering"
	// reachUnresponsive: it got orders before, and its last poll failed or takes too long.
	reachUnresponsive reach = "silent"
	// reachUnsettled: it has not yet reported to this owner what it runs.
	reachUnsettled reach = "unsettled"
)

// Limits on the reports of workers that get no orders.
const (
	// outageLogAfter is how long a worker must be unresponsive or unsettled to be logged: a
	// poll after a lost answer takes pollRetry and a few milliseconds, and most workers
	// settle within the first 20 ms of an owner.
	outageLogAfter = time.Second
	// outageLogInterval is the least time between log lines.
	outageLogInterval = time.Second
	// pollOverdueAfter is the time without a successful poll after which a worker is
	// unresponsive although no poll has failed: a poll lasts up to the longest wait, its
	// grace and the pause before the next, and a busy owner handles the results late.
	pollOverdueAfter = idlePollWait + pollGrace + maxDurableWait + time.Second
)

// outage tracks an outage of workers that get no orders. The zero value means none.
type outage struct {
	// beganAt is when the first of them stopped getting orders, loggedAt when the outage was
	// last logged; both are zero if it was not logged.
	beganAt, loggedAt time.Time
}

// reach returns the state of the worker.
func (wk *workerState) reach(now time.Time) reach {
	switch {
	case !wk.settled:
		return reachUnsettled
	case !wk.failingSince.IsZero() || now.Sub(wk.lastPoll) > pollOverdueAfter:
		return reachUnresponsive
	}
	return reachAnswering
}

// needsOrders reports whether the worker is expected to get orders at all.
func (wk *workerState) needsOrders() bool { return !wk.unlisted && !wk.dead }

// recordReach records since when the worker gets no orders.
func (wk *workerState) recordReach(re reach, now time.Time) {
	switch {
	case re == reachAnswering:
		wk.noContactSince = time.Time{}
	case wk.noContactSince.IsZero():
		wk.noContactSince = now
	}
}

// sinceLastContact returns how long ago the worker last answered or, if it never did, was
// first found to get no orders.
func (wk *workerState) sinceLastContact(now time.Time) time.Duration {
	if wk.lastPoll.IsZero() {
		return now.Sub(wk.noContactSince)
	}
	return now.Sub(wk.lastPoll)
}

// updateReach counts the workers by state, sets their gauge, and logs outages.
func (ow *Owner) updateReach(now time.Time) {
	counts := map[reach]int{}
	late := 0
	for _, wk := range ow.workers {
		if !wk.needsOrders() {
			continue
		}
		re := wk.reach(now)
		wk.recordReach(re, now)
		counts[re]++
		if !wk.noContactSince.IsZero() && now.Sub(wk.noContactSince) > outageLogAfter {
			late++
		}
	}
	setWorkersGauge(ow.Metrics, counts)
	ow.logReach(counts, late, now)
}

// setWorkersGauge sets the gauge of workers by state.
func setWorkersGauge(me *telemetry.Metrics, counts map[reach]int) {
	for _, re := range []reach{reachAnswering, reachUnresponsive, reachUnsettled} {
		me.Set(telemetry.Workers, int64(counts[re]), "state", string(re))
	}
}

// ResetGauges sets the gauges of workers, stuck tasks and cores to zero, for a host that
// owns no cell.
func ResetGauges(me *telemetry.Metrics) {
	setWorkersGauge(me, nil)
	setStuckGauge(me, nil)
	setCoresGauge(me, 0, 0)
}

// logReach logs workers that get no orders, and the end of such an outage. late is the
// number of workers that have had none for more than outageLogAfter.
func (ow *Owner) logReach(counts map[reach]int, late int, now time.Time) {
	without := counts[reachUnresponsive] + counts[reachUnsettled]
	switch {
	case late > 0 && now.Sub(ow.outage.loggedAt) >= outageLogInterval:
		ow.outage.loggedAt = now
		ow.logWithoutOrders(counts, now)
	case without == 0 && !ow.outage.loggedAt.IsZero():
		ow.Log.Info("all workers get orders again", "cell", ow.Cell, "workers", counts[reachAnswering], "after", now.Sub(ow.outage.beganAt))
		ow.outage = outage{}
	}
}

// logWithoutOrders logs the workers that get no orders, with the relay and the data centre
// that most of them share.
func (ow *Owner) logWithoutOrders(counts map[reach]int, now time.Time) {
	attempts, longest := 0, time.Duration(0)
	var relays, centres groupCounts
	for _, wk := range ow.workers {
		if !wk.needsOrders() {
			continue
		}
		without := !wk.noContactSince.IsZero()
		relays.add(wk.currentPath().addr.Via, without)
		centres.add(wk.DataCentre, without)
		if !without {
			continue
		}
		attempts += len(wk.attempts)
		longest = max(longest, wk.sinceLastContact(now))
		if ow.outage.beganAt.IsZero() || wk.noContactSince.Before(ow.outage.beganAt) {
			ow.outage.beganAt = wk.noContactSince
		}
	}
	relay, centre := relays.largest(), centres.largest()
	ow.Log.Warn("workers without orders", "cell", ow.Cell, "workers", counts[reachUnresponsive]+counts[reachUnsettled],
		"of", counts[reachUnresponsive]+counts[reachUnsettled]+counts[reachAnswering],
		"silent", counts[reachUnresponsive], "unsettled", counts[reachUnsettled], "attempts", attempts, "longest", longest,
		"via", relay, "via_workers", relays.without[relay], "via_all", relays.all[relay],
		"data_centre", centre, "data_centre_workers", centres.without[centre], "data_centre_all", centres.all[centre])
}

// groupCounts counts workers by a common property: all of them, and those without orders.
// The zero value has none.
type groupCounts struct{ all, without map[string]int }

func (gc *groupCounts) add(property string, without bool) {
	if gc.all == nil {
		gc.all, gc.without = map[string]int{}, map[string]int{}
	}
	gc.all[property]++
	if without {
		gc.without[property]++
	}
}

// largest returns the property that most workers without orders share.
func (gc *groupCounts) largest() string {
	best := ""
	for property, n := range gc.without {
		if n > gc.without[best] || n == gc.without[best] && property < best {
			best = property
		}
	}
	return best
}
