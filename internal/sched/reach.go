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
	reachSilent reach = "silent"
	// reachUnsettled ones have not told this owner what they run.
	reachUnsettled reach = "unsettled"
)

// Times of telling of workers that get no orders.
const (
	// quietAfter is how long a worker is silent or unsettled before it is told of: a
	// look after a lost answer takes pollRetry and a few milliseconds, and most
	// workers settle within the first 20 ms of an owner.
	quietAfter = time.Second
	// tellReachEvery is the least time between lines.
	tellReachEvery = time.Second
	// overdueAfter is the time without a successful look after which a worker is
	// silent although none has failed: looks are bounded by the longest wait, its
	// grace and the pause before the next, and a busy owner takes them in late.
	overdueAfter = idlePollWait + pollGrace + maxDurableWait + time.Second
)

// outage follows workers that get no orders. The zero value has none.
type outage struct {
	// began is when the first of them fell quiet, told when a line last told of them;
	// both are zero if none was told of.
	began, told time.Time
}

// reach returns whether the worker gets orders.
func (ho *workerState) reach(now time.Time) reach {
	switch {
	case !ho.settled:
		return reachUnsettled
	case !ho.failingSince.IsZero() || now.Sub(ho.lastPoll) > overdueAfter:
		return reachSilent
	}
	return reachAnswering
}

// expected reports whether the worker is to get orders at all.
func (ho *workerState) expected() bool { return !ho.unlisted && !ho.dead }

// noteReach notes since when the worker gets no orders.
func (ho *workerState) noteReach(re reach, now time.Time) {
	switch {
	case re == reachAnswering:
		ho.noContactSince = time.Time{}
	case ho.noContactSince.IsZero():
		ho.noContactSince = now
	}
}

// quietFor is how long ago the worker last answered, or was first to be reached.
func (ho *workerState) quietFor(now time.Time) time.Duration {
	if ho.lastPoll.IsZero() {
		return now.Sub(ho.noContactSince)
	}
	return now.Sub(ho.lastPoll)
}

// noteReach counts the workers by whether they get orders, and tells of those that
// do not.
func (ow *Owner) noteReach(now time.Time) {
	counts := map[reach]int{}
	late := 0
	for _, ho := range ow.hosts {
		if !ho.expected() {
			continue
		}
		re := ho.reach(now)
		ho.noteReach(re, now)
		counts[re]++
		if !ho.noContactSince.IsZero() && now.Sub(ho.noContactSince) > quietAfter {
			late++
		}
	}
	gauge(ow.Metrics, counts)
	ow.tellReach(counts, late, now)
}

// gauge sets the gauge of workers.
func gauge(me *telemetry.Metrics, counts map[reach]int) {
	for _, re := range []reach{reachAnswering, reachSilent, reachUnsettled} {
		me.Set(telemetry.Workers, int64(counts[re]), "state", string(re))
	}
}

// GaugeNoWorkers sets the gauges of workers and of tasks to those of a host that owns no
// cell.
func GaugeNoWorkers(me *telemetry.Metrics) {
	gauge(me, nil)
	gaugeStuck(me, nil)
	gaugeCores(me, 0, 0)
}

// tellReach tells of workers that get no orders, late of which have had none for
// long, and when all do again.
func (ow *Owner) tellReach(counts map[reach]int, late int, now time.Time) {
	without := counts[reachSilent] + counts[reachUnsettled]
	switch {
	case late > 0 && now.Sub(ow.outage.told) >= tellReachEvery:
		ow.outage.told = now
		ow.tellWithout(counts, now)
	case without == 0 && !ow.outage.told.IsZero():
		ow.Log.Info("all workers get orders again", "cell", ow.Cell, "workers", counts[reachAnswering], "after", now.Sub(ow.outage.began))
		ow.outage = outage{}
	}
}

// tellWithout tells of the workers without orders, and what most of them have in
// common.
func (ow *Owner) tellWithout(counts map[reach]int, now time.Time) {
	attempts, longest := 0, time.Duration(0)
	var vias, centres common
	for _, ho := range ow.hosts {
		if !ho.expected() {
			continue
		}
		without := !ho.noContactSince.IsZero()
		vias.add(ho.wayNow().addr.Via, without)
		centres.add(ho.DataCentre, without)
		if !without {
			continue
		}
		attempts += len(ho.attempts)
		longest = max(longest, ho.quietFor(now))
		if ow.outage.began.IsZero() || ho.noContactSince.Before(ow.outage.began) {
			ow.outage.began = ho.noContactSince
		}
	}
	via, centre := vias.most(), centres.most()
	ow.Log.Warn("workers without orders", "cell", ow.Cell, "workers", counts[reachSilent]+counts[reachUnsettled],
		"of", counts[reachSilent]+counts[reachUnsettled]+counts[reachAnswering],
		"silent", counts[reachSilent], "unsettled", counts[reachUnsettled], "attempts", attempts, "longest", longest,
		"via", via, "via_workers", vias.without[via], "via_all", vias.all[via],
		"data_centre", centre, "data_centre_workers", centres.without[centre], "data_centre_all", centres.all[centre])
}

// common counts workers by what they have in common: all of them, and those without
// orders. The zero value has none.
type common struct{ all, without map[string]int }

func (co *common) add(what string, without bool) {
	if co.all == nil {
		co.all, co.without = map[string]int{}, map[string]int{}
	}
	co.all[what]++
	if without {
		co.without[what]++
	}
}

// most returns what most workers without orders have in common.
func (co *common) most() string {
	best := ""
	for what, n := range co.without {
		if n > co.without[best] || n == co.without[best] && what < best {
			best = what
		}
	}
	return best
}
