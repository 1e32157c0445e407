package overtarget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTracker(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	type figure struct {
		at, part float64
	}
	for _, tc := range []struct {
		name    string
		figures []figure
		below   float64
		over    bool
	}{
		{"below", []figure{{1, 0.5}, {2, 0.8}}, 1.5, false},
		{"a figure near the target does not show that it is below", []figure{{1, 0.5}, {2, 0.87}}, 0.5, false},
		{"counts from before figures near the target", []figure{{1, 0.5}, {2, 0.87}, {3, 1.2}}, 0.5, true},
		{"counts from the last figure below", []figure{{1, 0.5}, {2, 1.2}, {3, 1.2}}, 0.5, true},
		{"one low figure does not end it", []figure{{1, 0.5}, {2, 1.2}, {4, 0.5}}, 0.5, true},
		{"two low figures in quick succession do not end it", []figure{{1, 0.5}, {2, 1.2}, {2.4, 0.5}, {2.8, 0.5}}, 0.5, true},
		{"two low figures end it", []figure{{1, 0.5}, {2, 1.2}, {2.6, 0.5}, {3.2, 0.5}}, 2.7, false},
		{"one figure near the target does not end it", []figure{{1, 0.5}, {2, 1.2}, {2.6, 0.87}, {3.2, 1.0}, {3.8, 0.87}}, 0.5, true},
		{"two figures near the target end it", []figure{{1, 0.5}, {2, 1.2}, {2.6, 0.87}, {3.2, 0.87}}, 2.7, false},
		{"figures out of order", []figure{{1, 0.5}, {2, 0.5}, {1.5, 0.5}}, 1.5, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tr Tracker
			for _, fi := range tc.figures {
				tr.RecordFigure(at(fi.at), fi.part)
			}
			qt.Check(t, tr.Below().Sub(start).Round(time.Millisecond).Seconds(), qt.Equals, tc.below)
			qt.Check(t, tr.Over(), qt.Equals, tc.over)
		})
	}
	t.Run("a service that does not serve is below its target", func(t *testing.T) {
		var tr Tracker
		tr.RecordFigure(at(1), 1.2)
		qt.Check(t, tr.Below().IsZero() && tr.Over(), qt.IsTrue)
		tr.RecordBelow(at(2))
		qt.Check(t, tr.Below(), qt.Equals, at(2))
		qt.Check(t, tr.Over(), qt.IsFalse)
	})
}
