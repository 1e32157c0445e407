package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pepperhatch/pepperhatch/internal/wire"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// ModeFailTasks makes a [Worker] fail every task at its start.
const ModeFailTasks Mode = "fail-tasks"

// WorkerSettings configure a [Worker].
type WorkerSettings struct {
	// ID identifies the worker.
	ID string
	// Capacity is the resources that it offers to tasks.
	Capacity worker.Resources
	// Lag is how long after its start the worker begins to report usage.
	Lag time.Duration
	// CheckpointEvery is the time between a running task's checkpoints; 0 means 5 s.
	CheckpointEvery time.Duration
	// Speed is the factor on the progress of tasks, to shorten tests; 0 means 1.
	Speed float64
}

// TaskSpan is an entry of a worker's log: one attempt of a task, with its progress at
// its start and end.
type TaskSpan struct {
	// Task, Attempt and Worker identify the attempt and the worker that ran it.
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
	// Start and End are in Unix nanoseconds; End is 0 while the attempt runs.
	Start int64 `json:"start"`
	End   int64 `json:"end"`
	// FromMS is the progress at the start, and ToMS the progress that was
	// checkpointed by the end, both in milliseconds of work.
	FromMS int64 `json:"from_ms"`
	ToMS   int64 `json:"to_ms"`
	// State is running, or how the attempt ended.
	State worker.State `json:"state"`
}

// Worker is a fake of a worker that gets orders in [worker.Exchange] messages. Create
// one with [NewWorker].
type Worker struct {
	// Faults injects faults into exchanges.
	Faults FaultInjector

	settings    WorkerSettings
	incarnation string
	startedAt   time.Time

	mu sync.Mutex
	// term and seq are the highest seen; seq restarts with each term.
	term int64
	seq  int64
	// leaseEnd is the end of the batch and of the service lease, in milliseconds of
	// the worker's clock.
	leaseEnd [2]int64
	tasks    map[string]*workerTask
	log      []TaskSpan
	// overcommits counts starts that did not fit into the free resources.
	overcommits int
}

// workerTask is the latest attempt of a task at the worker.
type workerTask struct {
	order worker.Order
	state worker.State
	// progress and checkpoint are in milliseconds of work, and share is the part of
	// its full speed at which the task runs. progress was computed at updatedAt.
	progress   float64
	checkpoint float64
	share      float64
	updatedAt  time.Time
	// span is the index of its entry in the log.
	span int
}

// NewWorker returns a worker that runs no task.
func NewWorker(settings WorkerSettings) *Worker {
	if settings.Speed == 0 {
		settings.Speed = 1
	}
	if settings.CheckpointEvery == 0 {
		settings.CheckpointEvery = 5 * time.Second
	}
	return &Worker{settings: settings, incarnation: uuid.NewString(), startedAt: time.Now(), tasks: map[string]*workerTask{}}
}

// Handler serves exchanges at /exchange, the log at /log and the fault at /fault.
func (wo *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /exchange", wo.Faults.Wrap(wire.Handle(wo.Exchange)))
	mux.Handle("POST /log", wire.Handle(func(context.Context, struct{}) ([]TaskSpan, error) { return wo.Log(), nil }))
	mux.Handle("POST /fault", wo.Faults.Handle())
	return mux
}

// Log returns all attempts in the order of their starts.
func (wo *Worker) Log() []TaskSpan {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.advance(time.Now())
	return append([]TaskSpan{}, wo.log...)
}

// Overcommits returns how many starts were ordered that did not fit into the free
// resources. The worker runs them nevertheless.
func (wo *Worker) Overcommits() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.overcommits
}

// Exchange carries out the orders of a message and answers with a report. It ignores the
// orders of a message for another incarnation or one no newer than the last, and rejects
// a message with an earlier term.
func (wo *Worker) Exchange(_ context.Context, ex worker.Exchange) (worker.Report, error) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	now := time.Now()
	wo.advance(now)
	if ex.Term < wo.term {
		return worker.Report{}, &wire.Error{Status: http.StatusConflict, Code: worker.CodeStaleTerm, Message: "order has the term of a former owner"}
	}
	if ex.Term > wo.term {
		wo.term, wo.seq = ex.Term, 0
	}
	if ex.Incarnation == wo.incarnation && ex.Seq > wo.seq {
		wo.seq = ex.Seq
		wo.leaseEnd[batchLease] = max(wo.leaseEnd[batchLease], ex.BatchUntilMS)
		wo.leaseEnd[serviceLease] = max(wo.leaseEnd[serviceLease], ex.ServiceUntilMS)
		wo.applyOrders(ex.Orders, now)
	}
	return wo.report(now), nil
}

// clock returns the worker's clock, which starts with it, in milliseconds.
func (wo *Worker) clock(now time.Time) int64 {
	return now.Sub(wo.startedAt).Milliseconds()
}

// applyOrders carries out the orders for which the lease is valid.
func (wo *Worker) applyOrders(orders []worker.Order, now time.Time) {
	for _, or := range orders {
		if wo.clock(now) >= wo.leaseEnd[leaseKind(or.Service)] {
			continue
		}
		switch or.Verb {
		case worker.VerbStart:
			wo.start(or, now)
		case worker.VerbStop:
			if ta := wo.lookup(or); ta != nil {
				wo.end(ta, worker.StateStopped, now)
			}
		case worker.VerbThrottle:
			if ta := wo.lookup(or); ta != nil {
				ta.share = or.Share
			}
		case worker.VerbForget:
			if ta := wo.lookup(or); ta != nil && ta.state != worker.StateRunning {
				delete(wo.tasks, or.Task)
			}
		}
	}
}

// lookup returns the attempt that an order names, or nil if the worker doesn't have it.
func (wo *Worker) lookup(or worker.Order) *workerTask {
	ta := wo.tasks[or.Task]
	if ta == nil || ta.order.Attempt != or.Attempt {
		return nil
	}
	return ta
}

// start starts an attempt unless the worker has it or a later one of the task.
func (wo *Worker) start(or worker.Order, now time.Time) {
	if ta := wo.tasks[or.Task]; ta != nil && ta.order.Attempt >= or.Attempt {
		return
	}
	free := wo.settings.Capacity
	for _, ta := range wo.tasks {
		if ta.state == worker.StateRunning {
			free = free.Sub(ta.order.Each)
		}
	}
	if !or.Each.Fits(free) {
		wo.overcommits++
	}
	ta := &workerTask{
		order: or, state: worker.StateRunning, share: 1, updatedAt: now, span: len(wo.log),
		progress: float64(or.FromMS), checkpoint: float64(or.FromMS),
	}
	wo.log = append(wo.log, TaskSpan{
		Task: or.Task, Attempt: or.Attempt, Worker: wo.settings.ID,
		Start: now.UnixNano(), FromMS: or.FromMS, State: worker.StateRunning,
	})
	wo.tasks[or.Task] = ta
	if wo.Faults.mode() == ModeFailTasks {
		wo.end(ta, worker.StateFailed, now)
	}
}

// mode returns the mode of the fault without counting a message against its limit.
func (fi *FaultInjector) mode() Mode {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.fault.Mode
}

// end ends an attempt. A stopped attempt writes a checkpoint; a failed one does not.
func (wo *Worker) end(ta *workerTask, state worker.State, at time.Time) {
	if ta.state != worker.StateRunning {
		return
	}
	ta.state = state
	if state == worker.StateStopped {
		ta.checkpoint = ta.progress
	}
	sp := &wo.log[ta.span]
	sp.State, sp.End, sp.ToMS = state, at.UnixNano(), int64(ta.checkpoint)
	if state == worker.StateDone {
		sp.ToMS = ta.order.RunMS
	}
}

// advance computes the progress of all tasks up to now. A task whose lease expired in
// the meantime ends at that time. As progress only changes here, this also holds for a
// process that was paused.
func (wo *Worker) advance(now time.Time) {
	for _, ta := range wo.tasks {
		end := wo.startedAt.Add(time.Duration(wo.leaseEnd[leaseKind(ta.order.Service)]) * time.Millisecond)
		if !now.After(end) {
			wo.advanceTask(ta, now)
			continue
		}
		wo.advanceTask(ta, end)
		wo.end(ta, worker.StateLapsed, end)
	}
}

// Indices of Worker.leaseEnd.
const (
	batchLease = iota
	serviceLease
)

func leaseKind(service bool) int {
	if service {
		return serviceLease
	}
	return batchLease
}

// advanceTask computes the progress and the checkpoint of a running task up to a time, and
// ends a batch task that is complete.
func (wo *Worker) advanceTask(ta *workerTask, upTo time.Time) {
	if ta.state != worker.StateRunning || !upTo.After(ta.updatedAt) {
		return
	}
	ta.progress += float64(upTo.Sub(ta.updatedAt).Milliseconds()) * ta.share * wo.settings.Speed
	ta.updatedAt = upTo
	every := float64(wo.settings.CheckpointEvery.Milliseconds()) * wo.settings.Speed
	for ta.checkpoint+every <= ta.progress {
		ta.checkpoint += every
	}
	if !ta.order.Service && ta.progress >= float64(ta.order.RunMS) {
		ta.checkpoint = float64(ta.order.RunMS)
		wo.end(ta, worker.StateDone, upTo)
	}
}

func (wo *Worker) report(now time.Time) worker.Report {
	re := worker.Report{
		Worker: wo.settings.ID, Incarnation: wo.incarnation, Term: wo.term, ClockMS: wo.clock(now),
		ServiceUntilMS: wo.leaseEnd[serviceLease], BatchUntilMS: wo.leaseEnd[batchLease],
	}
	for _, ta := range wo.tasks {
		tr := worker.TaskReport{
			Task: ta.order.Task, Attempt: ta.order.Attempt, State: ta.state,
			CheckpointMS: int64(ta.checkpoint),
		}
		if ta.state == worker.StateDone {
			tr.Result = ta.order.Task + ":ok"
		}
		if ta.state == worker.StateRunning && now.Sub(wo.startedAt) > wo.settings.Lag {
			tr.UsedMilliCores = int64(float64(ta.order.Each.MilliCores) * ta.share)
		}
		re.Tasks = append(re.Tasks, tr)
	}
	slices.SortFunc(re.Tasks, func(a, b worker.TaskReport) int { return strings.Compare(a.Task, b.Task) })
	return re
}
