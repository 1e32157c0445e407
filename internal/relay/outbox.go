package relay

import (
	"sync"
	"time"
)

// maxOutboxItems bounds the items queued on a stream: several seconds of orders at the highest
// rate of one owner.
const maxOutboxItems = 10_000

// outbox queues items and sends them in frames. Create one with [newOutbox].
type outbox[T any] struct {
	mu    sync.Mutex
	items []T
	wake  chan struct{}
}

func newOutbox[T any]() *outbox[T] { return &outbox[T]{wake: make(chan struct{}, 1)} }

// put adds an item and reports whether it fitted; it does not if maxOutboxItems are queued.
func (ob *outbox[T]) put(item T) bool {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if len(ob.items) >= maxOutboxItems {
		return false
	}
	ob.items = append(ob.items, item)
	select {
	case ob.wake <- struct{}{}:
	default:
	}
	return true
}

func (ob *outbox[T]) takeAll() []T {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	items := ob.items
	ob.items = nil
	return items
}

// sendLoop sends queued items in batches, and an empty frame after [heartbeatInterval] without
// items, until send fails or done is closed.
func (ob *outbox[T]) sendLoop(done <-chan struct{}, send func([]T) error) error {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	var last time.Time
	for {
		select {
		case <-done:
			return nil
		case <-heartbeat.C:
		case <-ob.wake:
			time.Sleep(max(batchDelay, minFrameInterval-time.Since(last)))
		}
		last = time.Now()
		if err := send(ob.takeAll()); err != nil {
			return err
		}
		heartbeat.Reset(heartbeatInterval)
	}
}
