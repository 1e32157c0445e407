package sched

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/telemetry"
)

// reach is whether a worker gets the owner's orders.
type reach string

const (
	// reachAnswering workers do.
	reachAnswering reach = "answering"
	// reachSilent ones did, and their last look failed or takes too long.
	reachUnresponsive reach = "silent"
	// reachUnsettled ones have not told this owner what they run.
	reachUnsettled reach = "unsettled"
)

// Times of telling of workers that get no orders.
const (
	// quietAfter is how long a worker is silent or unsettled before it is told of: a
	// look after a lost answer takes lookRetry and a few milliseconds, and most
	// workers settle within the first 20 ms of an owner.
	outageLogAfter = time.Second
	// tellReachEvery is the least time between lines.
	outageLogInterval = time.Second
	// overdueAfter is the time without a successful look after which a worker is
	// silent although none has failed: looks are bounded by the longest wait, its
	// grace and the pause before the next, and a busy owner takes them in late.
	pollOverdueAfter = idleWait + lookGrace + undurableWait + time.Second
)

// outage follows workers that get no orders. The zero value has none.
type outage struct {
	// began is when the first of them fell quiet, told when a line last told of them;
	// both are zero if none was told of.
	beganAt, loggedAt time.Time
}

// reach returns whether the worker gets orders.
func (ho *host) reach(now time.Time) reach {
	switch {
	case !ho.settled:
		return reachUnsettled
	case !ho.failing.IsZero() || now.Sub(ho.seen) > pollOverdueAfter:
		return reachUnresponsive
	}
	return reachAnswering
}

// expected reports whether the worker is to get orders at all.
func (ho *host) needsOrders() bool { return !ho.gone && !ho.dead }

// noteReach notes since when the worker gets no orders.
func (ho *host) recordReach(re reach, now time.Time) {
	switch {
	case re == reachAnswering:
		ho.quiet = time.Time{}
	case ho.quiet.IsZero():
		ho.quiet = now
	}
}

// quietFor is how long ago the worker last answered, or was first to be reached.
func (ho *host) sinceLastContact(now time.Time) time.Duration {
	if ho.seen.IsZero() {
		return now.Sub(ho.quiet)
	}
	return now.Sub(ho.seen)
}

// noteReach counts the workers by whether they get orders, and tells of those that
// do not.
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
		if !ho.quiet.IsZero() && now.Sub(ho.quiet) > outageLogAfter {
			late++
		}
	}
	setWorkersGauge(ow.Metrics, counts)
	ow.logReach(counts, late, now)
}

// gauge sets the gauge of workers.
func setWorkersGauge(me *telemetry.Metrics, counts map[reach]int) {
	for _, re := range []reach{reachAnswering, reachUnresponsive, reachUnsettled} {
		me.Set(telemetry.Workers, int64(counts[re]), "state", string(re))
	}
}

// GaugeNoWorkers sets the gauges of workers and of tasks to those of a host that owns no
// cell.
func ResetGauges(me *telemetry.Metrics) {
	setWorkersGauge(me, nil)
	setStuckGauge(me, nil)
	setCoresGauge(me, 0, 0)
}

// tellReach tells of workers that get no orders, late of which have had none for
// long, and when all do again.
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

// tellWithout tells of the workers without orders, and what most of them have in
// common.
func (ow *Owner) logWithoutOrders(counts map[reach]int, now time.Time) {
	attempts, longest := 0, time.Duration(0)
	var relays, centres groupCounts
	for _, ho := range ow.hosts {
		if !ho.needsOrders() {
			continue
		}
		without := !ho.quiet.IsZero()
		relays.add(ho.currentPath().addr.Via, without)
		centres.add(ho.DataCentre, without)
		if !without {
			continue
		}
		attempts += len(ho.attempts)
		longest = max(longest, ho.sinceLastContact(now))
		if ow.outage.beganAt.IsZero() || ho.quiet.Before(ow.outage.beganAt) {
			ow.outage.beganAt = ho.quiet
		}
	}
	relay, centre := relays.largest(), centres.largest()
	ow.Log.Warn("workers without orders", "cell", ow.Cell, "workers", counts[reachUnresponsive]+counts[reachUnsettled],
		"of", counts[reachUnresponsive]+counts[reachUnsettled]+counts[reachAnswering],
		"silent", counts[reachUnresponsive], "unsettled", counts[reachUnsettled], "attempts", attempts, "longest", longest,
		"via", relay, "via_workers", relays.without[relay], "via_all", relays.all[relay],
		"data_centre", centre, "data_centre_workers", centres.without[centre], "data_centre_all", centres.all[centre])
}

// common counts workers by what they have in common: all of them, and those without
// orders. The zero value has none.
type groupCounts struct{ all, without map[string]int }

func (co *groupCounts) add(what string, without bool) {
	if co.all == nil {
		co.all, co.without = map[string]int{}, map[string]int{}
	}
	co.all[what]++
	if without {
		co.without[what]++
	}
}

// most returns what most workers without orders have in common.
func (co *groupCounts) largest() string {
	best := ""
	for what, n := range co.without {
		if n > co.without[best] || n == co.without[best] && what < best {
			best = what
		}
	}
	return best
}
