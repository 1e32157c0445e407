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

// TestStopInTheMidstOfAClaim is the story of a cell whose owner has gone before it began.
//
// What users see: a rolling stop costs 2.8 s without an owner, now and then, instead of
// 0.1 s. Order of events: a host sends a claim, the store carries it out, and before
// the host has the answer it is told to stop. It does not serve the cell, as it stops,
// nor release it; the row names it, and the others wait for its silence. It is worse
// if the answer is lost and so is the question what the row says: then nobody looks
// at the claim any more, also without a stop.
//
// Evidence: one second after the claim nobody owns the cell below.
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

// TestClaimWithoutAnAnswer loses the answer of a claim, and the row that is read for
// it: the claim is served once the row is seen.
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

// firstClaim is what happens to the first claim that takes effect.
type claimFault struct {
	// lose has its answer be lost, and that of the next read; then is called before.
	loseAnswer bool
	onClaim    func(ho *clusterHost)

	mu sync.Mutex
	// by is the host whose claim it is; reads counts reads to be lost.
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

// release has a host give its cell up, with so much time to stop.
func release(ho *clusterHost, within time.Duration) { ho.keeper.Release(within) }

// goneWithin reports whether the host takes part no longer after d.
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

// TestReleaseEndsWithTheTimeToStop is the story of a planned stop that ends by force.
//
// What users see: a host that is stopped while the store does not answer is killed at
// the end of its time to stop, with callers on its connections. Order of events: the
// store stands still, the host has 1 s to stop, and tries for 2.8 s to give its cell
// up, whether it began with that at the stop or before it, as its tenure had ended.
//
// Evidence: 1 s after the stop the host below still takes part.
func TestReleaseEndsAtStopDeadline(t *testing.T) {
	for name, before := range map[string]bool{"release begins with the stop": false, "release under way": true} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, func(cl *cluster) {
				first := cl.owner()
				first.gate.Set(standin.Fault{Mode: standin.ModeFreeze})
				if before {
					first.endTenure(errors.New("a write of another"))
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

// TestReleaseGoesOnWhileThereIsTime is the story of a host that gives up giving up.
//
// What users see: after an outage of the store during a rolling stop, nobody owns the
// cell for another 2.8 s. Order of events: the store is away for 5 s as the owner is
// told to stop, with 10 s for it; after 2.8 s it tries no more to release the cell, and
// when the store is back the others wait for its silence.
//
// Evidence: 1 s after the store is back nobody owns the cell below.
func TestReleaseRetriesUntilStopDeadline(t *testing.T) {
	for name, before := range map[string]bool{"release begins with the stop": false, "release under way": true} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 3, func(cl *cluster) {
				first := cl.owner()
				cl.table.Gate.Set(standin.Fault{Mode: standin.ModeDown})
				if before {
					first.endTenure(errors.New("a write of another"))
					time.Sleep(2 * time.Second)
				}
				release(first, 10*time.Second)
				time.Sleep(5 * time.Second)
				cl.table.Gate.Set(standin.Fault{})
				time.Sleep(time.Second)
				qt.Assert(cl.t, cl.owner(), qt.Not(qt.Equals), first)
			})
		})
	}
}

// TestReplacedBeforeItBegan: a host's claim is answered late; another host, which saw the
// row and then silence, owns the cell by then and has told this one, whose answer counts
// for its end. It began all the same, and could extend leases for seconds.
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

// TestWritten: the store answers reads and takes no writes. What tells of the one does not
// tell of the other.
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
