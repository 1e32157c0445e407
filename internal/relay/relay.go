// Package relay carries the orders of a cell's owner to workers through other entry hosts, and
// the workers' answers back.
//
// The owner alone makes decisions and keeps state. Its largest cost is talking to workers: one
// request for each order and each poll, over one connection for each worker. It therefore
// holds one stream to each of a few entry hosts, its relays, and each frame on a stream
// carries many orders or answers. A relay executes each order as the owner would have done and
// returns the worker's answer; a launch that is deferred waits at the relay until the worker has
// the resources. A relay makes one decision, to refuse launches in data centres that it knows to be
// evacuated before the owner may, and keeps no state whose loss matters: if a stream
// ends, the orders in progress get no answer, as after a lost connection to the worker itself,
// and the owner resolves them over another path.
//
// A stream is one HTTP request whose request and response bodies stay open; each body is a
// sequence of JSON values, one per frame. Both sides send a frame at least every
// [heartbeatInterval], so that a connection on which nothing more arrives is detected.
package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Path is the URL path at which an entry host accepts streams.
const Path = "/relay/stream"

// Timeouts and intervals of a stream.
const (
	// heartbeatInterval is the time after which an empty frame is sent if there is nothing
	// else to send.
	heartbeatInterval = 400 * time.Millisecond
	// idleTimeout is the longest time without a frame before the stream is considered dead:
	// three heartbeats, plus scheduling delay on a host that is short of processor time.
	idleTimeout = 1500 * time.Millisecond
	// openTimeout bounds the opening of a stream, which took 4 to 13 ms with 490 workers. If
	// its predecessor was replaced as late as possible, a new owner has 1.7 s left of the
	// shortest lease, 6 s; within that time another relay has to take over from a host that is
	// frozen.
	openTimeout = 600 * time.Millisecond
	// batchDelay is how long a frame waits for more items after its first order or answer; it
	// is less than the round trip to another data centre. Under load a frame is sent no sooner
	// than minFrameInterval after the previous one, as each frame costs both sides a system
	// call and often a wake-up.
	batchDelay       = time.Millisecond
	minFrameInterval = 6 * time.Millisecond
	// defaultOrderTimeout is the timeout of most orders, defaultPollTimeout that of polls in
	// addition to their wait. A timeout that differs from the default by no more than
	// timeoutTolerance is left out of the order.
	defaultOrderTimeout = 400 * time.Millisecond
	defaultPollTimeout  = 600 * time.Millisecond
	timeoutTolerance    = 30 * time.Millisecond
)

// kind is the type of an order.
type kind string

// Order types.
const (
	kindLaunch kind = "l"
	kindHalt   kind = "h"
	kindPace   kind = "p"
	kindPoll   kind = "k"
)

// order is an order to a worker as sent to a relay. Fields that do not apply to its kind are
// left out.
type order struct {
	// N is the sequence number of the order on the stream; the answer repeats it.
	N int64 `json:"n"`
	// Kind determines which of the other fields are set.
	Kind kind `json:"k"`
	// Worker is the number of the worker on the stream. HostPort and Incarnation identify the
	// worker, DataCentre is where it runs; they are sent only with its first order.
	Worker      int                `json:"w"`
	HostPort    string             `json:"addr,omitempty"`
	Incarnation worker.Incarnation `json:"inc,omitzero"`
	DataCentre  string             `json:"dc,omitempty"`
	// Fence is the fencing token, left out if it equals that of the previous order to the same
	// worker.
	Fence int64 `json:"f,omitempty"`
	// TimeoutMS is the timeout of the answer in milliseconds, in addition to WaitMS; 0 stands
	// for the default.
	TimeoutMS int64 `json:"t,omitempty"`
	// Task and AttemptIndex identify the attempt. The index counts from 0, so that it is left
	// out for first attempts, which are the most frequent.
	Task         string `json:"id,omitempty"`
	AttemptIndex int    `json:"a,omitempty"`
	// PayloadID is the number of a launch's payload on the stream. PayloadText is the payload
	// itself, sent only the first time.
	PayloadID   int    `json:"p,omitempty"`
	PayloadText string `json:"text,omitempty"`
	// Checkpoint is the checkpoint from which to resume.
	Checkpoint string `json:"c,omitempty"`
	// LeaseUntilMS is the end of the leases by the worker's clock, in milliseconds.
	LeaseUntilMS int64 `json:"u,omitempty"`
	// Percent is the pace of the attempt, in percent of full speed.
	Percent int `json:"pc,omitempty"`
	// AckedEnd is the number of the last ended attempt that the worker may discard. WaitMS is
	// how long, in milliseconds, a poll may wait for another one to end, and a deferred launch
	// for resources.
	AckedEnd int64 `json:"s,omitempty"`
	WaitMS   int64 `json:"wait,omitempty"`
	// Deferral describes the resources for which a launch waits; nil sends it at once.
	Deferral *deferredFor `json:"d,omitempty"`
}

// withTimeout returns the order with a total timeout of d, wait included; a timeout close to
// the default is left out.
func (or order) withTimeout(d time.Duration) order {
	d -= or.wait()
	or.TimeoutMS = 0
	if (d - or.defaultTimeout()).Abs() > timeoutTolerance {
		or.TimeoutMS = max(d.Milliseconds(), 1)
	}
	return or
}

// timeout returns the time within which the order has to be answered, at most maxOrderTimeout.
func (or order) timeout() time.Duration {
	return min(or.answerTimeout()+or.wait(), maxOrderTimeout)
}

func (or order) wait() time.Duration { return time.Duration(or.WaitMS) * time.Millisecond }

// answerTimeout returns the timeout of the answer, without the wait.
func (or order) answerTimeout() time.Duration {
	if or.TimeoutMS == 0 {
		return or.defaultTimeout()
	}
	return time.Duration(or.TimeoutMS) * time.Millisecond
}

// defaultTimeout returns the timeout that is left out of the order, without the wait of a poll.
func (or order) defaultTimeout() time.Duration {
	if or.Kind == kindPoll {
		return defaultPollTimeout
	}
	return defaultOrderTimeout
}

// attempt returns the attempt to which the order applies.
func (or order) attempt() worker.Attempt {
	return worker.Attempt{Task: or.Task, Number: or.AttemptIndex + 1}
}

// orderFrame is a frame from the owner to a relay.
type orderFrame struct {
	Orders orderList `json:"o,omitempty"`
}

// answer is a relay's answer to one order.
type answer struct {
	// N is the sequence number of the order.
	N int64 `json:"n"`
	// Code is the code of the error, or empty on success. Text is the text of the error.
	Code code   `json:"e,omitempty"`
	Text string `json:"text,omitempty"`
	// Born is the start time of the process that answered, if it is not the incarnation to
	// which the order was addressed.
	Born int64 `json:"born,omitempty"`
	// ClockMS is the reading of the worker's clock, in milliseconds, and FreedMS that since which
	// the worker had the resources for a deferred launch.
	ClockMS int64 `json:"ms,omitempty"`
	FreedMS int64 `json:"fr,omitempty"`
	// Worker is the number of the worker that was polled, Diff the result of the poll.
	Worker int       `json:"w,omitempty"`
	Diff   *pollDiff `json:"l,omitempty"`
}

// answerFrame is a frame from a relay to the owner.
type answerFrame struct {
	Answers []answer `json:"a,omitempty"`
	// Leaving is set when the relay's host is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// code identifies an error on a stream.
type code string

// Codes of errors that have no counterpart in codes.
const (
	// codeNoAnswer: the order may have been executed, or may still be.
	codeNoAnswer code = "no-answer"
	// codeNoPayload: the relay does not have the payload to which a launch refers.
	codeNoPayload code = "no-payload"
	// codeOtherIncarnation: another incarnation of the worker answered.
	codeOtherIncarnation code = "life"
)

// codes maps codes to the worker errors that the owner's side restores, so that errors.Is
// holds for them on both sides of a stream.
var codes = []struct {
	code code
	err  error
}{
	{"fenced", worker.ErrFenced},
	{"old", worker.ErrStaleAttempt},
	{"late", worker.ErrLeaseExpired},
	{"no-room", worker.ErrNoCapacity},
	{"unfit", worker.ErrUnhealthy},
	{"other-life", worker.ErrOtherIncarnation},
	{"malformed", worker.ErrMalformed},
	{"no-listener", worker.ErrNoListener},
	{"broke-off", worker.ErrConnectionLost},
	{"not-freed", worker.ErrNotFreed},
	{"withdrawn", worker.ErrWithdrawn},
	{"evacuated", worker.ErrEvacuated},
}

// withError returns the answer with the code and the text of err.
func (an answer) withError(err error) answer {
	an.Code, an.Text = codeOf(err), err.Error()
	if ie := (*worker.IncarnationError)(nil); errors.As(err, &ie) {
		an.Code, an.Born = codeOtherIncarnation, ie.Answered.StartedMS
	}
	return an
}

// codeOf returns the code of err, or codeNoAnswer if it has none of its own.
func codeOf(err error) code {
	for _, ce := range codes {
		if errors.Is(err, ce.err) {
			return ce.code
		}
	}
	return codeNoAnswer
}

// errNoPayload is returned if the relay lacks a launch's payload; the launch was not sent to
// the worker.
var errNoPayload = errors.New("relay does not have the payload")

// asError returns the error that the answer carries, or nil. The parameter via is the name of
// the relay, expected the incarnation to which the order was addressed.
func (an answer) asError(via string, expected worker.Incarnation) error {
	switch an.Code {
	case "":
		return nil
	case codeNoPayload:
		return errNoPayload
	case codeOtherIncarnation:
		return fmt.Errorf("through relay %s: %w", via, &worker.IncarnationError{Expected: expected, Answered: worker.Incarnation{ID: expected.ID, StartedMS: an.Born}})
	}
	for _, ce := range codes {
		if an.Code == ce.code {
			return fmt.Errorf("through relay %s: %w", via, ce.err)
		}
	}
	return fmt.Errorf("through relay %s: %s", via, an.Text)
}
