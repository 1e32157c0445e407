package sched

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestWaitOfAFormerOwnerIsKept: an owner that is cut off goes on extending leases for a
// while. The next one knew how long, and gave the cell up with a note of it; the third
// took the shorter wait for an owner that has ceased to act, that of the second one, and
// could have started tasks elsewhere that still ran.
func TestLongerWaitOfAFormerOwnerIsRetained(t *testing.T) {
	now := time.Now()
	for _, listed := range []time.Duration{time.Second, 12 * time.Second} {
		ow := &Owner{Limits: Limits{MaxLease: 6 * time.Second}, startedAt: now}
		ow.Tenure.Former = tenure.OwnerRow{LeaseLapseMS: map[string]int64{"i-0": listed.Milliseconds()}}
		ow.Tenure.FormerEnded = func() time.Time { return now }
		qt.Check(t, ow.formerLeasesUntil(worker.Incarnation{ID: "i-0"}).Sub(now), qt.Equals, listed+lapseMargin)
	}
}

// TestWaitsGivenRunOn: what an owner was told of leases that run goes on running while it
// reads the cell, and is handed on as long as it has not looked for itself.
func TestHandedOverWaitsElapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeFreeze})
		te := tenure.Tenure{Epoch: 2, Former: tenure.OwnerRow{LeaseLapseMS: map[string]int64{"i-7": 5000, "i-8": 1000}}}
		ow := New(&Owner{Cell: "c0", Tenure: te, Table: la.table.Client(), Log: la.log})
		ctx, end := context.WithCancel(context.Background())
		go func() { _ = ow.Run(ctx, func() { t.Error("loaded") }) }()
		time.Sleep(2 * time.Second)
		qt.Assert(t, ow.Handover(), qt.DeepEquals, map[string]int64{"i-7": 3000, "i-8": 0})
		qt.Assert(t, te.Former.LeaseLapseMS["i-7"], qt.Equals, int64(5000))
		end()
		synctest.Wait()
	})
}

// pollRecorder notes looks, and has those fail whose relay is not of use.
type pollRecorder struct {
	mu sync.Mutex
	// downRelay is the relay that is not of use.
	downRelay string
	// polled has when looks came to a worker, and extended when the first came that
	// extends its leases.
	polled         []time.Time
	firstExtension time.Time
}

var errNoRelay = errors.New("no such relay")

func (ls *pollRecorder) wrap(ag worker.Agent) worker.Agent {
	look := ag.PollFunc
	ag.PollFunc = func(ctx context.Context, ad worker.Addr, lo worker.Poll) (worker.PollResult, error) {
		if err := ls.record(ad, lo); err != nil {
			return worker.PollResult{}, err
		}
		return look(ctx, ad, lo)
	}
	return ag
}

func (ls *pollRecorder) record(ad worker.Addr, lo worker.Poll) error {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ad.Via != "" && ad.Via == ls.downRelay {
		return fmt.Errorf("%w: %w", worker.ErrNotSent, errNoRelay)
	}
	ls.polled = append(ls.polled, time.Now())
	if ls.firstExtension.IsZero() && lo.LeaseUntilMS > 0 {
		ls.firstExtension = time.Now()
	}
	return nil
}

// firstAfter is the first look that came after a moment.
func (ls *pollRecorder) firstAfter(when time.Time) time.Time {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, at := range ls.polled {
		if !at.Before(when) {
			return at
		}
	}
	return time.Time{}
}

// TestLooksFollowANewWay: a worker whose relay is lost is looked at once it has another
// way, not after the usual pause: its leases run meanwhile.
func TestPollFollowsANewPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		ls := pollRecorder{downRelay: "r0"}
		la.wrapAgentFunc = ls.wrap
		via := ls.downRelay
		la.via.Store(&via)
		ow, end := la.startOwner()
		defer end()
		// In the midst of a pause.
		time.Sleep(3*time.Second + pollRetry/2)
		other := "r1"
		la.via.Store(&other)
		moved := time.Now()
		ow.Reroute()
		time.Sleep(time.Second)
		qt.Assert(t, ls.firstAfter(moved), qt.Equals, moved)
	})
}

// TestFirstExtension: a new owner can extend no lease before a first look has told it the
// worker's clock. The second look waited until the ends that the first had listed were
// written, while all the worker's leases ran.
func TestFirstLeaseExtensionIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		ow, end := la.startOwner()
		time.Sleep(time.Second)
		qt.Assert(t, la.submit(ow, 1, batch(1, 4)).Outcome, qt.Equals, Accepted)
		time.Sleep(100 * time.Millisecond)
		end()
		// The tasks end with nobody to take note of it.
		time.Sleep(2 * time.Second)
		var ls pollRecorder
		la.wrapAgentFunc = ls.wrap
		opened := time.Now()
		ow, end = la.startOwner()
		defer end()
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
		time.Sleep(5 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		qt.Assert(t, ls.firstExtension.Sub(opened), qt.Equals, ls.firstAfter(opened).Sub(opened))
	})
}
