package sched

import "github.com/pepperhatch/pepperhatch/internal/worker"

// waysPerEpoch is how many ways to workers an owner may use one after the other:
// each has a fencing token of its own, and those of the next owner are higher than
// all of them. It is some 900 changes of all ways at 1,100 workers.
const waysPerEpoch = 1 << 20

// way is a way to a worker, directly or through another entry host. It does not
// change.
type way struct {
	addr worker.Addr
	// fence is the fencing token of orders that go this way. Once a worker has had
	// an order by the next way, it obeys none that still comes by this one.
	fence int64
}

// firstWay returns the way to a worker that was just seen. It may have been seen
// before, and forgotten.
func (ow *Owner) firstWay(li WorkerEntry) *way {
	addr := li.Addr
	addr.Via = ow.via(li)
	return &way{addr: addr, fence: ow.nextFence()}
}

// nextFence returns a fencing token that is higher than all before it.
func (ow *Owner) nextFence() int64 {
	ow.ways = min(ow.ways+1, waysPerEpoch-1)
	return ow.Tenure.Epoch*waysPerEpoch + ow.ways
}

func (ow *Owner) via(li WorkerEntry) string {
	if ow.ViaFunc == nil {
		return ""
	}
	return ow.ViaFunc(li)
}

// wayNow returns the way to the worker now.
func (ho *workerState) wayNow() way {
	if wa := ho.path.Load(); wa != nil {
		return *wa
	}
	return way{addr: ho.Addr}
}

// Reroute has workers reached by the ways that are wanted now.
func (ow *Owner) Reroute() {
	ow.post(func() {
		for _, ho := range ow.hosts {
			if !ho.dead {
				ho.reroute()
			}
		}
	})
}

// reroute takes up the way that is wanted now, if it is another. Orders under way
// by the former one may be carried out until the worker hears of this; as with a
// lost answer, what became of them is settled by the worker's word.
func (ho *workerState) reroute() {
	was, via := ho.wayNow(), ho.ow.via(ho.WorkerEntry)
	if via == was.addr.Via {
		return
	}
	now := &way{addr: was.addr, fence: ho.ow.nextFence()}
	now.addr.Via = via
	ho.path.Store(now)
	wake(ho.pathChanged)
	ho.ow.Log.Info("worker reached another way", "worker", ho.incarnation, "via", via, "was", was.addr.Via, "fence", now.fence)
}
