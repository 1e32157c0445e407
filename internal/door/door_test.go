package door

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/queue"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

const testID = "0123456789abcdef"

var testSpec = job.Spec{Steps: []job.Step{{Tasks: 1, Each: worker.Resources{MilliCores: 1}}}}

// hall is one entry host with a store.
type hall struct {
	t     *testing.T
	table standin.Table
	door  *FrontEnd
	owner atomic.Pointer[sched.Owner]
}

func newHall(t *testing.T) *hall {
	t.Helper()
	ha := &hall{t: t}
	log := slog.New(slog.DiscardHandler)
	ha.door = &FrontEnd{
		Cell: "c0", Table: ha.table.Client(), Keeper: &tenure.Keeper{Cell: "c0", Self: "e1", Process: "e1-1", Log: log},
		Peers: http.DefaultClient,
		Local: ha.owner.Load, ConfigFunc: func() *queue.Config { return nil }, Log: log,
	}
	return ha
}

// own makes the host the owner, until the returned function is called.
func (ha *hall) own() context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	te := tenure.Tenure{Epoch: 1, Key: "cells/c0/owner", Confirmed: time.Now, HeartbeatWritten: time.Now, FormerEnded: time.Now, End: func(error) { cancel() }}
	ow := sched.New(&sched.Owner{Cell: "c0", Tenure: te, Table: ha.table.Client(), Log: ha.door.Log, Limits: sched.Limits{MaxLease: time.Second, KeepEnded: time.Minute}})
	loaded := make(chan struct{})
	go func() {
		if err := ow.Run(ctx, func() { close(loaded) }); err != nil {
			ha.t.Errorf("owner: %v", err)
		}
	}()
	<-loaded
	ha.owner.Store(ow)
	return cancel
}

func (ha *hall) submit() sched.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return ha.door.Submit(ctx, testID, job.Terms{Queue: "q", MaxFailures: 1}, testSpec)
}

func (ha *hall) assertState(want job.State, known bool) {
	state, ok, err := ha.door.State(context.Background(), testID)
	qt.Assert(ha.t, err, qt.IsNil)
	qt.Check(ha.t, ok, qt.Equals, known)
	qt.Check(ha.t, state, qt.Equals, want)
}

func TestNobodyOwnsTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHall(t)
		ha.assertState("", false)
		qt.Assert(t, ha.submit().Outcome, qt.Equals, sched.Accepted)
		ha.assertState(job.Queued, true)
		qt.Assert(t, ha.submit().Outcome, qt.Equals, sched.Accepted)
		qt.Assert(t, ha.table.Counts().Rows, qt.Equals, 1)
		qt.Assert(t, ha.door.Cancel(context.Background(), testID).Outcome, qt.Equals, sched.Accepted)
		qt.Assert(t, ha.door.Cancel(context.Background(), "ffffffffffffffff").Outcome, qt.Equals, sched.NoJob)
	})
}

func TestOwnerTakesOverWhatOthersAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHall(t)
		qt.Assert(t, ha.submit().Outcome, qt.Equals, sched.Accepted)
		qt.Assert(t, ha.door.Cancel(context.Background(), testID).Outcome, qt.Equals, sched.Accepted)
		end := ha.own()
		defer end()
		rows, err := ha.table.Client().List(context.Background(), sched.IntakePrefix("c0"))
		qt.Assert(t, err, qt.IsNil)
		var feed []store.FeedRow
		for _, row := range rows {
			feed = append(feed, store.FeedRow{Row: row})
		}
		ha.owner.Load().Import(feed)
		time.Sleep(time.Second)
		ha.assertState(job.Cancelled, true)
		rows, err = ha.table.Client().List(context.Background(), sched.IntakePrefix("c0"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, rows, qt.HasLen, 0)
	})
}

// TestRefusalsAreTrue has the store fail in each way and checks that a job that
// was refused is never there, and that every answer comes soon.
func TestRefusalsAreTrue(t *testing.T) {
	for _, fault := range []standin.Fault{
		{Mode: standin.ModeDown}, {Mode: standin.ModeLost}, {Mode: standin.ModeFreeze}, {Mode: standin.ModeSlow, DelayMS: 2000},
	} {
		for _, owned := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				ha := newHall(t)
				end := func() {}
				if owned {
					end = ha.own()
				}
				ha.table.Gate.Set(fault)
				time.AfterFunc(200*time.Millisecond, end)
				start := time.Now()
				ve := ha.submit()
				qt.Check(t, time.Since(start) < 1500*time.Millisecond, qt.IsTrue)
				time.Sleep(10 * time.Second)
				ha.table.Gate.Set(standin.Fault{})
				ha.owner.Store(nil)
				_, known, err := ha.door.State(context.Background(), testID)
				qt.Assert(t, err, qt.IsNil)
				switch ve.Outcome {
				case sched.Accepted:
					qt.Check(t, known, qt.IsTrue)
				case sched.Refused:
					qt.Check(t, known, qt.IsFalse)
					qt.Check(t, ve.RetryAfter > 0, qt.IsTrue)
				}
				end()
				synctest.Wait()
			})
		}
	}
}

// TestOwnerEndsWithTheJobOnItsWay has the owner's write succeed without an
// answer, and its tenure end, while the store is too busy for anything else.
func TestOwnerEndsWithTheJobOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ha := newHall(t)
		end := ha.own()
		defer end()
		ha.table.Gate.Set(standin.Fault{Mode: standin.ModeLost, Count: 1})
		time.AfterFunc(10*time.Millisecond, func() {
			ha.table.Gate.Set(standin.Fault{Mode: standin.ModeDown})
			end()
		})
		ve := ha.submit()
		qt.Assert(t, ve.Outcome, qt.Equals, sched.Unknown)
	})
}

func TestMalformedJobs(t *testing.T) {
	ha := newHall(t)
	for _, tc := range []struct {
		name string
		edit func(sp *job.Spec, qu *queue.Queue)
		want error
	}{
		{"no step", func(sp *job.Spec, _ *queue.Queue) { sp.Steps = nil }, job.ErrInvalid},
		{"cycle", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].After = []int{0} }, job.ErrInvalid},
		{"later step", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].After = []int{1} }, job.ErrInvalid},
		{"negative size", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Each.MemMB = -1 }, job.ErrInvalid},
		{"absurd size", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Each.MilliCores = 1 << 60 }, job.ErrInvalid},
		{"no task", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Tasks = 0 }, job.ErrInvalid},
		{"too many tasks", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Tasks = job.MaxTasks + 1 }, job.ErrInvalid},
		{"long payload", func(sp *job.Spec, _ *queue.Queue) { sp.Payload = string(make([]byte, job.MaxPayload+1)) }, job.ErrInvalid},
		{"gang", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Gang = true }, job.ErrUnsupported},
		{"repeated", func(sp *job.Spec, _ *queue.Queue) { sp.Schedule.Times = 2 }, job.ErrUnsupported},
		{"advised queue", func(_ *job.Spec, qu *queue.Queue) { qu.Advised = true }, job.ErrUnsupported},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sp, qu := job.Spec{Steps: []job.Step{testSpec.Steps[0]}}, queue.Queue{Name: "q"}
			tc.edit(&sp, &qu)
			qt.Assert(t, errors.Is(ha.door.Check(testID, qu, sp), tc.want), qt.IsTrue)
		})
	}
	qt.Assert(t, ha.door.Check(testID, queue.Queue{Name: "q"}, testSpec), qt.IsNil)
}
