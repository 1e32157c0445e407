package route

import (
	"container/heap"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/runner"
)

// waiter is a request in a pool's queue.
type waiter struct {
	class    runner.Class
	deadline time.Time
	// needs is the time that must be left when a runner gets the request.
	minTime time.Duration
	// avoid are runners tried before.
	avoid map[string]bool
	// local keeps the request from being passed to a peer.
	local bool
	seq   uint64
	index int
	// got has the outcome: a grant, a peer to go to, or a refusal.
	assigned chan assignment
}

// turn is what a waiter is told.
type assignment struct {
	grant  *Grant
	peer   string
	refuse reason.Reason
}

// deadlineHeap orders waiters by deadline, then by arrival.
type deadlineHeap []*waiter

func (dh deadlineHeap) Len() int { return len(dh) }

func (dh deadlineHeap) Less(i, j int) bool {
	if !dh[i].deadline.Equal(dh[j].deadline) {
		return dh[i].deadline.Before(dh[j].deadline)
	}
	return dh[i].seq < dh[j].seq
}

func (dh deadlineHeap) Swap(i, j int) {
	dh[i], dh[j] = dh[j], dh[i]
	dh[i].index = i
	dh[j].index = j
}

// Push implements heap.Interface.
func (dh *deadlineHeap) Push(x any) {
	wa, _ := x.(*waiter)
	wa.index = len(*dh)
	*dh = append(*dh, wa)
}

// Pop implements heap.Interface.
func (dh *deadlineHeap) Pop() any {
	old := *dh
	wa := old[len(old)-1]
	old[len(old)-1] = nil
	*dh = old[:len(old)-1]
	wa.index = -1
	return wa
}

// classQueue has one heap per class. Latency-critical waiters go first, but
// of every so many turns batch gets one while it waits, so that it never
// starves.
type classQueue struct {
	heaps [2]deadlineHeap
	seq   uint64
	// sinceBatch counts turns since batch had one.
	sinceBatch int
	// turns counts turns of each class while batch waits.
	turns [2]int
}

func (cq *classQueue) push(wa *waiter) {
	cq.seq++
	wa.seq = cq.seq
	heap.Push(&cq.heaps[wa.class], wa)
}

func (cq *classQueue) remove(wa *waiter) bool {
	if wa.index < 0 {
		return false
	}
	heap.Remove(&cq.heaps[wa.class], wa.index)
	return true
}

func (cq *classQueue) len() int {
	return len(cq.heaps[0]) + len(cq.heaps[1])
}

// ahead returns how many waiters would go before one of the class and
// deadline.
func (cq *classQueue) ahead(class runner.Class, deadline time.Time) int {
	n := 0
	for _, wa := range cq.heaps[class] {
		if !wa.deadline.After(deadline) {
			n++
		}
	}
	if class == runner.Batch {
		n += len(cq.heaps[runner.LatencyCritical])
	}
	return n
}

// next returns the class whose turn it is. batchEvery is how many turns make
// one for batch.
func (cq *classQueue) next(batchEvery int) (runner.Class, bool) {
	lat, bat := len(cq.heaps[runner.LatencyCritical]) > 0, len(cq.heaps[runner.Batch]) > 0
	switch {
	case !lat && !bat:
		return 0, false
	case !lat, bat && batchEvery > 0 && cq.sinceBatch >= batchEvery-1:
		return runner.Batch, true
	}
	return runner.LatencyCritical, true
}

// took notes a turn taken by a class.
func (cq *classQueue) recordTurn(class runner.Class) {
	if class == runner.Batch {
		cq.sinceBatch = 0
		cq.turns[class]++
		return
	}
	if len(cq.heaps[runner.Batch]) > 0 {
		cq.sinceBatch++
		cq.turns[class]++
	}
}
