package relay

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestRelayNeverAnswers guards against workers that stay assigned to a frozen host, so that
// their leases lapse and services don't run again although there is free capacity; a third of
// a data centre was idle.
//
// An owner's host froze, and the new owner assigned workers to it as a relay; its kernel still
// accepted the connection and the request, but no answer came. The watchdog cancelled the
// stream's context after 1.5 s, but the stream did not end: the HTTP client waits for the
// goroutine that writes the request, that goroutine reads the pipe that is the request's body,
// and the pipe was closed only after the client had returned.
func TestRelayNeverAnswers(t *testing.T) {
	nt := newNetwork(t, 2)
	nt.fleet.RunFunc = runForever
	ad := nt.add()
	used := int(ad.Via[1] - '0')
	nt.proxies[used].Freeze()
	t.Cleanup(nt.proxies[used].Resume)

	err := nt.launch(ad, "a", "x")
	qt.Assert(t, errors.Is(err, worker.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	nt.eventually("the worker is assigned another relay", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
	ad.Via = nt.pool.RelayFor("i-0", "a")
	_, err = nt.poll(ad)
	qt.Assert(t, err, qt.IsNil)
}

// TestReplacedOwnerIsNotUsedAsRelay guards against the choice of a host that was replaced as
// the owner because it was unresponsive: it is still listed, and was the preferred relay of
// the workers near it.
func TestReplacedOwnerIsNotUsedAsRelay(t *testing.T) {
	nt := newNetwork(t, 0)
	nt.addRelays(2)
	nt.proxies[0].Freeze()
	nt.pool.FormerOwner, nt.pool.FormerOwnerProcess = "r0", "p"
	nt.pool.SetMembers(nt.members, nil, true)
	qt.Assert(t, nt.pool.RelayFor("i-0", "a"), qt.Equals, "r1")
	nt.proxies[0].Resume()
	nt.eventually("the host is used again", func() bool { return nt.usable("r0") })
}

// TestRelayFailsToServeStream covers hosts that fail to serve a stream in ways other than not
// answering.
func TestRelayFailsToServeStream(t *testing.T) {
	answer := func(ha http.HandlerFunc) string {
		hs := httptest.NewServer(ha)
		t.Cleanup(hs.Close)
		return hs.Listener.Addr().String()
	}
	for name, addr := range map[string]string{
		// Not a port that was just closed: the system may reuse it for a relay of the test.
		"connection refused":            "127.0.0.1:1",
		"status not found":              answer(http.NotFound),
		"connection closed":             answer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		"response ends before a frame":  answer(func(http.ResponseWriter, *http.Request) {}),
		"response is not JSON":          answer(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }),
		"request read but not answered": answer(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }),
		"response of zero bytes":        answer(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 100)) }),
	} {
		t.Run(name, func(t *testing.T) {
			nt := newNetwork(t, 2)
			ad := nt.add()
			used := int(ad.Via[1] - '0')
			nt.members[used].Addr = addr
			nt.pool.SetMembers(nt.members, nil, true)
			qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNotNil)
			nt.eventually("the worker is assigned another relay", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
			ad.Via = nt.pool.RelayFor("i-0", "a")
			qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNil)
		})
	}
}

// TestOrdersWhileStreamIsLostRepeatedly guards against a crash of the owner's process: an
// order that had waited for a stream to open read the stream from the link afterwards, which
// was nil if the stream had been lost meanwhile.
func TestOrdersWhileStreamIsLostRepeatedly(t *testing.T) {
	nt := newNetwork(t, 1)
	ad := nt.add()
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_, _ = nt.poll(ad)
				}
			}
		})
	}
	for range 300 {
		nt.loseStream("r0")
	}
	close(done)
	wg.Wait()
}
