package cell

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// workerStatus is what an owner knows about a worker but does not journal: the
// last report, the leases given, and the exchanges with the worker.
type workerStatus struct {
	// incarnation is the worker's process and workerClock its clock, in
	// milliseconds, in the last report. incarnation is empty before the first.
	incarnation string
	workerClock int64
	// seq counts the exchanges sent; lastReport is when the last report came.
	seq        int64
	lastReport time.Time
	tasks      map[string]worker.TaskReport
	// leaseEnd has the latest end of the batch leases and of the service leases,
	// in this order, whichever owner gave them. It includes the leases of the
	// next exchange, so that no attempt lapses before its first one.
	leaseEnd [2]time.Time
	// lastSent is when the last exchange was sent; pending is set while one is
	// in progress.
	lastSent time.Time
	pending  bool
	// sendNow requests an exchange without waiting for the interval.
	sendNow bool
	// leaving is set while the platform lists the worker as leaving, unlisted
	// while it does not list the worker.
	leaving  bool
	unlisted bool
	// lastAction is when a task of the worker was last started, stopped or
	// throttled.
	lastAction time.Time
	// modelUpdated is the time of the last report used for the model.
	modelUpdated time.Time
	// quarantinedAt is when the worker was quarantined, or zero.
	quarantinedAt time.Time
}

// status returns the status of a worker. It creates an empty one for a worker
// without.
func (ow *Owner) status(id string) *workerStatus {
	ws := ow.statuses[id]
	if ws == nil {
		ws = &workerStatus{}
		ow.statuses[id] = ws
	}
	return ws
}

// maxConcurrentExchanges limits the exchanges in progress.
const maxConcurrentExchanges = 128

// sendDueExchanges starts an exchange with each worker that is due or has new
// orders, up to the limit.
func (ow *Owner) sendDueExchanges(ctx context.Context) {
	now := time.Now()
	inProgress := 0
	for _, ws := range ow.statuses {
		if ws.pending {
			inProgress++
		}
	}
	for id, wo := range ow.st.Workers {
		ws := ow.status(id)
		due := now.Sub(ws.lastSent) >= ow.Timing.ExchangeInterval
		if ws.pending || inProgress >= maxConcurrentExchanges || (!due && !ws.sendNow) {
			continue
		}
		inProgress++
		ws.pending, ws.sendNow, ws.lastSent = true, false, now
		ex := ow.buildExchange(id, ws)
		go ow.exchange(ctx, id, wo.Addr, ex)
	}
}

// buildExchange returns the next message to a worker: its orders and its
// leases. Lease ends are times of the worker's own clock, based on its last
// report. A worker that has not reported yet gets neither.
func (ow *Owner) buildExchange(id string, ws *workerStatus) worker.Exchange {
	ws.seq++
	ex := worker.Exchange{Owner: ow.Self, Term: ow.term, Seq: ws.seq}
	if ws.incarnation == "" {
		return ex
	}
	service, batch := ow.leaseDurations()
	ex.Incarnation = ws.incarnation
	ex.ServiceUntilMS = ws.workerClock + service.Milliseconds()
	ex.BatchUntilMS = ws.workerClock + batch.Milliseconds()
	ws.extendLeases(service, batch)
	ex.Orders = ow.orders(id, ws)
	return ex
}

// leaseDurations returns the durations of new leases.
func (ow *Owner) leaseDurations() (service, batch time.Duration) {
	doc := ow.Config()
	return min(doc.Duration(config.LeaseService), maxLease), min(doc.Duration(config.LeaseBatch), maxLease)
}

// extendLeases records leases that last for these durations from the last report
// on. Leases that end later stay.
func (ws *workerStatus) extendLeases(service, batch time.Duration) {
	ws.leaseEnd[0] = later(ws.leaseEnd[0], ws.lastReport.Add(batch))
	ws.leaseEnd[1] = later(ws.leaseEnd[1], ws.lastReport.Add(service))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// orders returns the orders that the worker has not carried out yet. They are
// derived from the state for each exchange, and repeated until a report shows
// that they are carried out. An attempt whose end is being journalled gets none:
// a start that was lost before its lease expired would be carried out under the
// lease of this exchange.
func (ow *Owner) orders(id string, ws *workerStatus) []worker.Order {
	var orders []worker.Order
	for tid, ta := range ow.st.activeTasks[id] {
		if ta.Incarnation == ws.incarnation && !ow.ending[tid] {
			orders = append(orders, ow.taskOrders(tid, ta, ws)...)
		}
	}
	for tid, tr := range ws.tasks {
		ta := ow.st.Tasks[tid]
		assigned := ta != nil && ta.Active() && ta.Worker == id && ta.Attempt == tr.Attempt
		switch {
		case assigned:
		case tr.State == worker.StateRunning:
			orders = append(orders, worker.Order{Verb: worker.VerbStop, Task: tid, Attempt: tr.Attempt})
		default:
			orders = append(orders, worker.Order{Verb: worker.VerbForget, Task: tid, Attempt: tr.Attempt})
		}
	}
	slices.SortStableFunc(orders, func(a, b worker.Order) int { return cmp.Compare(a.Task, b.Task) })
	return orders
}

func (ow *Owner) taskOrders(id string, ta *Task, ws *workerStatus) []worker.Order {
	var orders []worker.Order
	sp := ow.st.Jobs[ta.Job].Spec
	tr, reported := ws.tasks[id]
	if !reported || tr.Attempt < ta.Attempt {
		// A task is started even if it is to be stopped: an earlier start
		// order may still be in transit, and the worker ignores it only after
		// it has seen this start and the stop.
		orders = append(orders, worker.Order{
			Verb: worker.VerbStart, Task: id, Attempt: ta.Attempt, Each: sp.Each, Kind: sp.Kind,
			Service: sp.Service, RunMS: sp.RunMS, FromMS: ta.CheckpointMS,
		})
	}
	if ta.State == Stopping {
		return append(orders, worker.Order{Verb: worker.VerbStop, Task: id, Attempt: ta.Attempt})
	}
	if share, ok := ow.shares[id]; ok {
		orders = append(orders, worker.Order{Verb: worker.VerbThrottle, Task: id, Attempt: ta.Attempt, Share: share})
	}
	return orders
}

// exchange sends a message, if the host still owns the cell, and records the
// report.
func (ow *Owner) exchange(ctx context.Context, id, addr string, ex worker.Exchange) {
	var re worker.Report
	err := ErrNotOwner
	if ow.Owns() {
		re, err = ow.Workers.ExchangeFunc(ctx, addr, ex)
	}
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ws := ow.status(id)
	ws.pending = false
	if err != nil || re.Worker != id || ow.closed {
		return
	}
	newIncarnation := ws.incarnation != re.Incarnation
	ws.incarnation, ws.workerClock, ws.lastReport = re.Incarnation, re.ClockMS, time.Now()
	if newIncarnation {
		ws.leaseEnd = [2]time.Time{}
	}
	ws.extendLeases(time.Duration(re.ServiceUntilMS-re.ClockMS)*time.Millisecond, time.Duration(re.BatchUntilMS-re.ClockMS)*time.Millisecond)
	ws.extendLeases(ow.leaseDurations())
	previous := ws.tasks
	ws.tasks = make(map[string]worker.TaskReport, len(re.Tasks))
	for _, tr := range re.Tasks {
		ws.tasks[tr.Task] = tr
		if tr.State != worker.StateRunning && previous[tr.Task].State != tr.State {
			ow.dirty = true
		}
	}
	ow.updateModel(ws)
	if newIncarnation || len(ex.Orders) > 0 {
		ow.dirty = true
		ow.signal()
	}
}
