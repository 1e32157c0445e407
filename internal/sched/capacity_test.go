package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// newsTime is how long after its worker said that it has less room a start may still go by
// what it said before: users allow 4 s and a heartbeat.
const newsTime = time.Second

// capacities is a lab whose workers say at times that they have less room, or more, and
// take whatever they are given.
type capacities struct {
	*lab

	ow  *Owner
	end func()
	// said has what each worker said of itself, in order.
	said map[worker.Incarnation][]saying
}

type saying struct {
	at    time.Time
	holds worker.Resources
}

func newCapacities(t *testing.T, workers int) *capacities {
	t.Helper()
	ca := &capacities{lab: newLab(t, workers), said: map[worker.Incarnation][]saying{}}
	for _, fw := range ca.crew {
		ca.note(fw, fw.Holds)
		fw.Holds = worker.Resources{MilliCores: 1 << 40, MemMB: 1 << 40}
	}
	ca.own()
	return ca
}

// own starts an owner; the one before ends.
func (ca *capacities) own() {
	if ca.end != nil {
		ca.end()
	}
	ow, loaded, end := ca.begin()
	qt.Assert(ca.t, <-loaded, qt.IsNil)
	ca.ow, ca.end = ow, end
	ca.tell()
}

func (ca *capacities) note(fw *standin.FleetWorker, holds worker.Resources) {
	id := fw.Addr.Incarnation
	ca.said[id] = append(ca.said[id], saying{at: time.Now(), holds: holds})
}

// say has a worker say what it holds.
func (ca *capacities) say(fw *standin.FleetWorker, cores int64) {
	ca.note(fw, worker.Resources{MilliCores: cores * 1000, MemMB: 128_000})
	ca.tell()
}

func (ca *capacities) tell() {
	list := ca.listed()
	for i := range list {
		said := ca.said[list[i].Incarnation]
		list[i].Capacity = said[len(said)-1].holds
	}
	ca.ow.SetWorkers(list, nil, true)
}

// mostSaid is the most processor that a worker may be taken to have at a moment.
func (ca *capacities) mostSaid(id worker.Incarnation, at time.Time) int64 {
	var most int64
	said := ca.said[id]
	for i, sa := range said {
		over := i+1 < len(said) && said[i+1].at.Before(at.Add(-newsTime))
		if !sa.at.After(at) && !over {
			most = max(most, sa.holds.MilliCores)
		}
	}
	return most
}

// overfilled lists the starts that brought a worker over what it had said that it holds.
func (ca *capacities) overfilled() []string {
	var list []string
	runs := ca.fleet.Runs()
	for _, ru := range runs {
		var sum int64
		for _, other := range runs {
			beside := other.Worker == ru.Worker && !other.From.After(ru.From) && (other.Until.IsZero() || other.Until.After(ru.From))
			if beside {
				sum += ca.fleet.RoomFunc(other.Attempt).MilliCores
			}
		}
		if sum > ca.mostSaid(ru.Worker, ru.From) {
			list = append(list, ru.Task+" at "+ru.Worker.String())
		}
	}
	return list
}

// TestRoomIsWhatAWorkerSays has a worker say that it has less room while tasks run there,
// and more again: nothing starts that would go over what it says, and what it has again is
// used at once, also after a takeover.
func TestRoomIsWhatAWorkerSays(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ca := newCapacities(t, 1)
			defer func() { ca.end() }()
			ca.fleet.RunFunc = runUntilStopped
			time.Sleep(time.Second)
			ca.submit(ca.ow, 1, longRunning(12))
			time.Sleep(time.Second)
			ca.say(ca.crew[0], 16)
			time.Sleep(time.Second)
			if takeover {
				ca.own()
				time.Sleep(time.Second)
			}
			ca.submit(ca.ow, 2, longRunning(4))
			time.Sleep(5 * time.Second)
			ca.assertRunning(12)
			ca.say(ca.crew[0], 32)
			time.Sleep(500 * time.Millisecond)
			ca.assertRunning(16)
			qt.Check(t, ca.overfilled(), qt.HasLen, 0)
		})
	}
}

// TestNoStartGoesOverWhatAWorkerSays plays random changes of what workers say that they
// hold, with jobs and takeovers.
func TestNoStartGoesOverWhatAWorkerSays(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: capacityScripts}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			ca := newCapacities(t, 4)
			defer func() { ca.end() }()
			time.Sleep(time.Second)
			jobs := 0
			for range rapid.IntRange(5, 40).Draw(rt, "acts") {
				switch rapid.SampledFrom([]string{"job", "job", "job", "say", "say", "owner"}).Draw(rt, "act") {
				case "job":
					jobs++
					ca.submit(ca.ow, jobs, batch(1, rapid.IntRange(1, 30).Draw(rt, "tasks")))
				case "say":
					fw := ca.crew[rapid.IntRange(0, len(ca.crew)-1).Draw(rt, "worker")]
					ca.say(fw, int64(rapid.IntRange(0, 40).Draw(rt, "cores")))
				case "owner":
					ca.own()
				}
				time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			for _, over := range ca.overfilled() {
				rt.Errorf("started over what its worker holds: %s", over)
			}
			for _, problem := range ca.problems() {
				rt.Error(problem)
			}
		})
	})
}

// capacityScripts is the number of scripts; PEPPERHATCH_SEED plays others.
const capacityScripts = 60
