package sched

import "github.com/pepperhatch/pepperhatch/internal/worker"

// pathsPerEpoch is the number of fencing tokens of one epoch: each path that an owner uses to
// a worker has its own, and the tokens of the next owner are higher than all of them.
// It allows some 900 changes of all paths at 1,100 workers.
const pathsPerEpoch = 1 << 20

// path is a path to a worker, directly or through a relay on another entry host. It is
// immutable.
type path struct {
	addr worker.Addr
	// fence is the fencing token of orders on this path. Once a worker has received an
	// order with the token of the next path, it rejects those that still arrive on this
	// one.
	fence int64
}

// newPath returns the path to a newly listed worker. Its token is new as well, as the
// worker may have been known before and been dropped.
func (ow *Owner) newPath(we WorkerEntry) *path {
	addr := we.Addr
	addr.Via, addr.DataCentre = ow.relayOf(we), we.DataCentre
	return &path{addr: addr, fence: ow.nextFence()}
}

// nextFence returns a fencing token that is higher than all before it, as long as the epoch
// has tokens left.
func (ow *Owner) nextFence() int64 {
	ow.pathCount = min(ow.pathCount+1, pathsPerEpoch-1)
	return ow.Tenure.Epoch*pathsPerEpoch + ow.pathCount
}

// relayOf returns the entry host that relays requests to a worker, or "" if none does.
func (ow *Owner) relayOf(we WorkerEntry) string {
	if ow.ViaFunc == nil {
		return ""
	}
	return ow.ViaFunc(we)
}

// currentPath returns the path by which the worker is reached now.
func (wk *workerState) currentPath() path {
	if pa := wk.path.Load(); pa != nil {
		return *pa
	}
	return path{addr: wk.Addr}
}

// Reroute makes the owner reach every worker by the path that ViaFunc returns now.
func (ow *Owner) Reroute() {
	ow.post(func() {
		for wk := range ow.allWorkers() {
			if !wk.dead {
				wk.reroute()
			}
		}
	})
}

// reroute switches to the path that ViaFunc returns now, if it differs. Orders in flight on
// the former path may be carried out until the worker receives one with the new token; as
// after a lost answer, the worker's report decides what became of them.
func (wk *workerState) reroute() {
	former, via := wk.currentPath(), wk.ow.relayOf(wk.WorkerEntry)
	if via == former.addr.Via {
		return
	}
	next := &path{addr: former.addr, fence: wk.ow.nextFence()}
	next.addr.Via = via
	wk.path.Store(next)
	wake(wk.pathChanged)
	wk.ow.Log.Info("worker reached another way", "worker", wk.incarnation, "via", via, "was", former.addr.Via, "fence", next.fence)
}
