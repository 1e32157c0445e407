package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestLostAnswerIsForgottenOnceResolved guards against a healthy worker, and its data centre, that
// are chosen last until the poll in progress ends although the worker has answered the question
// what became of the order.
func TestLostAnswerIsForgottenOnceResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return time.Minute, "done" }
		launches := 0
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			launch := ag.LaunchFunc
			ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, lo worker.Launch) (worker.Ack, error) {
				launches++
				ack, err := launch(ctx, ad, lo)
				if launches == 1 {
					<-ctx.Done()
					return worker.Ack{}, ctx.Err()
				}
				return ack, err
			}
			return ag
		}
		ow, end := la.startOwner()
		defer end()
		// A poll of the idle worker, which lasts for 2 s, has just begun.
		time.Sleep(100 * time.Millisecond)
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(launchTimeout + 200*time.Millisecond)
		reply := make(chan [2]bool)
		ow.post(func() {
			wk := ow.sortedWorkers()[0]
			reply <- [2]bool{wk.answers.Missing(), wk.dataCentreAnswers().Missing()}
		})
		qt.Check(t, <-reply, qt.Equals, [2]bool{})
		qt.Check(t, launches, qt.Equals, 1)
	})
}
