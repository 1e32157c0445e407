// Package linetest checks clients against peers that stand still: whatever state
// of a connection that happens in, a call ends with an error by its own deadline,
// and the next one works once the peer goes on.
//
// Nothing is measured: [HangTimeout] only tells what ends from what never does.
package linetest

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
)

const (
	// HangTimeout is some ten times as long as what is bounded at all.
	HangTimeout = 10 * time.Second
	// callTimeout is the deadline of a call that is not answered, answerTimeout that
	// of one that is to be.
	callTimeout   = 300 * time.Millisecond
	answerTimeout = 5 * time.Second
)

// Call makes one call.
type Call func(ctx context.Context) error

// Check has the peer at an address stall in each way, before its first connection
// and with one that is kept. Connect returns the calls of a new client to an
// address.
func Check(t *testing.T, to string, connect func(addr string) Call) {
	t.Helper()
	for _, st := range standin.Stalls {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, connection kept %t", st, kept), func(t *testing.T) {
				t.Parallel()
				ln := NewProxy(t, to)
				check(t, ln, connect(ln.Addr()), st, kept)
			})
		}
	}
}

// NewProxy returns a line to an address, which ends with the test.
func NewProxy(tb testing.TB, to string) *standin.Proxy {
	tb.Helper()
	ln, err := standin.NewProxy(to)
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = ln.Close() })
	tb.Cleanup(ln.Resume)
	return ln
}

func check(t *testing.T, ln *standin.Proxy, call Call, st standin.Stall, kept bool) {
	t.Helper()
	if kept {
		qt.Assert(t, within(t, call, answerTimeout), qt.IsNil)
	}
	qt.Assert(t, ln.Stall(st), qt.IsNil)
	qt.Assert(t, within(t, call, callTimeout), qt.IsNotNil)
	ln.Resume()
	qt.Assert(t, within(t, call, answerTimeout), qt.IsNil)
}

// within makes a call with a deadline, and fails the test if that never ends.
func within(t *testing.T, call Call, timeout time.Duration) error {
	t.Helper()
	var err error
	MustReturn(t, "call", func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		err = call(ctx)
	})
	return err
}

// Ends fails the test if fn does not return.
func MustReturn(t *testing.T, what string, fn func()) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		fn()
	}()
	select {
	case <-ended:
	case <-time.After(HangTimeout):
		t.Fatalf("%s does not end", what)
	}
}

// lookEvery is the time between looks of [Eventually].
const lookEvery = 5 * time.Millisecond

// Eventually fails the test if something never is so.
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(HangTimeout); time.Now().Before(end); time.Sleep(lookEvery) {
		if ok() {
			return
		}
	}
	t.Fatalf("never so: %s", what)
}
