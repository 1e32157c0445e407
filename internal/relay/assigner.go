package relay

import (
	"cmp"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// Loads of hosts.
const (
	// maxDirectPerCore is how many workers a host reaches itself as an owner, for each
	// core that it has: 350 workers with 560 to 900 starts a second were seen to take 0.35
	// of a core, so that it would be some third of the host.
	maxDirectPerCore = 320
	// maxRelayedPerCore is how many workers a host is given as a relay, for each core
	// that it has: seven calls a second and worker at 0.2 ms take a fifth of it.
	maxRelayedPerCore = 150
	// directDoublingInterval is the time after which an owner that no host relays for reaches twice
	// as many workers directly: hosts are asked five times in it. All of 1,100 workers are
	// streamWorker after 6 s by a host of 0.8 cores. maxDirectDoublings bounds the doubling.
	directDoublingInterval = 2 * time.Second
	maxDirectDoublings     = 16
)

// plan assigns workers to relays. It keeps what is assigned as long as the relay
// is of use, and adds to relays that have room before it opens another: each
// stream costs the owner frames. The zero value has nobody; it is not for several
// goroutines at once.
type assigner struct {
	// self is the owner's host, cores what it has.
	self  string
	cores float64
	// members are the entry hosts, by name; lost has those not to be used.
	members     map[string]registry.Member
	unavailable map[string]bool
	// assigned has each worker's relay, by incarnation, and load how many workers
	// each relay has.
	assigned map[string]string
	load     map[string]int
	// direct are workers that are streamWorker directly as no host may relay, noRelaySince is
	// since when that is so.
	direct       map[string]bool
	noRelaySince time.Time
}

// shared reports whether an owner of so many workers uses relays.
func (as *assigner) needsRelays(workers int) bool {
	return as.cores > 0 && float64(workers) > maxDirectPerCore*as.cores
}

func relayCapacity(me registry.Member) int { return max(int(maxRelayedPerCore*me.Cores), 1) }

// usable reports whether a host may relay.
func (as *assigner) usable(name string) bool {
	_, ok := as.members[name]
	return ok && name != as.self && !as.unavailable[name]
}

// avoid has a host not used.
func (as *assigner) markUnavailable(name string) {
	if as.unavailable == nil {
		as.unavailable = map[string]bool{}
	}
	as.unavailable[name] = true
}

// assign returns the relay of a worker in a data centre, or "" if the worker is to be
// streamWorker directly. If no host may relay, that is so for a few workers only; the others
// keep their relay, and orders to them are not sent: all of them at once are more than
// the owner's processor or link can carry, and then nothing gets through.
func (as *assigner) assign(incarnation, dataCentre string) string {
	if as.assigned == nil {
		as.assigned, as.load, as.direct = map[string]string{}, map[string]int{}, map[string]bool{}
	}
	was, ok := as.assigned[incarnation]
	if ok && as.usable(was) && !as.canRebalance(was, dataCentre) {
		return was
	}
	as.unassign(incarnation)
	via := as.pickRelay(dataCentre)
	if via == "" {
		via = as.fallbackRelay(was, dataCentre)
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

// strand returns the relay that one more worker is left with, or takes up, while none is
// of use, or "" if it is to be streamWorker directly: if there is no other host, or as long as
// the owner has room for it, half of which is for its own data centre, from which it may
// be cut off together.
func (as *assigner) fallbackRelay(was, dataCentre string) string {
	other := as.firstOther()
	room := as.directLimit(time.Now())
	if own := as.members[as.self].DataCentre; own != "" && own != dataCentre {
		room /= 2
	}
	if other == "" || len(as.direct) < room {
		return ""
	}
	return cmp.Or(was, other)
}

// reportedDirectLimit is how many workers the owner reaches directly at most while no host may
// relay: as many as it would without relays, and twice as many after each directDoublingInterval, as
// hosts that are listed may all be gone.
func (as *assigner) directLimit(now time.Time) int {
	if as.noRelaySince.IsZero() {
		as.noRelaySince = now
	}
	doubled := min(now.Sub(as.noRelaySince)/directDoublingInterval, maxDirectDoublings)
	return max(int(maxDirectPerCore*as.cores), 1) << doubled
}

// unknownRelay takes the place of a relay while the list of hosts is not known.
const unknownRelay = "unknown"

// first returns the first of the other hosts, or "" if there is none.
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

// helpless reports whether no host may relay.
func (as *assigner) noneUsable() bool {
	for name := range as.members {
		if as.usable(name) {
			return false
		}
	}
	return true
}

// canRebalance reports whether a relay has more workers than it should, and another
// host has room: the first owner of a deployment assigns workers before most hosts
// have entered the list.
func (as *assigner) canRebalance(via, dataCentre string) bool {
	if as.load[via] <= relayCapacity(as.members[via]) {
		return false
	}
	other := as.pickRelay(dataCentre)
	return other != via && as.load[other] < relayCapacity(as.members[other])
}

// release takes a worker off its relay.
func (as *assigner) unassign(incarnation string) {
	delete(as.direct, incarnation)
	if via, ok := as.assigned[incarnation]; ok {
		as.load[via]--
		delete(as.assigned, incarnation)
	}
}

// pick returns the host that is to relay for one more worker: in the worker's data
// centre if one has room there, one that relays already if it has room, the one
// with most processor otherwise. If none has room, it is the least loaded.
func (as *assigner) pickRelay(dataCentre string) string {
	best := ""
	for name := range as.members {
		if as.usable(name) && (best == "" || as.compareRelays(name, best, dataCentre) < 0) {
			best = name
		}
	}
	return best
}

// compare orders hosts by how well they suit as the relay of one more worker.
func (as *assigner) compareRelays(a, b, dataCentre string) int {
	ma, mb := as.members[a], as.members[b]
	ra, rb := as.load[a] < relayCapacity(ma), as.load[b] < relayCapacity(mb)
	switch {
	case ra != rb:
		return preferFirst(ra)
	case !ra:
		return cmp.Compare(float64(as.load[a])/float64(relayCapacity(ma)), float64(as.load[b])/float64(relayCapacity(mb)))
	case (ma.DataCentre == dataCentre) != (mb.DataCentre == dataCentre):
		return preferFirst(ma.DataCentre == dataCentre)
	case (as.load[a] > 0) != (as.load[b] > 0):
		return preferFirst(as.load[a] > 0)
	}
	return cmp.Or(cmp.Compare(mb.Cores, ma.Cores), strings.Compare(a, b))
}

// prefer orders the first of two before the second, if it is so for the first.
func preferFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
