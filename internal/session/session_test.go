package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/reason"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/upstream"
)

// action is what a fake runner's stream does next.
type action int

const (
	actEvent action = iota
	// actRepeat sends the last event again, actSkip leaves out one event.
	actRepeat
	actSkip
	actKeepalive
	actMoved
	// actLost breaks the stream, actRefuse refuses to open it, and actStall
	// sends nothing until the stream is closed.
	actLost
	actRefuse
	actStall
	actionCount
)

// fakeStreams opens streams that follow the script and send events after its
// end.
type fakeStreams struct {
	script []action
	opened int
}

func (fs *fakeStreams) next() action {
	if len(fs.script) == 0 {
		return actEvent
	}
	ac := fs.script[0]
	fs.script = fs.script[1:]
	return ac
}

func (fs *fakeStreams) open(ctx context.Context, _ string, req runner.SessionRequest) (func() (runner.SessionEvent, error), func(), error) {
	fs.opened++
	ctx, cancel := context.WithCancel(ctx)
	seq := req.Seq
	event := func() runner.SessionEvent {
		return runner.SessionEvent{Seq: seq, Body: fmt.Appendf(nil, "%s/%d", req.Topic, seq), State: []byte(req.Topic)}
	}
	next := func() (runner.SessionEvent, error) {
		time.Sleep(10 * time.Millisecond)
		if ctx.Err() != nil {
			return runner.SessionEvent{}, io.ErrUnexpectedEOF
		}
		switch fs.next() {
		case actRepeat:
			return event(), nil
		case actSkip:
			seq += 2
			return event(), nil
		case actKeepalive:
			return runner.SessionEvent{}, nil
		case actMoved:
			return runner.SessionEvent{Moved: true}, nil
		case actLost, actRefuse:
			return runner.SessionEvent{}, io.ErrUnexpectedEOF
		case actStall:
			<-ctx.Done()
			return runner.SessionEvent{}, io.ErrUnexpectedEOF
		}
		seq++
		return event(), nil
	}
	if len(fs.script) > 0 && fs.script[0] == actRefuse {
		fs.next()
		cancel()
		return nil, nil, errors.New("refused")
	}
	return next, cancel, nil
}

func newRelay(fs *fakeStreams, runners ...string) *Relay {
	return &Relay{
		Runners: runner.Client{SessionFunc: fs.open},
		List: func() []upstream.Runner {
			var list []upstream.Runner
			for _, id := range runners {
				list = append(list, upstream.Runner{Host: store.Host{ID: id, Addr: id, Service: "s"}, State: upstream.Live})
			}
			return list
		},
		MaxSessions: 2, PerRunner: 2, RunnerWait: 10 * time.Second,
	}
}

var errDone = errors.New("all events received")

// TestEventsInOrderOnce runs a session over runners that leave, are lost,
// repeat or skip events, stall and refuse, and over entry hosts that stop. It
// guards against lost and repeated events.
func TestEventsInOrderOnce(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 300}, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(actionCount)-1), func(n int) action { return action(n) }), 0, 30).Draw(rt, "script")
		stops := rapid.SliceOfN(rapid.IntRange(0, 300), 0, 3).Draw(rt, "stops")
		var violation error
		synctest.Test(t, func(*testing.T) {
			violation = consume(&fakeStreams{script: script}, stops)
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// maxTestTime is more virtual time than any script needs; a session that waits
// forever for a stalled stream would exceed it.
const maxTestTime = 20 * time.Minute

// consume reads 20 events, through a new entry host after each stop and
// refusal.
func consume(fs *fakeStreams, stops []int) error {
	token, lastSeq := "", uint64(0)
	begun := time.Now()
	for {
		if time.Since(begun) > maxTestTime {
			return fmt.Errorf("only %d events after %v", lastSeq, maxTestTime)
		}
		re := newRelay(fs, "a", "b", "c")
		if len(stops) > 0 {
			stopAfter := time.Duration(stops[0]) * time.Millisecond
			stops = stops[1:]
			go func() {
				time.Sleep(stopAfter)
				re.Stop()
			}()
		}
		err := re.Serve(context.Background(), Request{Service: "s", Topic: "t", Token: token}, func(ev Event) error {
			token = ev.Token
			if ev.Moved {
				return nil
			}
			if ev.Seq != lastSeq+1 || string(ev.Body) != fmt.Sprintf("t/%d", ev.Seq) {
				return fmt.Errorf("event %d %q after %d", ev.Seq, ev.Body, lastSeq)
			}
			lastSeq = ev.Seq
			if lastSeq == 20 {
				return errDone
			}
			return nil
		})
		var caller *callerError
		var refused *Error
		switch {
		case errors.As(err, &refused) && (refused.Reason == reason.SessionNoRunner || refused.Reason == reason.Stopping):
			// The caller resumes with its token.
		case errors.As(err, &caller) && errors.Is(caller.err, errDone):
			time.Sleep(time.Minute)
			return nil
		case err != nil:
			return err
		}
	}
}

func TestRefusals(t *testing.T) {
	serve := func(re *Relay, req Request) reason.Reason {
		var refused *Error
		err := re.Serve(context.Background(), req, func(Event) error { return errDone })
		if errors.As(err, &refused) {
			return refused.Reason
		}
		return reason.None
	}
	for _, te := range []struct {
		name string
		re   *Relay
		req  Request
		want reason.Reason
	}{
		{"invalid token", newRelay(&fakeStreams{}, "a"), Request{Token: "%%%"}, reason.SessionToken},
		{"token without a session", newRelay(&fakeStreams{}, "a"), Request{Token: position{}.token()}, reason.SessionToken},
		{"no runner", newRelay(&fakeStreams{}), Request{Service: "s"}, reason.SessionNoRunner},
		{"served", newRelay(&fakeStreams{}, "a"), Request{Service: "s"}, reason.None},
	} {
		t.Run(te.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qt.Assert(t, serve(te.re, te.req), qt.Equals, te.want)
			})
		})
	}
	t.Run("stopped", func(t *testing.T) {
		re := newRelay(&fakeStreams{}, "a")
		re.Stop()
		qt.Assert(t, serve(re, Request{Service: "s"}), qt.Equals, reason.Stopping)
	})
	t.Run("limit", func(t *testing.T) {
		re := newRelay(&fakeStreams{}, "a")
		re.MaxSessions = 0
		qt.Assert(t, serve(re, Request{Service: "s"}), qt.Equals, reason.SessionLimit)
	})
}
