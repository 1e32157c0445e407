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

// TestStreamsThatEndLeaveNothing: a stream that ended by its relay's doing left the
// goroutine that writes the request, which waits for a pipe that nobody closes, and the
// connection with it; an owner for long would run out of both.
func TestStreamsThatEndLeaveNothing(t *testing.T) {
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
	nt.eventually("nobody waits for a pipe", func() bool { return !strings.Contains(stacks(), "io.(*pipe).read(") })
}

// stacks are those of all goroutines.
func stacks() string {
	buf := make([]byte, 4<<20)
	return string(buf[:runtime.Stack(buf, true)])
}

// TestListIsReadAgain: the store forgets its history, and the list of entry hosts is read
// as a whole again. Then hosts counted as new: one that stands still was chosen again at
// once, and a former owner's was not used any more although its stream was open.
func TestListIsReadAgain(t *testing.T) {
	t.Run("a host that does not answer is not used", func(t *testing.T) {
		nt := newNetwork(t, 2)
		ad := nt.add()
		used := int(ad.Via[1] - '0')
		nt.lines[used].Freeze()
		t.Cleanup(nt.lines[used].Thaw)
		qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNotNil)
		nt.eventually("it is not used", func() bool { return !nt.usable(ad.Via) })
		nt.pool.SetMembers(nt.members, nil, true)
		qt.Assert(t, nt.usable(ad.Via), qt.IsFalse)
	})
	t.Run("a replaced owner's host that answers is used", func(t *testing.T) {
		nt := newNetwork(t, 0)
		nt.addRelays(2)
		nt.pool.FormerOwner, nt.pool.FormerOwnerProcess = "r0", "p"
		nt.pool.SetMembers(nt.members, nil, true)
		nt.eventually("it is used", func() bool { return nt.usable("r0") })
		nt.pool.SetMembers(nt.members, nil, true)
		qt.Assert(t, nt.usable("r0"), qt.IsTrue)
	})
}

// TestRelayIsBack: with no relay left workers are streamWorker directly; they stayed so when
// a host answered again, as nobody was told.
func TestRelayIsBack(t *testing.T) {
	nt := newNetwork(t, 1)
	ad := nt.add()
	qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNil)
	nt.lines[0].Silence()
	nt.eventually("there is none", func() bool { return nt.pool.RelayFor("i-0", "a") == "" })
	before := nt.told()
	nt.eventually("the owner is told", func() bool { return nt.usable("r0") && nt.told() > before })
	qt.Assert(t, nt.pool.RelayFor("i-0", "a"), qt.Equals, "r0")
}

// TestHostThatStaysAway: a host that was lost is asked again and again; that is no news
// to the owner, which would look at the ways to all its workers each time.
func TestHostThatStaysAway(t *testing.T) {
	nt := newNetwork(t, 2)
	ad := nt.add()
	used := int(ad.Via[1] - '0')
	nt.lines[used].Freeze()
	t.Cleanup(nt.lines[used].Thaw)
	qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNotNil)
	nt.eventually("it is not used", func() bool { return !nt.usable(ad.Via) })
	before := nt.told()
	nt.eventually("it is asked again", func() bool { return nt.opened(ad.Via) >= 3 })
	qt.Assert(t, nt.told(), qt.Equals, before)
}

// TestHostThatLeaves: one that is about to stop takes no new streams.
func TestHostThatLeaves(t *testing.T) {
	nt := newNetwork(t, 2)
	ad := nt.add()
	qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNil)
	nt.relays[ad.Via[1]-'0'].Leave()
	nt.eventually("it is not used", func() bool { return !nt.usable(ad.Via) })
	nt.eventually("it is asked again", func() bool {
		qt.Check(t, nt.usable(ad.Via), qt.IsFalse)
		return nt.opened(ad.Via) >= 2
	})
}

// TestOwnerThatIsSwamped: after a takeover the new owner streamWorker none of its workers for
// twenty seconds, and tasks that were to last did not run, with room for them.
//
// Order of events: the new owner's link is full of what it reads; relays take its streams
// within 0.5 s, but their answers come later than the 0.6 s that it waits; it takes all
// for lost, and reaches each worker itself, which is what its link can't carry: nothing
// gets through any more, nor do new streams, which it asks for more and more seldom.
//
// Evidence: "relaying for an owner" on five relays, "relay not used for a while" for the
// same on the owner, and then "workers without orders" with all its workers, an empty
// via, and "dial .. i/o timeout" for each relay until the end.
func TestOwnerThatIsSwamped(t *testing.T) {
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
	for i, ln := range nt.lines {
		ln.Freeze()
		t.Cleanup(ln.Thaw)
		ad.Via = nt.members[i].Name
		qt.Assert(t, nt.launch(ad, "a", "x"), qt.IsNotNil)
	}
	nt.eventually("no relay is of use", func() bool { return !nt.usable("r0") && !nt.usable("r1") && !nt.usable("r2") })
	// The owner has a thousandth of a core.
	qt.Check(t, direct() <= 1, qt.IsTrue, qt.Commentf("%d workers are streamWorker directly", direct()))
	ad.Via = nt.pool.RelayFor("i-49", "a")
	err := nt.launch(ad, "b", "x")
	qt.Check(t, errors.Is(err, worker.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	for _, ln := range nt.lines {
		ln.Thaw()
	}
	nt.eventually("all go through relays", func() bool { return direct() == 0 && nt.usable(nt.pool.RelayFor("i-49", "a")) })
}
