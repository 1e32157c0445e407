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
type contact struct {
	// incarnation and clock are of the last report, heard when it came.
	incarnation string
	clock       int64
	// seq counts messages.
	seq   int64
	heard time.Time
	tasks map[string]worker.TaskReport
	// leaseEnd has when batch and service leases given end at the latest,
	// whoever gave them.
	leaseEnd [2]time.Time
	// tried is the last message, pending is set while one is under way.
	tried   time.Time
	pending bool
	// hurry asks for a message at once.
	hurry bool
	// leaving and unlisted are the platform's word.
	leaving  bool
	unlisted bool
	// acted is when tasks were last started, stopped or throttled there.
	acted time.Time
	// learnt is when its measurements were last learnt from.
	learnt time.Time
	// asideAt is since when it is set aside.
	asideAt time.Time
}

// contact returns the contact of a worker, new if need be.
func (ow *Owner) contact(id string) *contact {
	co := ow.contacts[id]
	if co == nil {
		co = &contact{}
		ow.contacts[id] = co
	}
	return co
}

// maxExchanges bounds the messages under way to workers.
const maxExchanges = 128

// exchangeDue sends messages to the workers whose turn it is.
func (ow *Owner) exchangeDue(ctx context.Context) {
	now := time.Now()
	under := 0
	for _, co := range ow.contacts {
		if co.pending {
			under++
		}
	}
	for id, wo := range ow.st.Workers {
		co := ow.contact(id)
		due := now.Sub(co.tried) >= ow.Timing.Exchange
		if co.pending || under >= maxExchanges || (!due && !co.hurry) {
			continue
		}
		under++
		co.pending, co.hurry, co.tried = true, false, now
		ex := ow.message(id, co)
		go ow.exchange(ctx, id, wo.Addr, ex)
	}
}

// message makes the message to a worker: its orders, and its leases, based on
// the clock of its last report. A worker not heard of yet is asked only.
func (ow *Owner) message(id string, co *contact) worker.Exchange {
	co.seq++
	ex := worker.Exchange{Owner: ow.Self, Term: ow.term, Seq: co.seq}
	if co.incarnation == "" {
		return ex
	}
	doc := ow.Config()
	service, batch := lease(doc, config.LeaseService), lease(doc, config.LeaseBatch)
	ex.Incarnation = co.incarnation
	ex.ServiceUntilMS = co.clock + service.Milliseconds()
	ex.BatchUntilMS = co.clock + batch.Milliseconds()
	co.leaseEnd[0] = later(co.leaseEnd[0], co.heard.Add(batch))
	co.leaseEnd[1] = later(co.leaseEnd[1], co.heard.Add(service))
	ex.Orders = ow.orders(id, co)
	return ex
}

func lease(doc config.Doc, key string) time.Duration {
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
func (ow *Owner) orders(id string, co *contact) []worker.Order {
	var orders []worker.Order
	for tid, ta := range ow.st.held[id] {
		if ta.Incarnation == co.incarnation {
			orders = append(orders, ow.taskOrders(tid, ta, co)...)
		}
	}
	for tid, tr := range co.tasks {
		ta := ow.st.Tasks[tid]
		held := ta != nil && ta.Active() && ta.Worker == id && ta.Attempt == tr.Attempt
		switch {
		case held:
		case tr.State == worker.StateRunning:
			orders = append(orders, worker.Order{Verb: worker.VerbStop, Task: tid, Attempt: tr.Attempt})
		default:
			orders = append(orders, worker.Order{Verb: worker.VerbForget, Task: tid, Attempt: tr.Attempt})
		}
	}
	slices.SortStableFunc(orders, func(a, b worker.Order) int { return cmp.Compare(a.Task, b.Task) })
	return orders
}

func (ow *Owner) taskOrders(id string, ta *Task, co *contact) []worker.Order {
	var orders []worker.Order
	sp := ow.st.Jobs[ta.Job].Spec
	tr, reported := co.tasks[id]
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
	co := ow.contact(id)
	co.pending = false
	if err != nil || re.Worker != id || ow.closed {
		return
	}
	first := co.incarnation != re.Incarnation
	co.incarnation, co.clock, co.heard = re.Incarnation, re.ClockMS, time.Now()
	if first {
		co.leaseEnd = [2]time.Time{}
	}
	co.leaseEnd[0] = later(co.leaseEnd[0], co.heard.Add(time.Duration(re.BatchUntilMS-re.ClockMS)*time.Millisecond))
	co.leaseEnd[1] = later(co.leaseEnd[1], co.heard.Add(time.Duration(re.ServiceUntilMS-re.ClockMS)*time.Millisecond))
	before := co.tasks
	co.tasks = make(map[string]worker.TaskReport, len(re.Tasks))
	for _, tr := range re.Tasks {
		co.tasks[tr.Task] = tr
		if tr.State != worker.StateRunning && before[tr.Task].State != tr.State {
			ow.dirty = true
		}
	}
	ow.learn(co)
	if first || len(ex.Orders) > 0 {
		ow.dirty = true
		ow.nudge()
	}
}
