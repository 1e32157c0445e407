package nofit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

func step(cores int64) *job.Step {
	return &job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 1000 * cores}}
}

// TestHas guards against tasks that wait because a task that needs less, or something else, fits
// nowhere.
func TestHas(t *testing.T) {
	filler, spread, labelled := step(4), step(4), step(4)
	filler.Filler, spread.MaxPerWorker, labelled.Label = true, 1, "special"
	base := Shape{Step: step(4), Service: "a"}
	for _, tc := range []struct {
		name         string
		known, other Shape
		want         bool
	}{
		{"same", base, base, true},
		{"needs more", base, Shape{Step: step(5), Service: "a"}, true},
		{"needs less", base, Shape{Step: step(3), Service: "a"}, false},
		{"another service", base, Shape{Step: step(4), Service: "b"}, false},
		{"another service, no capacity", Shape{Step: step(4), Service: "a", LacksCapacity: true}, Shape{Step: step(4), Service: "b"}, true},
		{"less capacity, no capacity", Shape{Step: step(4), Service: "a", LacksCapacity: true}, Shape{Step: step(3), Service: "a"}, false},
		{"filler", base, Shape{Step: filler, Service: "a"}, false},
		{"spread", Shape{Step: spread, Service: "a"}, base, false},
		{"label", Shape{Step: labelled, Service: "a"}, base, false},
		{"may use earmarked capacity", base, Shape{Step: step(4), Service: "a", Interrupted: true}, false},
		{"may use reserved capacity", Shape{Step: step(4), Service: "a", RespectsReservations: true}, base, false},
		{"must leave reserved capacity", base, Shape{Step: step(4), Service: "a", RespectsReservations: true}, true},
		{"may use headroom", Shape{Step: step(4), Service: "a", Headroom: 1000}, base, false},
		{"must leave more headroom", Shape{Step: step(4), Service: "a", Headroom: 1000}, Shape{Step: step(4), Service: "a", Headroom: 2000}, true},
		{"less selective filler", Shape{Step: filler, Service: "a", Selective: true}, Shape{Step: filler, Service: "a"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ca Cache
			ca.Add(tc.known)
			qt.Assert(t, ca.Has(tc.other), qt.Equals, tc.want)
		})
	}
}

// TestExpiry guards against results that are used after the capacity may have changed.
func TestExpiry(t *testing.T) {
	filler := step(4)
	filler.Filler = true
	now, task, fill := time.Unix(1_000_000, 0), Shape{Step: step(4)}, Shape{Step: filler}
	var ca Cache
	ca.StartRound(now, 10)
	ca.Add(task)
	ca.Add(fill)
	ca.StartRound(now.Add(10*ttlPerWorker-1), 10)
	qt.Check(t, []bool{ca.Has(task), ca.Has(fill)}, qt.DeepEquals, []bool{false, true})
	ca.StartRound(now.Add(10*ttlPerWorker), 10)
	qt.Check(t, ca.Has(fill), qt.IsFalse)
}
