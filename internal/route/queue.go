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
	// minTime is the time that must be left before the deadline when a runner
	// gets the request.
	minTime time.Duration
	// avoid holds the ids of runners tried before.
	avoid map[string]bool
	// local prevents the request from being forwarded to a peer.
	local bool
	seq   uint64
	index int
	// assigned receives the outcome: a grant, a peer or a refusal. It has a
	// buffer of one so that the sender never blocks.
	assigned chan assignment
}

// assignment is the outcome for a waiter; exactly one field is set.
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
// batch gets one of every [Policy.BatchEvery] turns while it waits, so that it
// does not starve.
type classQueue struct {
	heaps [2]deadlineHeap
	seq   uint64
	// sinceBatch counts the turns since the last one for batch.
	sinceBatch int
	// turns counts the turns of each class while batch waits.
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

// ahead returns how many waiters would be served before one of the class and
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

// next returns the class that gets the next turn, or false if the queue is
// empty. Batch gets one of every batchEvery turns; with zero it gets a turn only
// when no latency-critical request waits.
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

// recordTurn records that a class was served.
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
