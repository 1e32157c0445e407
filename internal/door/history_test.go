package door

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

// phase is what is known of one job's id: it is nowhere, accepted, cancelled, or
// cancelled and once shown as such, after which it is never shown as live.
type phase int

const (
	nowhere phase = iota
	live
	cancelled
	shownCancelled
)

// question is what a caller wants of the id, answer what it was told.
type question string

const (
	wantSubmit question = "submit"
	wantCancel question = "cancel"
	wantState  question = "state"
)

type answer struct {
	outcome sched.Outcome
	state   job.State
	known   bool
}

// jobModel says what callers of one id may be told.
var jobModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{nowhere} },
	Step: func(state, input, output any) []any {
		ph, _ := state.(phase)
		in, _ := input.(question)
		out, _ := output.(answer)
		switch in {
		case wantSubmit:
			return afterChange(out.outcome, ph, max(ph, live), true)
		case wantCancel:
			if ph == nowhere {
				return afterChange(out.outcome, ph, ph, false)
			}
			return afterChange(out.outcome, ph, max(ph, cancelled), true)
		}
		return afterState(out, ph)
	},
	Equal: func(a, b any) bool { return a == b },
}

// afterChange returns what may hold after a request to change something, which
// leads to another phase if it takes effect; applies is false if there is no job.
func afterChange(out sched.Outcome, before, after phase, applies bool) []any {
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

func afterState(out answer, ph phase) []any {
	switch {
	case !out.known && ph == nowhere:
		return []any{ph}
	case out.known && out.state == job.Cancelled && ph >= cancelled:
		return []any{shownCancelled}
	case out.known && out.state != job.Cancelled && (ph == live || ph == cancelled):
		return []any{ph}
	}
	return nil
}

// TestCallersOfOneJobAreToldOneStory has callers hand a job in, cancel it and ask
// for it at the same time, while owners come and go and the store is slow, away or
// loses answers.
func TestCallersOfOneJobAreToldOneStory(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 150}, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]standin.Fault{
			{}, {}, {Mode: standin.ModeLost, Count: 1}, {Mode: standin.ModeDown, Count: 2},
			{Mode: standin.ModeSlow, DelayMS: 200}, {Mode: standin.ModeLost, Count: 3},
		}), 10, 20).Draw(rt, "faults")
		owned := rapid.SliceOfN(rapid.Bool(), 10, 10).Draw(rt, "owned")
		asked := rapid.SliceOfN(rapid.SampledFrom([]question{wantSubmit, wantCancel, wantState, wantState}), 18, 18).Draw(rt, "asked")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 600), 18, 18).Draw(rt, "pauses")
		var history []porcupine.Operation
		proptest.InBubble(t, func() { history = tell(t, faults, owned, asked, pauses) })
		if !porcupine.CheckOperations(jobModel.ToModel(), history) {
			rt.Fatalf("no order of one after the other explains: %+v", history)
		}
	})
}

// tell plays three callers and returns what they were told.
func tell(t *testing.T, faults []standin.Fault, owned []bool, asked []question, pauses []int) []porcupine.Operation {
	t.Helper()
	const callers = 3
	ha := newHall(t)
	begun := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	wg.Go(func() {
		for _, fault := range faults {
			ha.table.Gate.Set(fault)
			time.Sleep(250 * time.Millisecond)
		}
		ha.table.Gate.Set(standin.Fault{})
	})
	wg.Go(func() { ha.ownInTurn(owned) })
	for caller := range callers {
		wg.Go(func() {
			for i := caller; i < len(asked); i += callers {
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
				op, told := ha.askOne(asked[i], begun)
				op.ClientId = caller
				if !told {
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

// askOne makes one request; told is false if the answer says nothing.
func (ha *hall) askOne(qu question, begun time.Time) (op porcupine.Operation, told bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	op = porcupine.Operation{Input: qu, Call: time.Since(begun).Nanoseconds()}
	var an answer
	switch qu {
	case wantSubmit:
		an.outcome = ha.door.Submit(ctx, testID, job.Terms{Queue: "q", MaxFailures: 1}, testSpec).Outcome
	case wantCancel:
		an.outcome = ha.door.Cancel(ctx, testID).Outcome
	default:
		var err error
		if an.state, an.known, err = ha.door.State(ctx, testID); err != nil {
			return op, false
		}
	}
	op.Output, op.Return = an, time.Since(begun).Nanoseconds()
	if an.outcome == sched.Unknown {
		// It may take effect at any time.
		op.Return = math.MaxInt64
	}
	return op, true
}

// ownInTurn has the host own the cell, or not, for half a second each.
func (ha *hall) ownInTurn(owned []bool) {
	for _, own := range owned {
		ctx, end := context.WithTimeout(context.Background(), 500*time.Millisecond)
		if own {
			ha.ownUntil(ctx)
		}
		<-ctx.Done()
		end()
	}
}

// ownUntil runs an owner that also takes over what entry hosts wrote.
func (ha *hall) ownUntil(ctx context.Context) {
	te := tenure.Tenure{Epoch: 1, Key: "cells/c0/owner", Confirmed: time.Now, HeartbeatWritten: time.Now, FormerEnded: time.Now, End: func(error) {}}
	ow := sched.New(&sched.Owner{Cell: "c0", Tenure: te, Table: ha.table.Client(), Log: ha.door.Log, Limits: sched.Limits{MaxLease: time.Second, KeepEnded: time.Minute}})
	intake := watch.Watch{Table: ha.table.Client(), TableName: sched.IntakeTable, Prefix: sched.IntakePrefix("c0"), Log: ha.door.Log,
		OnRows: func(rows []store.FeedRow, _ bool) { ow.Import(rows) }}
	loaded := func() {
		ha.owner.Store(ow)
		go intake.Run(ctx)
	}
	_ = ow.Run(ctx, loaded)
	ha.owner.Store(nil)
}
