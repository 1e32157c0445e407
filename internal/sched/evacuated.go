package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/evacuation"
)

// SetEvacuated sets the data centres whose evacuation is requested: nothing is started on their
// workers from then on, and what is about to start there is withdrawn.
func (ow *Owner) SetEvacuated(se evacuation.Set) {
	ow.post(func() { ow.setEvacuated(se, time.Now()) })
}

func (ow *Owner) setEvacuated(se evacuation.Set, now time.Time) {
	if se.Equal(ow.evacuated) {
		return
	}
	ow.Log.Info("evacuations in force at the owner", "cell", ow.Cell, "epoch", ow.Tenure.Epoch, "in_force", se, "was", ow.evacuated)
	ow.evacuated = se
	for wk := range ow.allWorkers() {
		wk.tickQueued(now)
	}
	ow.monitorEvacuations(now)
	ow.placementDue = true
}

// readEvacuated begins to read the requests in force, and returns a function that waits for them. A
// slow store takes 0.3 s for a read, so the reads of a load are made at the same time.
func (ow *Owner) readEvacuated(ctx context.Context) func() (evacuation.Set, error) {
	if ow.EvacuatedFunc == nil {
		return func() (evacuation.Set, error) { return evacuation.Set{}, nil }
	}
	var se evacuation.Set
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		if se, err = ow.EvacuatedFunc(ctx); err != nil {
			err = fmt.Errorf("read evacuations: %w", err)
		}
	}()
	return func() (evacuation.Set, error) {
		<-done
		return se, err
	}
}

// isEvacuated reports whether nothing may start on the worker as its data centre is evacuated.
func (wk *workerState) isEvacuated() bool { return wk.ow.evacuated.Contains(wk.DataCentre) }

// refusesStarts reports whether not even starts that are durable may be ordered on the worker.
func (wk *workerState) refusesStarts() bool { return wk.unlisted || wk.Draining || wk.isEvacuated() }

// monitorEvacuations passes to the monitor what runs in each data centre.
func (ow *Owner) monitorEvacuations(now time.Time) {
	if !ow.evacuationMonitor.Due(now, ow.evacuated) {
		return
	}
	loads := map[string]evacuation.Load{}
	for wk := range ow.allWorkers() {
		lo := loads[wk.DataCentre]
		if wk.needsOrders() {
			lo.Workers++
		}
		for at := range wk.allAttempts() {
			if at.step().LongRunning {
				lo.LongRunning++
			} else {
				lo.Other++
			}
		}
		loads[wk.DataCentre] = lo
	}
	ow.evacuationMonitor.Update(now, ow.evacuated, loads)
}

// evacuationStep returns the state of a long-running step for a choice of tasks to move.
func (tj *trackedJob) evacuationStep(step int) *evacuation.Step {
	st := &tj.jo.Spec.Steps[step]
	serving := 0
	for key, at := range tj.attempts {
		if key.ref.Step == step && at.serves() {
			serving++
		}
	}
	return &evacuation.Step{MaxUnavailable: st.MaxUnavailable, Unavailable: st.Tasks - serving}
}

// serves reports whether a long-running attempt serves requests, as far as is known, and was not
// ordered to stop.
func (at *attempt) serves() bool {
	const serving = 100
	return !at.launchedAt.IsZero() && at.progress >= serving && at.haltSentAt.IsZero() && at.wk.settled && at.wk.failingSince.IsZero()
}

// contendedServices returns the services with tasks that wait for capacity, apart from fillers,
// which use processors that others leave idle.
func (ow *Owner) contendedServices() map[string]bool {
	services := map[string]bool{}
	for _, tj := range ow.waitingJobs {
		if tj.waitCause != CauseRoom || services[tj.jo.Terms.Service] {
			continue
		}
		for step, st := range tj.jo.Spec.Steps {
			if !st.Filler && tj.waitingIn(step) > 0 {
				services[tj.jo.Terms.Service] = true
			}
		}
	}
	return services
}
