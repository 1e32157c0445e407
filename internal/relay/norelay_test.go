package relay

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/registry"
)

// directOf assigns so many workers of a data centre and returns how many are to be
// streamWorker directly.
func directOf(as *assigner, n int, dataCentre string) (direct int) {
	for i := range n {
		if as.assign(fmt.Sprint(dataCentre, "-", i), dataCentre) == "" {
			direct++
		}
	}
	return direct
}

// noRelayAssigner is the plan of a host that is listed with one in another data centre,
// which does not answer.
func noRelayAssigner(cores float64) *assigner {
	as := &assigner{self: "me", cores: cores, members: map[string]registry.Member{
		"me": {Name: "me", DataCentre: "a", Cores: cores}, "h1": {Name: "h1", DataCentre: "b", Cores: cores},
	}}
	as.markUnavailable("h1")
	return as
}

// TestHostsThatAreListedAndGone: rows of hosts that crashed stay in the list. An owner that
// was left alone streamWorker a few workers only, until the end.
func TestHostsThatAreListedAndGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		as := noRelayAssigner(0.1)
		qt.Assert(t, directOf(as, 500, "a"), qt.Equals, 32)
		time.Sleep(9 * time.Second)
		qt.Assert(t, directOf(as, 500, "a"), qt.Equals, 500)
		delete(as.unavailable, "h1")
		qt.Assert(t, directOf(as, 500, "a"), qt.Equals, 0)
		time.Sleep(time.Hour)
		as.markUnavailable("h1")
		qt.Assert(t, directOf(as, 500, "a"), qt.Equals, 32)
	})
}

// TestOwnDataCentreFirst: an owner whose data centre was cut off kept its few direct ways
// for workers elsewhere, which it could not reach, if these were the first.
func TestOwnDataCentreFirst(t *testing.T) {
	as := noRelayAssigner(0.8)
	qt.Assert(t, directOf(as, 600, "b"), qt.Equals, 128)
	qt.Assert(t, directOf(as, 300, "a"), qt.Equals, 128)
}

// TestHostsNotKnownYet: the list of workers may be read before that of entry hosts; all
// workers were streamWorker directly meanwhile.
func TestHostsNotKnownYet(t *testing.T) {
	as := &assigner{self: "me", cores: 0.1}
	qt.Assert(t, directOf(as, 500, "a"), qt.Equals, 32)
	as.members = map[string]registry.Member{"me": {Name: "me", DataCentre: "a", Cores: 0.1}}
	qt.Assert(t, directOf(as, 500, "a"), qt.Equals, 500)
}

// TestWorkersAreBackLate: workers that were forgotten for long and come back together did
// not count, and an owner of hundreds streamWorker all directly.
func TestWorkersAreBackLate(t *testing.T) {
	nt := newNetwork(t, 2)
	var workers []string
	for i := range 50 {
		workers = append(workers, fmt.Sprint("i-", i))
	}
	nt.pool.SetWorkers(workers, nil, false)
	direct := func() (n int) {
		for _, incarnation := range workers {
			if nt.pool.RelayFor(incarnation, "a") == "" {
				n++
			}
		}
		return n
	}
	qt.Assert(t, direct(), qt.Equals, 0)
	for _, incarnation := range workers {
		nt.pool.Drop(incarnation)
	}
	nt.pool.mu.Lock()
	for incarnation := range nt.pool.dropped {
		nt.pool.dropped[incarnation] = time.Now().Add(-2 * dropGrace)
	}
	nt.pool.mu.Unlock()
	nt.pool.SetWorkers(workers, nil, false)
	qt.Assert(t, direct(), qt.Equals, 0)
}

// TestLastRelayLeavesTheList: hosts that are lost were asked again after their own pauses,
// up to 30 s, if the last that answered left the list.
func TestLastRelayLeavesTheList(t *testing.T) {
	nt := newNetwork(t, 2)
	nt.lines[0].Freeze()
	nt.pool.mu.Lock()
	nt.pool.ensureLink("r0")
	nt.pool.mu.Unlock()
	nt.eventually("it is lost", func() bool { return !nt.usable("r0") })
	nt.pool.mu.Lock()
	nt.pool.links["r0"].bo.InitialInterval = maxRetryDelay
	nt.pool.links["r0"].bo.Reset()
	nt.pool.mu.Unlock()
	nt.eventually("it is asked in vain", func() bool { return nt.opened("r0") == 2 && !nt.opening("r0") })
	nt.lines[0].Thaw()
	nt.pool.SetMembers(nil, []string{"r1"}, false)
	nt.eventually("it is used again", func() bool { return nt.usable("r0") })
}

// opening reports whether a stream to a host is open or being opened.
func (nt *network) opening(name string) bool {
	nt.pool.mu.Lock()
	defer nt.pool.mu.Unlock()
	return nt.pool.links[name].st != nil
}

// TestListChangesBeforeRun: the host of the former owner is the only one left in the list
// before the pool runs; asking it again then ended the process.
func TestListChangesBeforeRun(t *testing.T) {
	po := &Pool{Self: "self", Cores: 1, FormerOwner: "r0", FormerOwnerProcess: "p", Log: slog.New(slog.DiscardHandler)}
	po.SetMembers([]registry.Member{{Name: "r0", Process: "p"}, {Name: "r1", Process: "p"}}, nil, true)
	po.SetMembers(nil, []string{"r1"}, false)
	time.Sleep(2 * noRelayRetryDelay)
	qt.Assert(t, po.assigner.noneUsable(), qt.IsTrue)
}
