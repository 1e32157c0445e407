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
func (ho *workerState) reach(now time.Time) reach {
	switch {
	case !ho.settled:
		return reachUnsettled
	case !ho.failingSince.IsZero() || now.Sub(ho.lastPoll) > pollOverdueAfter:
		return reachUnresponsive
	}
	return reachAnswering
}

// needsOrders reports whether the worker is expected to get orders at all.
func (ho *workerState) needsOrders() bool { return !ho.unlisted && !ho.dead }

// recordReach records since when the worker gets no orders.
func (ho *workerState) recordReach(re reach, now time.Time) {
	switch {
	case re == reachAnswering:
		ho.noContactSince = time.Time{}
	case ho.noContactSince.IsZero():
		ho.noContactSince = now
	}
}

// sinceLastContact returns how long ago the worker last answered or, if it never did, was
// first found to get no orders.
func (ho *workerState) sinceLastContact(now time.Time) time.Duration {
	if ho.lastPoll.IsZero() {
		return now.Sub(ho.noContactSince)
	}
	return now.Sub(ho.lastPoll)
}

// updateReach counts the workers by state, sets their gauge, and logs outages.
func (ow *Owner) updateReach(now time.Time) {
	counts := map[reach]int{}
	late := 0
	for _, ho := range ow.hosts {
		if !ho.needsOrders() {
			continue
		}
		re := ho.reach(now)
		ho.recordReach(re, now)
		counts[re]++
		if !ho.noContactSince.IsZero() && now.Sub(ho.noContactSince) > outageLogAfter {
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
	for _, ho := range ow.hosts {
		if !ho.needsOrders() {
			continue
		}
		without := !ho.noContactSince.IsZero()
		relays.add(ho.currentPath().addr.Via, without)
		centres.add(ho.DataCentre, without)
		if !without {
			continue
		}
		attempts += len(ho.attempts)
		longest = max(longest, ho.sinceLastContact(now))
		if ow.outage.beganAt.IsZero() || ho.noContactSince.Before(ow.outage.beganAt) {
			ow.outage.beganAt = ho.noContactSince
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
