package sched

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestHealthyTaskFailsAfterUnobservedAttempts guards against crashes that are only inferred.
func TestHealthyTaskFailsAfterUnobservedAttempts(t *testing.T) {
	for _, delivered := range []bool{false, true} {
		for _, ownerAfter := range []time.Duration{0, crashedEntryTTL + 400*time.Millisecond} {
			t.Run(fmt.Sprintf("delivered %v, owner after %v", delivered, ownerAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { loseUnobservedAttempts(t, delivered, ownerAfter) })
			})
		}
	}
}

// loseUnobservedAttempts loses the first three attempts of a task, each with its worker and its owner.
func loseUnobservedAttempts(t *testing.T, delivered bool, ownerAfter time.Duration) {
	t.Helper()
	la, ll := newLoggedLab(t, 6)
	orders := make(chan worker.Incarnation, 4)
	la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
		launch := ag.LaunchFunc
		ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, lau worker.Launch) (worker.Ack, error) {
			orders <- ad.Incarnation
			if !delivered && lau.Number < 4 {
				<-ctx.Done()
				return worker.Ack{}, ctx.Err()
			}
			return launch(ctx, ad, lau)
		}
		return ag
	}
	cr, ow := startCrashLab(t, la)
	cr.submit(ow, 1, batch(1, 1))
	for range 3 {
		ordered := <-orders
		if delivered {
			la.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
			time.Sleep(1100 * time.Millisecond)
		}
		for _, fw := range cr.workers() {
			if fw.Addr.Incarnation == ordered {
				cr.crash(fw)
			}
		}
		time.Sleep(ownerAfter)
		la.table.Faults.Set(standin.Fault{})
		ow = cr.replaceOwner()
	}
	time.Sleep(20 * time.Second)
	qt.Check(t, cr.state(ow, 1), qt.Equals, job.Succeeded)
	qt.Check(t, ll.matching("end=crashed"), qt.HasLen, 0)
	for _, ru := range cr.fleet.Runs() {
		qt.Check(t, ru.Outcome, qt.Equals, "done")
	}
}
