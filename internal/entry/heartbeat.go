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
const heartbeatInterval = time.Second

// watcher is the caller's end of a watch. Events and beats come from two places, and
// the stream takes one message at a time.
type watchStream struct {
	out *connect.ServerStream[pb.WatchResponse]

	mu   sync.Mutex
	sent time.Time
}

func (ws *watchStream) send(msg *pb.WatchResponse) error {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if err := ws.out.Send(msg); err != nil {
		return fmt.Errorf("send to caller: %w", err)
	}
	ws.sent = time.Now()
	return nil
}

// idleFor returns how long ago the last message was sent.
func (ws *watchStream) idleFor() time.Duration {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return time.Since(ws.sent)
}

// beat sends beats while there are no events, until ctx ends. It ends the watch if one
// cannot be sent.
func (ho *Host) sendHeartbeats(ctx context.Context, end context.CancelFunc, ws *watchStream) {
	for clock.Sleep(ctx, heartbeatInterval-ws.idleFor()) {
		if ws.idleFor() < heartbeatInterval {
			continue
		}
		if err := ws.send(&pb.WatchResponse{Beat: true}); err != nil {
			ho.log.Info("caller of a watch does not take beats", "err", err)
			end()
			return
		}
	}
}
