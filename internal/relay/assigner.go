package relay

import (
	"cmp"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// Limits on the number of workers.
const (
	// maxDirectPerCore is how many workers an owner reaches directly for each core of its
	// host. 350 workers with 560 to 900 starts per second take 0.35 of a core, so the limit
	// corresponds to about a third of the host.
	maxDirectPerCore = 320
	// keepRelaysShare is the share of maxDirectPerCore down to which an owner that uses relays
	// keeps them. It has fewer workers than before after a failure, when their tasks have to start
	// again, and reaching all others directly would take new connections, most of its processor
	// time, and the orders in progress.
	keepRelaysShare = 0.5
	// maxRelayedPerCore is how many workers a relay is assigned for each core of its host.
	// Seven requests per second and worker, at 0.2 ms each, take a fifth of the host's
	// processor time.
	maxRelayedPerCore = 150
	// directDoublingInterval is the interval at which the limit on directly reached workers
	// doubles while no host may relay; the owner retries the hosts five times in each
	// interval. A host of 0.8 cores reaches all of 1,100 workers after 6 s. maxDirectDoublings
	// bounds the number of doublings.
	directDoublingInterval = 2 * time.Second
	maxDirectDoublings     = 16
)

// assigner assigns workers to relays. It keeps an assignment while the relay is usable, and
// fills relays that have capacity left before it adds another one, as each stream costs the
// owner additional frames. The zero value has no hosts; it is not safe for concurrent use.
type assigner struct {
	// self is the name of the owner's host, cores its processor capacity in cores.
	self  string
	cores float64
	// members are the entry hosts by name. unavailable holds the names of those that may not
	// relay now.
	members     map[string]registry.Member
	unavailable map[string]bool
	// assigned maps the incarnations of workers to their relays. load is the number of workers
	// of each relay.
	assigned map[string]string
	load     map[string]int
	// direct is the set of workers reached directly because no host may relay. noRelaySince is
	// the time since which no host may relay, or zero.
	direct       map[string]bool
	noRelaySince time.Time
	// relaying is set while the owner uses relays.
	relaying bool
}

// needsRelays decides whether an owner of this many workers uses relays. The answer depends on the
// one before, see keepRelaysShare.
func (as *assigner) needsRelays(workers int) bool {
	limit := maxDirectPerCore * as.cores
	if as.relaying {
		limit *= keepRelaysShare
	}
	as.relaying = as.cores > 0 && float64(workers) > limit
	return as.relaying
}

// relayCapacity returns how many workers a host is assigned as a relay.
func relayCapacity(me registry.Member) int { return max(int(maxRelayedPerCore*me.Cores), 1) }

// usable reports whether a host may relay.
func (as *assigner) usable(name string) bool {
	_, ok := as.members[name]
	return ok && name != as.self && !as.unavailable[name]
}

// markUnavailable excludes a host from relaying.
func (as *assigner) markUnavailable(name string) {
	if as.unavailable == nil {
		as.unavailable = map[string]bool{}
	}
	as.unavailable[name] = true
}

// assign returns the relay of a worker in a data centre, or "" if the worker is to be reached
// directly. If no host may relay, only a limited number of workers is reached directly. The
// others keep their relay, and orders to them are not sent: reaching all of them at once would
// overload the owner's processor or link, and then no order would get through.
func (as *assigner) assign(incarnation, dataCentre string) string {
	if as.assigned == nil {
		as.assigned, as.load, as.direct = map[string]string{}, map[string]int{}, map[string]bool{}
	}
	prev, ok := as.assigned[incarnation]
	if ok && as.usable(prev) && !as.canRebalance(prev, dataCentre) {
		return prev
	}
	as.unassign(incarnation)
	via := as.pickRelay(dataCentre)
	if via == "" {
		via = as.fallbackRelay(prev, dataCentre)
	} else {
		as.noRelaySince = time.Time{}
	}
	if via == "" {
		as.direct[incarnation] = true
		return ""
	}
	as.assigned[incarnation] = via
	as.load[via]++
	return via
}

// fallbackRelay returns the relay that a worker keeps, or is assigned, while no host may
// relay, or "" if the worker is to be reached directly. That is so if there is no other host,
// or while the limit on directly reached workers allows it. Half of the limit is reserved for
// workers in the owner's own data centre, as the whole data centre may be cut off from the
// others.
func (as *assigner) fallbackRelay(prev, dataCentre string) string {
	other := as.firstOther()
	limit := as.directLimit(time.Now())
	if own := as.members[as.self].DataCentre; own != "" && own != dataCentre {
		limit /= 2
	}
	if other == "" || len(as.direct) < limit {
		return ""
	}
	return cmp.Or(prev, other)
}

// directLimit returns the maximum number of workers that the owner reaches directly while no
// host may relay: as many as it would without relays, doubled after each
// directDoublingInterval, as all the listed hosts may be lost.
func (as *assigner) directLimit(now time.Time) int {
	if as.noRelaySince.IsZero() {
		as.noRelaySince = now
	}
	doubled := min(now.Sub(as.noRelaySince)/directDoublingInterval, maxDirectDoublings)
	return max(int(maxDirectPerCore*as.cores), 1) << doubled
}

// unknownRelay is used as the name of a relay while the list of hosts is not known.
const unknownRelay = "unknown"

// firstOther returns the alphabetically first of the other hosts, or "" if there is none. It
// returns unknownRelay while the list of hosts is not known.
func (as *assigner) firstOther() string {
	if as.members == nil {
		return unknownRelay
	}
	first := ""
	for name := range as.members {
		if name != as.self && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// noneUsable reports whether no host may relay.
func (as *assigner) noneUsable() bool {
	for name := range as.members {
		if as.usable(name) {
			return false
		}
	}
	return true
}

// canRebalance reports whether a relay has more workers than its capacity while another host
// has capacity left: the first owner of a deployment assigns workers before most hosts have
// entered the list.
func (as *assigner) canRebalance(via, dataCentre string) bool {
	if as.load[via] <= relayCapacity(as.members[via]) {
		return false
	}
	other := as.pickRelay(dataCentre)
	return other != via && as.load[other] < relayCapacity(as.members[other])
}

// unassign removes a worker from its relay, or from the directly reached workers.
func (as *assigner) unassign(incarnation string) {
	delete(as.direct, incarnation)
	if via, ok := as.assigned[incarnation]; ok {
		as.load[via]--
		delete(as.assigned, incarnation)
	}
}

// pickRelay returns the best host to relay for one more worker: one in the worker's data
// centre if it has capacity left, preferably one that already relays, otherwise the one with
// most cores. If no host has capacity left it returns the least loaded one, relative to its
// capacity.
func (as *assigner) pickRelay(dataCentre string) string {
	best := ""
	for name := range as.members {
		if as.usable(name) && (best == "" || as.compareRelays(name, best, dataCentre) < 0) {
			best = name
		}
	}
	return best
}

// compareRelays orders hosts by how well they suit as the relay of one more worker, best
// first.
func (as *assigner) compareRelays(a, b, dataCentre string) int {
	ma, mb := as.members[a], as.members[b]
	fa, fb := as.load[a] < relayCapacity(ma), as.load[b] < relayCapacity(mb)
	switch {
	case fa != fb:
		return preferFirst(fa)
	case !fa:
		return cmp.Compare(float64(as.load[a])/float64(relayCapacity(ma)), float64(as.load[b])/float64(relayCapacity(mb)))
	case (ma.DataCentre == dataCentre) != (mb.DataCentre == dataCentre):
		return preferFirst(ma.DataCentre == dataCentre)
	case (as.load[a] > 0) != (as.load[b] > 0):
		return preferFirst(as.load[a] > 0)
	}
	return cmp.Or(cmp.Compare(mb.Cores, ma.Cores), strings.Compare(a, b))
}

// preferFirst returns the comparison result that orders the first of two hosts before the
// second if first is set, and after it otherwise.
func preferFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
