package relay

import (
	"sync"
	"time"
)

// maxOutboxItems bounds what waits to be sent on a stream: some seconds of the most
// orders that one owner gives.
const maxOutboxItems = 10_000

// outbox holds what waits to be sent. Make one with [newOutbox].
type outbox[T any] struct {
	mu    sync.Mutex
	items []T
	wake  chan struct{}
}

func newOutbox[T any]() *outbox[T] { return &outbox[T]{wake: make(chan struct{}, 1)} }

// put adds an item, and reports whether there was room.
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

// pump sends what is put, many items to a frame, and a frame without any after
// [heartbeatInterval], until send fails or done is closed.
func (ob *outbox[T]) sendLoop(done <-chan struct{}, send func([]T) error) error {
	beat := time.NewTimer(heartbeatInterval)
	defer beat.Stop()
	var last time.Time
	for {
		select {
		case <-done:
			return nil
		case <-beat.C:
		case <-ob.wake:
			time.Sleep(max(batchDelay, minFrameInterval-time.Since(last)))
		}
		last = time.Now()
		if err := send(ob.takeAll()); err != nil {
			return err
		}
		beat.Reset(heartbeatInterval)
	}
}
