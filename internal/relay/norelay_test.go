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

// countDirect assigns n workers in a data centre and returns how many are to be reached
// directly.
func countDirect(as *assigner, n int, dataCentre string) (direct int) {
	for i := range n {
		if as.assign(fmt.Sprint(dataCentre, "-", i), dataCentre) == "" {
			direct++
		}
	}
	return direct
}

// noRelayAssigner returns an assigner whose only other host is in another data centre and does
// not answer.
func noRelayAssigner(cores float64) *assigner {
	as := &assigner{self: "me", cores: cores, members: map[string]registry.Member{
		"me": {Name: "me", DataCentre: "a", Cores: cores}, "h1": {Name: "h1", DataCentre: "b", Cores: cores},
	}}
	as.markUnavailable("h1")
	return as
}

// TestDirectLimitGrowsWhileListedHostsAreLost guards against a limit that stays low: rows of
// hosts that crashed stay in the list, and an owner whose other hosts were all lost reached
// only a few workers permanently.
func TestDirectLimitGrowsWhileListedHostsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		as := noRelayAssigner(0.1)
		qt.Assert(t, countDirect(as, 500, "a"), qt.Equals, 32)
		time.Sleep(9 * time.Second)
		qt.Assert(t, countDirect(as, 500, "a"), qt.Equals, 500)
		delete(as.unavailable, "h1")
		qt.Assert(t, countDirect(as, 500, "a"), qt.Equals, 0)
		time.Sleep(time.Hour)
		as.markUnavailable("h1")
		qt.Assert(t, countDirect(as, 500, "a"), qt.Equals, 32)
	})
}

// TestDirectLimitReservesShareForOwnDataCentre guards against an owner in a data centre that
// is cut off spending its limit on workers elsewhere, which it cannot reach, because they were
// assigned first.
func TestDirectLimitReservesShareForOwnDataCentre(t *testing.T) {
	as := noRelayAssigner(0.8)
	qt.Assert(t, countDirect(as, 600, "b"), qt.Equals, 128)
	qt.Assert(t, countDirect(as, 300, "a"), qt.Equals, 128)
}

// TestDirectLimitBeforeHostsAreKnown guards against all workers being reached directly when
// the list of workers is read before that of entry hosts.
func TestDirectLimitBeforeHostsAreKnown(t *testing.T) {
	as := &assigner{self: "me", cores: 0.1}
	qt.Assert(t, countDirect(as, 500, "a"), qt.Equals, 32)
	as.members = map[string]registry.Member{"me": {Name: "me", DataCentre: "a", Cores: 0.1}}
	qt.Assert(t, countDirect(as, 500, "a"), qt.Equals, 500)
}

// TestWorkersReturnAfterDropGrace guards against workers not being counted when they return
// together after their grace has passed, so that an owner of hundreds reached all of them
// directly.
func TestWorkersReturnAfterDropGrace(t *testing.T) {
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

// TestLostHostsRetriedWhenLastRelayIsRemoved guards against a long wait when the last usable
// relay is removed from the list: lost hosts were retried only after their own backoff, up to
// 30 s.
func TestLostHostsRetriedWhenLastRelayIsRemoved(t *testing.T) {
	nt := newNetwork(t, 2)
	nt.proxies[0].Freeze()
	nt.pool.mu.Lock()
	nt.pool.ensureLink("r0")
	nt.pool.mu.Unlock()
	nt.eventually("the host is lost", func() bool { return !nt.usable("r0") })
	nt.pool.mu.Lock()
	nt.pool.links["r0"].bo.InitialInterval = maxRetryDelay
	nt.pool.links["r0"].bo.Reset()
	nt.pool.mu.Unlock()
	nt.eventually("the second stream has failed", func() bool { return nt.streamsOpened("r0") == 2 && !nt.hasStream("r0") })
	nt.proxies[0].Resume()
	nt.pool.SetMembers(nil, []string{"r1"}, false)
	nt.eventually("the host is used again", func() bool { return nt.usable("r0") })
}

// hasStream reports whether a stream to a host is open or being opened.
func (nt *network) hasStream(name string) bool {
	nt.pool.mu.Lock()
	defer nt.pool.mu.Unlock()
	return nt.pool.links[name].st != nil
}

// TestMembersChangeBeforeRun guards against a crash: before the pool runs, the host of the
// former owner is the only one left in the list, and retrying it ended the process.
func TestMembersChangeBeforeRun(t *testing.T) {
	po := &Pool{Self: "self", Cores: 1, FormerOwner: "r0", FormerOwnerProcess: "p", Log: slog.New(slog.DiscardHandler)}
	po.SetMembers([]registry.Member{{Name: "r0", Process: "p"}, {Name: "r1", Process: "p"}}, nil, true)
	po.SetMembers(nil, []string{"r1"}, false)
	time.Sleep(2 * noRelayRetryDelay)
	qt.Assert(t, po.assigner.noneUsable(), qt.IsTrue)
}
