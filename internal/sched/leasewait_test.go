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

// TestLongerWaitOfAFormerOwnerIsRetained guards against tasks that start elsewhere while they
// still run. An owner that is cut off goes on extending leases for a while. The next owner
// knows for how long and states it when it releases the cell. The third one must not replace
// that by the shorter wait for the second, which has ceased to act.
func TestLongerWaitOfAFormerOwnerIsRetained(t *testing.T) {
	now := time.Now()
	for _, listed := range []time.Duration{time.Second, 12 * time.Second} {
		ow := &Owner{Limits: Limits{MaxLease: 6 * time.Second}, startedAt: now}
		ow.Tenure.Former = tenure.OwnerRow{LeaseLapseMS: map[string]int64{"i-0": listed.Milliseconds()}}
		ow.Tenure.FormerEnded = func() time.Time { return now }
		qt.Check(t, ow.formerLeasesUntil(worker.Incarnation{ID: "i-0"}).Sub(now), qt.Equals, listed+lapseMargin)
	}
}

// TestHandedOverWaitsElapse guards against waits for leases that do not count down while a new
// owner loads the cell, or that are lost when it hands the cell over before it has polled the
// workers itself.
func TestHandedOverWaitsElapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		te := tenure.Tenure{Epoch: 2, Confirmed: time.Now, HeartbeatWritten: time.Now, Former: tenure.OwnerRow{LeaseLapseMS: map[string]int64{"i-7": 5000, "i-8": 1000}}}
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

// pollRecorder records polls and fails those that use a relay which is down.
type pollRecorder struct {
	mu sync.Mutex
	// downRelay is the relay that is down.
	downRelay string
	// polled has the times at which polls reached a worker. firstExtension is the time of the
	// first one that extends the worker's leases.
	polled         []time.Time
	firstExtension time.Time
}

var errNoRelay = errors.New("no such relay")

func (pr *pollRecorder) wrap(ag worker.Agent) worker.Agent {
	poll := ag.PollFunc
	ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
		if err := pr.record(ad, po); err != nil {
			return worker.PollResult{}, err
		}
		return poll(ctx, ad, po)
	}
	return ag
}

func (pr *pollRecorder) record(ad worker.Addr, po worker.Poll) error {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if ad.Via != "" && ad.Via == pr.downRelay {
		return fmt.Errorf("%w: %w", worker.ErrNotSent, errNoRelay)
	}
	pr.polled = append(pr.polled, time.Now())
	if pr.firstExtension.IsZero() && po.LeaseUntilMS > 0 {
		pr.firstExtension = time.Now()
	}
	return nil
}

// firstAfter returns the time of the first poll at or after when, or zero.
func (pr *pollRecorder) firstAfter(when time.Time) time.Time {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for _, at := range pr.polled {
		if !at.Before(when) {
			return at
		}
	}
	return time.Time{}
}

// TestPollFollowsANewPath guards against leases that run down although there is a path to the
// worker: its relay is lost, and it is polled on another path only after the pause of a failed
// poll.
func TestPollFollowsANewPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		pr := pollRecorder{downRelay: "r0"}
		la.wrapAgentFunc = pr.wrap
		via := pr.downRelay
		la.via.Store(&via)
		ow, end := la.startOwner()
		defer end()
		// In the middle of the pause between two failed polls.
		time.Sleep(3*time.Second + pollRetry/2)
		other := "r1"
		la.via.Store(&other)
		moved := time.Now()
		ow.Reroute()
		time.Sleep(time.Second)
		qt.Assert(t, pr.firstAfter(moved), qt.Equals, moved)
	})
}

// TestFirstLeaseExtensionIsNotDelayed guards against a second poll that waits until the ends
// listed by the first one are written. A new owner can extend leases only once its first poll
// has read the worker's clock, so all leases of the worker run down meanwhile.
func TestFirstLeaseExtensionIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		ow, end := la.startOwner()
		time.Sleep(time.Second)
		qt.Assert(t, la.submit(ow, 1, batch(1, 4)).Outcome, qt.Equals, Accepted)
		time.Sleep(100 * time.Millisecond)
		end()
		// The tasks end while the cell has no owner.
		time.Sleep(2 * time.Second)
		var pr pollRecorder
		la.wrapAgentFunc = pr.wrap
		began := time.Now()
		ow, end = la.startOwner()
		defer end()
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
		time.Sleep(5 * time.Second)
		qt.Assert(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		qt.Assert(t, pr.firstExtension.Sub(began), qt.Equals, pr.firstAfter(began).Sub(began))
	})
}
