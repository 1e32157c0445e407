package relay

import (
	"cmp"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// Loads of hosts.
const (
	// directPerCore is how many workers a host reaches itself as an owner, for each
	// core that it has: 350 workers with 560 to 900 starts a second were seen to take 0.35
	// of a core, so that it would be some third of the host.
	directPerCore = 320
	// relayPerCore is how many workers a host is given as a relay, for each core
	// that it has: seven calls a second and worker at 0.2 ms take a fifth of it.
	relayPerCore = 150
	// widenEvery is the time after which an owner that no host relays for reaches twice
	// as many workers directly: hosts are asked five times in it. All of 1,100 workers are
	// reached after 6 s by a host of 0.8 cores. doubledMost bounds the doubling.
	widenEvery  = 2 * time.Second
	doubledMost = 16
)

// plan assigns workers to relays. It keeps what is assigned as long as the relay
// is of use, and adds to relays that have room before it opens another: each
// stream costs the owner frames. The zero value has nobody; it is not for several
// goroutines at once.
type plan struct {
	// self is the owner's host, cores what it has.
	self  string
	cores float64
	// members are the entry hosts, by name; lost has those not to be used.
	members map[string]registry.Member
	lost    map[string]bool
	// assigned has each worker's relay, by incarnation, and load how many workers
	// each relay has.
	assigned map[string]string
	load     map[string]int
	// direct are workers that are reached directly as no host may relay, helplessFrom is
	// since when that is so.
	direct       map[string]bool
	helplessFrom time.Time
}

// shared reports whether an owner of so many workers uses relays.
func (pl *plan) shared(workers int) bool {
	return pl.cores > 0 && float64(workers) > directPerCore*pl.cores
}

func capacity(me registry.Member) int { return max(int(relayPerCore*me.Cores), 1) }

// usable reports whether a host may relay.
func (pl *plan) usable(name string) bool {
	_, ok := pl.members[name]
	return ok && name != pl.self && !pl.lost[name]
}

// avoid has a host not used.
func (pl *plan) avoid(name string) {
	if pl.lost == nil {
		pl.lost = map[string]bool{}
	}
	pl.lost[name] = true
}

// assign returns the relay of a worker in a data centre, or "" if the worker is to be
// reached directly. If no host may relay, that is so for a few workers only; the others
// keep their relay, and orders to them are not sent: all of them at once are more than
// the owner's processor or link can carry, and then nothing gets through.
func (pl *plan) assign(incarnation, dataCentre string) string {
	if pl.assigned == nil {
		pl.assigned, pl.load, pl.direct = map[string]string{}, map[string]int{}, map[string]bool{}
	}
	was, ok := pl.assigned[incarnation]
	if ok && pl.usable(was) && !pl.canRelieve(was, dataCentre) {
		return was
	}
	pl.release(incarnation)
	via := pl.pick(dataCentre)
	if via == "" {
		via = pl.strand(was, dataCentre)
	} else {
		pl.helplessFrom = time.Time{}
	}
	if via == "" {
		pl.direct[incarnation] = true
		return ""
	}
	pl.assigned[incarnation] = via
	pl.load[via]++
	return via
}

// strand returns the relay that one more worker is left with, or takes up, while none is
// of use, or "" if it is to be reached directly: if there is no other host, or as long as
// the owner has room for it, half of which is for its own data centre, from which it may
// be cut off together.
func (pl *plan) strand(was, dataCentre string) string {
	other := pl.first()
	room := pl.directMost(time.Now())
	if own := pl.members[pl.self].DataCentre; own != "" && own != dataCentre {
		room /= 2
	}
	if other == "" || len(pl.direct) < room {
		return ""
	}
	return cmp.Or(was, other)
}

// directMost is how many workers the owner reaches directly at most while no host may
// relay: as many as it would without relays, and twice as many after each widenEvery, as
// hosts that are listed may all be gone.
func (pl *plan) directMost(now time.Time) int {
	if pl.helplessFrom.IsZero() {
		pl.helplessFrom = now
	}
	doubled := min(now.Sub(pl.helplessFrom)/widenEvery, doubledMost)
	return max(int(directPerCore*pl.cores), 1) << doubled
}

// unknown takes the place of a relay while the list of hosts is not known.
const unknown = "unknown"

// first returns the first of the other hosts, or "" if there is none.
func (pl *plan) first() string {
	if pl.members == nil {
		return unknown
	}
	first := ""
	for name := range pl.members {
		if name != pl.self && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// helpless reports whether no host may relay.
func (pl *plan) helpless() bool {
	for name := range pl.members {
		if pl.usable(name) {
			return false
		}
	}
	return true
}

// canRelieve reports whether a relay has more workers than it should, and another
// host has room: the first owner of a deployment assigns workers before most hosts
// have entered the list.
func (pl *plan) canRelieve(via, dataCentre string) bool {
	if pl.load[via] <= capacity(pl.members[via]) {
		return false
	}
	other := pl.pick(dataCentre)
	return other != via && pl.load[other] < capacity(pl.members[other])
}

// release takes a worker off its relay.
func (pl *plan) release(incarnation string) {
	delete(pl.direct, incarnation)
	if via, ok := pl.assigned[incarnation]; ok {
		pl.load[via]--
		delete(pl.assigned, incarnation)
	}
}

// pick returns the host that is to relay for one more worker: in the worker's data
// centre if one has room there, one that relays already if it has room, the one
// with most processor otherwise. If none has room, it is the least loaded.
func (pl *plan) pick(dataCentre string) string {
	best := ""
	for name := range pl.members {
		if pl.usable(name) && (best == "" || pl.compare(name, best, dataCentre) < 0) {
			best = name
		}
	}
	return best
}

// compare orders hosts by how well they suit as the relay of one more worker.
func (pl *plan) compare(a, b, dataCentre string) int {
	ma, mb := pl.members[a], pl.members[b]
	ra, rb := pl.load[a] < capacity(ma), pl.load[b] < capacity(mb)
	switch {
	case ra != rb:
		return prefer(ra)
	case !ra:
		return cmp.Compare(float64(pl.load[a])/float64(capacity(ma)), float64(pl.load[b])/float64(capacity(mb)))
	case (ma.DataCentre == dataCentre) != (mb.DataCentre == dataCentre):
		return prefer(ma.DataCentre == dataCentre)
	case (pl.load[a] > 0) != (pl.load[b] > 0):
		return prefer(pl.load[a] > 0)
	}
	return cmp.Or(cmp.Compare(mb.Cores, ma.Cores), strings.Compare(a, b))
}

// prefer orders the first of two before the second, if it is so for the first.
func prefer(first bool) int {
	if first {
		return -1
	}
	return 1
}
