package frontend

import (
	"context"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/watch"
)

// jobPhase is the phase of one job: it doesn't exist, is active, was cancelled, or was
// cancelled and reported as such, after which it must not be reported as active again.
type jobPhase int

const (
	absent jobPhase = iota
	active
	cancelled
	reportedCancelled
)

// request is the kind of a caller's request.
type request string

const (
	submitRequest request = "submit"
	cancelRequest request = "cancel"
	stateRequest  request = "state"
)

// answer is the answer to a request: outcome is that of a submission or a cancellation,
// state and known are those of a state request.
type answer struct {
	outcome sched.Outcome
	state   job.State
	known   bool
}

// jobModel is the sequential specification of requests about one job.
var jobModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{absent} },
	Step: func(state, input, output any) []any {
		ph, _ := state.(jobPhase)
		in, _ := input.(request)
		out, _ := output.(answer)
		switch in {
		case submitRequest:
			return afterChange(out.outcome, ph, max(ph, active), true)
		case cancelRequest:
			if ph == absent {
				return afterChange(out.outcome, ph, ph, false)
			}
			return afterChange(out.outcome, ph, max(ph, cancelled), true)
		}
		return afterState(out, ph)
	},
	Equal: func(a, b any) bool { return a == b },
}

// afterChange returns the possible phases after a request that changes the phase from
// before to after if it takes effect; applies is false if there is no job to change. It
// returns none if the outcome contradicts the phase.
func afterChange(out sched.Outcome, before, after jobPhase, applies bool) []any {
	switch {
	case out == sched.Accepted && applies:
		return []any{after}
	case out == sched.Refused, out == sched.NoJob && !applies:
		return []any{before}
	case out == sched.Unknown:
		return []any{before, after}
	}
	return nil
}

// afterState returns the possible phases after the state was read, or none if the answer
// contradicts the phase.
func afterState(out answer, ph jobPhase) []any {
	switch {
	case !out.known && ph == absent:
		return []any{ph}
	case out.known && out.state == job.Cancelled && ph >= cancelled:
		return []any{reportedCancelled}
	case out.known && out.state != job.Cancelled && (ph == active || ph == cancelled):
		return []any{ph}
	}
	return nil
}

// TestConcurrentCallersSeeConsistentStates checks that concurrent submissions, cancellations
// and reads of one job are linearizable while owners change and the store is slow,
// unavailable or loses answers.
func TestConcurrentCallersSeeConsistentStates(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 150}, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]standin.Fault{
			{}, {}, {Mode: standin.ModeLost, Count: 1}, {Mode: standin.ModeDown, Count: 2},
			{Mode: standin.ModeSlow, DelayMS: 200}, {Mode: standin.ModeLost, Count: 3},
		}), 10, 20).Draw(rt, "faults")
		owned := rapid.SliceOfN(rapid.Bool(), 10, 10).Draw(rt, "owned")
		asked := rapid.SliceOfN(rapid.SampledFrom([]request{submitRequest, cancelRequest, stateRequest, stateRequest}), 18, 18).Draw(rt, "asked")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 600), 18, 18).Draw(rt, "pauses")
		var history []porcupine.Operation
		proptest.InBubble(t, func() { history = runCallers(t, faults, owned, asked, pauses) })
		if !porcupine.CheckOperations(jobModel.ToModel(), history) {
			rt.Fatalf("history is not linearizable: %+v", history)
		}
	})
}

// runCallers runs three concurrent callers and returns their requests and answers. Each
// fault of the store lasts 250 ms.
func runCallers(t *testing.T, faults []standin.Fault, owned []bool, asked []request, pauses []int) []porcupine.Operation {
	t.Helper()
	const callers = 3
	th := newTestHost(t)
	started := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	wg.Go(func() {
		for _, fault := range faults {
			th.table.Faults.Set(fault)
			time.Sleep(250 * time.Millisecond)
		}
		th.table.Faults.Set(standin.Fault{})
	})
	wg.Go(func() { th.alternateOwnership(owned) })
	for caller := range callers {
		wg.Go(func() {
			for i := caller; i < len(asked); i += callers {
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
				op, ok := th.sendRequest(asked[i], started)
				op.ClientId = caller
				if !ok {
					continue
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}

// sendRequest sends one request; ok is false if it failed without an answer.
func (th *testHost) sendRequest(kind request, started time.Time) (op porcupine.Operation, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	op = porcupine.Operation{Input: kind, Call: time.Since(started).Nanoseconds()}
	var an answer
	switch kind {
	case submitRequest:
		an.outcome = th.frontEnd.Submit(ctx, testID, job.Terms{Queue: "q", MaxFailures: 1}, testSpec).Outcome
	case cancelRequest:
		an.outcome = th.frontEnd.Cancel(ctx, testID).Outcome
	default:
		var err error
		if an.state, an.known, err = th.frontEnd.State(ctx, testID); err != nil {
			return op, false
		}
	}
	op.Output, op.Return = an, time.Since(started).Nanoseconds()
	if an.outcome == sched.Unknown {
		// The request may take effect at any later time.
		op.Return = math.MaxInt64
	}
	return op, true
}

// alternateOwnership runs an owner on the host, or none, for half a second per element of
// owned.
func (th *testHost) alternateOwnership(owned []bool) {
	for _, own := range owned {
		ctx, end := context.WithTimeout(context.Background(), 500*time.Millisecond)
		if own {
			th.runOwnerUntil(ctx)
		}
		<-ctx.Done()
		end()
	}
}

// runOwnerUntil runs an owner that also imports intake rows, until ctx ends.
func (th *testHost) runOwnerUntil(ctx context.Context) {
	te := tenure.Tenure{Epoch: 1, Key: "cells/c0/owner", Confirmed: time.Now, HeartbeatWritten: time.Now, FormerEnded: time.Now, End: func(error) {}}
	ow := sched.New(&sched.Owner{Cell: "c0", Tenure: te, Table: th.table.Client(), Log: th.frontEnd.Log, Limits: sched.Limits{MaxLease: time.Second, KeepEnded: time.Minute}})
	intake := watch.Watch{Table: th.table.Client(), TableName: sched.IntakeTable, Prefix: sched.IntakePrefix("c0"), Log: th.frontEnd.Log,
		OnRows: func(rows []store.FeedRow, _ bool) { ow.Import(rows) }}
	loaded := func() {
		th.owner.Store(ow)
		go intake.Run(ctx)
	}
	_ = ow.Run(ctx, loaded)
	th.owner.Store(nil)
}
