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
	// ID is the runner's id and Addr its host:port.
	ID   string
	Addr string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Probing limits the runner to one concurrent request.
	Probing bool
	// Slow excludes the runner from latency-critical requests while others have
	// a free slot.
	Slow bool
}

// Policy holds the queueing parameters of a pool.
type Policy struct {
	// QueueLimit is the maximum number of waiters; zero means no limit.
	QueueLimit int
	// BatchEvery gives batch one of every BatchEvery turns while it waits; zero
	// gives it a turn only when no latency-critical request waits.
	BatchEvery int
}

// Pool assigns the slots of one service's runners to requests. It tracks every
// request in flight on its runners, assigns a waiter to a runner only when a
// slot is free, and refuses at once requests that cannot meet their deadline.
type Pool struct {
	// Pick chooses among members with a free slot; nil takes the one with the
	// fewest requests in flight. busy returns the requests in flight on a
	// member.
	Pick func(free []Member, busy func(id string) int) Member

	mu      sync.Mutex
	policy  Policy
	members map[string]*memberState
	queue   classQueue
	times   ServiceTimes
	// lastSurplus is the surplus of batch turns in the window before the one
	// that began at surplusSince.
	lastSurplus  int
	surplusSince time.Time
	// sameDC and otherDCs hold the remaining load that peers in this data
	// centre and in others can take, by peer name.
	sameDC, otherDCs map[string]Load
}

type memberState struct {
	Member

	busy    int
	removed bool
}

// Grant is a slot held by one request until it is released.
type Grant struct {
	// Runner is the runner that the slot belongs to.
	Runner Member

	pool  *Pool
	state *memberState
	once  sync.Once
}

// NewPool returns a pool without members.
func NewPool(pol Policy) *Pool {
	return &Pool{policy: pol, members: map[string]*memberState{}}
}

// SetPolicy replaces the policy; it applies to later decisions.
func (po *Pool) SetPolicy(pol Policy) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.policy = pol
}

// SetMembers replaces the runners. Requests in flight on a runner that is no
// longer a member continue, and are counted again if it returns.
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

// SetPeers sets the load reported by each peer in this data centre and in
// others. The pool keeps the maps and deducts from them the requests it
// forwards.
func (po *Pool) SetPeers(sameDC, otherDCs map[string]Load) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.sameDC, po.otherDCs = sameDC, otherDCs
	po.balanceBatch()
	po.dispatch()
}

// Busy returns the number of requests in flight on a runner.
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

// SlotRequest describes a request that needs a slot.
type SlotRequest struct {
	// Class, Method and Deadline are those of the request.
	Class    runner.Class
	Method   string
	Deadline time.Time
	// Avoid holds the ids of runners tried before; they are used only if no
	// other runner has a free slot.
	Avoid map[string]bool
	// Local prevents the request from being forwarded to a peer.
	Local bool
}

// Refusal says why no slot was granted.
type Refusal struct {
	// Reason is the cause; [reason.None] means that there is no refusal.
	Reason reason.Reason
	// RetryAfter is the delay after which to try again.
	RetryAfter time.Duration
}

// Acquire takes a slot, waiting for one as long as the deadline allows. It
// returns a grant, or the name of the peer that is to serve the request, or a
// refusal.
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

// TryAcquire takes a slot of an own runner that was not tried before. It
// returns nil if none is free or if requests are queued.
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

// hedgeDelay returns the time within which 99.9 percent of answers arrive; 0 if
// it is not known.
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
		// A slot was assigned at the same moment; it must be used or it would
		// leak.
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

// admit decides whether a waiter may queue: there must be a runner, space in
// the queue, and enough time to meet the deadline.
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

// evictBatchWaiter frees a place in a full queue for a latency-critical waiter
// by refusing the batch waiter with the latest deadline.
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

// minRetryAfter prevents refused callers from retrying immediately.
const minRetryAfter = 50 * time.Millisecond

// drainTime estimates how long it takes to serve the current queue.
func (po *Pool) drainTime() time.Duration {
	wait := po.times.Mean() * time.Duration(po.queue.len()+1) / time.Duration(max(1, po.slots()))
	return max(minRetryAfter, wait)
}

// dispatch assigns slots as long as there is a waiter and a free slot, here or
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

// freeMember returns the member to use, or nil if none has a free slot. Slow
// members and those tried before are used only if there is no other.
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

// Release returns the slot. ev is the result of the request that held it; took
// counts towards the service times only if the request was answered. Further
// calls have no effect.
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
