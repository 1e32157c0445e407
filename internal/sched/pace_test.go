package sched

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// pacingFixture is one worker with a service, whose reported tail latency a test sets, and
// with fillers.
type pacingFixture struct {
	t       *testing.T
	wk      *workerState
	service *attempt
	fillers []*attempt
}

// testTargetMS is the latency target of services in tests, in milliseconds.
const testTargetMS = 24

func newPacingFixture(t *testing.T, fillers int) *pacingFixture {
	t.Helper()
	ag := worker.Agent{PaceFunc: func(context.Context, worker.Addr, worker.Pace) (worker.Ack, error) { return worker.Ack{}, nil }}
	ow := New(&Owner{Log: slog.New(slog.DiscardHandler), Agent: ag, Limits: Limits{HarmAfter: harmAfter, PaceTime: 100 * time.Millisecond}})
	ow.ctx = t.Context()
	wk := &workerState{WorkerEntry: WorkerEntry{Capacity: worker.Resources{MilliCores: 32_000, MemMB: 128_000}}, ow: ow, attempts: map[*attempt]bool{}}
	pf := &pacingFixture{t: t, wk: wk}
	pf.service = pf.addAttempt(0, job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 6000}, LongRunning: true, TargetMS: testTargetMS, Image: "s"})
	for i := range fillers {
		pf.fillers = append(pf.fillers, pf.addAttempt(1+i, job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 3200}, Filler: true, Image: "f"}))
	}
	return pf
}

func (pf *pacingFixture) addAttempt(n int, st job.Step) *attempt {
	tj := pf.wk.ow.addJob(job.New(jobID(n), job.Terms{}, job.Spec{Steps: []job.Step{st}}))
	at := &attempt{number: 1, wk: pf.wk, tj: tj, pace: fullPace, placedAt: time.Now(), launchedAt: time.Now()}
	pf.wk.addAttempt(at)
	return at
}

// reportTail has the worker report a tail latency of the service.
func (pf *pacingFixture) reportTail(tailMS int64) {
	time.Sleep(usageWindow)
	pf.service.usage = tailMS
	pf.wk.measure(time.Now(), time.Now())
}

// learnNoInterference has the model learn that the fillers do not affect the service.
func (pf *pacingFixture) learnNoInterference() {
	re := interfere.Replica{Track: &interfere.Track{}}
	for i := range 200 {
		me := interfere.Measurement{At: time.Now().Add(time.Duration(i) * time.Second), TailMS: 20, TargetMS: testTargetMS}
		if i%2 == 0 {
			me.Shares = interfere.Shares{"f": 0.3}
		}
		pf.wk.ow.model.Observe(&re, "s", me)
	}
}

// paces formats the paces of the fillers in per cent.
func (pf *pacingFixture) paces() string {
	text := ""
	for _, at := range pf.fillers {
		text += fmt.Sprint(at.effectivePace(), " ")
	}
	return text
}

func TestFillersAreHeldAndResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pf := newPacingFixture(t, 2)
		pf.reportTail(10)
		qt.Assert(t, pf.paces(), qt.Equals, "100 100 ")
		over := time.Now()
		for pf.paces() == "100 100 " && time.Since(over) < pf.wk.ow.Limits.HarmAfter {
			pf.reportTail(26)
		}
		qt.Assert(t, pf.paces(), qt.Equals, "0 0 ")
		// An order takes 0.1 s, and the tail latency that follows covers half a second.
		qt.Assert(t, time.Since(over) <= pf.wk.ow.Limits.HarmAfter-600*time.Millisecond, qt.IsTrue)
		for range 12 {
			pf.reportTail(8)
		}
		qt.Assert(t, pf.paces(), qt.Equals, "100 100 ")
	})
}

// TestBriefExcessDelaysNoJob guards against whole jobs that end late because one of their fillers
// was slowed beside a service that a wave of its own load brought close to its target.
func TestBriefExcessDelaysNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pf := newPacingFixture(t, 2)
		for range 10 {
			for _, tailMS := range []int64{23, 26, 23, 10, 10, 10} {
				pf.reportTail(tailMS)
				qt.Assert(t, pf.paces(), qt.Equals, "100 100 ")
			}
		}
	})
}

// TestTailsFluctuatingAroundTargetCountAsOver has the reported tail latency of a service
// fluctuate around its target: it counts as over its target throughout, so that the filler is
// held.
func TestTailsFluctuatingAroundTargetCountAsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pf := newPacingFixture(t, 1)
		pf.learnNoInterference()
		for i := range 7 {
			pf.reportTail([]int64{26, 23}[i%2])
		}
		qt.Assert(t, pf.paces(), qt.Equals, "0 ")
	})
}

func TestFillerStartsHeldBesideServiceOverTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pf := newPacingFixture(t, 1)
		for start := time.Now(); time.Since(start) < pf.wk.ow.Limits.HarmAfter; {
			pf.reportTail(90)
		}
		late := pf.addAttempt(9, job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 3200}, Filler: true, Image: "g"})
		late.launchedAt = time.Time{}
		pf.wk.markStarted(late, time.Now())
		qt.Assert(t, late.effectivePace(), qt.Equals, 0)
	})
}

// TestLateFiguresAreNotLearntAsNew guards against usage at an earlier pace that counts as usage at
// full speed because the answer to the poll was late.
func TestLateFiguresAreNotLearntAsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pf := newPacingFixture(t, 1)
		at := pf.fillers[0]
		time.Sleep(time.Minute)
		taken := time.Now()
		pf.wk.setPace(at, 50, taken.Add(-time.Second), "test")
		pf.wk.setPace(at, fullPace, taken, "test")
		time.Sleep(2 * steadyPaceAfter)
		at.usage = at.step().Each.MilliCores / 2
		pf.wk.measure(taken, time.Now())
		qt.Check(t, at.cpuShare, qt.Equals, 0.0)
		pf.wk.measure(time.Now(), time.Now())
		qt.Check(t, at.cpuShare, qt.Equals, 0.5)
	})
}

// TestPaceOrdersAreNotReordered has the first order take long: the next one is sent only after
// its answer, with the pace that is wanted by then.
func TestPaceOrdersAreNotReordered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pf := newPacingFixture(t, 1)
		at := pf.fillers[0]
		var got []int
		pf.wk.ow.Agent.PaceFunc = func(_ context.Context, _ worker.Addr, pa worker.Pace) (worker.Ack, error) {
			if pa.Percent == 70 {
				time.Sleep(100 * time.Millisecond)
			}
			got = append(got, pa.Percent)
			return worker.Ack{}, nil
		}
		for _, percent := range []int{70, 40, 0} {
			pf.wk.setPace(at, percent, time.Now(), "test")
			time.Sleep(10 * time.Millisecond)
		}
		for range 3 {
			time.Sleep(200 * time.Millisecond)
			pf.wk.ow.drainEvents()
		}
		qt.Assert(t, got, qt.DeepEquals, []int{70, 0})
	})
}
