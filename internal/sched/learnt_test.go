package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
)

// TestNextOwnerKnowsWhatWasLearnt has one owner learn of a pair and the next ask.
func TestNextOwnerKnowsWhatWasLearnt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		ow, end := la.startOwner()
		pair := interfere.Pair{Service: "s", Filler: "f"}
		_, err := ask(t.Context(), ow, func(answer func(struct{})) {
			ow.model = interfere.FromLearnt([]interfere.Learnt{{Pair: pair, Drop: 9}})
			answer(struct{}{})
		})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(saveEvery + time.Second)
		end()
		next, end := la.startOwner()
		defer end()
		drop, err := ask(t.Context(), next, func(answer func(float64)) { answer(next.model.Drop(pair)) })
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, drop, qt.Equals, 9.0)
	})
}
