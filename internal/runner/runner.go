// Package runner is the protocol spoken with runners: one request over one
// HTTP exchange, and sessions as streams of numbered events.
//
// The package's duty is to say what is known after a failure. [Client.Run]
// returns a whole answer that is the request's own, or one of two typed
// failures: not run, which is certain, or unknown. It never sends a request
// twice, and makes sure that net/http does not either.
package runner

import "time"

// Headers of a request and its reply.
const (
	HeaderID       = "Request-Id"
	HeaderService  = "Request-Service"
	HeaderMethod   = "Request-Method"
	HeaderClass    = "Request-Class"
	HeaderDeadline = "Request-Deadline-Ms"
	HeaderStatus   = "Run-Status"
	HeaderReason   = "Run-Reason"
	HeaderLeaving  = "Runner-Leaving"
)

// Values of HeaderStatus.
const (
	// StatusDone: the request ran and the body is its answer.
	StatusDone = "done"
	// StatusRefused: the runner refused the request before running it.
	StatusRefused = "refused"
)

// Values of HeaderReason.
const (
	// ReasonFull: all slots are in use.
	ReasonFull = "full"
	// ReasonLeaving: the runner takes no new work.
	ReasonLeaving = "leaving"
)

// Class orders work by what a delay costs.
type Class int

// The classes. The zero value is the one that goes first.
const (
	LatencyCritical Class = iota
	Batch
)

// String returns the class's name, as in labels of metrics.
func (cl Class) String() string {
	if cl == Batch {
		return "batch"
	}
	return "latency-critical"
}

// Request is one request for a runner.
type Request struct {
	// ID is the request's id.
	ID string
	// Service and Method say what is asked for.
	Service string
	Method  string
	// Class is the request's class.
	Class Class
	// Body is handed over unread.
	Body []byte
	// Deadline is when the answer is of no more use.
	Deadline time.Time
}

// Answer is a whole answer.
type Answer struct {
	// Body is the answer.
	Body []byte
	// Leaving is set if the runner said that it takes no new work.
	Leaving bool
}

// SessionRequest opens a session at a runner, or goes on with one there.
type SessionRequest struct {
	// SessionID names the session.
	SessionID string `json:"session_id"`
	// Topic is what it watches.
	Topic string `json:"topic"`
	// Seq is the last event that the caller has; 0 for a new session.
	Seq uint64 `json:"seq"`
	// State is the runner's own state after that event.
	State []byte `json:"state,omitempty"`
}

// SessionEvent is one line of a session's stream.
type SessionEvent struct {
	// Seq numbers events from 1.
	Seq uint64 `json:"seq,omitempty"`
	// Body is the event.
	Body []byte `json:"body,omitempty"`
	// State lets any runner of the service go on after this event.
	State []byte `json:"state,omitempty"`
	// Moved says that the runner is leaving and that the session is to go on
	// at another; it carries no event.
	Moved bool `json:"moved,omitempty"`
}
