package tenure

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// TestLeasesBounded checks after which rows leases are marked as bounded: never while an
// owner of an earlier version may have extended one.
func TestLeasesBounded(t *testing.T) {
	for _, tc := range []struct {
		name string
		row  OwnerRow
		want bool
	}{
		{"no owner ever", OwnerRow{}, true},
		{"an owner with bounded leases", OwnerRow{Owner: "a", Epoch: 3, Bounded: true}, true},
		{"an owner of an earlier version", OwnerRow{Owner: "a", Epoch: 3}, false},
		{"released by one of an earlier version", OwnerRow{Epoch: 3}, false},
		{"the same, when all before had ceased", OwnerRow{Epoch: 3, FormerCeased: true}, true},
		{"released by one with bounded leases", OwnerRow{Epoch: 3, Bounded: true}, true},
	} {
		qt.Check(t, tc.row.boundsSuccessors(), qt.Equals, tc.want, qt.Commentf("%s", tc.name))
	}
}

// TestLeasesAreNotTakenForStatedAfterEarlierVersions guards against tasks that run twice after an upgrade:
// rows of an owner of an earlier version do not state leases on restarted workers.
func TestLeasesAreNotTakenForStatedAfterEarlierVersions(t *testing.T) {
	for _, tc := range []struct {
		name     string
		first    OwnerRow
		served   time.Duration
		released bool
		// stated is what the next owner and the one after it read of their predecessors.
		stated []bool
	}{
		{"no owner ever", OwnerRow{}, time.Second, false, []bool{true, true}},
		{"killed soon", OwnerRow{Epoch: 3}, 10 * time.Second, false, []bool{false, false}},
		{"released soon", OwnerRow{Epoch: 3}, 10 * time.Second, true, []bool{false, false}},
		{"killed late", OwnerRow{Epoch: 3}, restartsStatedAfter + 2*time.Second, false, []bool{false, true}},
		{"released late", OwnerRow{Epoch: 3}, restartsStatedAfter + 2*time.Second, true, []bool{false, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var stated []bool
				cl := &cluster{t: t, serveFunc: func(ctx context.Context, te Tenure) (map[string]int64, error) {
					mu.Lock()
					stated = append(stated, te.Former.StatesRestarts)
					mu.Unlock()
					<-ctx.Done()
					return nil, nil
				}}
				defer cl.stop()
				if tc.first.Epoch > 0 {
					txn, err := store.NewTxn().WithPut("cells/c0/owner", 0, tc.first)
					qt.Assert(t, err, qt.IsNil)
					_, err = cl.table.Client().Commit(context.Background(), txn)
					qt.Assert(t, err, qt.IsNil)
				}
				cl.add("e0")
				time.Sleep(time.Second)
				cl.add("e1")
				time.Sleep(tc.served)
				if tc.released {
					cl.hosts[0].keeper.Release(time.Second)
				} else {
					cl.hosts[0].gate.Set(standin.Fault{Mode: standin.ModeDown})
					cl.hosts[0].end()
				}
				time.Sleep(5 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				qt.Assert(t, stated, qt.DeepEquals, tc.stated)
			})
		})
	}
}
