// Package linetest checks clients against peers that stall. At whatever stage of a
// connection the peer stalls, a call must fail by its own deadline, and the next call
// must work once the peer responds again.
//
// It doesn't check how long a call takes: [HangTimeout] only separates calls that
// return from calls that hang.
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
	// HangTimeout is the time after which a call counts as hung, about ten times the
	// longest timeout in the code under test.
	HangTimeout = 10 * time.Second
	// callTimeout is the deadline of a call that gets no answer, and answerTimeout of
	// one that must be answered.
	callTimeout   = 300 * time.Millisecond
	answerTimeout = 5 * time.Second
)

// Call sends one request with the client under test and returns its error.
type Call func(ctx context.Context) error

// Check runs a subtest for every stall of the peer at an address, on a new connection
// and on one that was used before. Connect returns the call of a new client for the
// address that it is given.
func Check(t *testing.T, to string, connect func(addr string) Call) {
	t.Helper()
	for _, st := range standin.Stalls {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, connection reused %t", st, reused), func(t *testing.T) {
				t.Parallel()
				pr := NewProxy(t, to)
				check(t, pr, connect(pr.Addr()), st, reused)
			})
		}
	}
}

// NewProxy returns a proxy to an address, which is resumed and closed at the end of the
// test.
func NewProxy(tb testing.TB, to string) *standin.Proxy {
	tb.Helper()
	pr, err := standin.NewProxy(to)
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(func() { _ = pr.Close() })
	tb.Cleanup(pr.Resume)
	return pr
}

func check(t *testing.T, pr *standin.Proxy, call Call, st standin.Stall, reused bool) {
	t.Helper()
	if reused {
		qt.Assert(t, callWithin(t, call, answerTimeout), qt.IsNil)
	}
	qt.Assert(t, pr.Stall(st), qt.IsNil)
	qt.Assert(t, callWithin(t, call, callTimeout), qt.IsNotNil)
	pr.Resume()
	qt.Assert(t, callWithin(t, call, answerTimeout), qt.IsNil)
}

// callWithin makes a call with a deadline and returns its error. It fails the test if
// the call hangs.
func callWithin(t *testing.T, call Call, timeout time.Duration) error {
	t.Helper()
	var err error
	MustReturn(t, "call", func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		err = call(ctx)
	})
	return err
}

// MustReturn fails the test if fn doesn't return within [HangTimeout].
func MustReturn(t *testing.T, what string, fn func()) {
	t.Helper()
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		fn()
	}()
	select {
	case <-returned:
	case <-time.After(HangTimeout):
		t.Fatalf("%s did not return", what)
	}
}

// pollInterval is the time between two checks of [Eventually].
const pollInterval = 5 * time.Millisecond

// Eventually fails the test if a condition doesn't hold within [HangTimeout].
func Eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(HangTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met: %s", what)
}
