package route

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/runner"
)

// evenOut works out how much batch to pass to peers in this data centre whose
// queues are shorter, slot for slot. Without it a host with fewer runners than
// the others refuses batch for which they have time.
func (po *Pool) balanceBatch() {
	slots := po.slots()
	if slots == 0 {
		return
	}
	own := float64(len(po.queue.heaps[runner.Batch])) / float64(slots)
	for peer, lo := range po.sameDC {
		if lo.Slots == 0 {
			continue
		}
		gap := own - float64(lo.Waiting)/float64(lo.Slots)
		if gap > balanceThreshold {
			lo.balance = int(gap * float64(lo.Slots) / balanceDivisor)
			po.sameDC[peer] = lo
		}
	}
}

// evenFrom is the difference of waiters for one slot from which batch is
// passed on, evenPart the part of the difference passed on at a time.
const (
	balanceThreshold = 1.0
	balanceDivisor   = 8
)

// Load is what a pool tells its peers.
type Load struct {
	// Free is the number of free slots, less the waiters.
	Free int `json:"free"`
	// Yield is how many latency-critical requests it can take all the same,
	// until it says so again: slots that would go to batch next.
	BatchTurns int `json:"yield,omitempty"`
	// Waiting is the number of waiters.
	Waiting int `json:"waiting"`
	// Slots is the number of slots.
	Slots int `json:"slots"`

	// even is how many batch requests to pass to the peer to even out the
	// queues; the pool that is told the load works it out.
	balance int
}

// Load returns the pool's load.
func (po *Pool) Load() Load {
	po.mu.Lock()
	defer po.mu.Unlock()
	lo := Load{Waiting: po.queue.len()}
	for _, ms := range po.members {
		if ms.removed {
			continue
		}
		lo.Slots += ms.limit()
		lo.Free += max(0, ms.limit()-ms.busy)
	}
	lo.Free = max(0, lo.Free-lo.Waiting)
	if len(po.queue.heaps[runner.Batch]) > 0 {
		lo.BatchTurns = po.batchSurplus()
	}
	return lo
}

// surplus returns the turns that batch had in the last window beyond its
// minimum share: that many can go to latency-critical requests of peers
// instead. The slots of a service do not divide evenly among hosts, so that
// one host can have more latency-critical work than slots while the others
// serve batch.
func (po *Pool) batchSurplus() int {
	if time.Since(po.surplusSince) < surplusWindow {
		return po.lastSurplus
	}
	turns := po.queue.turns
	po.lastSurplus = turns[runner.Batch]
	if po.policy.BatchEvery > 0 {
		po.lastSurplus -= (turns[runner.LatencyCritical] + turns[runner.Batch]) / po.policy.BatchEvery
	}
	po.lastSurplus = max(0, po.lastSurplus)
	po.queue.turns = [2]int{}
	po.surplusSince = time.Now()
	return po.lastSurplus
}

const (
	// yieldWindow is about the time between greetings of peers.
	surplusWindow = 200 * time.Millisecond
	// yieldFrom is the part of the own slots that must wait in
	// latency-critical requests before the offer is taken. Fewer have their
	// turn soon, at the cost of batch here and not at a peer.
	batchTurnDivisor = 8
)

// left returns how many requests of a kind the peer can take.
func (lo Load) available(sk spillKind) int {
	switch sk {
	case spillBatchTurns:
		return lo.Free + lo.BatchTurns
	case spillBalance:
		return lo.Free + lo.balance
	}
	return lo.Free
}

// kind says what a waiter may ask of a peer besides free slots.
type spillKind int

const (
	// plain waiters take free slots only.
	spillFree spillKind = iota
	// yielding ones take turns of the peer's batch.
	spillBatchTurns
	// evening ones take places in the peer's queue, which is shorter.
	spillBalance
)

// less returns the load after one more request was passed to the peer.
func (lo Load) afterSpill(sk spillKind) Load {
	switch {
	case lo.Free > 0:
		lo.Free--
	case sk == spillBatchTurns:
		lo.BatchTurns--
	default:
		lo.balance--
	}
	return lo
}

func (po *Pool) peerHasSlot() bool {
	return mostAvailable(po.sameDC, spillBatchTurns) != "" || mostAvailable(po.otherDCs, spillBatchTurns) != ""
}

// mostLeft returns the peer that can take the most requests, or "".
func mostAvailable(peers map[string]Load, sk spillKind) string {
	best, most := "", 0
	for peer, lo := range peers {
		available := lo.available(sk)
		if available > most || (available == most && available > 0 && peer < best) {
			best, most = peer, available
		}
	}
	return best
}
