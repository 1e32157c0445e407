// Package standin has small stand-ins for the outside systems: the platform's
// table, object store and host list, runners and workers. They speak the same
// messages over the same ports, keep everything in memory, and can be told to
// misbehave. The program cmd/standin runs them as processes; `pepperhatch dev`
// and tests run them in their own.
//
// They are fakes at the interfaces: none models a machine or a network.
package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/wire"
)

// Mode is a way to misbehave.
type Mode string

// The modes; a stand-in that has no use for one treats it as [ModeOK].
const (
	ModeOK Mode = "ok"
	// ModeDown refuses every message without handling it.
	ModeDown Mode = "down"
	// ModeSlow delays every message by the fault's delay.
	ModeSlow Mode = "slow"
	// ModeLost handles the message, then drops the connection.
	ModeLost Mode = "lost"
	// ModeFreeze holds every message until the mode changes.
	ModeFreeze Mode = "freeze"
)

// Fault is what a stand-in is told at /fault.
type Fault struct {
	// Mode is the way to misbehave.
	Mode Mode `json:"mode"`
	// DelayMS is the delay of ModeSlow in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Count limits the fault to so many messages; 0 means until told.
	Count int `json:"count,omitempty"`
}

// Gate puts a fault before a handler. The zero value is [ModeOK].
type FaultInjector struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
}

// Set changes the fault.
func (ga *FaultInjector) Set(fault Fault) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.fault = fault
	if ga.changed != nil {
		close(ga.changed)
		ga.changed = nil
	}
}

// take returns the fault for one message, and what is closed at its change.
func (ga *FaultInjector) take() (Fault, <-chan struct{}) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.changed == nil {
		ga.changed = make(chan struct{})
	}
	fault := ga.fault
	if fault.Count > 0 {
		ga.fault.Count--
		if ga.fault.Count == 0 {
			ga.fault = Fault{}
		}
	}
	return fault, ga.changed
}

// Before does what the fault wants done before the message is handled. It
// reports whether the answer is to be lost.
func (ga *FaultInjector) Before(ctx context.Context) (lost bool, err error) {
	fault, changed := ga.take()
	switch fault.Mode {
	case ModeDown:
		return false, &wire.Error{Status: http.StatusServiceUnavailable, Code: store.CodeDown, Message: "down by order"}
	case ModeSlow:
		if !clock.Sleep(ctx, time.Duration(fault.DelayMS)*time.Millisecond) {
			return false, fmt.Errorf("slow: %w", ctx.Err())
		}
		return false, nil
	case ModeFreeze:
		select {
		case <-changed:
			return ga.Before(ctx)
		case <-ctx.Done():
			return false, fmt.Errorf("frozen: %w", ctx.Err())
		}
	case ModeLost:
		return true, nil
	}
	return false, nil
}

// Wrap returns h behind the gate.
func (ga *FaultInjector) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lost, err := ga.Before(r.Context())
		if err != nil {
			wire.WriteError(w, err)
			return
		}
		if !lost {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(&discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	})
}

// Handle returns the handler of /fault.
func (ga *FaultInjector) Handle() http.Handler {
	return wire.Handle(func(_ context.Context, fault Fault) (Fault, error) {
		ga.Set(fault)
		return fault, nil
	})
}

// discard is a response that nobody gets.
type discard struct{ header http.Header }

func (di *discard) Header() http.Header            { return di.header }
func (di *discard) Write(data []byte) (int, error) { return len(data), nil }
func (di *discard) WriteHeader(int)                {}
