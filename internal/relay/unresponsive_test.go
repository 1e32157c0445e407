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

// TestRelayThatNeverAnswers is the story of services that lasted until an owner's
// host froze, and never ran again, with room for them.
//
// Users saw a third of a data centre's room given no work until the day ended. Order of
// events: the owner's host freezes; another host owns the cell; its plan gives workers to
// the host that stands still, whose kernel takes the connection and the request; no answer
// comes. The watchdog ended the stream's context after its 1.5 s, but the stream did
// not end: the HTTP client waits for the goroutine that writes the request, that one
// reads the pipe which is the request's body, and the pipe was closed only once the
// client had returned. So the relay was never given up, its workers had no other way,
// and their leases lapsed.
//
// Evidence: on the days that showed it the log has "worker does not answer" for the
// workers of one data centre, and neither "relay not used for a while" nor "worker
// streamWorker another way" until the end.
func TestRelayThatNeverAnswers(t *testing.T) {
	nt := newNetwork(t, 2)
	nt.fleet.RunFunc = endless
	ad := nt.add()
	used := int(ad.Via[1] - '0')
	nt.lines[used].Freeze()
	t.Cleanup(nt.lines[used].Thaw)

	err := nt.launch(ad, "a", "x")
	qt.Assert(t, errors.Is(err, worker.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	nt.eventually("another relay is wanted", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
	ad.Via = nt.pool.RelayFor("i-0", "a")
	_, err = nt.look(ad)
	qt.Assert(t, err, qt.IsNil)
}

// TestReplacedOwnerIsNoRelay: the host of an owner that was replaced for its silence
// still stands in the list, and was the first choice as a relay of the workers near it.
func TestReplacedOwnerIsNoRelay(t *testing.T) {
	nt := newNetwork(t, 0)
	nt.addRelays(2)
	nt.lines[0].Freeze()
	nt.pool.FormerOwner, nt.pool.FormerOwnerProcess = "r0", "p"
	nt.pool.SetMembers(nt.members, nil, true)
	qt.Assert(t, nt.pool.RelayFor("i-0", "a"), qt.Equals, "r1")
	nt.lines[0].Thaw()
	nt.eventually("it is used again", func() bool { return nt.usable("r0") })
}

// TestRelayThatIsNoHost has hosts that refuse a stream in other ways than by silence.
func TestRelayThatIsNoHost(t *testing.T) {
	answer := func(ha http.HandlerFunc) string {
		hs := httptest.NewServer(ha)
		t.Cleanup(hs.Close)
		return hs.Listener.Addr().String()
	}
	for name, addr := range map[string]string{
		// Not one that was just closed: the system may give that to a relay of the test.
		"its port refuses connections":    "127.0.0.1:1",
		"it knows no streams":             answer(http.NotFound),
		"it closes the connection":        answer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		"its answer ends before a frame":  answer(func(http.ResponseWriter, *http.Request) {}),
		"its answer is no frame":          answer(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }),
		"it reads, and does not answer":   answer(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }),
		"nothing but zeros comes from it": answer(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 100)) }),
	} {
		t.Run(name, func(t *testing.T) {
			nt := newNetwork(t, 2)
			ad := nt.add()
			used := int(ad.Via[1] - '0')
			nt.members[used].Addr = addr
			nt.pool.SetMembers(nt.members, nil, true)
			qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNotNil)
			nt.eventually("another relay is wanted", func() bool { return nt.pool.RelayFor("i-0", "a") != ad.Via })
			ad.Via = nt.pool.RelayFor("i-0", "a")
			qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNil)
		})
	}
}

// TestOrdersWhileARelayComesAndGoes: an order that had waited for a stream to open used
// to take it from the link afterwards, where there was none if it had been lost meanwhile,
// and the owner's process ended.
func TestOrdersWhileARelayComesAndGoes(t *testing.T) {
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
					_, _ = nt.look(ad)
				}
			}
		})
	}
	for range 300 {
		nt.drop("r0")
	}
	close(done)
	wg.Wait()
}
