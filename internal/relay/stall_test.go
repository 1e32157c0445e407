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

// stillBody gives one frame at a time, with a pause before each; no deadline cuts it short,
// as none does while a process stands still.
type stillBody struct {
	frames []string
	pause  time.Duration
}

func (sb *stillBody) Read(data []byte) (int, error) {
	time.Sleep(sb.pause)
	if len(sb.frames) == 0 {
		return 0, context.Canceled
	}
	n := copy(data, sb.frames[0])
	sb.frames = sb.frames[1:]
	return n, nil
}

// deadlines is a response whose deadlines can be set.
type deadlines struct{ http.ResponseWriter }

func (deadlines) SetReadDeadline(time.Time) error { return nil }

// TestOrdersOfAStreamThatStoodStillAreNotCarriedOut has a relay wake with an order unread that its owner has given up.
func TestOrdersOfAStreamThatStoodStillAreNotCarriedOut(t *testing.T) {
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
			se := &ownerStream{sv: sv, ctx: ctx, end: cancel, out: newOutbox[answer](), workers: map[int]*streamWorker{}, payloads: map[int]string{}}
			body := &stillBody{pause: pause, frames: []string{
				`{"o":[{"n":1,"k":"l","w":1,"addr":"10.0.0.1:80","inc":"i-0@5","f":1,"id":"t"}]}`,
				`{"o":[{"n":2,"k":"l","w":1,"id":"u"}]}`,
			}}
			err := se.read(body, http.NewResponseController(deadlines{}))
			qt.Check(t, err, qt.IsNotNil)
			synctest.Wait()
			qt.Check(t, launches.Load(), qt.Equals, want)
		})
	}
}
