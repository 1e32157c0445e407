package route

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/runner"
)

// evenOut works out how much batch to pass to peers in this data centre whose
// queues are shorter, slot for slot. Without it a host with fewer runners than
// the others refuses batch for which they have time.
func (po *Pool) evenOut() {
	slots := po.slots()
	if slots == 0 {
		return
	}
	own := float64(len(po.queue.heaps[runner.Batch])) / float64(slots)
	for peer, lo := range po.near {
		if lo.Slots == 0 {
			continue
		}
		gap := own - float64(lo.Waiting)/float64(lo.Slots)
		if gap > evenFrom {
			lo.even = int(gap * float64(lo.Slots) / evenPart)
			po.near[peer] = lo
		}
	}
}

// evenFrom is the difference of waiters for one slot from which batch is
// passed on, evenPart the part of the difference passed on at a time.
const (
	evenFrom = 1.0
	evenPart = 8
)

// Load is what a pool tells its peers.
type Load struct {
	// Free is the number of free slots, less the waiters.
	Free int `json:"free"`
	// Yield is how many latency-critical requests it can take all the same,
	// until it says so again: slots that would go to batch next.
	Yield int `json:"yield,omitempty"`
	// Waiting is the number of waiters.
	Waiting int `json:"waiting"`
	// Slots is the number of slots.
	Slots int `json:"slots"`

	// even is how many batch requests to pass to the peer to even out the
	// queues; the pool that is told the load works it out.
	even int
}

// Load returns the pool's load.
func (po *Pool) Load() Load {
	po.mu.Lock()
	defer po.mu.Unlock()
	lo := Load{Waiting: po.queue.len()}
	for _, ms := range po.members {
		if ms.gone {
			continue
		}
		lo.Slots += ms.limit()
		lo.Free += max(0, ms.limit()-ms.busy)
	}
	lo.Free = max(0, lo.Free-lo.Waiting)
	if len(po.queue.heaps[runner.Batch]) > 0 {
		lo.Yield = po.surplus()
	}
	return lo
}

// surplus returns the turns that batch had in the last window beyond its
// minimum share: that many can go to latency-critical requests of peers
// instead. The slots of a service do not divide evenly among hosts, so that
// one host can have more latency-critical work than slots while the others
// serve batch.
func (po *Pool) surplus() int {
	if time.Since(po.window) < yieldWindow {
		return po.yield
	}
	turns := po.queue.turns
	po.yield = turns[runner.Batch]
	if po.policy.BatchEvery > 0 {
		po.yield -= (turns[runner.LatencyCritical] + turns[runner.Batch]) / po.policy.BatchEvery
	}
	po.yield = max(0, po.yield)
	po.queue.turns = [2]int{}
	po.window = time.Now()
	return po.yield
}

const (
	// yieldWindow is about the time between greetings of peers.
	yieldWindow = 200 * time.Millisecond
	// yieldFrom is the part of the own slots that must wait in
	// latency-critical requests before the offer is taken. Fewer have their
	// turn soon, at the cost of batch here and not at a peer.
	yieldFrom = 8
)

// left returns how many requests of a kind the peer can take.
func (lo Load) left(ki kind) int {
	switch ki {
	case yielding:
		return lo.Free + lo.Yield
	case evening:
		return lo.Free + lo.even
	}
	return lo.Free
}

// kind says what a waiter may ask of a peer besides free slots.
type kind int

const (
	// plain waiters take free slots only.
	plain kind = iota
	// yielding ones take turns of the peer's batch.
	yielding
	// evening ones take places in the peer's queue, which is shorter.
	evening
)

// less returns the load after one more request was passed to the peer.
func (lo Load) less(ki kind) Load {
	switch {
	case lo.Free > 0:
		lo.Free--
	case ki == yielding:
		lo.Yield--
	default:
		lo.even--
	}
	return lo
}

func (po *Pool) peerHasSlot() bool {
	return mostLeft(po.near, yielding) != "" || mostLeft(po.far, yielding) != ""
}

// mostLeft returns the peer that can take the most requests, or "".
func mostLeft(peers map[string]Load, ki kind) string {
	best, most := "", 0
	for peer, lo := range peers {
		left := lo.left(ki)
		if left > most || (left == most && left > 0 && peer < best) {
			best, most = peer, left
		}
	}
	return best
}
