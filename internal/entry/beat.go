package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/pepperhatch/pepperhatch/gen/pepperhatch/v1"
	"github.com/pepperhatch/pepperhatch/internal/clock"
)

// beatEvery is the time between beats on a watch without events. Runners beat as often,
// and 2,000 sessions cost 2,000 small messages a second at the most.
const beatEvery = time.Second

// watcher is the caller's end of a watch. Events and beats come from two places, and
// the stream takes one message at a time.
type watcher struct {
	out *connect.ServerStream[pb.WatchResponse]

	mu   sync.Mutex
	sent time.Time
}

func (wr *watcher) send(msg *pb.WatchResponse) error {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if err := wr.out.Send(msg); err != nil {
		return fmt.Errorf("send to caller: %w", err)
	}
	wr.sent = time.Now()
	return nil
}

// idleFor returns how long ago the last message was sent.
func (wr *watcher) idleFor() time.Duration {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	return time.Since(wr.sent)
}

// beat sends beats while there are no events, until ctx ends. It ends the watch if one
// cannot be sent.
func (ho *Host) beat(ctx context.Context, end context.CancelFunc, wr *watcher) {
	for clock.Sleep(ctx, beatEvery-wr.idleFor()) {
		if wr.idleFor() < beatEvery {
			continue
		}
		if err := wr.send(&pb.WatchResponse{Beat: true}); err != nil {
			ho.log.Info("caller of a watch does not take beats", "err", err)
			end()
			return
		}
	}
}
