package admission

import (
	"container/heap"
	"time"
)

// Parameters of turns.
const (
	// minRetryAfter is the shortest time after which a refused caller is asked to return.
	minRetryAfter = 250 * time.Millisecond
	// maxPromise is how far ahead a turn is promised. Forecasts beyond it are not worth keeping
	// a place for; such a caller is asked to return after this time.
	maxPromise = 10 * time.Second
	// maxTurns bounds the turns, which take about 200 bytes each.
	maxTurns = 1024
	// urgentTurns is how many more are kept for jobs of priority 0, so that callers of other
	// priorities cannot take all.
	urgentTurns = 256
	// keepTurn is how long after the promised time a turn is kept. Callers that are told whole
	// seconds come up to one second late, and their request may be repeated once.
	keepTurn = 3 * time.Second
	// earlyTolerance is how long before its turn a caller may come, as timers and clocks differ.
	earlyTolerance = 50 * time.Millisecond
)

// turn is the promise to a refused caller that its job goes before those of callers without a turn
// when it returns.
type turn struct {
	id       string
	pool     turnPool
	work     int64
	firstTry time.Time
	// at is the promised time.
	at time.Time
	// index is the position in the heap.
	index int
}

// turnPool selects the turns of one service, kind and priority.
type turnPool struct {
	service  string
	kind     Kind
	priority int
}

// turns holds the promised turns. The zero value is empty.
type turns struct {
	byID map[string]*turn
	// work is the sum of the work of the turns by pool.
	work map[turnPool]int64
	// queue has the turns, the one that expires first at the front.
	queue turnHeap
}

// find returns the turn of a job.
func (tu *turns) find(id string) (*turn, bool) {
	one, ok := tu.byID[id]
	return one, ok
}

// ahead returns the work that is promised to other turns of the same or a higher priority than
// that of the request. own is the turn of the request, or nil.
func (tu *turns) ahead(re Request, own *turn) int64 {
	var sum int64
	for po, work := range tu.work {
		if po.service == re.Service && po.kind == re.Kind && po.priority <= re.Priority {
			sum += work
		}
	}
	if own != nil {
		sum -= own.work
	}
	return sum
}

// promise keeps a turn for a job after the given wait, and returns when the caller is to come
// back. It reports false if it keeps no turn.
func (tu *turns) promise(re Request, wait time.Duration, firstTry, now time.Time) (time.Duration, bool) {
	most := maxTurns
	if re.Priority == 0 {
		most += urgentTurns
	}
	if wait > maxPromise || len(tu.byID) >= most {
		return maxPromise, false
	}
	wait = max(wait, minRetryAfter)
	if tu.byID == nil {
		tu.byID, tu.work = map[string]*turn{}, map[turnPool]int64{}
	}
	one := &turn{id: re.ID, pool: turnPool{service: re.Service, kind: re.Kind, priority: re.Priority}, work: re.Work, firstTry: firstTry, at: now.Add(wait)}
	tu.byID[re.ID] = one
	tu.work[one.pool] += one.work
	heap.Push(&tu.queue, one)
	return wait, true
}

// remove removes the turn of a job, if it has one.
func (tu *turns) remove(id string) {
	one := tu.byID[id]
	if one == nil {
		return
	}
	delete(tu.byID, id)
	heap.Remove(&tu.queue, one.index)
	if tu.work[one.pool] -= one.work; tu.work[one.pool] == 0 {
		delete(tu.work, one.pool)
	}
}

// expire removes the turns that were not used in time.
func (tu *turns) expire(now time.Time) {
	for len(tu.queue) > 0 && now.After(tu.queue[0].at.Add(keepTurn)) {
		tu.remove(tu.queue[0].id)
	}
}

// turnHeap is a heap of turns, the earliest first.
type turnHeap []*turn

// Len implements heap.Interface.
func (th turnHeap) Len() int { return len(th) }

// Less implements heap.Interface.
func (th turnHeap) Less(i, j int) bool { return th[i].at.Before(th[j].at) }

// Swap implements heap.Interface.
func (th turnHeap) Swap(i, j int) {
	th[i], th[j] = th[j], th[i]
	th[i].index, th[j].index = i, j
}

// Push implements heap.Interface.
func (th *turnHeap) Push(x any) {
	one := x.(*turn)
	one.index = len(*th)
	*th = append(*th, one)
}

// Pop implements heap.Interface.
func (th *turnHeap) Pop() any {
	last := (*th)[len(*th)-1]
	(*th)[len(*th)-1] = nil
	*th = (*th)[:len(*th)-1]
	return last
}
