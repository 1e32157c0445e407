package jobhost

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/registry"
	"github.com/pepperhatch/pepperhatch/internal/relay"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
	"github.com/pepperhatch/pepperhatch/platform"
	"github.com/pepperhatch/pepperhatch/platform/platformtest"
)

// workerRows returns rows of the list of workers, present or removed.
func workerRows(names []string, removed bool) []store.FeedRow {
	rows := make([]store.FeedRow, len(names))
	for i, name := range names {
		fw := &standin.FleetWorker{Addr: worker.Addr{HostPort: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Incarnation: worker.Incarnation{ID: name}}}
		rows[i] = store.FeedRow{Row: store.Row{Key: platform.WorkerPrefix + name, Value: platformtest.WorkerRow(fw, "routedesk", "a")}, Deleted: removed}
	}
	return rows
}

// TestRelaysOutlastLapsedWorkerList guards against an owner that stops using its relays
// after an outage of the store. The entries of all workers lapse during the outage, and for
// 2 s after it the workers add themselves again. If the number of relays depended on the
// listed workers, the owner of hundreds of workers would connect to each of them directly,
// with new fencing tokens, while the list is short, and through relays again 2 s later. That
// saturates its link, and services stop. The path to each worker must not change.
func TestRelaysOutlastLapsedWorkerList(t *testing.T) {
	for _, lapse := range []string{"whole list", "row by row"} {
		synctest.Test(t, func(t *testing.T) {
			var changes atomic.Int32
			po := &relay.Pool{Self: "h0", Cores: 0.8, ChangedFunc: func() { changes.Add(1) }}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go po.Run(ctx)
			synctest.Wait()
			po.SetMembers([]registry.Member{{Name: "h1", DataCentre: "a", Cores: 2}, {Name: "h2", DataCentre: "a", Cores: 2}}, nil, true)
			ho, ow := &Host{log: slog.New(slog.DiscardHandler)}, sched.New(&sched.Owner{})
			names := make([]string, 300)
			for i := range names {
				names[i] = fmt.Sprint("i-", i)
			}
			ho.onWorkers(ow, po, workerRows(names, false), true)
			was := map[string]string{}
			for _, name := range names {
				was[name] = po.RelayFor(name, "a")
				qt.Assert(t, was[name], qt.Not(qt.Equals), "")
			}
			synctest.Wait()
			before := changes.Load()
			same := func() {
				t.Helper()
				for _, name := range names {
					qt.Assert(t, po.RelayFor(name, "a"), qt.Equals, was[name])
				}
				synctest.Wait()
				qt.Assert(t, changes.Load(), qt.Equals, before)
			}
			if lapse == "whole list" {
				ho.onWorkers(ow, po, nil, true)
			} else {
				ho.onWorkers(ow, po, workerRows(names[:200], true), false)
				ho.onWorkers(ow, po, workerRows(names[200:], true), false)
			}
			same()
			ho.onWorkers(ow, po, workerRows(names[:40], false), false)
			same()
			ho.onWorkers(ow, po, workerRows(names, false), false)
			same()
		})
	}
}

// TestUndecodableWorkerRowStaysListed guards against workers that count as removed because
// their rows can't be decoded, being truncated or of an unknown format. If such rows were
// left out of a complete list, the long-running tasks of these workers would be moved.
func TestUndecodableWorkerRowStaysListed(t *testing.T) {
	th := newTestHost(t, 2)
	th.eventually("owning the cell", func() bool { return th.host.owner.Load() != nil })
	listed, err := th.host.table.List(t.Context(), platform.WorkerPrefix)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listed, qt.HasLen, 2)
	first, second := store.FeedRow{Row: listed[0]}, store.FeedRow{Row: listed[1]}
	broken := second
	broken.Value = []byte(`{"capacity":"much"}`)
	read := func(want int, rows ...store.FeedRow) {
		t.Helper()
		th.host.onWorkers(th.host.owner.Load(), &relay.Pool{}, rows, true)
		// The gauge is updated periodically.
		time.Sleep(300 * time.Millisecond)
		qt.Assert(t, th.metricsText(), qt.Contains, fmt.Sprintf("%s{state=%q} %d\n", telemetry.Workers, "answering", want))
	}
	read(2, first, second)
	read(2, first, broken)
	read(1, first)
	// A worker that was not known before is not added.
	read(1, first, broken)
}

// metricsText returns the metrics of the host in the text format.
func (th *testHost) metricsText() string {
	re := httptest.NewRecorder()
	th.host.metricsHandler.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return re.Body.String()
}

// TestRemovedEntryMovesTask checks that the task of a worker is moved some 3 s after the
// worker's entry was removed from the store, although the worker still answers.
func TestRemovedEntryMovesTask(t *testing.T) {
	th := newTestHost(t, 2)
	th.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
	th.eventually("owning the cell", func() bool { return th.host.owner.Load() != nil })
	step := job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 500}, LongRunning: true}
	terms := job.Terms{Queue: "q", Service: "routedesk", MaxFailures: 1}
	ve := th.host.frontEnd.Submit(t.Context(), "0123456789abcdef", terms, job.Spec{Steps: []job.Step{step}})
	qt.Assert(t, ve.Outcome, qt.Equals, sched.Accepted)
	th.eventually("it runs", func() bool { return len(th.fleet.Runs()) == 1 })
	txn := store.NewTxn()
	txn.Puts = []store.Put{{Key: platform.WorkerPrefix + th.fleet.Runs()[0].Worker.ID, Delete: true}}
	_, err := th.table.Client().Commit(t.Context(), txn)
	qt.Assert(t, err, qt.IsNil)
	removedAt := time.Now()
	th.eventually("it runs elsewhere", func() bool { return len(th.fleet.Runs()) == 2 })
	runs := th.fleet.Runs()
	qt.Check(t, runs[0].Outcome, qt.Equals, "stopped")
	qt.Check(t, runs[1].Worker, qt.Not(qt.Equals), runs[0].Worker)
	qt.Check(t, runs[1].From.Sub(removedAt) > 2900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", runs[1].From.Sub(removedAt)))
	t.Logf("moved after %v", runs[1].From.Sub(removedAt))
}
