package door

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

// owned returns a host that owns its cell, and the address of its peers' port.
func owned(t *testing.T) (ha *hall, addr string) {
	t.Helper()
	ha = newHall(t)
	t.Cleanup(ha.own())
	hs := httptest.NewServer(ha.door.Handler())
	t.Cleanup(hs.Close)
	return ha, hs.Listener.Addr().String()
}

func TestHostThatStandsStillWhenAsked(t *testing.T) {
	_, addr := owned(t)
	linetest.Check(t, addr, func(addr string) linetest.Call {
		do := &FrontEnd{Peers: transport.NewClient(2, nil)}
		return func(ctx context.Context) error {
			_, err := do.ProbeHost(ctx, addr, 0)
			return err
		}
	})
}

// TestOwnerThatStandsStill has the owner stall for a host beside it: a job is taken
// in its place, or by it once it goes on.
func TestOwnerThatStandsStill(t *testing.T) {
	for _, st := range standin.Stalls {
		t.Run(string(st), func(t *testing.T) {
			t.Parallel()
			owner, addr := owned(t)
			ln := linetest.NewLine(t, addr)
			beside := newHall(t)
			beside.door.Peers = transport.NewClient(2, nil)
			know(t, beside, ln.Addr())
			submit := func(n int) error {
				id := fmt.Sprintf("%016x", n)
				ve := beside.door.Submit(context.Background(), id, job.Terms{Queue: "q", MaxFailures: 1}, testSpec)
				if ve.Outcome != sched.Accepted {
					return fmt.Errorf("%s: %w", ve.Reason, errNotAccepted)
				}
				return nil
			}
			qt.Assert(t, submit(1), qt.IsNil)
			qt.Assert(t, ln.Stall(st), qt.IsNil)
			linetest.Ends(t, "submission", func() { qt.Check(t, submit(2), qt.IsNil) })
			linetest.Ends(t, "question", func() {
				state, known, err := beside.door.State(context.Background(), fmt.Sprintf("%016x", 2))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, known, qt.IsTrue)
				qt.Check(t, state, qt.Equals, job.Queued)
			})
			ln.Thaw()
			qt.Assert(t, submit(3), qt.IsNil)
			_, known, err := owner.owner.Load().State(context.Background(), fmt.Sprintf("%016x", 3))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, known, qt.IsTrue)
		})
	}
}

// know has a host know the cell's owner by the store.
func know(t *testing.T, ha *hall, addr string) {
	t.Helper()
	txn, err := store.NewTxn().WithPut("cells/c0/owner", 0, tenure.OwnerRow{Owner: "e2", Process: "e2-1", Addr: addr, Epoch: 1})
	qt.Assert(t, err, qt.IsNil)
	_, err = ha.table.Client().Commit(context.Background(), txn)
	qt.Assert(t, err, qt.IsNil)
	ke := ha.door.Keeper
	ke.Table = ha.table.Client()
	ke.AskFunc = ha.door.ProbeHost
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
