// Package runner implements the protocol between entry hosts and runners: a
// request is one HTTP exchange, and a session is a stream of numbered events.
//
// After a failure the client reports exactly what is known. [Client.RunFunc]
// returns a complete answer to that request or one of two errors:
// [NotRunError], if the request has certainly not run, or [UnknownError]. It
// never sends a request twice, and prevents net/http from doing so.
package runner

import "time"

// Headers of a request and its response.
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

// Values of [HeaderStatus].
const (
	// StatusDone: the request ran and the body is its answer.
	StatusDone = "done"
	// StatusRefused: the runner refused the request before running it.
	StatusRefused = "refused"
)

// Values of [HeaderReason].
const (
	// ReasonFull: all slots are in use.
	ReasonFull = "full"
	// ReasonLeaving: the runner takes no new requests.
	ReasonLeaving = "leaving"
)

// Class is the scheduling class of a request, ordered by the cost of a delay.
type Class int

// The classes. The zero value has the higher priority.
const (
	LatencyCritical Class = iota
	Batch
)

// String returns the name of the class, as used in metric labels.
func (cl Class) String() string {
	if cl == Batch {
		return "batch"
	}
	return "latency-critical"
}

// Request is one request to a runner.
type Request struct {
	// ID identifies the request; the answer must carry the same one.
	ID string
	// Service and Method name the operation.
	Service string
	Method  string
	// Class is the scheduling class.
	Class Class
	// Body is passed to the runner unchanged.
	Body []byte
	// Deadline is the time after which the answer is useless; it is sent as the
	// time remaining, in milliseconds.
	Deadline time.Time
}

// Answer is a complete answer.
type Answer struct {
	// Body is the content.
	Body []byte
	// Leaving is set if the runner reported that it takes no new requests.
	Leaving bool
}

// SessionRequest opens a session at a runner, or resumes one there.
type SessionRequest struct {
	// SessionID identifies the session.
	SessionID string `json:"session_id"`
	// Topic is the subject of the session's events.
	Topic string `json:"topic"`
	// Seq is the number of the last event that the caller has; 0 for a new
	// session.
	Seq uint64 `json:"seq"`
	// State is the runner's state after that event.
	State []byte `json:"state,omitempty"`
}

// SessionEvent is one event in a session's stream. An event without a number
// only shows that the runner is alive.
type SessionEvent struct {
	// Seq numbers events from 1.
	Seq uint64 `json:"seq,omitempty"`
	// Body is the content.
	Body []byte `json:"body,omitempty"`
	// State lets any runner of the service resume after this event.
	State []byte `json:"state,omitempty"`
	// Moved says that the runner is leaving and that the session must continue
	// at another; such an event has no content.
	Moved bool `json:"moved,omitempty"`
}
