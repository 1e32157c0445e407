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
func TestStopInTheMidstOfAClaim(t *testing.T) {
	for name, lose := range map[string]bool{"answered": false, "answer and row lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ra := &race{t: t}
				defer ra.stop()
				fc := firstClaim{lose: lose, then: func(ri *rival) { ri.keeper.Release(time.Second) }}
				ra.committed, ra.unread = fc.committed, fc.unread
				ra.add("e0")
				ra.add("e1")
				time.Sleep(1200 * time.Millisecond)
				qt.Assert(t, ra.owner(), qt.Not(qt.Equals), fc.by)
			})
		})
	}
}

// TestClaimWithoutAnAnswer loses the answer of a claim, and the row that is read for
// it: the claim is served once the row is seen.
func TestClaimWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := &race{t: t}
		defer ra.stop()
		fc := firstClaim{lose: true, then: func(*rival) {}}
		ra.committed, ra.unread = fc.committed, fc.unread
		ra.add("e0")
		ra.add("e1")
		time.Sleep(1200 * time.Millisecond)
		qt.Assert(t, ra.owner(), qt.Equals, fc.by)
		qt.Assert(t, ra.tenures(), qt.DeepEquals, []int64{1})
	})
}

// firstClaim is what happens to the first claim that takes effect.
type firstClaim struct {
	// lose has its answer be lost, and that of the next read; then is called before.
	lose bool
	then func(ri *rival)

	mu sync.Mutex
	// by is the host whose claim it is; reads counts reads to be lost.
	by    *rival
	reads int
}

func (fc *firstClaim) committed(ri *rival, txn store.Txn) error {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if fc.by != nil || !isClaim(txn) {
		return nil
	}
	fc.by = ri
	fc.then(ri)
	if !fc.lose {
		return nil
	}
	fc.reads = 1
	return errLost
}

func (fc *firstClaim) unread(ri *rival) error {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if ri != fc.by || fc.reads == 0 {
		return nil
	}
	fc.reads--
	return errLost
}

// release has a host give its cell up, with so much time to stop.
func release(ri *rival, within time.Duration) { ri.keeper.Release(within) }

// goneWithin reports whether the host takes part no longer after d.
func (ri *rival) goneWithin(d time.Duration) bool {
	time.Sleep(d)
	synctest.Wait()
	select {
	case <-ri.gone:
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
func TestReleaseEndsWithTheTimeToStop(t *testing.T) {
	for name, before := range map[string]bool{"release begins with the stop": false, "release under way": true} {
		t.Run(name, func(t *testing.T) {
			raceOf(t, 1, func(ra *race) {
				first := ra.owner()
				first.gate.Set(standin.Fault{Mode: standin.ModeFreeze})
				if before {
					first.renounce(errors.New("a write of another"))
					time.Sleep(100 * time.Millisecond)
				}
				release(first, time.Second)
				time.Sleep(500 * time.Millisecond)
				first.end()
				qt.Assert(ra.t, first.goneWithin(510*time.Millisecond), qt.IsTrue)
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
func TestReleaseGoesOnWhileThereIsTime(t *testing.T) {
	for name, before := range map[string]bool{"release begins with the stop": false, "release under way": true} {
		t.Run(name, func(t *testing.T) {
			raceOf(t, 3, func(ra *race) {
				first := ra.owner()
				ra.table.Gate.Set(standin.Fault{Mode: standin.ModeDown})
				if before {
					first.renounce(errors.New("a write of another"))
					time.Sleep(2 * time.Second)
				}
				release(first, 10*time.Second)
				time.Sleep(5 * time.Second)
				ra.table.Gate.Set(standin.Fault{})
				time.Sleep(time.Second)
				qt.Assert(ra.t, ra.owner(), qt.Not(qt.Equals), first)
			})
		})
	}
}

// TestReplacedBeforeItBegan: a host's claim is answered late; another host, which saw the
// row and then silence, owns the cell by then and has told this one, whose answer counts
// for its end. It began all the same, and could extend leases for seconds.
func TestReplacedBeforeItBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := &race{t: t}
		defer ra.stop()
		fc := firstClaim{then: func(ri *rival) { ri.keeper.NotifyReplaced(2) }}
		ra.committed = fc.committed
		ra.add("e0")
		time.Sleep(2 * time.Second)
		qt.Assert(t, ra.tenures(), qt.HasLen, 0)
	})
}

// TestWritten: the store answers reads and takes no writes. What tells of the one does not
// tell of the other.
func TestWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := make(chan Tenure, 1)
		var lost atomic.Bool
		ra := &race{t: t}
		defer ra.stop()
		ra.serveFunc = func(ctx context.Context, te Tenure) (map[string]int64, error) {
			began <- te
			<-ctx.Done()
			return nil, nil
		}
		ra.committed = func(*rival, store.Txn) error {
			if lost.Load() {
				return errLost
			}
			return nil
		}
		ra.add("e0")
		te := <-began
		time.Sleep(2 * time.Second)
		lost.Store(true)
		since := time.Now()
		time.Sleep(3 * time.Second)
		qt.Assert(t, te.Confirmed().After(since), qt.IsTrue)
		qt.Assert(t, te.HeartbeatWritten().After(since), qt.IsFalse)
	})
}
