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

// rowsOf are rows of the list of workers, as they are or as they go.
func rowsOf(names []string, gone bool) []store.FeedRow {
	rows := make([]store.FeedRow, len(names))
	for i, name := range names {
		fw := &standin.FleetWorker{Addr: worker.Addr{HostPort: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Incarnation: worker.Incarnation{ID: name}}}
		rows[i] = store.FeedRow{Row: store.Row{Key: platform.WorkerPrefix + name, Value: platformtest.WorkerRow(fw, "routedesk", "a")}, Deleted: gone}
	}
	return rows
}

// TestListLapsesForRelays is the story of an outage of the store that ends on the owner's
// link.
//
// Users would see services of a large cell stop some seconds after an outage. Order of
// events: all entries of workers lapse in the outage; at its end the list is empty, and
// for 2 s the machines, which run on, enter themselves again. Cause: relays were used by
// the number of workers listed, so that an owner of hundreds reached each of them itself
// as long as the list was short, by new ways with new fencing tokens, and by relays
// again 2 s later. Evidence: the ways that are wanted change as the list is read.
func TestListLapsesForRelays(t *testing.T) {
	for _, lapse := range []string{"read anew", "one by one"} {
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
			ho.onWorkers(ow, po, rowsOf(names, false), true)
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
			if lapse == "read anew" {
				ho.onWorkers(ow, po, nil, true)
			} else {
				ho.onWorkers(ow, po, rowsOf(names[:200], true), false)
				ho.onWorkers(ow, po, rowsOf(names[200:], true), false)
			}
			same()
			ho.onWorkers(ow, po, rowsOf(names[:40], false), false)
			same()
			ho.onWorkers(ow, po, rowsOf(names, false), false)
			same()
		})
	}
}

// TestRowsOfWorkersThatCannotBeRead is the story of machines that are taken to have left.
//
// Users would see all lasting tasks of a machine move, or of all machines of a kind, after
// the owner read the list anew. Order of events: a row of the list cannot be read, as it
// is of a form that this version does not know or half a row; then the list is read
// anew. Cause: what could not be read was left out, and what a whole list leaves out is
// gone. Evidence: the worker counts as not listed, with its row in the store.
func TestRowsOfWorkersThatCannotBeRead(t *testing.T) {
	to := newTown(t, 2)
	to.eventually("owning the cell", func() bool { return to.host.owner.Load() != nil })
	listed, err := to.host.table.List(t.Context(), platform.WorkerPrefix)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listed, qt.HasLen, 2)
	first, second := store.FeedRow{Row: listed[0]}, store.FeedRow{Row: listed[1]}
	broken := second
	broken.Value = []byte(`{"capacity":"much"}`)
	read := func(want int, rows ...store.FeedRow) {
		t.Helper()
		to.host.onWorkers(to.host.owner.Load(), &relay.Pool{}, rows, true)
		// The gauge is set with each look at what time alone changes.
		time.Sleep(300 * time.Millisecond)
		qt.Assert(t, to.workersKnown(), qt.Contains, fmt.Sprintf("%s{state=%q} %d\n", telemetry.Workers, "answering", want))
	}
	read(2, first, second)
	read(2, first, broken)
	read(1, first)
	// One that is not known is not entered.
	read(1, first, broken)
}

// workersKnown is what the host tells of its workers.
func (to *town) workersKnown() string {
	re := httptest.NewRecorder()
	to.host.scrape.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return re.Body.String()
}

// TestEntryIsRemoved has the store remove the entry of a worker that goes on answering:
// its task is moved some 3 s later, by what the host's own watch of the list tells.
func TestEntryIsRemoved(t *testing.T) {
	to := newTown(t, 2)
	to.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
	to.eventually("owning the cell", func() bool { return to.host.owner.Load() != nil })
	step := job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 500}, Endless: true}
	terms := job.Terms{Queue: "q", Service: "routedesk", MaxFailures: 1}
	ve := to.host.door.Submit(t.Context(), "0123456789abcdef", terms, job.Spec{Steps: []job.Step{step}})
	qt.Assert(t, ve.Outcome, qt.Equals, sched.Accepted)
	to.eventually("it runs", func() bool { return len(to.fleet.Runs()) == 1 })
	txn := store.NewTxn()
	txn.Puts = []store.Put{{Key: platform.WorkerPrefix + to.fleet.Runs()[0].Worker.ID, Delete: true}}
	_, err := to.table.Client().Commit(t.Context(), txn)
	qt.Assert(t, err, qt.IsNil)
	went := time.Now()
	to.eventually("it runs elsewhere", func() bool { return len(to.fleet.Runs()) == 2 })
	runs := to.fleet.Runs()
	qt.Check(t, runs[0].How, qt.Equals, "stopped")
	qt.Check(t, runs[1].Worker, qt.Not(qt.Equals), runs[0].Worker)
	qt.Check(t, runs[1].From.Sub(went) > 2900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", runs[1].From.Sub(went)))
	t.Logf("moved after %v", runs[1].From.Sub(went))
}
