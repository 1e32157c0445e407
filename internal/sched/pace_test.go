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

// shop is one worker with a service and fillers, whose figures a test sets.
type shop struct {
	t       *testing.T
	ho      *workerState
	service *attempt
	fillers []*attempt
}

const testTargetMS = 24

func newShop(t *testing.T, fillers int) *shop {
	t.Helper()
	ag := worker.Agent{PaceFunc: func(context.Context, worker.Addr, worker.Pace) (worker.Ack, error) { return worker.Ack{}, nil }}
	ow := New(&Owner{Log: slog.New(slog.DiscardHandler), Agent: ag, Limits: Limits{HarmAfter: 4 * time.Second}})
	ow.ctx = t.Context()
	ho := &workerState{WorkerEntry: WorkerEntry{Capacity: worker.Resources{MilliCores: 32_000, MemMB: 128_000}}, ow: ow, attempts: map[*attempt]bool{}}
	sh := &shop{t: t, ho: ho}
	sh.service = sh.put(0, job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 6000}, Endless: true, TargetMS: testTargetMS, Image: "s"})
	for i := range fillers {
		sh.fillers = append(sh.fillers, sh.put(1+i, job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 3200}, Filler: true, Image: "f"}))
	}
	return sh
}

func (sh *shop) put(n int, st job.Step) *attempt {
	en := sh.ho.ow.add(job.New(jobID(n), job.Terms{}, job.Spec{Steps: []job.Step{st}}))
	at := &attempt{number: 1, ho: sh.ho, en: en, pace: fullPace, launched: time.Now()}
	sh.ho.addAttempt(at)
	return at
}

// figure has the worker report a tail of the service.
func (sh *shop) figure(tailMS int64) {
	time.Sleep(usageWindow)
	sh.service.usage = tailMS
	sh.ho.measure(time.Now())
}

// learnHarmless has the model learn that the fillers do not disturb.
func (sh *shop) learnHarmless() {
	re := interfere.Replica{Track: &interfere.Track{}}
	for i := range 200 {
		me := interfere.Measurement{At: time.Now().Add(time.Duration(i) * time.Second), TailMS: 20, TargetMS: testTargetMS}
		if i%2 == 0 {
			me.Shares = interfere.Shares{"f": 0.3}
		}
		sh.ho.ow.model.Observe(&re, "s", me)
	}
}

// paces returns the paces of the fillers.
func (sh *shop) paces() string {
	text := ""
	for _, at := range sh.fillers {
		text += fmt.Sprint(at.speed(), " ")
	}
	return text
}

func TestFillersAreSlowedAndSpedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sh := newShop(t, 2)
		sh.figure(10)
		qt.Assert(t, sh.paces(), qt.Equals, "100 100 ")
		sh.figure(26)
		sh.figure(26)
		qt.Assert(t, sh.fillers[0].speed()+sh.fillers[1].speed() < 200, qt.IsTrue)
		for range 12 {
			sh.figure(8)
		}
		qt.Assert(t, sh.paces(), qt.Equals, "100 100 ")
	})
}

// TestFiguresThatWaver has the figures of a service waver about its target;
// they are rough, and it counts as over it all the while.
func TestFiguresThatWaver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sh := newShop(t, 1)
		sh.learnHarmless()
		for i := range 7 {
			sh.figure([]int64{26, 23}[i%2])
		}
		qt.Assert(t, sh.paces(), qt.Equals, "0 ")
	})
}

func TestFillersBesideABadServiceAreHeldFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sh := newShop(t, 1)
		for range 6 {
			sh.figure(90)
		}
		late := sh.put(9, job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 3200}, Filler: true, Image: "g"})
		late.launched = time.Time{}
		sh.ho.markStarted(late, time.Now())
		qt.Assert(t, late.speed(), qt.Equals, 0)
	})
}

// TestOrdersOfOnePaceDoNotPassEachOther has the first order take long: the next
// goes out only after it, with the pace that is wanted by then.
func TestOrdersOfOnePaceDoNotPassEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sh := newShop(t, 1)
		at := sh.fillers[0]
		var got []int
		sh.ho.ow.Agent.PaceFunc = func(_ context.Context, _ worker.Addr, pa worker.Pace) (worker.Ack, error) {
			if pa.Percent == 70 {
				time.Sleep(100 * time.Millisecond)
			}
			got = append(got, pa.Percent)
			return worker.Ack{}, nil
		}
		for _, percent := range []int{70, 40, 0} {
			sh.ho.pace(at, percent, time.Now(), "test")
			time.Sleep(10 * time.Millisecond)
		}
		for range 3 {
			time.Sleep(200 * time.Millisecond)
			sh.ho.ow.drain()
		}
		qt.Assert(t, got, qt.DeepEquals, []int{70, 0})
	})
}
