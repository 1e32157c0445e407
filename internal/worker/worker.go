// Package worker defines the protocol that owners of cells speak with workers. [Agent]
// takes one request per attempt; [Client] carries all orders to a worker and its report in
// one exchange.
//
// Leases are stated in the worker's own clock. A report holds the time of that clock, and
// the owner's next message extends leases to a fixed time after it. However long a message
// is delayed, or the worker is paused, a lease therefore ends no later than its length
// after the owner received the report that it was based on. So the owner knows when a
// worker that does not answer has stopped its tasks.
//
// The package holds no state of workers; callers keep it.
package worker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Resources is an amount of resources: what a task is given, or what a worker has.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64 `json:"milli_cores,omitempty"`
	// MemMB is memory in MiB.
	MemMB int64 `json:"mem_mb,omitempty"`
	// Accels counts whole accelerators.
	Accels int64 `json:"accels,omitempty"`
}

// Add returns the sum of both.
func (re Resources) Add(other Resources) Resources {
	return Resources{
		MilliCores: re.MilliCores + other.MilliCores,
		MemMB:      re.MemMB + other.MemMB,
		Accels:     re.Accels + other.Accels,
	}
}

// Sub returns the difference of both; amounts may be negative.
func (re Resources) Sub(other Resources) Resources {
	return Resources{
		MilliCores: re.MilliCores - other.MilliCores,
		MemMB:      re.MemMB - other.MemMB,
		Accels:     re.Accels - other.Accels,
	}
}

// Mul returns the resources of n tasks of this size.
func (re Resources) Mul(n int) Resources {
	return Resources{MilliCores: re.MilliCores * int64(n), MemMB: re.MemMB * int64(n), Accels: re.Accels * int64(n)}
}

// Fits reports whether the resources fit into free ones.
func (re Resources) Fits(free Resources) bool {
	return re.MilliCores <= free.MilliCores && re.MemMB <= free.MemMB && re.Accels <= free.Accels
}

// Verb is the kind of an order.
type Verb string

// Kinds of orders.
const (
	// VerbStart starts a task.
	VerbStart Verb = "start"
	// VerbStop stops a task; the next report has its last checkpoint.
	VerbStop Verb = "stop"
	// VerbThrottle sets the share of its cores that a task may use.
	VerbThrottle Verb = "throttle"
	// VerbForget allows the worker to forget an ended task.
	VerbForget Verb = "forget"
)

// Order is one order to a worker.
type Order struct {
	// Verb is the kind of the order.
	Verb Verb `json:"verb"`
	// Task is the id of the task.
	Task string `json:"task"`
	// Attempt counts the starts of the task. A worker runs no attempt twice, and none with
	// a lower number than one it has seen.
	Attempt int `json:"attempt"`
	// Each is the resources of the task.
	Each Resources `json:"each,omitzero"`
	// Kind is the kind of the task; tasks of one kind behave alike.
	Kind string `json:"kind,omitempty"`
	// Service is set for a task that runs until it is stopped.
	Service bool `json:"service,omitempty"`
	// RunMS is the run time of a batch task, in milliseconds.
	RunMS int64 `json:"run_ms,omitempty"`
	// FromMS is the progress of the checkpoint to start from, in milliseconds of run time.
	FromMS int64 `json:"from_ms,omitempty"`
	// Share is the share of its cores for [VerbThrottle], 0 to 1.
	Share float64 `json:"share,omitempty"`
}

// Exchange is one message from an owner to a worker.
type Exchange struct {
	// Owner identifies the sender. Term counts how often the cell's journal was opened: a
	// worker refuses terms lower than the highest it has seen.
	Owner string `json:"owner"`
	Term  int64  `json:"term"`
	// Seq numbers the messages of a term to the worker. The worker ignores a message that
	// arrives after a later one.
	Seq int64 `json:"seq"`
	// Incarnation is the process that the orders are for; if empty, the message only
	// requests a report.
	Incarnation string `json:"incarnation,omitempty"`
	// Orders are carried out in this order.
	Orders []Order `json:"orders,omitempty"`
	// ServiceUntilMS and BatchUntilMS are when the leases of service and of batch tasks
	// end unless extended, in milliseconds of the worker's clock.
	ServiceUntilMS int64 `json:"service_until_ms,omitempty"`
	BatchUntilMS   int64 `json:"batch_until_ms,omitempty"`
}

// State is the state of a task at its worker.
type State string

// States of a task at its worker.
const (
	StateRunning State = "running"
	StateDone    State = "done"
	StateStopped State = "stopped"
	// StateFailed: the task itself failed.
	StateFailed State = "failed"
	// StateLapsed: the lease expired and the worker stopped the task.
	StateLapsed State = "lapsed"
)

// TaskReport is a worker's report on one task.
type TaskReport struct {
	// Task and Attempt identify the attempt.
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	// State is the state of the task.
	State State `json:"state"`
	// CheckpointMS is the progress of the last checkpoint, in milliseconds of run time.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
	// UsedMilliCores is the measured processor usage in thousandths of a core. The figure
	// is from some time before the report.
	UsedMilliCores int64 `json:"used_milli_cores,omitempty"`
	// TailMS is the measured p99 latency of a service task in milliseconds. The figure is
	// from some time before the report.
	TailMS float64 `json:"tail_ms,omitempty"`
	// Result is the result of a finished task.
	Result string `json:"result,omitempty"`
}

// Report is a worker's answer to an [Exchange].
type Report struct {
	// Worker is the id of the worker.
	Worker string `json:"worker"`
	// Incarnation identifies the worker's process. A new process runs none of the tasks of
	// the one before.
	Incarnation string `json:"incarnation"`
	// Term is the highest term that the worker has seen.
	Term int64 `json:"term"`
	// ClockMS is the time of the worker's clock, in milliseconds.
	ClockMS int64 `json:"clock_ms"`
	// ServiceUntilMS and BatchUntilMS are the ends of the current leases, in milliseconds
	// of that clock.
	ServiceUntilMS int64 `json:"service_until_ms,omitempty"`
	BatchUntilMS   int64 `json:"batch_until_ms,omitempty"`
	// Tasks are all tasks that the worker knows, ended ones included.
	Tasks []TaskReport `json:"tasks,omitempty"`
}

// CodeStaleTerm is the error code with which a worker refuses an owner of an earlier term.
const CodeStaleTerm = "stale-term"

// Client exchanges messages with workers.
type Client struct {
	// ExchangeFunc sends one message to the worker at addr and returns its report.
	ExchangeFunc func(ctx context.Context, addr string, ex Exchange) (Report, error)
}

// exchangeTimeout bounds one exchange with a worker.
const exchangeTimeout = time.Second

// NewClient returns a client that sends messages with cl.
func NewClient(cl *http.Client) Client {
	return Client{ExchangeFunc: func(ctx context.Context, addr string, ex Exchange) (Report, error) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		re, err := wire.Post[Exchange, Report](ctx, cl, "http://"+addr+"/exchange", ex)
		if err != nil {
			return re, fmt.Errorf("exchange with worker %s: %w", addr, err)
		}
		return re, nil
	}}
}
