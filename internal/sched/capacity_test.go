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

// reportDelay is how long after a worker reported less capacity a start may still be based on
// its earlier report. It is shorter than what users allow: 4 s and a heartbeat.
const reportDelay = time.Second

// capacityLab is a lab whose workers report changing capacities, and accept whatever they are
// ordered to run.
type capacityLab struct {
	*lab

	ow  *Owner
	end func()
	// pathDelay is how long an order may take to a worker.
	pathDelay time.Duration
	// reported has the capacities that each worker reported, in order.
	reported map[worker.Incarnation][]capacityReport
}

type capacityReport struct {
	at       time.Time
	capacity worker.Resources
}

func newCapacityLab(t *testing.T, workers int) *capacityLab {
	t.Helper()
	return newWrappedCapacityLab(t, workers, nil, nil)
}

// newWrappedCapacityLab is newCapacityLab with values of wrapAgentFunc and wrapOwnerFunc.
func newWrappedCapacityLab(t *testing.T, workers int, wrap, wrapOwner func(worker.Agent) worker.Agent) *capacityLab {
	t.Helper()
	ca := &capacityLab{lab: newLab(t, workers), reported: map[worker.Incarnation][]capacityReport{}}
	ca.wrapAgentFunc, ca.wrapOwnerFunc = wrap, wrapOwner
	for _, fw := range ca.fleetWorkers {
		ca.record(fw, fw.Capacity)
		fw.Capacity = worker.Resources{MilliCores: 1 << 40, MemMB: 1 << 40}
	}
	ca.replaceOwner()
	return ca
}

// replaceOwner starts an owner and stops the one before.
func (ca *capacityLab) replaceOwner() {
	if ca.end != nil {
		ca.end()
	}
	ow, loaded, end := ca.startLoading()
	qt.Assert(ca.t, <-loaded, qt.IsNil)
	ca.ow, ca.end = ow, end
	ca.sendReports()
}

// record records that a worker reports a capacity from now on.
func (ca *capacityLab) record(fw *standin.FleetWorker, capacity worker.Resources) {
	id := fw.Addr.Incarnation
	ca.reported[id] = append(ca.reported[id], capacityReport{at: time.Now(), capacity: capacity})
}

// report has a worker report a capacity of the given number of cores.
func (ca *capacityLab) report(fw *standin.FleetWorker, cores int64) {
	ca.record(fw, worker.Resources{MilliCores: cores * 1000, MemMB: 128_000})
	ca.sendReports()
}

// sendReports passes the last report of each worker to the owner.
func (ca *capacityLab) sendReports() {
	list := ca.workerEntries()
	for i := range list {
		reports := ca.reported[list[i].Incarnation]
		list[i].Capacity = reports[len(reports)-1].capacity
	}
	ca.ow.SetWorkers(list, nil, true)
}

// maxReported returns the largest CPU capacity, in thousandths of a core, that a worker may
// be taken to have at the given time.
func (ca *capacityLab) maxReported(id worker.Incarnation, at time.Time) int64 {
	var highest int64
	reports := ca.reported[id]
	for i, rep := range reports {
		outdated := i+1 < len(reports) && reports[i+1].at.Before(at.Add(-reportDelay-ca.pathDelay))
		if !rep.at.After(at) && !outdated {
			highest = max(highest, rep.capacity.MilliCores)
		}
	}
	return highest
}

// overcommitted lists the starts that exceeded the reported capacity of their worker.
func (ca *capacityLab) overcommitted() []string {
	var list []string
	runs := ca.fleet.Runs()
	for _, ru := range runs {
		var sum int64
		for _, other := range runs {
			running := other.Worker == ru.Worker && !other.From.After(ru.From) && (other.Until.IsZero() || other.Until.After(ru.From))
			if running {
				sum += ca.fleet.ResourcesFunc(other.Attempt).MilliCores
			}
		}
		if sum > ca.maxReported(ru.Worker, ru.From) {
			list = append(list, ru.Task+" at "+ru.Worker.String())
		}
	}
	return list
}

// TestCapacityIsWhatWorkerReports has a worker report less capacity while tasks run there,
// and more again: no start may exceed the reported capacity, and regained capacity is used at
// once, also after a takeover.
func TestCapacityIsWhatWorkerReports(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ca := newCapacityLab(t, 1)
			defer func() { ca.end() }()
			ca.fleet.RunFunc = runUntilStopped
			time.Sleep(time.Second)
			ca.submit(ca.ow, 1, longRunning(12))
			time.Sleep(time.Second)
			ca.report(ca.fleetWorkers[0], 16)
			time.Sleep(time.Second)
			if takeover {
				ca.replaceOwner()
				time.Sleep(time.Second)
			}
			ca.submit(ca.ow, 2, longRunning(4))
			time.Sleep(5 * time.Second)
			ca.assertRunning(12)
			ca.report(ca.fleetWorkers[0], 32)
			time.Sleep(500 * time.Millisecond)
			ca.assertRunning(16)
			qt.Check(t, ca.overcommitted(), qt.HasLen, 0)
		})
	}
}

// TestNoStartExceedsReportedCapacity runs random sequences of changes of the reported
// capacities, jobs and takeovers, and checks that no start exceeds the reported capacity.
func TestNoStartExceedsReportedCapacity(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: capacityScripts}, func(rt *rapid.T) {
		proptest.InBubble(t, func() {
			ca := newCapacityLab(t, 4)
			defer func() { ca.end() }()
			time.Sleep(time.Second)
			jobs := 0
			for range rapid.IntRange(5, 40).Draw(rt, "actions") {
				switch rapid.SampledFrom([]string{"job", "job", "job", "report", "report", "owner"}).Draw(rt, "action") {
				case "job":
					jobs++
					ca.submit(ca.ow, jobs, batch(1, rapid.IntRange(1, 30).Draw(rt, "tasks")))
				case "report":
					fw := ca.fleetWorkers[rapid.IntRange(0, len(ca.fleetWorkers)-1).Draw(rt, "worker")]
					ca.report(fw, int64(rapid.IntRange(0, 40).Draw(rt, "cores")))
				case "owner":
					ca.replaceOwner()
				}
				time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			for _, over := range ca.overcommitted() {
				rt.Errorf("started over the capacity of its worker: %s", over)
			}
			for _, problem := range ca.runProblems() {
				rt.Error(problem)
			}
		})
	})
}

// capacityScripts is the number of random sequences; PEPPERHATCH_SEED selects others.
const capacityScripts = 60
