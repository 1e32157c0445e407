package worker

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
)

func TestIncarnationAsText(t *testing.T) {
	proptest.Check(t, proptest.Size{}, func(rt *rapid.T) {
		in := Incarnation{
			ID:        rapid.StringMatching(`[a-z0-9@-]{0,12}`).Draw(rt, "id"),
			StartedMS: rapid.SampledFrom([]int64{0, 1, 1787123510123, 1 << 53}).Draw(rt, "born"),
		}
		data, err := json.Marshal(map[Incarnation]Incarnation{in: in})
		qt.Assert(t, err, qt.IsNil)
		var back map[Incarnation]Incarnation
		qt.Assert(t, json.Unmarshal(data, &back), qt.IsNil)
		qt.Assert(t, back, qt.DeepEquals, map[Incarnation]Incarnation{in: in})
	})
	var in Incarnation
	qt.Check(t, in.UnmarshalText([]byte("i-1")), qt.IsNil)
	qt.Check(t, in, qt.Equals, Incarnation{ID: "i-1"})
	qt.Check(t, in.UnmarshalText([]byte("i-1@?")), qt.ErrorMatches, `start time of worker "i-1@\?": .*`)
}

func TestIsOtherIncarnation(t *testing.T) {
	one := Incarnation{ID: "i-1", StartedMS: 5}
	qt.Check(t, one.IsOtherIncarnation(Incarnation{ID: "i-1", StartedMS: 4}), qt.IsTrue)
	qt.Check(t, one.IsOtherIncarnation(one), qt.IsFalse)
	qt.Check(t, one.IsOtherIncarnation(Incarnation{ID: "i-1"}), qt.IsFalse)
	qt.Check(t, one.IsOtherIncarnation(Incarnation{ID: "i-2", StartedMS: 4}), qt.IsFalse)
	qt.Check(t, CheckIncarnation(one, 0), qt.IsNil)
	qt.Check(t, CheckIncarnation(one, 5), qt.IsNil)
	qt.Check(t, CheckIncarnation(one, 6), qt.ErrorMatches, "request for worker i-1@5 was answered by i-1@6")
}
