package relay

import (
	"errors"
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
// reached another way" until the end.
func TestRelayThatNeverAnswers(t *testing.T) {
	nt := newNetwork(t, 2)
	nt.fleet.RunFunc = endless
	ad := nt.add()
	used := int(ad.Via[1] - '0')
	nt.lines[used].Freeze()
	t.Cleanup(nt.lines[used].Thaw)

	err := nt.launch(ad, "a", "x")
	qt.Assert(t, errors.Is(err, worker.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	nt.eventually("another relay is wanted", func() bool { return nt.pool.Via("i-0", "a") != ad.Via })
	ad.Via = nt.pool.Via("i-0", "a")
	_, err = nt.look(ad)
	qt.Assert(t, err, qt.IsNil)
}
