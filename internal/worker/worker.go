// Package worker is the protocol spoken with workers: one exchange carries
// orders to a worker and its report back.
//
// Leases are told in the worker's own clock. A report says what that clock
// read; the owner's next message extends leases to so much after that
// reading. However long a message is delayed, or the worker is paused, a
// lease ends no later than its length after the owner received the report it
// was based on, and so the owner knows when a silent worker has stopped.
package worker

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Resources is what a task is given or a worker holds.
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

// Sub returns the difference.
func (re Resources) Sub(other Resources) Resources {
	return Resources{
		MilliCores: re.MilliCores - other.MilliCores,
		MemMB:      re.MemMB - other.MemMB,
		Accels:     re.Accels - other.Accels,
	}
}

// Mul returns the resources of n such tasks.
func (re Resources) Mul(n int) Resources {
	return Resources{MilliCores: re.MilliCores * int64(n), MemMB: re.MemMB * int64(n), Accels: re.Accels * int64(n)}
}

// Fits reports whether the resources fit into free ones.
func (re Resources) Fits(free Resources) bool {
	return re.MilliCores <= free.MilliCores && re.MemMB <= free.MemMB && re.Accels <= free.Accels
}

// Verb is what an order asks for.
type Verb string

// The verbs.
const (
	// VerbStart starts a task.
	VerbStart Verb = "start"
	// VerbStop stops it; the report says how far it came.
	VerbStop Verb = "stop"
	// VerbThrottle sets the share of its cores that it may use.
	VerbThrottle Verb = "throttle"
	// VerbForget lets the worker forget an ended task.
	VerbForget Verb = "forget"
)

// Order is one order to a worker.
type Order struct {
	// Verb is what to do.
	Verb Verb `json:"verb"`
	// Task is the task's id.
	Task string `json:"task"`
	// Attempt counts the task's starts; a worker runs no attempt twice, and
	// none lower than one it has seen.
	Attempt int `json:"attempt"`
	// Each is what the task is given.
	Each Resources `json:"each,omitzero"`
	// Kind is the task's kind.
	Kind string `json:"kind,omitempty"`
	// Service is set for a task that has no end.
	Service bool `json:"service,omitempty"`
	// RunMS is the run time of a batch task.
	RunMS int64 `json:"run_ms,omitempty"`
	// FromMS is the progress of the checkpoint to start from.
	FromMS int64 `json:"from_ms,omitempty"`
	// Share is the share of its cores for VerbThrottle, 0 to 1.
	Share float64 `json:"share,omitempty"`
}

// Exchange is one message to a worker.
type Exchange struct {
	// Owner says who orders, Term counts openings of the cell's journal: a
	// worker takes nothing from a term lower than it has seen.
	Owner string `json:"owner"`
	Term  int64  `json:"term"`
	// Seq counts the messages of a term to the worker; one that arrives after
	// a later one is not obeyed.
	Seq int64 `json:"seq"`
	// Incarnation is the process the orders are for; empty asks for a
	// report only.
	Incarnation string `json:"incarnation,omitempty"`
	// Orders are taken in order.
	Orders []Order `json:"orders,omitempty"`
	// ServiceUntilMS and BatchUntilMS are the worker's clock at which the
	// leases of service and of batch tasks end, unless extended.
	ServiceUntilMS int64 `json:"service_until_ms,omitempty"`
	BatchUntilMS   int64 `json:"batch_until_ms,omitempty"`
}

// State is the state of a task at its worker.
type State string

// The states.
const (
	StateRunning State = "running"
	StateDone    State = "done"
	StateStopped State = "stopped"
	// StateFailed: the task itself failed.
	StateFailed State = "failed"
	// StateLapsed: its lease ended and the worker stopped it.
	StateLapsed State = "lapsed"
)

// TaskReport is what a worker says of one task.
type TaskReport struct {
	// Task and Attempt name the start that is reported on.
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	// State is its state.
	State State `json:"state"`
	// CheckpointMS is the progress of the last checkpoint.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
	// UsedMilliCores is its usage, of a while ago.
	UsedMilliCores int64 `json:"used_milli_cores,omitempty"`
	// TailMS is a service task's p99 in milliseconds, of a while ago.
	TailMS float64 `json:"tail_ms,omitempty"`
	// Result is what a task that is done left.
	Result string `json:"result,omitempty"`
}

// Report is a worker's reply.
type Report struct {
	// Worker names it.
	Worker string `json:"worker"`
	// Incarnation names its process: another one runs nothing of before.
	Incarnation string `json:"incarnation"`
	// Term is the highest term seen.
	Term int64 `json:"term"`
	// ClockMS is the worker's clock.
	ClockMS int64 `json:"clock_ms"`
	// ServiceUntilMS and BatchUntilMS are the leases given, by that clock.
	ServiceUntilMS int64 `json:"service_until_ms,omitempty"`
	BatchUntilMS   int64 `json:"batch_until_ms,omitempty"`
	// Tasks are all tasks known there.
	Tasks []TaskReport `json:"tasks,omitempty"`
}

// CodeStaleTerm is the code of a worker's refusal of an old owner.
const CodeStaleTerm = "stale-term"

// Client talks to workers.
type Client struct {
	// ExchangeFunc sends one message to the worker at addr.
	ExchangeFunc func(ctx context.Context, addr string, ex Exchange) (Report, error)
}

// exchangeTimeout bounds one exchange.
const exchangeTimeout = time.Second

// NewClient returns a client over net/http.
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
