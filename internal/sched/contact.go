package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// contactState says whether a worker gets the owner's orders.
type contactState int8

const (
	// contactAnswering: it gets orders.
	contactAnswering contactState = iota
	// contactUnresponsive: it got orders before, and its last poll failed or takes too long.
	contactUnresponsive
	// contactUnsettled: it has not yet reported to this owner what it runs.
	contactUnsettled

	contactStates
)

// contactNames are the names of the states in metrics.
var contactNames = [contactStates]string{"answering", "silent", "unsettled"}

// String returns the state's name.
func (cs contactState) String() string { return contactNames[cs] }

// Times for the detection and logging of workers that get no orders.
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

// outage is a period in which workers get no orders, as far as it was logged. The zero value
// means none.
type outage struct {
	// beganAt is when the first of the workers stopped getting orders, loggedAt when the
	// outage was last logged; both are zero if it was not logged.
	beganAt, loggedAt time.Time
}

// contactState returns the contact state of the worker.
func (wk *workerState) contactState(now time.Time) contactState {
	switch {
	case !wk.settled:
		return contactUnsettled
	case !wk.failingSince.IsZero() || now.Sub(wk.lastAnsweredAt) > pollOverdueAfter:
		return contactUnresponsive
	}
	return contactAnswering
}

// needsOrders reports whether the worker is expected to get orders at all.
func (wk *workerState) needsOrders() bool { return !wk.unlisted && !wk.dead }

// recordContactState records since when the worker gets no orders.
func (wk *workerState) recordContactState(cs contactState, now time.Time) {
	switch {
	case cs == contactAnswering:
		wk.noContactSince = time.Time{}
	case wk.noContactSince.IsZero():
		wk.noContactSince = now
	}
}

// sinceLastContact returns how long ago the worker last answered or, if it never did, was
// first found to get no orders.
func (wk *workerState) sinceLastContact(now time.Time) time.Duration {
	if wk.lastAnsweredAt.IsZero() {
		return now.Sub(wk.noContactSince)
	}
	return now.Sub(wk.lastAnsweredAt)
}

// reportContactStates sets the gauge of workers by state, and logs outages.
func (ow *Owner) reportContactStates(now time.Time) {
	setWorkersGauge(ow.Metrics, ow.scan.contact)
	ow.logOutage(ow.scan.contact, ow.scan.late, now)
}

// setWorkersGauge sets the gauge of workers by state.
func setWorkersGauge(me *telemetry.Metrics, counts [contactStates]int) {
	for cs, n := range counts {
		me.Set(telemetry.Workers, int64(n), "state", contactNames[cs])
	}
}

// ResetGauges sets the gauges of workers, stuck tasks, cores and turns to zero, for a host that
// owns no cell.
func ResetGauges(me *telemetry.Metrics) {
	setWorkersGauge(me, [contactStates]int{})
	setStuckGauge(me, nil)
	setCoresGauge(me, 0, 0)
	setHeadroomGauges(me, 0, 0, 0, 0)
	setIdleGauge(me, [fillerObstacles]int64{})
	me.Set(telemetry.SlowWorkers, 0)
	me.Set(telemetry.AdmissionTurns, 0)
}

// logOutage logs workers that get no orders, and the end of such an outage. late is the
// number of workers that have had none for more than outageLogAfter.
func (ow *Owner) logOutage(counts [contactStates]int, late int, now time.Time) {
	without := counts[contactUnresponsive] + counts[contactUnsettled]
	switch {
	case late > 0 && now.Sub(ow.outage.loggedAt) >= outageLogInterval:
		ow.outage.loggedAt = now
		ow.logWithoutOrders(counts, now)
	case without == 0 && !ow.outage.loggedAt.IsZero():
		ow.Log.Info("all workers get orders again", "cell", ow.Cell, "workers", counts[contactAnswering], "after", now.Sub(ow.outage.beganAt))
		ow.outage = outage{}
	}
}

// logWithoutOrders logs the workers that get no orders, with the relay and the data centre
// that most of them share.
func (ow *Owner) logWithoutOrders(counts [contactStates]int, now time.Time) {
	attempts, longest := 0, time.Duration(0)
	var relays, centres groupCounts
	for wk := range ow.allWorkers() {
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
	ow.Log.Warn("workers without orders", "cell", ow.Cell, "workers", counts[contactUnresponsive]+counts[contactUnsettled],
		"of", counts[contactUnresponsive]+counts[contactUnsettled]+counts[contactAnswering],
		"silent", counts[contactUnresponsive], "unsettled", counts[contactUnsettled], "attempts", attempts, "longest", longest,
		"via", relay, "via_workers", relays.withoutOrders[relay], "via_all", relays.all[relay],
		"data_centre", centre, "data_centre_workers", centres.withoutOrders[centre], "data_centre_all", centres.all[centre])
}

// groupCounts counts workers by a common property: all of them, and those without orders.
// The zero value has none.
type groupCounts struct{ all, withoutOrders map[string]int }

func (gc *groupCounts) add(property string, without bool) {
	if gc.all == nil {
		gc.all, gc.withoutOrders = map[string]int{}, map[string]int{}
	}
	gc.all[property]++
	if without {
		gc.withoutOrders[property]++
	}
}

// largest returns the property that most workers without orders share.
func (gc *groupCounts) largest() string {
	best := ""
	for property, n := range gc.withoutOrders {
		if n > gc.withoutOrders[best] || n == gc.withoutOrders[best] && property < best {
			best = property
		}
	}
	return best
}
