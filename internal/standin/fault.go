// Package standin has fakes of the external systems: the platform's table, object
// store and host list, runners and workers. They speak the same protocols as the
// real ones, keep all state in memory and can inject faults, so that tests and
// `pepperhatch dev` need no other process. The program cmd/standin runs them as
// processes.
//
// They only fake the interfaces: none models the behaviour of a machine or a network.
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

// Mode is a kind of fault.
type Mode string

// Modes of every fake. A fake treats a mode that doesn't apply to it as [ModeOK].
const (
	ModeOK Mode = "ok"
	// ModeDown rejects every message without handling it.
	ModeDown Mode = "down"
	// ModeSlow delays every message by the fault's delay.
	ModeSlow Mode = "slow"
	// ModeLost handles the message, then closes the connection without an answer.
	ModeLost Mode = "lost"
	// ModeFreeze holds every message until the mode changes.
	ModeFreeze Mode = "freeze"
)

// Fault is a fault to inject; it is the body of requests to /fault.
type Fault struct {
	// Mode is the kind of fault.
	Mode Mode `json:"mode"`
	// DelayMS is the delay of ModeSlow in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Count limits the fault to that many messages; 0 means until it is changed.
	Count int `json:"count,omitempty"`
}

// FaultInjector applies a fault to the messages of a handler. The zero value is in
// [ModeOK].
type FaultInjector struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
}

// Set replaces the fault, and releases the messages that [ModeFreeze] holds.
func (fi *FaultInjector) Set(fault Fault) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.fault = fault
	if fi.changed != nil {
		close(fi.changed)
		fi.changed = nil
	}
}

// next returns the fault for one message, and a channel that is closed when the fault
// is replaced. It counts the message against the fault's limit.
func (fi *FaultInjector) next() (Fault, <-chan struct{}) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if fi.changed == nil {
		fi.changed = make(chan struct{})
	}
	fault := fi.fault
	if fault.Count > 0 {
		fi.fault.Count--
		if fi.fault.Count == 0 {
			fi.fault = Fault{}
		}
	}
	return fault, fi.changed
}

// Before applies the part of the fault that comes before a message is handled: a
// delay or an error. It reports whether the answer is to be dropped.
func (fi *FaultInjector) Before(ctx context.Context) (lost bool, err error) {
	fault, changed := fi.next()
	switch fault.Mode {
	case ModeDown:
		return false, &wire.Error{Status: http.StatusServiceUnavailable, Code: store.CodeDown, Message: "down: injected fault"}
	case ModeSlow:
		if !clock.Sleep(ctx, time.Duration(fault.DelayMS)*time.Millisecond) {
			return false, fmt.Errorf("delayed by an injected fault: %w", ctx.Err())
		}
		return false, nil
	case ModeFreeze:
		select {
		case <-changed:
			return fi.Before(ctx)
		case <-ctx.Done():
			return false, fmt.Errorf("frozen by an injected fault: %w", ctx.Err())
		}
	case ModeLost:
		return true, nil
	}
	return false, nil
}

// Wrap returns a handler that applies the fault to the messages for h.
func (fi *FaultInjector) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lost, err := fi.Before(r.Context())
		if err != nil {
			wire.WriteError(w, err)
			return
		}
		if !lost {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	})
}

// Handle returns the handler of /fault, which replaces the fault.
func (fi *FaultInjector) Handle() http.Handler {
	return wire.Handle(func(_ context.Context, fault Fault) (Fault, error) {
		fi.Set(fault)
		return fault, nil
	})
}

// discardWriter is a response writer that drops the response.
type discardWriter struct{ header http.Header }

func (dw *discardWriter) Header() http.Header            { return dw.header }
func (dw *discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (dw *discardWriter) WriteHeader(int)                {}
