package worker

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Attempt names one attempt of a task at a worker.
type Attempt struct {
	// Task is the task's name, Number the attempt's, from 1.
	Task   string
	Number int
}

// Addr is a worker's process: where it listens, which life is meant, and the way
// there.
type Addr struct {
	// HostPort is where it listens.
	HostPort string
	// Incarnation names the process. One with another id refuses; one with this id that
	// started at another time carries out what it is told, and its answer is a
	// [IncarnationError].
	Incarnation Incarnation
	// Via names the entry host through which it is reached; empty is directly.
	Via string
}

// Launch orders the start of an attempt.
type Launch struct {
	Attempt

	// Payload is the job's.
	Payload string
	// Checkpoint is what to resume from, if anything.
	Checkpoint string
	// Fence is the orderer's fencing token.
	Fence int64
	// LeaseUntilMS is when all leases of the worker end, by its own clock in
	// milliseconds, unless they end later already.
	LeaseUntilMS int64
}

// Halt orders the end of an attempt.
type Halt struct {
	Attempt

	// Fence is the orderer's fencing token.
	Fence int64
}

// Pace sets the share of its speed at which an attempt works.
type Pace struct {
	Attempt

	// Percent is 0 to 100.
	Percent int
	// Fence is the orderer's fencing token.
	Fence int64
}

// Poll asks what runs and what ended, and extends leases.
type Poll struct {
	// Fence is the orderer's fencing token; the worker obeys no lower one
	// from then on.
	Fence int64
	// AckedEnd is the number of the last end that the worker may forget.
	AckedEnd int64
	// LeaseUntilMS extends leases, by the worker's own clock; 0 leaves them.
	LeaseUntilMS int64
	// Wait is how long the worker may wait for an end, 0 for not at all.
	Wait time.Duration
}

// RunningAttempt is an attempt that runs.
type RunningAttempt struct {
	Attempt

	// Checkpoint is the last one made.
	Checkpoint string
	// Percent is how far it has come, 0 to 100; an endless task is at 100 once
	// it serves.
	Percent int
	// Usage is a rough figure of the last half second: the tail of latency in
	// milliseconds of a task with a target, thousandths of a core otherwise.
	Usage int64
}

// EndedAttempt is an attempt that ended.
type EndedAttempt struct {
	Attempt

	// Number counts the ends of the worker's life, from 1.
	EndNumber int64
	// Outcome is the worker's word for it.
	Outcome string
	// Checkpoint is the last one made.
	Checkpoint string
}

// PollResult is what a look saw.
type PollResult struct {
	// ClockMS is the worker's clock in milliseconds.
	ClockMS int64
	// Running and Ended are the attempts; Ended has at most 500.
	Running []RunningAttempt
	Ended   []EndedAttempt
}

// Ack is the answer to an order that was carried out.
type Ack struct {
	// ClockMS is the worker's clock in milliseconds.
	ClockMS int64
}

// Errors of a worker that certainly did not do what it was told. After any
// other error it may have, or may yet.
var (
	// ErrFenced: the worker has seen a higher fencing token.
	ErrFenced = errors.New("worker obeys a later owner")
	// ErrStaleAttempt: the attempt, or a later one, has ended there.
	ErrStaleAttempt = errors.New("attempt has ended at the worker")
	// ErrLeaseExpired: the lease given had ended already.
	ErrLeaseExpired = errors.New("lease had ended when the order came")
	// ErrNoCapacity: the worker has too little room.
	ErrNoCapacity = errors.New("worker has no room")
	// ErrUnhealthy: the worker is unhealthy or has too much to do.
	ErrUnhealthy = errors.New("worker refuses orders")
	// ErrOtherIncarnation: a process with another id is at the address.
	ErrOtherIncarnation = errors.New("another incarnation is at the address")
	// ErrMalformed: the worker cannot read the order.
	ErrMalformed = errors.New("worker cannot read the order")
	// ErrNotSent: the order did not leave for the worker.
	ErrNotSent = errors.New("order was not sent")
)

// ErrConnectionLost: the connection to the worker broke off, while other errors of its kind are
// of answers that did not come in time. The order may have been carried out, or may be yet.
var ErrConnectionLost = errors.New("connection to the worker broke off")

// ErrNoListener: nothing listens at the worker's address. It is an [ErrConnectionLost] of which
// it is certain that the order was not sent.
var ErrNoListener = fmt.Errorf("nothing listens there: %w: %w", ErrNotSent, ErrConnectionLost)

// Agent is a client of workers that are ordered task by task.
type Agent struct {
	// LaunchFunc starts an attempt; it is good to send it again.
	LaunchFunc func(context.Context, Addr, Launch) (Ack, error)
	// HaltFunc stops an attempt, or keeps it from ever starting.
	HaltFunc func(context.Context, Addr, Halt) (Ack, error)
	// PaceFunc sets an attempt's speed.
	PaceFunc func(context.Context, Addr, Pace) (Ack, error)
	// PollFunc sees what runs, and extends leases.
	PollFunc func(context.Context, Addr, Poll) (PollResult, error)
}
