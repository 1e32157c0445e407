package tenure

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

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
				fc := firstClaim{lose: lose, then: func(ri *rival) { ri.keeper.Release() }}
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
