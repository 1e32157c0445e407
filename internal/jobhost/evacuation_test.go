package jobhost

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/sched"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/platform"
	"github.com/pepperhatch/pepperhatch/platform/platformtest"
)

// TestEvacuationRow guards against a request of the operator that does not reach the owner, also
// one that was there before the owner claimed the cell, or that stays in force once removed.
func TestEvacuationRow(t *testing.T) {
	th := newTestHost(t, 2)
	qt.Assert(t, platformtest.Put(&th.table, platform.EvacuationPrefix+"z", struct{}{}), qt.IsNil)
	th.eventually("owning the cell", func() bool { return th.host.owner.Load() != nil })
	th.eventually("the row is read", func() bool { return th.host.evacuations.Contains("z") })
	terms := job.Terms{Queue: "q", Service: "routedesk", MaxFailures: 1}
	sp := job.Spec{Steps: []job.Step{{Tasks: 3, EstimateMS: 900}}}
	qt.Assert(t, th.host.frontEnd.Submit(t.Context(), "0123456789abcdef", terms, sp).Outcome, qt.Equals, sched.Accepted)
	time.Sleep(time.Second)
	qt.Check(t, th.fleet.Runs(), qt.HasLen, 0)
	qt.Check(t, th.metricsText(), qt.Contains, "pepperhatch_evacuated_data_centres 1\n")
	txn := store.NewTxn()
	txn.Puts = []store.Put{{Key: platform.EvacuationPrefix + "z", Delete: true}}
	_, err := th.table.Client().Commit(t.Context(), txn)
	qt.Assert(t, err, qt.IsNil)
	th.eventually("all tasks start", func() bool { return len(th.fleet.Runs()) == 3 })
}

// TestOwnerReadsAllEvacuations guards against a request that the owner's own reading withdraws,
// because the range of keys that it reads does not have all that the watch reads.
func TestOwnerReadsAllEvacuations(t *testing.T) {
	th := newTestHost(t, 0)
	for _, name := range []string{"évry", "z"} {
		qt.Assert(t, platformtest.Put(&th.table, platform.EvacuationPrefix+name, struct{}{}), qt.IsNil)
		th.eventually("the row is read", func() bool { return th.host.evacuations.Contains(name) })
	}
	se, err := th.host.readEvacuations(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, se.DataCentres(), qt.DeepEquals, []string{"z", "évry"})
}
