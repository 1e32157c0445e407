package route

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/upstream"
)

// Member is one runner of a pool.
type Member struct {
	// ID and Addr name the runner.
	ID   string
	Addr string
	// Slots is how many requests it may have at a time.
	Slots int
	// Probing limits it to one request at a time.
	Probing bool
	// Slow keeps latency-critical requests away while others are free.
	Slow bool
}

// Policy has a pool's numbers.
type Policy struct {
	// QueueLimit bounds the waiters.
	QueueLimit int
	// BatchEvery gives batch one turn in so many while it waits.
	BatchEvery int
}

// Pool hands out the slots of a service's runners. It knows every request
// that it let onto a runner, binds a waiter to a runner only when a slot is
// free, and refuses at once what cannot be done in time.
type Pool struct {
	// Pick chooses among members with a free slot; nil takes the one with
	// the fewest requests. It gets each one's requests in flight.
	Pick func(free []Member, busy func(id string) int) Member

	mu      sync.Mutex
	policy  Policy
	members map[string]*memberState
	queue   classQueue
	times   ServiceTimes
	// yield is the surplus of the window before the one begun at window.
	lastSurplus  int
	surplusSince time.Time
	// near and far have what peers in this data centre, and in others, are
	// said to have left.
	sameDC, otherDCs map[string]Load
}

type memberState struct {
	Member

	busy    int
	removed bool
}

// Grant is one slot.
type Grant struct {
	// Runner is whose slot it is.
	Runner Member

	pool  *Pool
	state *memberState
	once  sync.Once
}

// NewPool returns an empty pool.
func NewPool(pol Policy) *Pool {
	return &Pool{policy: pol, members: map[string]*memberState{}}
}

// SetPolicy changes the numbers.
func (po *Pool) SetPolicy(pol Policy) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.policy = pol
}

// SetMembers replaces the runners. Requests in flight on a runner that is no
// longer a member go on, and are counted if it comes back.
func (po *Pool) SetMembers(members []Member) {
	po.mu.Lock()
	defer po.mu.Unlock()
	listed := map[string]bool{}
	for _, me := range members {
		listed[me.ID] = true
		if ms := po.members[me.ID]; ms != nil {
			ms.Member, ms.removed = me, false
			continue
		}
		po.members[me.ID] = &memberState{Member: me}
	}
	for id, ms := range po.members {
		if listed[id] {
			continue
		}
		ms.removed = true
		if ms.busy == 0 {
			delete(po.members, id)
		}
	}
	po.dispatch()
}

// SetPeers tells what each peer is said to have left; near are in this data
// centre, far elsewhere. The pool keeps the maps, and takes from them what it
// passes on.
func (po *Pool) SetPeers(sameDC, otherDCs map[string]Load) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.sameDC, po.otherDCs = sameDC, otherDCs
	po.balanceBatch()
	po.dispatch()
}

// Busy returns the requests in flight on a runner.
func (po *Pool) Busy(id string) int {
	po.mu.Lock()
	defer po.mu.Unlock()
	if ms := po.members[id]; ms != nil {
		return ms.busy
	}
	return 0
}

func (ms *memberState) limit() int {
	if ms.Probing {
		return 1
	}
	return ms.Slots
}

// Ask is a request for a slot.
type SlotRequest struct {
	// Class, Method and Deadline are the request's.
	Class    runner.Class
	Method   string
	Deadline time.Time
	// Avoid are runners tried before; they are taken only if nothing else
	// is left.
	Avoid map[string]bool
	// Local keeps the request from being passed to a peer.
	Local bool
}

// Refusal says that no slot was to be had.
type Refusal struct {
	// Reason says why.
	Reason reason.Reason
	// RetryAfter says when to come back.
	RetryAfter time.Duration
}

// Acquire takes a slot, waiting for one as long as the deadline allows. It
// returns a grant, or the peer that is to serve the request, or a refusal.
func (po *Pool) Acquire(ctx context.Context, sr SlotRequest) (*Grant, string, Refusal) {
	po.mu.Lock()
	wa := &waiter{
		class: sr.Class, deadline: sr.Deadline, minTime: po.times.Tail(sr.Method),
		avoid: sr.Avoid, local: sr.Local, assigned: make(chan assignment, 1), index: -1,
	}
	if refuse := po.admit(wa); refuse != reason.None {
		re := Refusal{Reason: refuse, RetryAfter: po.drainTime()}
		po.mu.Unlock()
		return nil, "", re
	}
	po.queue.push(wa)
	po.dispatch()
	po.mu.Unlock()
	return po.await(ctx, wa)
}

// TryAcquire takes a slot of an own runner not tried before, if one is free
// and nobody waits.
func (po *Pool) TryAcquire(sr SlotRequest) *Grant {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.queue.len() > 0 {
		return nil
	}
	ms := po.freeMember(&waiter{class: sr.Class, avoid: sr.Avoid})
	if ms == nil || sr.Avoid[ms.ID] {
		return nil
	}
	ms.busy++
	return &Grant{Runner: ms.Member, pool: po, state: ms}
}

// hedgeAfter returns the time after which an answer is later than nearly all;
// 0 if that is not known.
func (po *Pool) hedgeDelay(method string) time.Duration {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.times.Tail(method)
}

func (po *Pool) await(ctx context.Context, wa *waiter) (*Grant, string, Refusal) {
	ti := time.NewTimer(time.Until(wa.deadline.Add(-wa.minTime)))
	defer ti.Stop()
	why := reason.Expired
	select {
	case as := <-wa.assigned:
		return po.assignmentResult(as)
	case <-ctx.Done():
		why = reason.CallerGone
	case <-ti.C:
	}
	po.mu.Lock()
	removed := po.queue.remove(wa)
	re := Refusal{Reason: why, RetryAfter: po.drainTime()}
	po.mu.Unlock()
	if !removed {
		// A turn came in the same moment; it is used, not lost.
		return po.assignmentResult(<-wa.assigned)
	}
	return nil, "", re
}

func (po *Pool) assignmentResult(as assignment) (*Grant, string, Refusal) {
	if as.refuse == reason.None {
		return as.grant, as.peer, Refusal{}
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	return nil, "", Refusal{Reason: as.refuse, RetryAfter: po.drainTime()}
}

// admit says whether a waiter may queue: there is a runner at all, room in
// the queue, and a chance to be in time.
func (po *Pool) admit(wa *waiter) reason.Reason {
	slots := po.slots()
	if slots == 0 && (wa.local || !po.peerHasSlot()) {
		return reason.NoRunner
	}
	left := time.Until(wa.deadline)
	if left < wa.minTime {
		return reason.TooLate
	}
	if po.queue.len() == 0 {
		return reason.None
	}
	if po.policy.QueueLimit > 0 && po.queue.len() >= po.policy.QueueLimit && !po.evictBatchWaiter(wa.class) {
		return reason.QueueFull
	}
	ahead := po.queue.ahead(wa.class, wa.deadline)
	wait := po.times.Mean() * time.Duration(ahead) / time.Duration(max(1, slots))
	if wait+wa.minTime > left {
		return reason.TooLate
	}
	return reason.None
}

// displace makes room in a full queue for a latency-critical waiter: the batch
// waiter whose deadline is last is refused in its place.
func (po *Pool) evictBatchWaiter(class runner.Class) bool {
	batch := po.queue.heaps[runner.Batch]
	if class == runner.Batch || len(batch) == 0 {
		return false
	}
	last := batch[0]
	for _, wa := range batch[1:] {
		if wa.deadline.After(last.deadline) {
			last = wa
		}
	}
	po.queue.remove(last)
	last.assigned <- assignment{refuse: reason.QueueFull}
	return true
}

func (po *Pool) slots() int {
	n := 0
	for _, ms := range po.members {
		if !ms.removed {
			n += ms.limit()
		}
	}
	return n
}

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = 50 * time.Millisecond

// drainTime estimates when the queue of now is served.
func (po *Pool) drainTime() time.Duration {
	wait := po.times.Mean() * time.Duration(po.queue.len()+1) / time.Duration(max(1, po.slots()))
	return max(minRetryAfter, wait)
}

// dispatch gives turns as long as there is a waiter and a free slot, here or
// at a peer.
func (po *Pool) dispatch() {
	for {
		class, ok := po.queue.next(po.policy.BatchEvery)
		if !ok {
			return
		}
		wa := po.queue.heaps[class][0]
		if time.Until(wa.deadline) < wa.minTime {
			heap.Pop(&po.queue.heaps[class])
			wa.assigned <- assignment{refuse: reason.Expired}
			continue
		}
		as, ok := po.assign(wa)
		if !ok {
			return
		}
		heap.Pop(&po.queue.heaps[class])
		po.queue.recordTurn(class)
		wa.assigned <- as
	}
}

func (po *Pool) assign(wa *waiter) (assignment, bool) {
	if ms := po.freeMember(wa); ms != nil {
		ms.busy++
		return assignment{grant: &Grant{Runner: ms.Member, pool: po, state: ms}}, true
	}
	if wa.local {
		return assignment{}, false
	}
	sk := spillBalance
	if wa.class == runner.LatencyCritical {
		sk = spillFree
		if len(po.queue.heaps[wa.class]) > po.slots()/batchTurnDivisor {
			sk = spillBatchTurns
		}
	}
	for _, peers := range []map[string]Load{po.sameDC, po.otherDCs} {
		if peer := mostAvailable(peers, sk); peer != "" {
			peers[peer] = peers[peer].afterSpill(sk)
			return assignment{peer: peer}, true
		}
	}
	return assignment{}, false
}

// free returns the member to use, or nil if none has a free slot that suits.
func (po *Pool) freeMember(wa *waiter) *memberState {
	var fit, slow, tried []Member
	for _, ms := range po.members {
		if ms.removed || ms.busy >= ms.limit() {
			continue
		}
		switch {
		case wa.avoid[ms.ID]:
			tried = append(tried, ms.Member)
		case ms.Slow && wa.class == runner.LatencyCritical:
			slow = append(slow, ms.Member)
		default:
			fit = append(fit, ms.Member)
		}
	}
	for _, group := range [][]Member{fit, slow, tried} {
		if len(group) > 0 {
			return po.members[po.pick(group).ID]
		}
	}
	return nil
}

func (po *Pool) pick(group []Member) Member {
	busy := func(id string) int { return po.members[id].busy }
	if po.Pick != nil {
		return po.Pick(group, busy)
	}
	best, ties := group[0], 1
	for _, me := range group[1:] {
		switch d := busy(me.ID) - busy(best.ID); {
		case d < 0:
			best, ties = me, 1
		case d == 0:
			ties++
			if rand.IntN(ties) == 0 {
				best = me
			}
		}
	}
	return best
}

// Release gives the slot back. Evidence and time are of the request that had
// it; the time counts if it was answered.
func (gr *Grant) Release(method string, ev upstream.Evidence, took time.Duration) {
	gr.once.Do(func() {
		po := gr.pool
		po.mu.Lock()
		defer po.mu.Unlock()
		gr.state.busy--
		if gr.state.removed && gr.state.busy == 0 && po.members[gr.Runner.ID] == gr.state {
			delete(po.members, gr.Runner.ID)
		}
		if ev == upstream.Answered {
			po.times.Add(method, took)
		}
		po.dispatch()
	})
}
