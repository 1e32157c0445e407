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

// ModeFailTasks makes a worker fail every task it starts.
const ModeFailTasks Mode = "fail-tasks"

// WorkerSettings say what a worker holds.
type WorkerSettings struct {
	// ID names the worker.
	ID string
	// Each is what it holds.
	Capacity worker.Resources
	// Lag is how old the usage in its reports is.
	Lag time.Duration
	// CheckpointEvery is the time between a task's own checkpoints.
	CheckpointEvery time.Duration
	// Pace multiplies the speed of batch tasks, to shorten trials.
	Speed float64
}

// TaskSpan is one entry of a worker's log: one attempt of a task, with the
// progress it began and ended with.
type TaskSpan struct {
	// Task, Attempt and Worker say what ran where.
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
	// Start and End are Unix nanoseconds; End is 0 while it runs.
	Start int64 `json:"start"`
	End   int64 `json:"end"`
	// FromMS and ToMS are progress.
	FromMS int64 `json:"from_ms"`
	ToMS   int64 `json:"to_ms"`
	// State is how it ended.
	State worker.State `json:"state"`
}

// Worker stands in for a worker. Make one with [NewWorker].
type Worker struct {
	// Gate is the worker's fault.
	Faults FaultInjector

	set         WorkerSettings
	incarnation string
	begun       time.Time

	mu   sync.Mutex
	term int64
	seq  int64
	// leaseEnd has the end of batch and of service leases.
	leaseEnd [2]int64
	tasks    map[string]*heldTask
	log      []TaskSpan
	over     int
}

// heldTask is one attempt at the worker.
type heldTask struct {
	order   worker.Order
	state   worker.State
	done    float64
	checked float64
	share   float64
	at      time.Time
	span    int
}

// NewWorker returns a worker that runs nothing.
func NewWorker(set WorkerSettings) *Worker {
	if set.Speed == 0 {
		set.Speed = 1
	}
	if set.CheckpointEvery == 0 {
		set.CheckpointEvery = 5 * time.Second
	}
	return &Worker{set: set, incarnation: uuid.NewString(), begun: time.Now(), tasks: map[string]*heldTask{}}
}

// Handler serves exchanges, the log at /log and the fault at /fault.
func (wo *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /exchange", wo.Faults.Wrap(wire.Handle(wo.Exchange)))
	mux.Handle("POST /log", wire.Handle(func(context.Context, struct{}) ([]TaskSpan, error) { return wo.Log(), nil }))
	mux.Handle("POST /fault", wo.Faults.Handle())
	return mux
}

// Log returns all attempts begun, in order.
func (wo *Worker) Log() []TaskSpan {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.advance(time.Now())
	return append([]TaskSpan{}, wo.log...)
}

// Overcommits returns how often a start was ordered that did not fit.
func (wo *Worker) Overcommits() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.over
}

// Exchange takes orders and reports.
func (wo *Worker) Exchange(_ context.Context, ex worker.Exchange) (worker.Report, error) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	now := time.Now()
	wo.advance(now)
	if ex.Term < wo.term {
		return worker.Report{}, &wire.Error{Status: http.StatusConflict, Code: worker.CodeStaleTerm, Message: "order of a former owner"}
	}
	if ex.Term > wo.term {
		wo.term, wo.seq = ex.Term, 0
	}
	if ex.Incarnation == wo.incarnation && ex.Seq > wo.seq {
		wo.seq = ex.Seq
		wo.leaseEnd[batchLease] = max(wo.leaseEnd[batchLease], ex.BatchUntilMS)
		wo.leaseEnd[serviceLease] = max(wo.leaseEnd[serviceLease], ex.ServiceUntilMS)
		wo.take(ex.Orders, now)
	}
	return wo.report(now), nil
}

func (wo *Worker) clock(now time.Time) int64 {
	return now.Sub(wo.begun).Milliseconds()
}

func (wo *Worker) take(orders []worker.Order, now time.Time) {
	for _, or := range orders {
		if wo.clock(now) >= wo.leaseEnd[leaseOf(or.Service)] {
			continue
		}
		switch or.Verb {
		case worker.VerbStart:
			wo.start(or, now)
		case worker.VerbStop:
			if ta := wo.held(or); ta != nil {
				wo.end(ta, worker.StateStopped, now)
			}
		case worker.VerbThrottle:
			if ta := wo.held(or); ta != nil {
				ta.share = or.Share
			}
		case worker.VerbForget:
			if ta := wo.held(or); ta != nil && ta.state != worker.StateRunning {
				delete(wo.tasks, or.Task)
			}
		}
	}
}

// held returns the attempt that the order names, if it is here.
func (wo *Worker) held(or worker.Order) *heldTask {
	ta := wo.tasks[or.Task]
	if ta == nil || ta.order.Attempt != or.Attempt {
		return nil
	}
	return ta
}

func (wo *Worker) start(or worker.Order, now time.Time) {
	if ta := wo.tasks[or.Task]; ta != nil && ta.order.Attempt >= or.Attempt {
		return
	}
	free := wo.set.Capacity
	for _, ta := range wo.tasks {
		if ta.state == worker.StateRunning {
			free = free.Sub(ta.order.Each)
		}
	}
	if !or.Each.Fits(free) {
		wo.over++
	}
	ta := &heldTask{
		order: or, state: worker.StateRunning, share: 1, at: now, span: len(wo.log),
		done: float64(or.FromMS), checked: float64(or.FromMS),
	}
	wo.log = append(wo.log, TaskSpan{
		Task: or.Task, Attempt: or.Attempt, Worker: wo.set.ID,
		Start: now.UnixNano(), FromMS: or.FromMS, State: worker.StateRunning,
	})
	wo.tasks[or.Task] = ta
	if wo.Faults.mode() == ModeFailTasks {
		wo.end(ta, worker.StateFailed, now)
	}
}

// mode returns the fault's mode without using it up.
func (ga *FaultInjector) mode() Mode {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.fault.Mode
}

// end ends an attempt. A stop publishes a checkpoint; a failure does not.
func (wo *Worker) end(ta *heldTask, state worker.State, at time.Time) {
	if ta.state != worker.StateRunning {
		return
	}
	ta.state = state
	if state == worker.StateStopped {
		ta.checked = ta.done
	}
	sp := &wo.log[ta.span]
	sp.State, sp.End, sp.ToMS = state, at.UnixNano(), int64(ta.checked)
	if state == worker.StateDone {
		sp.ToMS = ta.order.RunMS
	}
}

// advance brings all tasks to now, and ends them where their lease ended: it
// holds for a worker that was paused, too, since nothing runs in between.
func (wo *Worker) advance(now time.Time) {
	for _, ta := range wo.tasks {
		end := wo.begun.Add(time.Duration(wo.leaseEnd[leaseOf(ta.order.Service)]) * time.Millisecond)
		if !now.After(end) {
			wo.advanceTask(ta, now)
			continue
		}
		wo.advanceTask(ta, end)
		wo.end(ta, worker.StateLapsed, end)
	}
}

// The kinds of leases.
const (
	batchLease = iota
	serviceLease
)

func leaseOf(service bool) int {
	if service {
		return serviceLease
	}
	return batchLease
}

func (wo *Worker) advanceTask(ta *heldTask, upTo time.Time) {
	if ta.state != worker.StateRunning || !upTo.After(ta.at) {
		return
	}
	ta.done += float64(upTo.Sub(ta.at).Milliseconds()) * ta.share * wo.set.Speed
	ta.at = upTo
	every := float64(wo.set.CheckpointEvery.Milliseconds()) * wo.set.Speed
	for ta.checked+every <= ta.done {
		ta.checked += every
	}
	if !ta.order.Service && ta.done >= float64(ta.order.RunMS) {
		ta.checked = float64(ta.order.RunMS)
		wo.end(ta, worker.StateDone, upTo)
	}
}

func (wo *Worker) report(now time.Time) worker.Report {
	re := worker.Report{
		Worker: wo.set.ID, Incarnation: wo.incarnation, Term: wo.term, ClockMS: wo.clock(now),
		ServiceUntilMS: wo.leaseEnd[serviceLease], BatchUntilMS: wo.leaseEnd[batchLease],
	}
	for _, ta := range wo.tasks {
		tr := worker.TaskReport{
			Task: ta.order.Task, Attempt: ta.order.Attempt, State: ta.state,
			CheckpointMS: int64(ta.checked),
		}
		if ta.state == worker.StateDone {
			tr.Result = ta.order.Task + ":ok"
		}
		if ta.state == worker.StateRunning && now.Sub(wo.begun) > wo.set.Lag {
			tr.UsedMilliCores = int64(float64(ta.order.Each.MilliCores) * ta.share)
		}
		re.Tasks = append(re.Tasks, tr)
	}
	slices.SortFunc(re.Tasks, func(a, b worker.TaskReport) int { return strings.Compare(a.Task, b.Task) })
	return re
}
