package relay

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// deferred starts a launch behind the attempt of task a, and returns the channel that receives its answer.
func (nt *network) deferred(ad worker.Addr, task string) <-chan deferredAnswer {
	done := make(chan deferredAnswer, 1)
	go func() {
		ctx, cancel := testContext()
		defer cancel()
		one := worker.Resources{MilliCores: 1}
		ack, err := nt.pool.Agent().LaunchFunc(ctx, ad, worker.Launch{
			Attempt: worker.Attempt{Task: task, Number: 1}, Fence: 7, LeaseUntilMS: 1 << 40,
			Deferral: &worker.Deferral{
				Need: one, Running: []worker.Usage{{Attempt: worker.Attempt{Task: "a", Number: 1}, Resources: one}},
				Wait: time.Second, Timeout: defaultOrderTimeout,
			},
		})
		done <- deferredAnswer{ack, err}
	}()
	return done
}

type deferredAnswer struct {
	ack worker.Ack
	err error
}

func (nt *network) halt(ad worker.Addr, task string) {
	nt.t.Helper()
	ctx, cancel := testContext()
	defer cancel()
	_, err := nt.pool.Agent().HaltFunc(ctx, ad, worker.Halt{Attempt: worker.Attempt{Task: task, Number: 1}, Fence: 7})
	qt.Assert(nt.t, err, qt.IsNil)
}

// started reports whether a task was started.
func (nt *network) started(task string) bool {
	for _, ru := range nt.fleet.Runs() {
		if ru.Task == task {
			return true
		}
	}
	return false
}

// TestRelaySendsDeferredLaunch guards against starts that wait for the owner to learn of an end, and
// against starts that the owner has withdrawn or whose stream has ended.
func TestRelaySendsDeferredLaunch(t *testing.T) {
	nt := newNetwork(t, 1)
	nt.fleet.RunFunc = runForever
	ad := nt.add()
	nt.eventually("the relay answers", func() bool { return nt.launch(ad, "a", "") == nil })
	t.Run("withdrawn", func(t *testing.T) {
		// An order to stop that overtakes the launch does not withdraw it.
		done := nt.deferred(ad, "b")
		var an deferredAnswer
		nt.eventually("the launch is withdrawn", func() bool {
			nt.halt(ad, "b")
			select {
			case an = <-done:
				return true
			default:
				return false
			}
		})
		qt.Check(t, an.err, qt.ErrorIs, worker.ErrWithdrawn)
	})
	t.Run("out of time", func(t *testing.T) {
		qt.Check(t, (<-nt.deferred(ad, "c")).err, qt.ErrorIs, worker.ErrNotFreed)
	})
	t.Run("stream ended", func(t *testing.T) {
		done := nt.deferred(ad, "d")
		time.Sleep(50 * time.Millisecond)
		nt.proxies[0].Blackhole()
		err := (<-done).err
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, errors.Is(err, worker.ErrNotFreed) || errors.Is(err, worker.ErrNotSent), qt.IsFalse, qt.Commentf("%v", err))
	})
	t.Run("end listed", func(t *testing.T) {
		nt.eventually("the relay is used again", func() bool {
			ad.Via = nt.pool.RelayFor("i-0", "a")
			_, err := nt.poll(ad)
			return err == nil && ad.Via != ""
		})
		done := nt.deferred(ad, "e")
		time.Sleep(50 * time.Millisecond)
		qt.Check(t, nt.started("e"), qt.IsFalse)
		nt.halt(ad, "a")
		_, err := nt.poll(ad)
		qt.Assert(t, err, qt.IsNil)
		an := <-done
		qt.Assert(t, an.err, qt.IsNil)
		qt.Check(t, an.ack.FreedMS > 0 && an.ack.FreedMS <= an.ack.ClockMS, qt.IsTrue, qt.Commentf("%+v", an.ack))
	})
	for _, task := range []string{"b", "c", "d"} {
		qt.Check(t, nt.started(task), qt.IsFalse, qt.Commentf("task %s", task))
	}
	qt.Check(t, nt.started("e"), qt.IsTrue)
}

// TestRelayRefusesLaunchInEvacuatedDataCentre guards against starts, deferred ones included, that a
// relay sends although it has read the request, as the owner may not have read it yet.
func TestRelayRefusesLaunchInEvacuatedDataCentre(t *testing.T) {
	nt := newNetwork(t, 1)
	nt.fleet.RunFunc = runForever
	var evacuated atomic.Bool
	nt.relays[0].EvacuatedFunc = func(dataCentre string) bool { return dataCentre == "a" && evacuated.Load() }
	ad := nt.add()
	ad.DataCentre = "a"
	nt.eventually("the relay answers", func() bool { return nt.launch(ad, "a", "") == nil })
	done := nt.deferred(ad, "b")
	time.Sleep(50 * time.Millisecond)
	evacuated.Store(true)
	nt.halt(ad, "a")
	qt.Check(t, (<-done).err, qt.ErrorIs, worker.ErrEvacuated)
	qt.Check(t, nt.launch(ad, "c", ""), qt.ErrorIs, worker.ErrEvacuated)
	qt.Check(t, nt.started("b") || nt.started("c"), qt.IsFalse)
	evacuated.Store(false)
	qt.Check(t, nt.launch(ad, "d", ""), qt.IsNil)
}
