package sched

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/outstanding"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// An order is outstanding from the moment at which it is sent until the worker is known to have it
// or to have refused it, see package outstanding. That of an attempt moves to its task when the
// attempt ends. While a task has any, it starts again only on the worker that they were sent to.
//
// A next owner has not seen which orders were answered. The row of a job says it for attempts
// that were acknowledged or seen running, and states until when orders of ended attempts may be
// carried out. All others count as outstanding since the former owner can have sent them last.
//
// Tasks of steps that allow copies may run twice and have none.

// trackOrders returns the outstanding orders of a task, for the caller to add one that was sent to
// the given worker.
func (tj *trackedJob) trackOrders(ref job.TaskRef, workerID string) *outstanding.Orders {
	os := tj.orders[ref]
	if os == nil {
		if tj.orders == nil {
			tj.orders = map[job.TaskRef]*outstanding.Orders{}
		}
		os = &outstanding.Orders{}
		tj.orders[ref] = os
	}
	tasks := tj.ow.ordersAt[workerID]
	if tasks == nil {
		tasks = map[taskKey]bool{}
		tj.ow.ordersAt[workerID] = tasks
	}
	tasks[taskKey{tj, ref}] = true
	return os
}

// keepOrder keeps the order to start an attempt that has ended, if it is outstanding.
func (tj *trackedJob) keepOrder(at *attempt) {
	if !at.orderSentBy.IsZero() && !at.step().Copies {
		to := outstanding.Addressee{Worker: at.wk.incarnation.ID, HostPort: at.wk.HostPort}
		tj.trackOrders(at.ref, to.Worker).Sent(at.number, to, at.orderSentBy)
	}
}

// settleOrder records that the order to start an attempt was carried out, refused or not sent.
func (tj *trackedJob) settleOrder(ref job.TaskRef, number int) {
	if at := tj.attempts[attemptKey{ref, number}]; at != nil {
		at.orderSentBy = time.Time{}
	}
	if tj.orders[ref].Settle(number) {
		tj.ow.placementDue = true
	}
}

// recordStray records that the worker runs an attempt which has ended by the job's account.
func (wk *workerState) recordStray(wa worker.Attempt, now time.Time) {
	id, ref, ok := job.ParseTaskID(wa.Task)
	tj := wk.ow.jobs[id]
	if !ok || tj == nil || tj.jo.Task(ref) == nil || tj.jo.Spec.Steps[ref.Step].Copies {
		return
	}
	tj.trackOrders(ref, wk.incarnation.ID).Runs(wa.Number, wk.incarnation, now)
}

// settleAbsentOrders handles a whole list of the worker's attempts, in the answer to a poll sent at
// the given time.
func (wk *workerState) settleAbsentOrders(sent time.Time, whole worker.WholeList) {
	for tk := range wk.ow.ordersAt[wk.incarnation.ID] {
		os := tk.tj.orders[tk.ref]
		if os.Empty() {
			continue
		}
		os.Absent(wk.incarnation, sent, func(number int) bool {
			return whole.Absent(worker.Attempt{Task: tk.tj.jo.TaskID(tk.ref), Number: number})
		})
		tk.countIfSettled("absent")
	}
}

// countIfSettled counts the end of a wait for outstanding orders, if the task waits and has none any
// more.
func (tk taskKey) countIfSettled(outcome string) {
	if tk.tj.orders[tk.ref].Empty() && tk.tj.jo.Task(tk.ref).State == job.Waiting {
		tk.tj.ow.Metrics.Add(telemetry.AwaitedOrders, 1, "outcome", outcome)
	}
}

// endStrays records that what the worker's process ran has ended with it.
func (wk *workerState) endStrays() {
	for tk := range wk.ow.ordersAt[wk.incarnation.ID] {
		tk.tj.orders[tk.ref].ProcessEnded(wk.incarnation)
	}
}

// settleReplaced records that another worker answers at the worker's address, and so refuses orders
// that were sent there.
func (wk *workerState) settleReplaced() {
	for at := range wk.allAttempts() {
		at.orderSentBy = time.Time{}
	}
	wk.ow.settleRefused(outstanding.Addressee{Worker: wk.incarnation.ID, HostPort: wk.HostPort})
}

// settleRefused records that another worker answers at the address of a worker.
func (ow *Owner) settleRefused(to outstanding.Addressee) {
	for tk := range ow.ordersAt[to.Worker] {
		tk.tj.orders[tk.ref].Refused(to)
	}
}

// settleFormer records that the worker answers at its address, so that others which former owners
// sent orders to are not there any more.
func (wk *workerState) settleFormer() {
	for id := range wk.ow.ordersAt {
		if id != wk.incarnation.ID {
			wk.ow.settleRefused(outstanding.Addressee{Worker: id, HostPort: wk.HostPort})
		}
	}
}

// logOutstanding logs that a task is to start again while orders for it are outstanding.
func (tj *trackedJob) logOutstanding(ref job.TaskRef, now time.Time) {
	os := tj.orders[ref]
	if os.Empty() || tj.jo.Task(ref).State != job.Waiting {
		return
	}
	to, until := os.Latest(noAttempt)
	tj.ow.Log.Info("start orders may still be carried out", "task", tj.jo.TaskID(ref), "attempts", os.Attempts(), "worker", to.Worker, "only_on", os.Worker(), "for", until.Sub(now))
}

// noAttempt is the number of no attempt.
const noAttempt = -1

// expireOrders removes the orders that were settled, and those of which whatever they started has
// ended.
func (ow *Owner) expireOrders(now time.Time) {
	if len(ow.ordersAt) == 0 {
		return
	}
	ceased, _ := ow.formerLeaseBounds()
	for id, tasks := range ow.ordersAt {
		for tk := range tasks {
			if os := tk.tj.orders[tk.ref]; !os.Empty() {
				os.CeasedBy(ceased)
				os.Expire(now.Add(-ow.wholeLease()))
				tk.countIfSettled("expired")
			}
			if tk.tj.orders[tk.ref].Empty() {
				delete(tk.tj.orders, tk.ref)
				delete(tasks, tk)
			}
		}
		if len(tasks) == 0 {
			delete(ow.ordersAt, id)
		}
	}
}

// orderLeases returns the latest end of a lease under which an order that the task keeps runs an
// attempt.
func (ow *Owner) orderLeases(tj *trackedJob, ref job.TaskRef) leaseBound {
	_, until := tj.orders[ref].Latest(noAttempt)
	if until.IsZero() {
		return leaseBound{}
	}
	return leaseBound{until: ow.wholeLeaseAfter(until), basis: basisOutstanding}
}

// orderLeases returns the same for the attempt's own order, too.
func (at *attempt) orderLeases() leaseBound {
	ow := at.wk.ow
	lb := ow.orderLeases(at.tj, at.ref)
	if at.orderSentBy.IsZero() || at.step().Copies {
		return lb
	}
	return lb.later(leaseBound{until: ow.wholeLeaseAfter(at.orderSentBy.Add(outstanding.MaxDelay)), basis: basisOutstanding})
}

// inheritOrders records the orders of former owners for a task that may be outstanding.
func (tj *trackedJob) inheritOrders(ref job.TaskRef, ceased time.Time) {
	if tj.jo.Spec.Steps[ref.Step].Copies {
		return
	}
	for _, ra := range tj.jo.Task(ref).Running() {
		if !ra.Acknowledged {
			to := outstanding.Addressee{Worker: ra.Worker.ID, HostPort: tj.jo.HostPorts[ra.Worker]}
			tj.trackOrders(ref, to.Worker).Inherited(ra.Number, to, ceased)
		}
	}
	if so, ok := tj.jo.Orders[ref]; ok && so.RemainingMS <= maxStatedLeaseMS {
		to := outstanding.Addressee{Worker: so.Worker, HostPort: so.HostPort}
		left := maxDriftDuration(time.Duration(so.RemainingMS) * time.Millisecond)
		tj.trackOrders(ref, to.Worker).Stated(to, tj.ow.startedAt.Add(left))
	}
}

// statedOrders returns the field of the job's row that states the outstanding orders of ended
// attempts. Those of running ones follow from the rest of the row.
func (tj *trackedJob) statedOrders(now time.Time) map[job.TaskRef]job.StatedOrder {
	var stated map[job.TaskRef]job.StatedOrder
	for ref, os := range tj.orders {
		ta, running := tj.jo.Task(ref), noAttempt
		if ta.State == job.Started {
			running = ta.Attempt
		}
		to, until := os.Latest(running)
		if until.IsZero() || tj.isDone(ref) {
			continue
		}
		if os.Worker() == "" {
			to = outstanding.Addressee{}
		}
		if stated == nil {
			stated = map[job.TaskRef]job.StatedOrder{}
		}
		stated[ref] = job.StatedOrder{Worker: to.Worker, HostPort: to.HostPort, RemainingMS: until.Sub(now).Milliseconds() + 1}
	}
	return stated
}

// statedHostPorts returns the field of the job's row that has the addresses to which the orders of
// running attempts were or will be sent, unless these are acknowledged.
func (tj *trackedJob) statedHostPorts() map[worker.Incarnation]string {
	var list map[worker.Incarnation]string
	add := func(inc worker.Incarnation, hostPort string) {
		if hostPort == "" {
			return
		}
		if list == nil {
			list = map[worker.Incarnation]string{}
		}
		list[inc] = hostPort
	}
	for key, at := range tj.attempts {
		switch {
		case !at.launchedAt.IsZero() || at.step().Copies:
		case at.inherited:
			add(at.namedIncarnation(), tj.orders[key.ref].HostPort(key.number))
		default:
			add(at.wk.incarnation, at.wk.HostPort)
		}
	}
	for _, key := range tj.unowned {
		if ra, ok := tj.runningAttempt(key); ok {
			add(ra.Worker, tj.orders[key.ref].HostPort(key.number))
		}
	}
	return list
}

// placeAtAddressees starts the waiting tasks with outstanding orders on the workers that these were
// sent to. That comes before all other tasks, which would take the capacity of the last attempt.
func (pl *placer) placeAtAddressees() {
	var list []taskKey
	for _, tasks := range pl.ow.ordersAt {
		for tk := range tasks {
			if !tk.tj.orders[tk.ref].Empty() && tk.tj.mayPlace(tk.ref, pl.now) {
				list = append(list, tk)
			}
		}
	}
	slices.SortFunc(list, func(a, b taskKey) int {
		return cmp.Or(compareJobs(a.tj, b.tj), cmp.Compare(a.ref.Step, b.ref.Step), cmp.Compare(a.ref.Index, b.ref.Index))
	})
	for _, tk := range slices.Compact(list) {
		if !pl.windowFull(tk.tj) {
			pl.placeAtAddressee(tk.tj, tk.ref)
		}
	}
}

// mayPlace reports whether a task waits and may be placed now.
func (tj *trackedJob) mayPlace(ref job.TaskRef, now time.Time) bool {
	return tj.waitingTasks > 0 && tj.jo.Task(ref).State == job.Waiting && tj.jo.Ready(ref.Step) && !tj.backoffs.Active(ref, now)
}

// placeAtAddressee starts a task with outstanding orders on the worker that they were sent to, if
// that can take it now.
func (pl *placer) placeAtAddressee(tj *trackedJob, ref job.TaskRef) {
	if tj.jo.Task(ref).Isolated() {
		return
	}
	// Candidates are sorted by id.
	i, found := slices.BinarySearchFunc(pl.candidates, tj.orders[ref].Worker(), func(ca *candidate, id string) int {
		return strings.Compare(ca.wk.incarnation.ID, id)
	})
	if !found {
		return
	}
	ca, st := pl.candidates[i], &tj.jo.Spec.Steps[ref.Step]
	if !ca.fits(tj, ref, st) || st.Filler && pl.selective(tj) && !ca.acceptsFiller(st) {
		return
	}
	pl.ow.Metrics.Add(telemetry.AwaitedOrders, 1, "outcome", "same-worker")
	pl.start(tj, ref, ca)
	tj.waitCause = CauseOrder
}

// mayStartAt reports whether no outstanding order keeps a task from starting on a worker.
func (tj *trackedJob) mayStartAt(ref job.TaskRef, wk *workerState) bool {
	return tj.orders[ref].Allows(wk.incarnation.ID)
}
