package sched

import "github.com/pepperhatch/pepperhatch/internal/worker"

// waysPerEpoch is how many ways to workers an owner may use one after the other:
// each has a fencing token of its own, and those of the next owner are higher than
// all of them. It is some 900 changes of all ways at 1,100 workers.
const pathsPerEpoch = 1 << 20

// way is a way to a worker, directly or through another entry host. It does not
// change.
type path struct {
	addr worker.Addr
	// fence is the fencing token of orders that go this way. Once a worker has had
	// an order by the next way, it obeys none that still comes by this one.
	fence int64
}

// firstWay returns the way to a worker that was just seen. It may have been seen
// before, and forgotten.
func (ow *Owner) newPath(li Listed) *path {
	addr := li.Addr
	addr.Via = ow.via(li)
	return &path{addr: addr, fence: ow.nextFence()}
}

// nextFence returns a fencing token that is higher than all before it.
func (ow *Owner) nextFence() int64 {
	ow.paths = min(ow.paths+1, pathsPerEpoch-1)
	return ow.Tenure.Epoch*pathsPerEpoch + ow.paths
}

func (ow *Owner) via(li Listed) string {
	if ow.ViaFunc == nil {
		return ""
	}
	return ow.ViaFunc(li)
}

// wayNow returns the way to the worker now.
func (ho *host) currentPath() path {
	if pa := ho.way.Load(); pa != nil {
		return *pa
	}
	return path{addr: ho.Addr}
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
func (ho *host) reroute() {
	former, via := ho.currentPath(), ho.ow.via(ho.Listed)
	if via == former.addr.Via {
		return
	}
	next := &path{addr: former.addr, fence: ho.ow.nextFence()}
	next.addr.Via = via
	ho.way.Store(next)
	nudge(ho.rerouted)
	ho.ow.Log.Info("worker reached another way", "worker", ho.incarnation, "via", via, "was", former.addr.Via, "fence", next.fence)
}
