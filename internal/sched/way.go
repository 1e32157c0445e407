package sched

import "github.com/pepperhatch/pepperhatch/internal/worker"

// waysPerEpoch is how many ways to a worker an owner may use one after the other:
// each has a fencing token of its own, and those of the next owner are higher than
// all of them.
const waysPerEpoch = 4096

// way is a way to a worker, directly or through another entry host. It does not
// change.
type way struct {
	addr worker.Addr
	// fence is the fencing token of orders that go this way. Once a worker has had
	// an order by the next way, it obeys none that still comes by this one.
	fence int64
}

// firstWay returns the way to a worker that was just seen.
func (ow *Owner) firstWay(li Listed) *way {
	addr := li.Addr
	addr.Via = ow.via(li)
	return &way{addr: addr, fence: ow.Tenure.Epoch * waysPerEpoch}
}

func (ow *Owner) via(li Listed) string {
	if ow.ViaFunc == nil {
		return ""
	}
	return ow.ViaFunc(li)
}

// wayNow returns the way to the worker now.
func (ho *host) wayNow() way {
	if wa := ho.way.Load(); wa != nil {
		return *wa
	}
	return way{addr: ho.Addr}
}

// Reroute has workers reached by the ways that are wanted now.
func (ow *Owner) Reroute() {
	ow.post(func() {
		for _, ho := range ow.hosts {
			ho.reroute()
		}
	})
}

// reroute takes up the way that is wanted now, if it is another. Orders under way
// by the former one may be carried out until the worker hears of this; as with a
// lost answer, what became of them is settled by the worker's word.
func (ho *host) reroute() {
	was, via := ho.wayNow(), ho.ow.via(ho.Listed)
	if via == was.addr.Via || was.fence+1 >= (ho.ow.Tenure.Epoch+1)*waysPerEpoch {
		return
	}
	now := &way{addr: was.addr, fence: was.fence + 1}
	now.addr.Via = via
	ho.way.Store(now)
	ho.ow.Log.Info("worker reached another way", "worker", ho.incarnation, "via", via, "was", was.addr.Via, "fence", now.fence)
}
