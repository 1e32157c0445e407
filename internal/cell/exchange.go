package cell

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// contact is what an owner knows of a worker from its reports.
type workerStatus struct {
	// incarnation and clock are of the last report, heard when it came.
	incarnation string
	workerClock int64
	// seq counts messages.
	seq        int64
	lastReport time.Time
	tasks      map[string]worker.TaskReport
	// leaseEnd has when batch and service leases given end at the latest,
	// whoever gave them.
	leaseEnd [2]time.Time
	// tried is the last message, pending is set while one is under way.
	lastSent time.Time
	pending  bool
	// hurry asks for a message at once.
	sendNow bool
	// leaving and unlisted are the platform's word.
	leaving  bool
	unlisted bool
	// acted is when tasks were last started, stopped or throttled there.
	lastAction time.Time
	// learnt is when its measurements were last learnt from.
	modelUpdated time.Time
	// asideAt is since when it is set aside.
	quarantinedAt time.Time
}

// contact returns the contact of a worker, new if need be.
func (ow *Owner) status(id string) *workerStatus {
	ws := ow.statuses[id]
	if ws == nil {
		ws = &workerStatus{}
		ow.statuses[id] = ws
	}
	return ws
}

// maxExchanges bounds the messages under way to workers.
const maxConcurrentExchanges = 128

// exchangeDue sends messages to the workers whose turn it is.
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

// message makes the message to a worker: its orders, and its leases, based on
// the clock of its last report. A worker not heard of yet is asked only.
func (ow *Owner) buildExchange(id string, ws *workerStatus) worker.Exchange {
	ws.seq++
	ex := worker.Exchange{Owner: ow.Self, Term: ow.term, Seq: ws.seq}
	if ws.incarnation == "" {
		return ex
	}
	doc := ow.Config()
	service, batch := leaseDuration(doc, config.LeaseService), leaseDuration(doc, config.LeaseBatch)
	ex.Incarnation = ws.incarnation
	ex.ServiceUntilMS = ws.workerClock + service.Milliseconds()
	ex.BatchUntilMS = ws.workerClock + batch.Milliseconds()
	ws.leaseEnd[0] = later(ws.leaseEnd[0], ws.lastReport.Add(batch))
	ws.leaseEnd[1] = later(ws.leaseEnd[1], ws.lastReport.Add(service))
	ex.Orders = ow.orders(id, ws)
	return ex
}

func leaseDuration(doc config.Doc, key string) time.Duration {
	return min(doc.Duration(key), maxLease)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// orders returns all that the worker has yet to do. They are made anew from
// the state for each message until a report shows them done.
func (ow *Owner) orders(id string, ws *workerStatus) []worker.Order {
	var orders []worker.Order
	for tid, ta := range ow.st.activeTasks[id] {
		if ta.Incarnation == ws.incarnation {
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
		// A task to be stopped whose start was not reported is started all
		// the same: only so is it sure that a start under way comes to
		// nothing.
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

// exchange sends a message, if the host still owns the cell, and takes the
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
	ws.leaseEnd[0] = later(ws.leaseEnd[0], ws.lastReport.Add(time.Duration(re.BatchUntilMS-re.ClockMS)*time.Millisecond))
	ws.leaseEnd[1] = later(ws.leaseEnd[1], ws.lastReport.Add(time.Duration(re.ServiceUntilMS-re.ClockMS)*time.Millisecond))
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
