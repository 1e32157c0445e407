package tenure

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// errLost is the error of a write whose answer is lost.
var errLost = errors.New("answer lost")

// isClaim reports whether a write is of the owner's row.
func isClaim(txn store.Txn) bool {
	return len(txn.Puts) == 1 && strings.HasSuffix(txn.Puts[0].Key, "/owner")
}

// TestStopDuringClaimReleasesCell guards against a rolling stop that leaves the cell
// without an owner for 2.8 s instead of 0.1 s.
//
// A host sends a claim and the store carries it out, but the host is ordered to stop before
// it has the answer. It neither served nor released the cell, and the other hosts waited
// for its heartbeat timeout. If both the answer and the read of the row were lost, the host
// did not notice that its claim took effect, even without a stop.
//
// One second after the claim another host must own the cell.
func TestStopDuringClaimReleasesCell(t *testing.T) {
	for name, lose := range map[string]bool{"answered": false, "answer and row lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := &cluster{t: t}
				defer cl.stop()
				cf := claimFault{loseAnswer: lose, onClaim: func(ho *clusterHost) { ho.keeper.Release(time.Second) }}
				cl.committedFunc, cl.readFunc = cf.committed, cf.read
				cl.add("e0")
				cl.add("e1")
				time.Sleep(1200 * time.Millisecond)
				qt.Assert(t, cl.owner(), qt.Not(qt.Equals), cf.claimant)
			})
		})
	}
}

// TestClaimWithLostAnswerIsServed loses the answer of a claim and the read that follows
// it. The claim is served once the row is seen.
func TestClaimWithLostAnswerIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{t: t}
		defer cl.stop()
		cf := claimFault{loseAnswer: true, onClaim: func(*clusterHost) {}}
		cl.committedFunc, cl.readFunc = cf.committed, cf.read
		cl.add("e0")
		cl.add("e1")
		time.Sleep(1200 * time.Millisecond)
		qt.Assert(t, cl.owner(), qt.Equals, cf.claimant)
		qt.Assert(t, cl.tenures(), qt.DeepEquals, []int64{1})
	})
}

// claimFault injects faults into the first claim that takes effect.
type claimFault struct {
	// loseAnswer loses the answer of the claim and that of the next read. onClaim is called
	// before that.
	loseAnswer bool
	onClaim    func(ho *clusterHost)

	mu sync.Mutex
	// claimant is the host whose claim it is; readsToLose counts reads still to be lost.
	claimant    *clusterHost
	readsToLose int
}

func (cf *claimFault) committed(ho *clusterHost, txn store.Txn) error {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.claimant != nil || !isClaim(txn) {
		return nil
	}
	cf.claimant = ho
	cf.onClaim(ho)
	if !cf.loseAnswer {
		return nil
	}
	cf.readsToLose = 1
	return errLost
}

func (cf *claimFault) read(ho *clusterHost) error {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if ho != cf.claimant || cf.readsToLose == 0 {
		return nil
	}
	cf.readsToLose--
	return errLost
}

// release has a host release its cell, with the given time for its stop.
func release(ho *clusterHost, within time.Duration) { ho.keeper.Release(within) }

// stopsWithin reports whether the host's keeper has stopped after d.
func (ho *clusterHost) stopsWithin(d time.Duration) bool {
	time.Sleep(d)
	synctest.Wait()
	select {
	case <-ho.stopped:
		return true
	default:
		return false
	}
}

// TestReleaseEndsAtStopDeadline guards against a planned stop that ends with the host
// killed while callers are connected.
//
// The store does not answer and the host has 1 s to stop. It tried for 2.8 s to release its
// cell, whether the release began with the stop or earlier with the end of its tenure. The
// host must have stopped within 1 s.
func TestReleaseEndsAtStopDeadline(t *testing.T) {
	for name, before := range map[string]bool{"release begins with the stop": false, "release in progress": true} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, func(cl *cluster) {
				first := cl.owner()
				first.gate.Set(standin.Fault{Mode: standin.ModeFreeze})
				if before {
					first.endTenure(errors.New("write of another owner"))
					time.Sleep(100 * time.Millisecond)
				}
				release(first, time.Second)
				time.Sleep(500 * time.Millisecond)
				first.end()
				qt.Assert(cl.t, first.stopsWithin(510*time.Millisecond), qt.IsTrue)
			})
		})
	}
}

// TestReleaseRetriesUntilStopDeadline guards against a cell without an owner for another
// 2.8 s after an outage of the store during a rolling stop.
//
// The store is unavailable for 5 s as the owner is ordered to stop within 10 s. The owner
// gave up releasing the cell after 2.8 s, and when the store was back the other hosts
// waited for the heartbeat timeout. One second after the store is back another host must
// own the cell.
func TestReleaseRetriesUntilStopDeadline(t *testing.T) {
	for name, before := range map[string]bool{"release begins with the stop": false, "release in progress": true} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 3, func(cl *cluster) {
				first := cl.owner()
				cl.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
				if before {
					first.endTenure(errors.New("write of another owner"))
					time.Sleep(2 * time.Second)
				}
				release(first, 10*time.Second)
				time.Sleep(5 * time.Second)
				cl.table.Faults.Set(standin.Fault{})
				time.Sleep(time.Second)
				qt.Assert(cl.t, cl.owner(), qt.Not(qt.Equals), first)
			})
		})
	}
}

// TestHostReplacedBeforeServingDoesNotServe: a host's claim is answered late. Another host
// has seen the row without a heartbeat, owns the cell by then, and has notified the first
// one, whose answer implies that its tenure has ended. The first host must not serve, since
// it could extend leases for seconds.
func TestHostReplacedBeforeServingDoesNotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{t: t}
		defer cl.stop()
		cf := claimFault{onClaim: func(ho *clusterHost) { ho.keeper.NotifyReplaced(2) }}
		cl.committedFunc = cf.committed
		cl.add("e0")
		time.Sleep(2 * time.Second)
		qt.Assert(t, cl.tenures(), qt.HasLen, 0)
	})
}

// TestHeartbeatWrittenIndependentOfReads has the store answer reads and refuse writes.
// HeartbeatWritten must not advance then, although Confirmed does.
func TestHeartbeatWrittenIndependentOfReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := make(chan Tenure, 1)
		var lost atomic.Bool
		cl := &cluster{t: t}
		defer cl.stop()
		cl.serveFunc = func(ctx context.Context, te Tenure) (map[string]int64, error) {
			began <- te
			<-ctx.Done()
			return nil, nil
		}
		cl.committedFunc = func(*clusterHost, store.Txn) error {
			if lost.Load() {
				return errLost
			}
			return nil
		}
		cl.add("e0")
		te := <-began
		time.Sleep(2 * time.Second)
		lost.Store(true)
		since := time.Now()
		time.Sleep(3 * time.Second)
		qt.Assert(t, te.Confirmed().After(since), qt.IsTrue)
		qt.Assert(t, te.HeartbeatWritten().After(since), qt.IsFalse)
	})
}
