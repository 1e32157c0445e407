package frontend

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

// testHost is the front end of one entry host with a store.
type testHost struct {
	t        *testing.T
	table    standin.Table
	frontEnd *FrontEnd
	owner    atomic.Pointer[sched.Owner]
}

func newTestHost(t *testing.T) *testHost {
	t.Helper()
	th := &testHost{t: t}
	log := slog.New(slog.DiscardHandler)
	th.frontEnd = &FrontEnd{
		Cell: "c0", Table: th.table.Client(), Keeper: &tenure.Keeper{Cell: "c0", Self: "e1", Process: "e1-1", Log: log},
		Peers: http.DefaultClient,
		Local: th.owner.Load, ConfigFunc: func() *queue.Config { return nil }, Log: log,
	}
	return th
}

// runOwner runs an owner of the cell on the host until the returned function is called.
func (th *testHost) runOwner() context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	te := tenure.Tenure{Epoch: 1, Key: "cells/c0/owner", Confirmed: time.Now, HeartbeatWritten: time.Now, FormerEnded: time.Now, End: func(error) { cancel() }}
	ow := sched.New(&sched.Owner{Cell: "c0", Tenure: te, Table: th.table.Client(), Log: th.frontEnd.Log, Limits: sched.Limits{MaxLease: time.Second, KeepEnded: time.Minute}})
	loaded := make(chan struct{})
	go func() {
		if err := ow.Run(ctx, func() { close(loaded) }); err != nil {
			th.t.Errorf("owner: %v", err)
		}
	}()
	<-loaded
	th.owner.Store(ow)
	return cancel
}

func (th *testHost) submit() sched.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return th.frontEnd.Submit(ctx, testID, job.Terms{Queue: "q", MaxFailures: 1}, testSpec)
}

func (th *testHost) assertState(want job.State, known bool) {
	state, ok, err := th.frontEnd.State(context.Background(), testID)
	qt.Assert(th.t, err, qt.IsNil)
	qt.Check(th.t, ok, qt.Equals, known)
	qt.Check(th.t, state, qt.Equals, want)
}

func TestCellWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := newTestHost(t)
		th.assertState("", false)
		qt.Assert(t, th.submit().Outcome, qt.Equals, sched.Accepted)
		th.assertState(job.Queued, true)
		qt.Assert(t, th.submit().Outcome, qt.Equals, sched.Accepted)
		qt.Assert(t, th.table.Counts().Rows, qt.Equals, 1)
		qt.Assert(t, th.frontEnd.Cancel(context.Background(), testID).Outcome, qt.Equals, sched.Accepted)
		qt.Assert(t, th.frontEnd.Cancel(context.Background(), "ffffffffffffffff").Outcome, qt.Equals, sched.NoJob)
	})
}

func TestOwnerImportsIntake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := newTestHost(t)
		qt.Assert(t, th.submit().Outcome, qt.Equals, sched.Accepted)
		qt.Assert(t, th.frontEnd.Cancel(context.Background(), testID).Outcome, qt.Equals, sched.Accepted)
		end := th.runOwner()
		defer end()
		rows, err := th.table.Client().List(context.Background(), sched.IntakePrefix("c0"))
		qt.Assert(t, err, qt.IsNil)
		var feed []store.FeedRow
		for _, row := range rows {
			feed = append(feed, store.FeedRow{Row: row})
		}
		th.owner.Load().Import(feed)
		time.Sleep(time.Second)
		th.assertState(job.Cancelled, true)
		rows, err = th.table.Client().List(context.Background(), sched.IntakePrefix("c0"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, rows, qt.HasLen, 0)
	})
}

// TestRefusedJobsAreAbsent checks that a refused job does not exist later, however the store
// fails, and that every answer comes within half of the time that callers wait.
func TestRefusedJobsAreAbsent(t *testing.T) {
	for _, fault := range []standin.Fault{
		{Mode: standin.ModeDown}, {Mode: standin.ModeLost}, {Mode: standin.ModeFreeze}, {Mode: standin.ModeSlow, DelayMS: 2000},
	} {
		for _, owned := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				th := newTestHost(t)
				end := func() {}
				if owned {
					end = th.runOwner()
				}
				th.table.Faults.Set(fault)
				time.AfterFunc(200*time.Millisecond, end)
				start := time.Now()
				ve := th.submit()
				qt.Check(t, time.Since(start) < 1500*time.Millisecond, qt.IsTrue)
				time.Sleep(10 * time.Second)
				th.table.Faults.Set(standin.Fault{})
				th.owner.Store(nil)
				_, known, err := th.frontEnd.State(context.Background(), testID)
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

// TestTenureEndsDuringSubmission checks that the outcome is unknown if the owner's write
// succeeds without an answer, and its tenure ends while the store rejects further calls: the
// job may exist.
func TestTenureEndsDuringSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		th := newTestHost(t)
		end := th.runOwner()
		defer end()
		th.table.Faults.Set(standin.Fault{Mode: standin.ModeLost, Count: 1})
		time.AfterFunc(10*time.Millisecond, func() {
			th.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
			end()
		})
		ve := th.submit()
		qt.Assert(t, ve.Outcome, qt.Equals, sched.Unknown)
	})
}

func TestMalformedJobs(t *testing.T) {
	th := newTestHost(t)
	for _, tc := range []struct {
		name string
		edit func(sp *job.Spec, qu *queue.Queue)
		want error
	}{
		{"no step", func(sp *job.Spec, _ *queue.Queue) { sp.Steps = nil }, job.ErrInvalid},
		{"cycle", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].After = []int{0} }, job.ErrInvalid},
		{"later step", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].After = []int{1} }, job.ErrInvalid},
		{"negative size", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Each.MemMB = -1 }, job.ErrInvalid},
		{"excessive size", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Each.MilliCores = 1 << 60 }, job.ErrInvalid},
		{"no task", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Tasks = 0 }, job.ErrInvalid},
		{"too many tasks", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Tasks = job.MaxTasks + 1 }, job.ErrInvalid},
		{"long payload", func(sp *job.Spec, _ *queue.Queue) { sp.Payload = string(make([]byte, job.MaxPayload+1)) }, job.ErrInvalid},
		{"gang", func(sp *job.Spec, _ *queue.Queue) { sp.Steps[0].Gang = true }, job.ErrUnsupported},
		{"recurring job", func(sp *job.Spec, _ *queue.Queue) { sp.Schedule.Times = 2 }, job.ErrUnsupported},
		{"advised queue", func(_ *job.Spec, qu *queue.Queue) { qu.Advised = true }, job.ErrUnsupported},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sp, qu := job.Spec{Steps: []job.Step{testSpec.Steps[0]}}, queue.Queue{Name: "q"}
			tc.edit(&sp, &qu)
			qt.Assert(t, errors.Is(th.frontEnd.Check(testID, qu, sp), tc.want), qt.IsTrue)
		})
	}
	qt.Assert(t, th.frontEnd.Check(testID, queue.Queue{Name: "q"}, testSpec), qt.IsNil)
}
