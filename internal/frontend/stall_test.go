package frontend

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/standin/linetest"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/tenure"
	"github.com/pepperhatch/pepperhatch/internal/transport"
)

var errNotAccepted = errors.New("not accepted")

// newOwnerHost returns a host that owns its cell, and the address at which it serves other
// entry hosts.
func newOwnerHost(t *testing.T) (th *testHost, addr string) {
	t.Helper()
	th = newTestHost(t)
	t.Cleanup(th.runOwner())
	hs := httptest.NewServer(th.frontEnd.Handler())
	t.Cleanup(hs.Close)
	return th, hs.Listener.Addr().String()
}

func TestProbedHostStalls(t *testing.T) {
	_, addr := newOwnerHost(t)
	linetest.Check(t, addr, func(addr string) linetest.Call {
		fe := &FrontEnd{Peers: transport.NewClient(2, nil)}
		return func(ctx context.Context) error {
			_, err := fe.ProbeHost(ctx, addr, 0)
			return err
		}
	})
}

// TestOwnerStalls checks that another host accepts jobs while the owner is stalled, by
// writing them to the intake table, and reads their state from there. Once the owner
// resumes, jobs must reach it again.
func TestOwnerStalls(t *testing.T) {
	for _, st := range standin.Stalls {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			owner, addr := newOwnerHost(t)
			ln := linetest.NewProxy(t, addr)
			other := newTestHost(t)
			other.frontEnd.Peers = transport.NewClient(2, nil)
			learnOwner(t, other, ln.Addr())
			submit := func(n int) error {
				id := fmt.Sprintf("%016x", n)
				ve := other.frontEnd.Submit(context.Background(), id, job.Terms{Queue: "q", MaxFailures: 1}, testSpec)
				if ve.Outcome != sched.Accepted {
					return fmt.Errorf("%s: %w", ve.Reason, errNotAccepted)
				}
				return nil
			}
			qt.Assert(t, submit(1), qt.IsNil)
			qt.Assert(t, ln.Stall(st), qt.IsNil)
			linetest.MustReturn(t, "submission during the stall", func() { qt.Check(t, submit(2), qt.IsNil) })
			linetest.MustReturn(t, "state during the stall", func() {
				state, known, err := other.frontEnd.State(context.Background(), fmt.Sprintf("%016x", 2))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, known, qt.IsTrue)
				qt.Check(t, state, qt.Equals, job.Queued)
			})
			ln.Resume()
			qt.Assert(t, submit(3), qt.IsNil)
			_, known, err := owner.owner.Load().State(context.Background(), fmt.Sprintf("%016x", 3))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, known, qt.IsTrue)
		})
	}
}

// learnOwner has a host learn from the store that the owner of the cell is at addr.
func learnOwner(t *testing.T, th *testHost, addr string) {
	t.Helper()
	txn, err := store.NewTxn().WithPut("cells/c0/owner", 0, tenure.OwnerRow{Owner: "e2", Process: "e2-1", Addr: addr, Epoch: 1})
	qt.Assert(t, err, qt.IsNil)
	_, err = th.table.Client().Commit(context.Background(), txn)
	qt.Assert(t, err, qt.IsNil)
	ke := th.frontEnd.Keeper
	ke.Table = th.table.Client()
	ke.AskFunc = th.frontEnd.ProbeHost
	ke.Serve = func(ctx context.Context, _ tenure.Tenure) (map[string]int64, error) {
		<-ctx.Done()
		return nil, nil
	}
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	go ke.Run(ctx)
	linetest.Eventually(t, "owner known", func() bool {
		_, ok := ke.Current()
		return ok
	})
}
