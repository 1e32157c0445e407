// Package relay carries the orders of a cell's owner to workers through other
// entry hosts, and the workers' answers back.
//
// The owner alone decides, and keeps all state. What costs it most is talking
// to workers: a request of its own for each order and each look, over a
// connection of its own. So it holds one stream to each of a few entry hosts,
// its relays, on which orders and answers travel many to a frame. A relay
// carries each order out as the owner would have done, and answers with what the
// worker said. It decides nothing and remembers nothing that would be missed: if
// a stream ends, what was under way has no answer, as after a lost connection to
// the worker itself, and the owner settles it by another way.
//
// A stream is one HTTP request whose body and answer both go on; each is a
// sequence of JSON values, one a frame. Both sides send a frame at least every
// [heartbeatInterval], so that a connection that went silent is noticed.
package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Path is where a host takes streams.
const Path = "/relay/stream"

// Times of a stream.
const (
	// heartbeatInterval is the time after which an empty frame is sent.
	heartbeatInterval = 400 * time.Millisecond
	// idleTimeout is how long no frame may come before the stream counts as dead:
	// three beats, and some processor time of a host that is short of it.
	idleTimeout = 1500 * time.Millisecond
	// openTimeout is how long a stream may take to open: 4 to 13 ms were seen with
	// 490 workers. A new owner has 1.7 s left of a lease of 6 s, the shortest there
	// is, if its predecessor was replaced as late as can be; after a host that
	// stands still another relay has to take over in that time.
	openTimeout = 600 * time.Millisecond
	// batchDelay is how long a frame waits for more after its first order or
	// answer: less than the way to another data centre and back. While there is much
	// to send it waits until minFrameInterval after the frame before: each frame costs both
	// sides a call of the system and often a wake-up.
	batchDelay       = time.Millisecond
	minFrameInterval = 6 * time.Millisecond
	// defaultOrderTimeout is what most orders have to be answered, defaultPollTimeout what looks have
	// besides their wait, and timeoutTolerance how much more or less counts as that: they are
	// not sent then.
	defaultOrderTimeout = 400 * time.Millisecond
	defaultPollTimeout  = 600 * time.Millisecond
	timeoutTolerance    = 30 * time.Millisecond
)

// kind says what an order is.
type kind string

// The kinds of orders.
const (
	kindLaunch kind = "l"
	kindHalt   kind = "h"
	kindPace   kind = "p"
	kindPoll   kind = "k"
)

// order is one order on its way to a relay. Fields that its kind does not have
// are left out.
type order struct {
	// N is the order's number on the stream, under which it is answered.
	N int64 `json:"n"`
	// Kind says which of the rest is there.
	Kind kind `json:"k"`
	// Worker numbers the worker on the stream; HostPort and Incarnation say which
	// one it is, the first time.
	Worker      int                `json:"w"`
	HostPort    string             `json:"addr,omitempty"`
	Incarnation worker.Incarnation `json:"inc,omitzero"`
	// Fence is the fencing token, if it is not the one of the order before to that
	// worker.
	Fence int64 `json:"f,omitempty"`
	// TimeoutMS is how long the answer may take, besides the wait of a look, if that
	// is not as usual.
	TimeoutMS int64 `json:"t,omitempty"`
	// Task and Number are the attempt, counted from 0 here, as most are the first.
	Task         string `json:"id,omitempty"`
	AttemptIndex int    `json:"a,omitempty"`
	// Payload numbers the payload of a launch on the stream; Text has it, the first
	// time.
	PayloadID   int    `json:"p,omitempty"`
	PayloadText string `json:"text,omitempty"`
	// Checkpoint is what to resume from.
	Checkpoint string `json:"c,omitempty"`
	// LeaseUntilMS is the end of leases by the worker's clock.
	LeaseUntilMS int64 `json:"u,omitempty"`
	// Percent is the pace.
	Percent int `json:"pc,omitempty"`
	// Seen is the last end that the worker may forget, WaitMS how long a look may
	// wait for another.
	AckedEnd int64 `json:"s,omitempty"`
	WaitMS   int64 `json:"wait,omitempty"`
}

// withTimeout returns the order with the time that it has.
func (or order) withTimeout(d time.Duration) order {
	d -= time.Duration(or.WaitMS) * time.Millisecond
	or.TimeoutMS = 0
	if (d - or.defaultTimeout()).Abs() > timeoutTolerance {
		or.TimeoutMS = max(d.Milliseconds(), 1)
	}
	return or
}

// timeout returns the time that the order has.
func (or order) timeout() time.Duration {
	d := time.Duration(or.TimeoutMS) * time.Millisecond
	if or.TimeoutMS == 0 {
		d = or.defaultTimeout()
	}
	return min(d+time.Duration(or.WaitMS)*time.Millisecond, maxOrderTimeout)
}

func (or order) defaultTimeout() time.Duration {
	if or.Kind == kindPoll {
		return defaultPollTimeout
	}
	return defaultOrderTimeout
}

// attempt is the attempt that the order is about.
func (or order) attempt() worker.Attempt {
	return worker.Attempt{Task: or.Task, Number: or.AttemptIndex + 1}
}

// orders is a frame to a relay.
type orderFrame struct {
	Orders []order `json:"o,omitempty"`
}

// answer is the answer to one order.
type answer struct {
	// N is the order's number.
	N int64 `json:"n"`
	// Code is empty or the code of the error, Text its text.
	Code code   `json:"e,omitempty"`
	Text string `json:"text,omitempty"`
	// Born is when the process started that answered, if another life was meant.
	Born int64 `json:"born,omitempty"`
	// ClockMS is what the worker's clock read.
	ClockMS int64 `json:"ms,omitempty"`
	// Worker is the worker of a look, and Listed what that saw.
	Worker int       `json:"w,omitempty"`
	Diff   *pollDiff `json:"l,omitempty"`
}

// answers is a frame of a relay.
type answerFrame struct {
	Answers []answer `json:"a,omitempty"`
	// Leaving is set once the relay's host is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// code stands for an error on a stream.
type code string

// The codes of errors that are not a worker's.
const (
	// codeNoAnswer: the order may have been carried out, or may be yet.
	codeNoAnswer code = "no-answer"
	// codeNoPayload: the relay does not have the payload that a launch names.
	codeNoPayload code = "no-payload"
	// codeOtherIncarnation: another life of the worker answered.
	codeOtherIncarnation code = "life"
)

// codes has the errors of workers that stay what they are over a stream.
var codes = []struct {
	code code
	err  error
}{
	{"fenced", worker.ErrFenced},
	{"old", worker.ErrOldAttempt},
	{"late", worker.ErrLateLease},
	{"no-room", worker.ErrNoRoom},
	{"unfit", worker.ErrUnfit},
	{"other-life", worker.ErrOtherLife},
	{"malformed", worker.ErrMalformed},
	{"no-listener", worker.ErrNoListener},
	{"broke-off", worker.ErrBrokeOff},
}

// withError returns the answer with an error.
func (an answer) withError(err error) answer {
	an.Code, an.Text = codeOf(err), err.Error()
	if le := (*worker.LifeError)(nil); errors.As(err, &le) {
		an.Code, an.Born = codeOtherIncarnation, le.Answered.Born
	}
	return an
}

// codeOf returns the code of an error.
func codeOf(err error) code {
	for _, known := range codes {
		if errors.Is(err, known.err) {
			return known.code
		}
	}
	return codeNoAnswer
}

// errNoPayload: the launch was not sent to the worker.
var errNoPayload = errors.New("relay does not have the payload")

// asError returns the error that the answer to an order for a worker stands for.
func (an answer) asError(via string, meant worker.Incarnation) error {
	switch an.Code {
	case "":
		return nil
	case codeNoPayload:
		return errNoPayload
	case codeOtherIncarnation:
		return fmt.Errorf("through %s: %w", via, &worker.LifeError{Meant: meant, Answered: worker.Incarnation{ID: meant.ID, Born: an.Born}})
	}
	for _, known := range codes {
		if an.Code == known.code {
			return fmt.Errorf("through %s: %w", via, known.err)
		}
	}
	return fmt.Errorf("through %s: %s", via, an.Text)
}
