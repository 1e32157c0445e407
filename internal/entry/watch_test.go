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

// feed is a service whose sessions have as many events as were published.
type feed struct{ published atomic.Uint64 }

// session is the stream of a runner of the service: an event has its number as body.
func (fe *feed) session(ctx context.Context, _ string, req runner.SessionRequest) (func() (runner.SessionEvent, error), func(), error) {
	const lookEvery, quietMost = 2 * time.Millisecond, time.Second
	seq := req.Seq
	ended := make(chan struct{})
	next := func() (runner.SessionEvent, error) {
		for end := time.Now().Add(quietMost); time.Now().Before(end); {
			if seq < fe.published.Load() {
				seq++
				return runner.SessionEvent{Seq: seq, Body: strconv.AppendUint(nil, seq, 10)}, nil
			}
			select {
			case <-ended:
				return runner.SessionEvent{}, errors.New("stopped")
			case <-ctx.Done():
				return runner.SessionEvent{}, ctx.Err()
			case <-time.After(lookEvery):
			}
		}
		return runner.SessionEvent{}, nil
	}
	return next, sync.OnceFunc(func() { close(ended) }), nil
}

// watched is an entry host that serves sessions and nothing else.
type watched struct {
	*Host

	addr string
	// opened counts sessions opened or resumed.
	opened atomic.Int64
}

func newWatched(t *testing.T, fe *feed) *watched {
	t.Helper()
	me, _, err := telemetry.New()
	qt.Assert(t, err, qt.IsNil)
	wd := &watched{Host: &Host{metrics: me, log: slog.New(slog.DiscardHandler), config: &config.Store{}}}
	wd.set.MaxBody = 1 << 20
	wd.config.Adopt(config.Doc{Version: 1})
	list := []upstream.Runner{{Host: store.Host{ID: "r", Service: "s"}, State: upstream.Live}}
	wd.relay = &session.Relay{
		Runners: runner.Client{SessionFunc: fe.session}, List: func() []upstream.Runner { return list },
		MaxSessions: 8, PerRunner: 8, RunnerWait: linetest.EndsWithin, Metrics: me,
	}
	ha := wd.callerHandler()
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wd.opened.Add(1)
		ha.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { hs.CloseClientConnections(); hs.Close() })
	wd.addr = hs.Listener.Addr().String()
	return wd
}

// told is what a caller was told.
type told struct {
	mu   sync.Mutex
	seqs []string
}

func (to *told) take(ev *pb.WatchResponse) error {
	to.mu.Lock()
	defer to.mu.Unlock()
	to.seqs = append(to.seqs, string(ev.GetBody()))
	return nil
}

// upTo returns whether the caller was told so many events, each once and in order.
func (to *told) upTo(n int) bool {
	to.mu.Lock()
	defer to.mu.Unlock()
	for i, seq := range to.seqs {
		if seq != strconv.Itoa(i+1) {
			return false
		}
	}
	return len(to.seqs) == n
}

// follow watches until the test ends.
func follow(t *testing.T, addrs ...string) *told {
	t.Helper()
	to := &told{}
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	cl := caller.New(&http.Client{Transport: &http.Transport{}}, addrs...)
	go func() {
		defer close(done)
		err := cl.Watch(ctx, &pb.WatchRequest{Service: "s", Topic: "t"}, to.take)
		qt.Check(t, err, qt.ErrorIs, context.Canceled)
	}()
	t.Cleanup(func() { end(); <-done })
	return to
}

// TestEntryHostOfAWatchStandsStill is the story of a watch that goes quiet for good.
//
// What users see: `pepperhatch session watch` prints nothing any more, though the
// service has events and other entry hosts serve them. Order of events: the entry
// host freezes or is cut off, with the watch open or being opened; no reset comes, as
// nobody is there to send one; the caller waits for an event, which may well take hours,
// and nothing tells it an idle session from a lost one.
//
// Evidence: the events published below after the stall never come, in each state of
// the connection in which nothing comes from the host.
func TestEntryHostOfAWatchStandsStill(t *testing.T) {
	for _, st := range standin.Stalls {
		for _, open := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, watch open %t", st, open), func(t *testing.T) {
				t.Parallel()
				fe := &feed{}
				one, other := newWatched(t, fe), newWatched(t, fe)
				ln := linetest.NewLine(t, one.addr)
				if !open {
					qt.Assert(t, ln.Stall(st), qt.IsNil)
				}
				// The second address is the first in turn.
				to := follow(t, other.addr, ln.Addr())
				fe.published.Store(3)
				linetest.Eventually(t, "first events told", func() bool { return to.upTo(3) })
				if open {
					qt.Assert(t, other.opened.Load(), qt.Equals, int64(0))
					qt.Assert(t, ln.Stall(st), qt.IsNil)
				}
				fe.published.Store(6)
				linetest.Eventually(t, "events told during the stall", func() bool { return to.upTo(6) })
				ln.Thaw()
				fe.published.Store(9)
				linetest.Eventually(t, "events told after it", func() bool { return to.upTo(9) })
			})
		}
	}
}

// idleLong is longer than a caller waits for beats, and shorter than [linetest.EndsWithin].
const idleLong = 4500 * time.Millisecond

// TestIdleWatchIsKeptOpen has no events for longer than a silent host has.
func TestIdleWatchIsKeptOpen(t *testing.T) {
	t.Parallel()
	fe := &feed{}
	one, other := newWatched(t, fe), newWatched(t, fe)
	to := follow(t, other.addr, one.addr)
	fe.published.Store(1)
	linetest.Eventually(t, "first event told", func() bool { return to.upTo(1) })
	time.Sleep(idleLong)
	fe.published.Store(2)
	linetest.Eventually(t, "next event told", func() bool { return to.upTo(2) })
	qt.Assert(t, one.opened.Load(), qt.Equals, int64(1))
	qt.Assert(t, other.opened.Load(), qt.Equals, int64(0))
}

// TestCallerThatKnowsNoBeats gets events only: it would take a beat for one.
func TestCallerThatKnowsNoBeats(t *testing.T) {
	t.Parallel()
	fe := &feed{}
	wd := newWatched(t, fe)
	cl := pepperhatchv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+wd.addr)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	st, err := cl.Watch(ctx, connect.NewRequest(&pb.WatchRequest{Service: "s", Topic: "t"}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, st.ResponseHeader().Get(caller.BeatHeader), qt.Equals, "")
	time.AfterFunc(5*beatEvery/2, func() { fe.published.Store(1) })
	qt.Assert(t, st.Receive(), qt.IsTrue)
	qt.Assert(t, st.Msg().GetBeat(), qt.IsFalse)
	qt.Assert(t, st.Msg().GetSeq(), qt.Equals, uint64(1))
}

// TestBeatsComeWhileThereAreNoEvents asks for beats, and has an event in between.
func TestBeatsComeWhileThereAreNoEvents(t *testing.T) {
	t.Parallel()
	fe := &feed{}
	wd := newWatched(t, fe)
	cl := pepperhatchv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+wd.addr)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	st, err := cl.Watch(ctx, connect.NewRequest(&pb.WatchRequest{Service: "s", Topic: "t", Beats: true}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, st.ResponseHeader().Get(caller.BeatHeader), qt.Equals, "1000")
	for i, beat := range []bool{true, true, false, true} {
		qt.Assert(t, st.Receive(), qt.IsTrue)
		qt.Assert(t, st.Msg().GetBeat(), qt.Equals, beat)
		qt.Assert(t, st.Msg().GetResumeToken() == "", qt.Equals, beat)
		if i == 1 {
			fe.published.Store(1)
		}
	}
}

// TestEntryHostStandsStillInTheMidstOfEvents has events all the while: whatever part of
// them was on its way, each is told once.
func TestEntryHostStandsStillInTheMidstOfEvents(t *testing.T) {
	const (
		eventEvery = 5 * time.Millisecond
		before     = 60
		all        = 900
	)
	for _, st := range standin.Stalls {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			fe := &feed{}
			one, other := newWatched(t, fe), newWatched(t, fe)
			ln := linetest.NewLine(t, one.addr)
			to := follow(t, other.addr, ln.Addr())
			for n := range all {
				fe.published.Store(uint64(n + 1))
				if n == before {
					qt.Assert(t, ln.Stall(st), qt.IsNil)
				}
				time.Sleep(eventEvery)
			}
			ln.Thaw()
			linetest.Eventually(t, "all events told", func() bool { return to.upTo(all) })
		})
	}
}
