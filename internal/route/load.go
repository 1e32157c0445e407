package route

import (
	"time"

	"github.com/pepperhatch/pepperhatch/internal/runner"
)

// balanceBatch computes how many batch requests to forward to each peer in this
// data centre whose queue is shorter per slot. Without it a host with fewer
// runners than its peers refuses batch requests that the peers have time for.
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

// balanceThreshold is by how much the waiting batch requests per slot here must
// exceed all waiting requests per slot at a peer before batch is forwarded. One
// part in balanceDivisor of the difference is forwarded per exchange of loads.
const (
	balanceThreshold = 1.0
	balanceDivisor   = 8
)

// Load is the load of one service that an entry host reports to its peers.
type Load struct {
	// Free is the number of free slots minus the number of waiters, at least 0.
	Free int `json:"free"`
	// BatchTurns is the number of latency-critical requests that can be served
	// before the next report in addition to Free, on slots that batch would get
	// next.
	BatchTurns int `json:"yield,omitempty"`
	// Waiting is the number of waiters in both classes.
	Waiting int `json:"waiting"`
	// Slots is the number of slots of all runners of this host.
	Slots int `json:"slots"`

	// balance is the number of batch requests to forward to the peer to even
	// out the queues. It is computed by the receiver of the load and not sent.
	balance int
}

// Load returns the pool's current load.
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

// batchSurplus returns the turns that batch had in the last window beyond its
// minimum share: that many can go to latency-critical requests of peers
// instead. The slots of a service do not divide evenly among hosts, so one host
// can have more latency-critical work than slots while the others serve batch.
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
	// surplusWindow is about the interval between exchanges of loads with
	// peers.
	surplusWindow = 200 * time.Millisecond
	// batchTurnDivisor sets when batch turns of a peer are used: if the waiting
	// latency-critical requests outnumber one part in batchTurnDivisor of the
	// slots here. Fewer waiters get a slot here soon, at the cost of local batch
	// rather than that of a peer.
	batchTurnDivisor = 8
)

// available returns how many requests of a spill kind the peer can take.
func (lo Load) available(sk spillKind) int {
	switch sk {
	case spillBatchTurns:
		return lo.Free + lo.BatchTurns
	case spillBalance:
		return lo.Free + lo.balance
	}
	return lo.Free
}

// spillKind says which resources of a peer a waiter may use besides free slots.
type spillKind int

const (
	// spillFree uses free slots only.
	spillFree spillKind = iota
	// spillBatchTurns also uses turns that the peer would give to batch.
	spillBatchTurns
	// spillBalance also uses places in the peer's shorter queue.
	spillBalance
)

// afterSpill returns the load after one more request was forwarded to the peer.
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

// peerHasSlot reports whether a peer can take a latency-critical request.
func (po *Pool) peerHasSlot() bool {
	return mostAvailable(po.sameDC, spillBatchTurns) != "" || mostAvailable(po.otherDCs, spillBatchTurns) != ""
}

// mostAvailable returns the peer that can take the most requests, or "" if no
// peer can take any. Ties go to the lower name.
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
