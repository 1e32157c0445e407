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

// heartbeatInterval is the time between heartbeats on a watch without events. Runners
// use the same interval; 2,000 sessions cost at most 2,000 small messages per second.
const heartbeatInterval = time.Second

// watchStream sends the messages of one watch to its caller. Events and heartbeats come
// from different goroutines, and the stream takes one message at a time.
type watchStream struct {
	out *connect.ServerStream[pb.WatchResponse]

	mu   sync.Mutex
	sent time.Time
}

// send sends a message; nil sends the response headers only.
func (ws *watchStream) send(msg *pb.WatchResponse) error {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if err := ws.out.Send(msg); err != nil {
		return fmt.Errorf("send to caller: %w", err)
	}
	ws.sent = time.Now()
	return nil
}

// idleFor returns the time since the last message was sent.
func (ws *watchStream) idleFor() time.Duration {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return time.Since(ws.sent)
}

// sendHeartbeats sends heartbeats while there are no events, until ctx ends. It ends the
// watch if one cannot be sent.
func (ho *Host) sendHeartbeats(ctx context.Context, end context.CancelFunc, ws *watchStream) {
	for clock.Sleep(ctx, heartbeatInterval-ws.idleFor()) {
		if ws.idleFor() < heartbeatInterval {
			continue
		}
		if err := ws.send(&pb.WatchResponse{Beat: true}); err != nil {
			ho.log.Info("cannot send heartbeat to the caller of a watch", "err", err)
			end()
			return
		}
	}
}
