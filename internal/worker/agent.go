package worker

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Attempt identifies one attempt of a task at a worker.
type Attempt struct {
	// Task is the task's id, Number the attempt's number, from 1.
	Task   string
	Number int
}

// Addr is the address of a worker's process: where it listens, the incarnation that is
// addressed, and the path to it.
type Addr struct {
	// HostPort is the process's listen address.
	HostPort string
	// Incarnation identifies the process. A process with another id refuses the request. A
	// process with this id that started at another time carries the request out, and the
	// client returns an [IncarnationError].
	Incarnation Incarnation
	// Via is the entry host that relays to the worker; empty for a direct connection.
	Via string
	// DataCentre is the data centre of the worker; empty if it is not known.
	DataCentre string
}

// Launch starts an attempt.
type Launch struct {
	Attempt

	// Payload is the payload of the job.
	Payload string
	// Checkpoint is the checkpoint to resume from; empty starts from the beginning.
	Checkpoint string
	// Fence is the fencing token of the sender.
	Fence int64
	// LeaseUntilMS extends all leases of the worker to this time of its own clock, in
	// milliseconds. A later end that was set before stays.
	LeaseUntilMS int64
	// Deferral, if set, delays the order until the worker has the resources for the attempt.
	Deferral *Deferral
}

// Deferral describes resources that are being freed at a worker, for a launch that is to be
// sent as soon as they suffice. The launch is sent at most once; if it is not sent at all, the
// error is [ErrNotFreed] or [ErrWithdrawn].
type Deferral struct {
	// Need is the resources of the attempt. Free is what the attempt could use when the launch
	// was deferred; amounts may be negative.
	Need, Free Resources
	// Running are the attempts at the worker, each of which adds its resources once a poll
	// lists its end.
	Running []Usage
	// Number rises with each launch that is deferred for the worker. Ahead are attempts with
	// lower numbers of which it is not known whether their launches were sent. Those that were
	// have used up a part of the resources, as have those with higher numbers.
	Number int64
	Ahead  []Attempt
	// Wait bounds the delay. Timeout bounds the time for the answer of the worker.
	Wait, Timeout time.Duration
}

// Usage is the resources that an attempt uses.
type Usage struct {
	Attempt

	Resources Resources
}

// Halt stops an attempt.
type Halt struct {
	Attempt

	// Fence is the fencing token of the sender.
	Fence int64
}

// Pace sets the speed of an attempt.
type Pace struct {
	Attempt

	// Percent is the speed in percent of full speed, 0 to 100.
	Percent int
	// Fence is the fencing token of the sender.
	Fence int64
}

// Poll reads which attempts run and which ended, and extends leases.
type Poll struct {
	// Fence is the fencing token of the sender. From then on the worker refuses lower
	// ones.
	Fence int64
	// AckedEnd is the EndNumber of the last [EndedAttempt] that the worker may forget.
	AckedEnd int64
	// LeaseUntilMS extends leases to this time of the worker's own clock, in milliseconds;
	// 0 leaves them as they are.
	LeaseUntilMS int64
	// Wait is how long the worker may delay the answer until an attempt ends; 0 answers at
	// once.
	Wait time.Duration
}

// RunningAttempt is the state of an attempt that runs.
type RunningAttempt struct {
	Attempt

	// Checkpoint is the last checkpoint written.
	Checkpoint string
	// Percent is the progress, 0 to 100. A long-running task is at 100 once it serves
	// requests.
	Percent int
	// Usage is an approximate figure of the last half second: the tail latency in
	// milliseconds of a task with a target, thousandths of a core of any other.
	Usage int64
}

// EndedAttempt is the result of an attempt that ended.
type EndedAttempt struct {
	Attempt

	// EndNumber numbers the ended attempts of the worker's incarnation, from 1.
	EndNumber int64
	// Outcome is how the attempt ended, in the worker's terms.
	Outcome string
	// Checkpoint is the last checkpoint written.
	Checkpoint string
}

// PollResult is a worker's answer to a [Poll].
type PollResult struct {
	// ClockMS is the time of the worker's clock, in milliseconds. UsageClockMS is that of the
	// answer from which the usage of the running attempts is, if that was an earlier one, else 0.
	ClockMS, UsageClockMS int64
	// Running and Ended are the attempts at the worker; Ended holds at most [MaxListedEnds].
	Running []RunningAttempt
	Ended   []EndedAttempt
}

// Ack is the answer to a request that was carried out.
type Ack struct {
	// ClockMS is the time of the worker's clock, in milliseconds.
	ClockMS int64
	// FreedMS is the time of that clock since which the worker had the resources for a launch
	// that was deferred, 0 for any other request.
	FreedMS int64
}

// Errors that rule out that the worker carried out the request. After any other error it
// may have done so, or may do so later.
var (
	// ErrFenced: the worker has seen a higher fencing token.
	ErrFenced = errors.New("worker has seen a higher fencing token")
	// ErrStaleAttempt: the attempt, or a later one of the task, has ended at the worker.
	ErrStaleAttempt = errors.New("attempt has already ended at the worker")
	// ErrLeaseExpired: the lease in the request had already ended when the worker received
	// it.
	ErrLeaseExpired = errors.New("lease had expired when the worker received the request")
	// ErrNoCapacity: the free resources of the worker do not suffice.
	ErrNoCapacity = errors.New("worker has too few free resources")
	// ErrUnhealthy: the worker is unhealthy or overloaded.
	ErrUnhealthy = errors.New("worker is unhealthy or overloaded")
	// ErrOtherIncarnation: a process with another id listens at the address.
	ErrOtherIncarnation = errors.New("a process with another id listens at the worker's address")
	// ErrMalformed: the worker cannot decode the request.
	ErrMalformed = errors.New("worker cannot decode the request")
	// ErrNotSent: the request was not sent to the worker.
	ErrNotSent = errors.New("order was not sent")
	// ErrNotFreed: a deferred launch was not sent, as the resources were not freed in time.
	ErrNotFreed = errors.New("resources were not freed in time")
	// ErrWithdrawn: a deferred launch was not sent, as the attempt was stopped before.
	ErrWithdrawn = errors.New("attempt was stopped before its launch was sent")
)

// ErrConnectionLost: the connection to the worker broke off. Other errors that leave the
// result open are timeouts. The request may have been carried out, or may be later.
var ErrConnectionLost = errors.New("connection to the worker broke off")

// ErrNoListener: nothing listens at the worker's address. It is an [ErrConnectionLost]
// where the request was certainly not sent.
var ErrNoListener = fmt.Errorf("nothing listens there: %w: %w", ErrNotSent, ErrConnectionLost)

// ErrEvacuated: the request was not sent, as nothing is to be started in the worker's data centre.
var ErrEvacuated = fmt.Errorf("worker's data centre is evacuated: %w", ErrNotSent)

// Agent is a client of workers that take one request per attempt.
type Agent struct {
	// LaunchFunc starts an attempt. It is idempotent, except for a deferred launch. Clients of
	// workers do not defer launches themselves; package deferral adds that to them.
	LaunchFunc func(context.Context, Addr, Launch) (Ack, error)
	// HaltFunc stops an attempt, or prevents it from starting if it has not started yet.
	HaltFunc func(context.Context, Addr, Halt) (Ack, error)
	// PaceFunc sets the speed of an attempt.
	PaceFunc func(context.Context, Addr, Pace) (Ack, error)
	// PollFunc reads which attempts run and which ended, and extends leases.
	PollFunc func(context.Context, Addr, Poll) (PollResult, error)
}
