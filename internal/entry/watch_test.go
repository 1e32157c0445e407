package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1/pepperhatchv1connect"
	"github.com/pepperhatch/pepperhatch/internal/caller"
	"github.com/pepperhatch/pepperhatch/internal/config"
	"github.com/pepperhatch/pepperhatch/internal/runner"
	"github.com/pepperhatch/pepperhatch/internal/session"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/upstream"
)

// eventService is a service whose sessions have the published number of events.
type eventService struct{ published atomic.Uint64 }

// session opens a stream of a runner of the service. The body of an event is its number.
func (es *eventService) session(ctx context.Context, _ string, req runner.SessionRequest) (func() (runner.SessionEvent, error), func(), error) {
	const pollInterval, maxWait = 2 * time.Millisecond, time.Second
	seq := req.Seq
	ended := make(chan struct{})
	next := func() (runner.SessionEvent, error) {
		for end := time.Now().Add(maxWait); time.Now().Before(end); {
			if seq < es.published.Load() {
				seq++
				return runner.SessionEvent{Seq: seq, Body: strconv.AppendUint(nil, seq, 10)}, nil
			}
			select {
			case <-ended:
				return runner.SessionEvent{}, errors.New("session stopped")
			case <-ctx.Done():
				return runner.SessionEvent{}, ctx.Err()
			case <-time.After(pollInterval):
			}
		}
		return runner.SessionEvent{}, nil
	}
	return next, sync.OnceFunc(func() { close(ended) }), nil
}

// sessionHost is an entry host that serves sessions only.
type sessionHost struct {
	*Host

	addr string
	// opened counts the sessions opened or resumed.
	opened atomic.Int64
}

func newSessionHost(t *testing.T, es *eventService) *sessionHost {
	t.Helper()
	me, _, err := telemetry.New()
	qt.Assert(t, err, qt.IsNil)
	sh := &sessionHost{Host: &Host{metrics: me, log: slog.New(slog.DiscardHandler), config: &config.Store{}}}
	sh.set.MaxBody = 1 << 20
	sh.config.Adopt(config.Doc{Version: 1})
	list := []upstream.Runner{{Host: store.Host{ID: "r", Service: "s"}, State: upstream.Live}}
	sh.relay = &session.Relay{
		Runners: runner.Client{SessionFunc: es.session}, List: func() []upstream.Runner { return list },
		MaxSessions: 8, PerRunner: 8, RunnerWait: linetest.HangTimeout, Metrics: me,
	}
	ha := sh.callerHandler()
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sh.opened.Add(1)
		ha.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
	sh.addr = hs.Listener.Addr().String()
	return sh
}

// received has the bodies of the events that a caller received.
type received struct {
	mu   sync.Mutex
	seqs []string
}

func (rc *received) add(ev *pb.WatchResponse) error {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.seqs = append(rc.seqs, string(ev.GetBody()))
	return nil
}

// exactly reports whether the caller received the first n events, each once and in order,
// and no other.
func (rc *received) exactly(n int) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for i, seq := range rc.seqs {
		if seq != strconv.Itoa(i+1) {
			return false
		}
	}
	return len(rc.seqs) == n
}

// startWatch starts a watch that lasts until the test ends.
func startWatch(t *testing.T, addrs ...string) *received {
	t.Helper()
	rc := &received{}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	cl := caller.New(&http.Client{Transport: &http.Transport{}}, addrs...)
	go func() {
		defer close(done)
		err := cl.Watch(ctx, &pb.WatchRequest{Service: "s", Topic: "t"}, rc.add)
		qt.Check(t, err, qt.ErrorIs, context.Canceled)
	}()
	t.Cleanup(func() { end(); <-done })
	return rc
}

// TestWatchContinuesAfterEntryHostStalls guards against a watch that hangs forever while
// other entry hosts serve its events. The entry host freezes or is cut off while the watch
// is open or being opened, and no reset reaches the caller. Without heartbeats the caller
// could not tell a lost session from an idle one.
func TestWatchContinuesAfterEntryHostStalls(t *testing.T) {
	for _, st := range standin.Stalls {
		for _, open := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, watch open %t", st, open), func(t *testing.T) {
				t.Parallel()
				es := &eventService{}
				one, other := newSessionHost(t, es), newSessionHost(t, es)
				ln := linetest.NewProxy(t, one.addr)
				if !open {
					qt.Assert(t, ln.Stall(st), qt.IsNil)
				}
				// The caller tries the last address first.
				rc := startWatch(t, other.addr, ln.Addr())
				es.published.Store(3)
				linetest.Eventually(t, "first events received", func() bool { return rc.exactly(3) })
				if open {
					qt.Assert(t, other.opened.Load(), qt.Equals, int64(0))
					qt.Assert(t, ln.Stall(st), qt.IsNil)
				}
				es.published.Store(6)
				linetest.Eventually(t, "events received during the stall", func() bool { return rc.exactly(6) })
				ln.Resume()
				es.published.Store(9)
				linetest.Eventually(t, "events received after the stall", func() bool { return rc.exactly(9) })
			})
		}
	}
}

// idlePeriod is longer than a caller waits for heartbeats, and shorter than
// [linetest.HangTimeout].
const idlePeriod = 4500 * time.Millisecond

// TestIdleWatchIsKeptOpen guards against a caller that leaves a host whose session merely
// has no events, for longer than it waits for an unresponsive host.
func TestIdleWatchIsKeptOpen(t *testing.T) {
	t.Parallel()
	es := &eventService{}
	one, other := newSessionHost(t, es), newSessionHost(t, es)
	rc := startWatch(t, other.addr, one.addr)
	es.published.Store(1)
	linetest.Eventually(t, "first event received", func() bool { return rc.exactly(1) })
	time.Sleep(idlePeriod)
	es.published.Store(2)
	linetest.Eventually(t, "event after the idle period received", func() bool { return rc.exactly(2) })
	qt.Assert(t, one.opened.Load(), qt.Equals, int64(1))
	qt.Assert(t, other.opened.Load(), qt.Equals, int64(0))
}

// TestCallerWithoutHeartbeatsGetsEventsOnly guards against heartbeats to a caller that did
// not ask for them, which would take them for events.
func TestCallerWithoutHeartbeatsGetsEventsOnly(t *testing.T) {
	t.Parallel()
	es := &eventService{}
	sh := newSessionHost(t, es)
	cl := pepperhatchv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+sh.addr)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	st, err := cl.Watch(ctx, connect.NewRequest(&pb.WatchRequest{Service: "s", Topic: "t"}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, st.ResponseHeader().Get(caller.BeatHeader), qt.Equals, "")
	time.AfterFunc(5*heartbeatInterval/2, func() { es.published.Store(1) })
	qt.Assert(t, st.Receive(), qt.IsTrue)
	qt.Assert(t, st.Msg().GetBeat(), qt.IsFalse)
	qt.Assert(t, st.Msg().GetSeq(), qt.Equals, uint64(1))
}

// TestHeartbeatsAreSentWhileIdle requests heartbeats, and has one event between them.
func TestHeartbeatsAreSentWhileIdle(t *testing.T) {
	t.Parallel()
	es := &eventService{}
	sh := newSessionHost(t, es)
	cl := pepperhatchv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+sh.addr)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	st, err := cl.Watch(ctx, connect.NewRequest(&pb.WatchRequest{Service: "s", Topic: "t", Beats: true}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, st.ResponseHeader().Get(caller.BeatHeader), qt.Equals, "1000")
	for i, isHeartbeat := range []bool{true, true, false, true} {
		qt.Assert(t, st.Receive(), qt.IsTrue)
		qt.Assert(t, st.Msg().GetBeat(), qt.Equals, isHeartbeat)
		qt.Assert(t, st.Msg().GetResumeToken() == "", qt.Equals, isHeartbeat)
		if i == 1 {
			es.published.Store(1)
		}
	}
}

// TestEachEventOnceWhenEntryHostStallsMidStream stalls the entry host during a steady
// stream of events. Each event must be delivered once, wherever it was at the stall.
func TestEachEventOnceWhenEntryHostStallsMidStream(t *testing.T) {
	const (
		eventEvery        = 5 * time.Millisecond
		eventsBeforeStall = 60
		totalEvents       = 900
	)
	for _, st := range standin.Stalls {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			es := &eventService{}
			one, other := newSessionHost(t, es), newSessionHost(t, es)
			ln := linetest.NewProxy(t, one.addr)
			rc := startWatch(t, other.addr, ln.Addr())
			for n := range totalEvents {
				es.published.Store(uint64(n + 1))
				if n == eventsBeforeStall {
					qt.Assert(t, ln.Stall(st), qt.IsNil)
				}
				time.Sleep(eventEvery)
			}
			ln.Resume()
			linetest.Eventually(t, "all events received", func() bool { return rc.exactly(totalEvents) })
		})
	}
}
