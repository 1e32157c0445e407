package relay

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestEndedStreamLeaksNoGoroutine guards against a leak: after a stream was ended by the
// relay, the goroutine that writes the request kept waiting for a pipe that was never closed,
// and held its connection. A long-lived owner would run out of both.
func TestEndedStreamLeaksNoGoroutine(t *testing.T) {
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		rc := http.NewResponseController(w)
		qt.Check(t, rc.EnableFullDuplex(), qt.IsNil)
		_, _ = w.Write([]byte("<html>"))
		qt.Check(t, rc.Flush(), qt.IsNil)
	}))
	t.Cleanup(hs.Close)
	nt := newNetwork(t, 1)
	for range 20 {
		st := newStream("r0", "self", 1, nt.pool.Log)
		qt.Assert(t, st.run(t.Context(), &http.Client{Transport: &http.Transport{}}, hs.Listener.Addr().String(), func() {}), qt.IsNotNil)
	}
	nt.eventually("no goroutine reads from a pipe", func() bool { return !strings.Contains(stacks(), "io.(*pipe).read(") })
}

// stacks returns the stack traces of all goroutines.
func stacks() string {
	buf := make([]byte, 4<<20)
	return string(buf[:runtime.Stack(buf, true)])
}

// TestFullMemberListKeepsAvailability guards against a loss of state when the store has
// discarded its history and the list of entry hosts is read in full again. All hosts then
// counted as new: a frozen host was chosen as a relay again at once, and the host of a former
// owner was no longer used although its stream was open.
func TestFullMemberListKeepsAvailability(t *testing.T) {
	t.Run("a host that does not answer is not used", func(t *testing.T) {
		nt := newNetwork(t, 2)
		ad := nt.add()
		used := int(ad.Via[1] - '0')
		nt.proxies[used].Freeze()
		t.Cleanup(nt.proxies[used].Resume)
		qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNotNil)
		nt.eventually("the host is not used", func() bool { return !nt.usable(ad.Via) })
		nt.pool.SetMembers(nt.members, nil, true)
		qt.Assert(t, nt.usable(ad.Via), qt.IsFalse)
	})
	t.Run("a replaced owner's host that answers is used", func(t *testing.T) {
		nt := newNetwork(t, 0)
		nt.addRelays(2)
		nt.pool.FormerOwner, nt.pool.FormerOwnerProcess = "r0", "p"
		nt.pool.SetMembers(nt.members, nil, true)
		nt.eventually("the host is used", func() bool { return nt.usable("r0") })
		nt.pool.SetMembers(nt.members, nil, true)
		qt.Assert(t, nt.usable("r0"), qt.IsTrue)
	})
}

// TestOwnerNotifiedWhenRelayReturns guards against workers staying on the direct path, which
// is used when no relay is left, after a host answers again: the owner was not notified.
func TestOwnerNotifiedWhenRelayReturns(t *testing.T) {
	nt := newNetwork(t, 1)
	ad := nt.add()
	qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNil)
	connected := nt.notifications()
	nt.proxies[0].Blackhole()
	nt.eventually("no relay is assigned", func() bool { return nt.pool.RelayFor("i-0", "a") == "" })
	nt.eventually("the owner is notified of the loss", func() bool { return nt.notifications() > connected })
	before := nt.notifications()
	nt.eventually("the owner is notified", func() bool { return nt.usable("r0") && nt.notifications() > before })
	qt.Assert(t, nt.pool.RelayFor("i-0", "a"), qt.Equals, "r0")
}

// TestRetriesOfLostHostDoNotNotifyOwner checks that the loss of a host notifies the owner
// once, and that failed retries do not, as it checks the paths to all its workers each time.
func TestRetriesOfLostHostDoNotNotifyOwner(t *testing.T) {
	nt := newNetwork(t, 2)
	ad := nt.add()
	before := nt.notifications()
	used := int(ad.Via[1] - '0')
	nt.proxies[used].Freeze()
	t.Cleanup(nt.proxies[used].Resume)
	qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNotNil)
	nt.eventually("the host is not used", func() bool { return !nt.usable(ad.Via) })
	nt.eventually("the owner is notified of the loss", func() bool { return nt.notifications() > before })
	nt.eventually("a stream to the host is opened again", func() bool { return nt.streamsOpened(ad.Via) >= 3 })
	qt.Assert(t, nt.notifications(), qt.Equals, before+1)
}

// TestStoppingHostRefusesStreams checks that a host that is about to stop accepts no new
// streams.
func TestStoppingHostRefusesStreams(t *testing.T) {
	nt := newNetwork(t, 2)
	ad := nt.add()
	qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNil)
	nt.relays[ad.Via[1]-'0'].Leave()
	nt.eventually("the host is not used", func() bool { return !nt.usable(ad.Via) })
	nt.eventually("a stream to the host is opened again", func() bool {
		qt.Check(t, nt.usable(ad.Via), qt.IsFalse)
		return nt.streamsOpened(ad.Via) >= 2
	})
}

// TestOverloadedOwnerLimitsDirectWorkers guards against an owner that reaches none of its
// workers for 20 s after a takeover, so that long-running tasks did not run although there was
// free capacity.
//
// The new owner's link was saturated by what it read. Relays accepted its streams within 0.5
// s, but their answers took longer than the timeout of 0.6 s. The owner considered all relays
// lost and reached each worker directly, which its link could not carry either. No requests
// got through any more, nor did new streams, which it opened less and less often.
func TestOverloadedOwnerLimitsDirectWorkers(t *testing.T) {
	nt := newNetwork(t, 3)
	var workers []string
	for i := range 50 {
		workers = append(workers, fmt.Sprint("i-", i))
	}
	nt.pool.SetWorkers(workers, nil, true)
	ad := nt.add()
	direct := func() (n int) {
		for _, incarnation := range workers {
			if nt.pool.RelayFor(incarnation, "a") == "" {
				n++
			}
		}
		return n
	}
	qt.Assert(t, direct(), qt.Equals, 0)
	for i, ln := range nt.proxies {
		ln.Freeze()
		t.Cleanup(ln.Resume)
		ad.Via = nt.members[i].Name
		qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNotNil)
	}
	nt.eventually("no host may relay", func() bool { return !nt.usable("r0") && !nt.usable("r1") && !nt.usable("r2") })
	// The owner has a thousandth of a core.
	qt.Check(t, direct() <= 1, qt.IsTrue, qt.Commentf("%d workers are reached directly", direct()))
	ad.Via = nt.pool.RelayFor("i-49", "a")
	err := nt.launch(ad, "b", "x")
	qt.Check(t, errors.Is(err, worker.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	for _, ln := range nt.proxies {
		ln.Resume()
	}
	nt.eventually("all workers are reached through relays", func() bool { return direct() == 0 && nt.usable(nt.pool.RelayFor("i-49", "a")) })
}
