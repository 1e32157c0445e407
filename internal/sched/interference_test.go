package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
)

// TestNextOwnerLoadsInterference has one owner learn about a pair of images and checks what
// the next owner knows about it.
func TestNextOwnerLoadsInterference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		ow, end := la.startOwner()
		pair := interfere.Pair{Service: "s", Filler: "f"}
		_, err := call(t.Context(), ow, func(answer func(struct{})) {
			ow.model = interfere.Restore([]interfere.PairEstimate{{Pair: pair, Drop: 9}})
			answer(struct{}{})
		})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(saveInterval + time.Second)
		end()
		next, end := la.startOwner()
		defer end()
		drop, err := call(t.Context(), next, func(answer func(float64)) { answer(next.model.Drop(pair)) })
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, drop, qt.Equals, 9.0)
	})
}
