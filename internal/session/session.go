// Package session relays long-lived sessions from runners to callers, and moves
// them to other runners and entry hosts without losing or repeating an event.
//
// The system stores no session state. Each event carries a token with the
// number of the event and the runner's state after it, so that the caller can
// resume at any entry host and with any runner of the service. When a runner
// leaves or is lost, this package continues the session with another runner
// from the last event sent to the caller. When the entry host stops, it asks
// the caller to resume at another one.
package session

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/upstream"
)

// maxTokenBytes limits the length of a token.
const maxTokenBytes = 64 << 10

// position is the state of a session after an event; a token is its encoding.
//
// TODO: tokens are not signed, since entry hosts share no key yet. A caller
// that forges one can only resume a session whose state it has made up.
type position struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Topic   string `json:"topic"`
	Runner  string `json:"runner,omitempty"`
	Seq     uint64 `json:"seq"`
	State   []byte `json:"state,omitempty"`
}

func (po position) token() string {
	data, _ := json.Marshal(po)
	return base64.RawURLEncoding.EncodeToString(data)
}

func parseToken(token string) (position, error) {
	var po position
	if len(token) > maxTokenBytes {
		return po, errors.New("token exceeds the maximum length")
	}
	data, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil {
		return po, fmt.Errorf("decode token: %w", err)
	}
	if err := json.Unmarshal(data, &po); err != nil {
		return po, fmt.Errorf("decode token: %w", err)
	}
	if po.ID == "" || po.Service == "" {
		return po, errors.New("token contains no session id or service")
	}
	return po, nil
}

// after returns the position after an event.
func (po position) after(ev runner.SessionEvent, runnerID string) position {
	po.Seq, po.State, po.Runner = ev.Seq, ev.State, runnerID
	return po
}

// Event is one event sent to the caller.
type Event struct {
	// SessionID identifies the session.
	SessionID string
	// Seq numbers events from 1.
	Seq uint64
	// Body is the event's content.
	Body []byte
	// Token resumes the session after this event.
	Token string
	// Moved asks the caller to resume at another entry host; Body is empty
	// then.
	Moved bool
}

// Request opens a session or resumes one.
type Request struct {
	// Service and Topic open a new session.
	Service string
	Topic   string
	// Token resumes a session; Service and Topic are then ignored.
	Token string
}

// Error says why a session cannot be served.
type Error struct {
	// Reason is the cause.
	Reason reason.Reason
	// RetryAfter is the delay after which to retry; zero means that a retry
	// cannot succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (err *Error) Error() string { return "session refused: " + string(err.Reason) }

// retryDelay is the delay that a refused caller is asked to wait.
const retryDelay = time.Second

// errNoRunner says that no live runner of the service has a free session slot.
var errNoRunner = errors.New("no live runner with a free session slot")

// Relay relays sessions. Set the exported fields before use.
type Relay struct {
	// Runners opens sessions at runners.
	Runners runner.Client
	// List returns all known runners.
	List func() []upstream.Runner
	// DC is the data centre whose runners are preferred.
	DC string
	// MaxSessions limits concurrent sessions; PerRunner those of one runner,
	// and thereby the connections to it.
	MaxSessions int
	PerRunner   int
	// RunnerWait is how long a session waits for a runner before it fails.
	RunnerWait time.Duration
	// Metrics may be nil.
	Metrics *telemetry.Metrics

	mu             sync.Mutex
	count          int
	runnerSessions map[string]int
	stopping       chan struct{}
	stopped        bool
}

// Count returns the number of sessions being served.
func (re *Relay) Count() int {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.count
}

// Stop asks the callers of all sessions to resume at another entry host, and
// refuses new sessions.
func (re *Relay) Stop() {
	re.mu.Lock()
	defer re.mu.Unlock()
	if !re.stopped {
		re.stopped = true
		close(re.stopChan())
	}
}

// stopChan returns the channel closed by Stop. The caller holds the lock.
func (re *Relay) stopChan() chan struct{} {
	if re.stopping == nil {
		re.stopping = make(chan struct{})
	}
	return re.stopping
}

// Serve relays one session until ctx ends, the host stops, or no runner takes
// it. send passes an event to the caller; its error ends the session.
func (re *Relay) Serve(ctx context.Context, req Request, send func(Event) error) error {
	po := position{ID: uuid.NewString(), Service: req.Service, Topic: req.Topic}
	if req.Token != "" {
		var err error
		po, err = parseToken(req.Token)
		if err != nil {
			return &Error{Reason: reason.SessionToken}
		}
	}
	stopping, why := re.admit()
	if why != reason.None {
		return &Error{Reason: why, RetryAfter: retryDelay}
	}
	defer re.release()
	se := &activeSession{re: re, po: po, send: send, stopping: stopping}
	return se.serve(ctx)
}

func (re *Relay) admit() (<-chan struct{}, reason.Reason) {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.stopped {
		return nil, reason.Stopping
	}
	if re.count >= re.MaxSessions {
		return nil, reason.SessionLimit
	}
	re.count++
	return re.stopChan(), reason.None
}

func (re *Relay) release() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.count--
}

// acquireRunner selects a runner and counts the session there: the runner that
// already has the session, if it is live, or else the one with the fewest
// sessions, preferring the own data centre.
func (re *Relay) acquireRunner(po position, avoid string) (upstream.Runner, bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	var best upstream.Runner
	found := false
	for _, ru := range re.List() {
		if ru.Service != po.Service || ru.State != upstream.Live || re.runnerSessions[ru.ID] >= re.PerRunner || ru.ID == avoid {
			continue
		}
		if ru.ID == po.Runner {
			best, found = ru, true
			break
		}
		if !found || re.preferred(ru, best) {
			best, found = ru, true
		}
	}
	if !found {
		return best, false
	}
	if re.runnerSessions == nil {
		re.runnerSessions = map[string]int{}
	}
	re.runnerSessions[best.ID]++
	return best, true
}

// preferred reports whether a is a better runner for a session than b.
func (re *Relay) preferred(a, b upstream.Runner) bool {
	if (a.DC == re.DC) != (b.DC == re.DC) {
		return a.DC == re.DC
	}
	return re.runnerSessions[a.ID] < re.runnerSessions[b.ID]
}

func (re *Relay) releaseRunner(id string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.runnerSessions[id]--
}

// activeSession is one session being served.
type activeSession struct {
	re       *Relay
	po       position
	send     func(Event) error
	stopping <-chan struct{}
	// avoid is the runner used last, if it sent no event since; it is used
	// again only if there is no other.
	avoid string
}

// callerError wraps an error of sending an event to the caller.
type callerError struct{ err error }

func (err *callerError) Error() string { return "send event to caller: " + err.err.Error() }

func (se *activeSession) serve(ctx context.Context) error {
	bo := backoff.NewExponentialBackOff()
	bo.InitialInterval = 10 * time.Millisecond
	bo.MaxInterval = 500 * time.Millisecond
	lastProgress := time.Now()
	for {
		before := se.po.Seq
		err := se.stream(ctx)
		var caller *callerError
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil, errors.As(err, &caller):
			return fmt.Errorf("session %s: %w", se.po.ID, err)
		case se.po.Seq != before:
			lastProgress = time.Now()
			bo.Reset()
		case time.Since(lastProgress) > se.re.RunnerWait:
			return &Error{Reason: reason.SessionNoRunner, RetryAfter: retryDelay}
		}
		if !se.wait(ctx, bo.NextBackOff()) {
			return se.sendMoved()
		}
	}
}

// wait delays the next attempt for d or until ctx ends. It returns false if the
// host stops.
func (se *activeSession) wait(ctx context.Context, d time.Duration) bool {
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-ctx.Done():
		return true
	case <-se.stopping:
		return false
	}
}

func (se *activeSession) sendMoved() error {
	err := se.send(Event{SessionID: se.po.ID, Seq: se.po.Seq, Token: se.po.token(), Moved: true})
	if err != nil {
		return &callerError{err: err}
	}
	return nil
}

// stream relays the events of one runner until its stream ends. If the host
// stops, it asks the caller to resume elsewhere and returns nil.
func (se *activeSession) stream(ctx context.Context) error {
	ru, ok := se.re.acquireRunner(se.po, se.avoid)
	if !ok && se.avoid != "" {
		se.avoid = ""
		ru, ok = se.re.acquireRunner(se.po, "")
	}
	if !ok {
		return errNoRunner
	}
	defer se.re.releaseRunner(ru.ID)
	if se.po.Runner != "" && se.po.Runner != ru.ID {
		se.re.Metrics.Add(telemetry.SessionMoves, 1, "why", "runner")
	}
	se.avoid = ru.ID
	next, stop, err := se.re.Runners.SessionFunc(ctx, ru.Addr, runner.SessionRequest{
		SessionID: se.po.ID, Topic: se.po.Topic, Seq: se.po.Seq, State: se.po.State,
	})
	if err != nil {
		return err
	}
	// Stopping ends the read; events read before it are still sent.
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-se.stopping:
		case <-ended:
		}
		stop()
	}()
	// A runner that sends nothing for maxIdle is treated as lost.
	idle := time.AfterFunc(maxIdle, stop)
	defer idle.Stop()
	err = se.forward(func() (runner.SessionEvent, error) {
		idle.Reset(maxIdle)
		return next()
	}, ru.ID)
	if se.isStopping() {
		se.re.Metrics.Add(telemetry.SessionMoves, 1, "why", "stop")
		return se.sendMoved()
	}
	return err
}

func (se *activeSession) isStopping() bool {
	select {
	case <-se.stopping:
		return true
	default:
		return false
	}
}

// maxIdle limits the time without an event; runners send an empty event at
// least every second.
const maxIdle = 4 * time.Second

// Errors that end a runner's stream.
var (
	errMoved = errors.New("runner is leaving")
	errGap   = errors.New("runner skipped an event")
)

// forward sends events to the caller in order, each once: it skips repeated
// events and fails on a gap.
func (se *activeSession) forward(next func() (runner.SessionEvent, error), runnerID string) error {
	for {
		ev, err := next()
		switch {
		case err != nil:
			return err
		case ev.Moved:
			return errMoved
		case ev.Seq <= se.po.Seq:
			continue
		case ev.Seq != se.po.Seq+1:
			return errGap
		}
		se.po = se.po.after(ev, runnerID)
		se.avoid = ""
		if err := se.send(Event{SessionID: se.po.ID, Seq: ev.Seq, Body: ev.Body, Token: se.po.token()}); err != nil {
			return &callerError{err: err}
		}
	}
}
