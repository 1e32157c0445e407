package relay

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// unreadStream is a stream whose frames are written only as far as the test reads them.
type unreadStream struct {
	*stream

	frames *json.Decoder
}

func newUnreadStream(ctx context.Context, cancel context.CancelFunc) *unreadStream {
	body, in := io.Pipe()
	us := &unreadStream{stream: newStream("r0", "self", 1, slog.New(slog.DiscardHandler)), frames: json.NewDecoder(body)}
	go us.write(ctx, cancel, in)
	context.AfterFunc(ctx, func() {
		_ = body.Close()
		us.failPending()
	})
	return us
}

// order sends a halt to a worker and returns the error with which its caller gave up.
func (us *unreadStream) order(ad worker.Addr, task string, fence int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := us.call(ctx, ad, order{Kind: kindHalt, Task: task, Fence: fence})
	return err
}

// read returns the orders of the next frame that has some.
func (us *unreadStream) read(t *testing.T) orderList {
	t.Helper()
	for {
		var fr orderFrame
		qt.Assert(t, us.frames.Decode(&fr), qt.IsNil)
		if len(fr.Orders) > 0 {
			return fr.Orders
		}
	}
}

var unreadWorkers = []worker.Addr{
	{HostPort: "10.0.0.1:80", Incarnation: worker.Incarnation{ID: "i-0", StartedMS: 1}},
	{HostPort: "10.0.0.2:80", Incarnation: worker.Incarnation{ID: "i-1", StartedMS: 1}},
}

// TestGivenUpOrdersAreNotSent guards against orders that wait for a slow connection to a relay
// and reach a worker seconds after their caller has given them up.
func TestGivenUpOrdersAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		us := newUnreadStream(ctx, cancel)
		go func() { _ = us.order(unreadWorkers[0], "a", 5, time.Minute) }()
		time.Sleep(time.Second)
		qt.Check(t, us.order(unreadWorkers[1], "b", 6, 400*time.Millisecond), qt.ErrorIs, context.DeadlineExceeded)
		go func() { _ = us.order(unreadWorkers[1], "c", 6, time.Minute) }()
		time.Sleep(time.Second)
		qt.Check(t, us.read(t)[0].Task, qt.Equals, "a")
		orders := us.read(t)
		qt.Assert(t, orders, qt.HasLen, 1)
		qt.Check(t, orders[0].Task, qt.Equals, "c")
		qt.Check(t, orders[0].HostPort, qt.Equals, unreadWorkers[1].HostPort)
		qt.Check(t, orders[0].Fence, qt.Equals, int64(6))
	})
}

// TestFullQueueLosesNoFencingToken guards against a relay that never learns of a worker, or of
// its fencing token, as the first order with it found the queue full.
func TestFullQueueLosesNoFencingToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		us := newUnreadStream(ctx, cancel)
		blocking := func(ad worker.Addr, task string, fence int64) {
			go func() { _ = us.order(ad, task, fence, time.Minute) }()
		}
		blocking(unreadWorkers[0], "a", 5)
		time.Sleep(time.Second)
		for range maxOutboxItems {
			blocking(unreadWorkers[0], "a", 5)
		}
		synctest.Wait()
		for _, ad := range unreadWorkers {
			qt.Check(t, us.order(ad, "b", 6, time.Second), qt.ErrorIs, worker.ErrNotSent)
		}
		qt.Check(t, us.read(t), qt.HasLen, 1)
		qt.Check(t, us.read(t), qt.HasLen, maxOutboxItems)
		for _, ad := range unreadWorkers {
			blocking(ad, "c", 6)
			orders := us.read(t)
			qt.Check(t, orders[0].Fence, qt.Equals, int64(6))
			qt.Check(t, orders[0].HostPort == ad.HostPort, qt.Equals, ad == unreadWorkers[1])
		}
	})
}
