package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// stalledBody returns one frame at a time, after a pause before each. Deadlines do not
// interrupt it, just as they don't while a process is suspended.
type stalledBody struct {
	frames []string
	pause  time.Duration
}

func (sb *stalledBody) Read(data []byte) (int, error) {
	time.Sleep(sb.pause)
	if len(sb.frames) == 0 {
		return 0, context.Canceled
	}
	n := copy(data, sb.frames[0])
	sb.frames = sb.frames[1:]
	return n, nil
}

// noopDeadlines is a response writer that accepts read deadlines and ignores them.
type noopDeadlines struct{ http.ResponseWriter }

func (noopDeadlines) SetReadDeadline(time.Time) error { return nil }

// TestStalledRelayDropsOrders checks that a relay that resumes after its process was suspended
// does not execute an unread order that its owner has given up.
func TestStalledRelayDropsOrders(t *testing.T) {
	for pause, want := range map[time.Duration]int32{heartbeatInterval: 2, 5 * time.Second: 0} {
		synctest.Test(t, func(t *testing.T) {
			var launches atomic.Int32
			sv := &Server{Log: slog.New(slog.DiscardHandler), Agent: worker.Agent{
				LaunchFunc: func(context.Context, worker.Addr, worker.Launch) (worker.Ack, error) {
					launches.Add(1)
					return worker.Ack{}, nil
				},
			}}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			se := sv.newStream(ctx, cancel)
			body := &stalledBody{pause: pause, frames: []string{
				`{"o":[{"n":1,"k":"l","w":1,"addr":"10.0.0.1:80","inc":"i-0@5","f":1,"id":"t"}]}`,
				`{"o":[{"n":2,"k":"l","w":1,"id":"u"}]}`,
			}}
			err := se.read(body, http.NewResponseController(noopDeadlines{}))
			qt.Check(t, err, qt.IsNotNil)
			synctest.Wait()
			qt.Check(t, launches.Load(), qt.Equals, want)
		})
	}
}

// suspendedDeadlines is a response writer during whose first change of a read deadline the
// process is suspended.
type suspendedDeadlines struct {
	http.ResponseWriter

	pause *time.Duration
}

func (sd suspendedDeadlines) SetReadDeadline(time.Time) error {
	time.Sleep(*sd.pause)
	*sd.pause = 0
	return nil
}

// TestRelaySuspendedAfterReadDropsOrders guards against orders that a relay sends after their
// owner has given them up, as it was suspended while it did not wait for a frame.
func TestRelaySuspendedAfterReadDropsOrders(t *testing.T) {
	for pause, want := range map[time.Duration]int32{0: 2, time.Second: 1, 5 * time.Second: 0} {
		synctest.Test(t, func(t *testing.T) {
			var launches atomic.Int32
			sv := &Server{Log: slog.New(slog.DiscardHandler), Agent: worker.Agent{
				LaunchFunc: func(context.Context, worker.Addr, worker.Launch) (worker.Ack, error) {
					launches.Add(1)
					return worker.Ack{}, nil
				},
			}}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			body := &stalledBody{frames: []string{
				`{"o":[{"n":1,"k":"l","w":1,"addr":"10.0.0.1:80","inc":"i-0@5","f":1,"id":"t"}]}`,
				`{"o":[{"n":2,"k":"l","w":1,"id":"u"}]}`,
			}}
			err := sv.newStream(ctx, cancel).read(body, http.NewResponseController(suspendedDeadlines{pause: &pause}))
			qt.Check(t, err, qt.IsNotNil)
			synctest.Wait()
			qt.Check(t, launches.Load(), qt.Equals, want)
		})
	}
}
