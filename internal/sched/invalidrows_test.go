package sched

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// invalidValues are values of rows that other writers, or later versions, may leave.
var invalidValues = map[string]string{
	"empty":            ``,
	"null":             `null`,
	"no text":          "\xff\xfe\x00",
	"list":             `[1,2]`,
	"deeply nested":    strings.Repeat(`[`, store.MaxRowBytes),
	"nested in object": `{"spec":` + strings.Repeat(`{"a":`, 2000) + `1` + strings.Repeat(`}`, 2000) + `}`,
	"large number":     `{"rev":1e999,"epoch":12345678901234567890123456}`,
	"negative count":   `{"spec":{"steps":[{"tasks":-1}]},"terms":{},"steps":[{}]}`,
	"huge count":       `{"spec":{"steps":[{"tasks":1099511627776}]},"terms":{},"steps":[{"states":"w"}]}`,
	"later step":       `{"spec":{"steps":[{"tasks":1,"after":[7,-3]}]},"steps":[{"states":"w"}]}`,
	"unknown state":    `{"rev":1,"epoch":1,"state":"resting","steps":[{"states":"??"}]}`,
	"cancellation":     `{"cancel":true}`,
	"negative leases":  `{"epoch":1,"silent_ms":{"i-0":-1,"i-1":9223372036854775807}}`,
	"invalid learnt":   `{"pairs":[{"drop":-1e300,"variance":-1}],"kinds":[{"first":-5,"weights":[-1,1000000000]}]}`,
}

// put writes a row of another writer.
func (la *lab) put(key, value string) {
	la.t.Helper()
	txn := store.NewTxn()
	txn.Puts = []store.Put{{Key: key, Value: []byte(value)}}
	_, err := la.table.Client().Commit(context.Background(), txn)
	qt.Assert(la.t, err, qt.IsNil)
}

// TestInvalidIntakeRowDoesNotEndOwner guards against owners that end because of one row of the
// intake.
func TestInvalidIntakeRowDoesNotEndOwner(t *testing.T) {
	for name, value := range invalidValues {
		for _, key := range []string{jobID(7), "x", "", jobID(8) + cancelSuffix, strings.Repeat("k", 5000)} {
			synctest.Test(t, func(t *testing.T) {
				la, ll := newLoggedLab(t, 2)
				ow, end := la.startOwner()
				defer end()
				time.Sleep(time.Second)
				row := store.FeedRow{Row: store.Row{Key: IntakePrefix("c0") + key, Value: []byte(value), Version: 9}}
				for range 20 {
					ow.Import([]store.FeedRow{row})
				}
				time.Sleep(time.Second)
				qt.Check(t, la.submit(ow, 1, batch(1, 2)).Outcome, qt.Equals, Accepted)
				time.Sleep(3 * time.Second)
				qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
				qt.Check(t, len(ll.matching(`msg="row cannot be decoded"`, "list=intake")) <= 1, qt.IsTrue, qt.Commentf("%s", name))
			})
		}
	}
}

// TestInvalidJobRowDoesNotEndOwner guards against a job's row that ends each owner, and against a job
// whose tasks are stopped because its row cannot be decoded.
func TestInvalidJobRowDoesNotEndOwner(t *testing.T) {
	for name, value := range invalidValues {
		for _, table := range []string{SpecTable, ProgressTable} {
			synctest.Test(t, func(t *testing.T) {
				la, ll := newLoggedLab(t, 2)
				la.fleet.RunFunc = runUntilStopped
				ow, end := la.startOwner()
				time.Sleep(time.Second)
				la.submit(ow, 1, longRunningOf(2, 4))
				la.submit(ow, 2, longRunningOf(2, 4))
				time.Sleep(time.Second)
				end()
				time.Sleep(time.Second)
				la.put(table+"/c0/"+jobID(1), value)
				ow, end = la.startOwner()
				defer end()
				time.Sleep(3 * time.Second)
				comment := qt.Commentf("%s in %s", name, table)
				qt.Check(t, la.runningOfJob(1), qt.Equals, 2, comment)
				qt.Check(t, la.runningOfJob(2), qt.Equals, 2, comment)
				qt.Check(t, la.state(ow, 2), qt.Equals, job.Running, comment)
				_, _, err := ow.State(t.Context(), jobID(1))
				qt.Check(t, err, qt.IsNotNil, comment)
				ve := la.submit(ow, 1, longRunningOf(2, 4))
				qt.Check(t, ve.Outcome, qt.Equals, Refused, comment)
				qt.Check(t, la.submit(ow, 3, longRunningOf(1, 1)).Outcome, qt.Equals, Accepted, comment)
				qt.Check(t, ll.matching(`msg="row cannot be decoded"`, "list=jobs"), qt.HasLen, 1, comment)
			})
		}
	}
}

// TestInvalidOwnRowDoesNotStopOwner guards against owners that don't load the cell, or don't write,
// because of a row in which they keep something else.
func TestInvalidOwnRowDoesNotStopOwner(t *testing.T) {
	keys := []string{WriteMarkTable + "/c0/mark", LeaseExpiryTable + "/c0/workers", InterferenceTable + "/c0/pairs", (&Owner{Cell: "c0"}).durationsKey()}
	for name, value := range invalidValues {
		for _, key := range keys {
			synctest.Test(t, func(t *testing.T) {
				la := newLab(t, 2)
				la.put(key, value)
				ow, end := la.startOwner()
				defer end()
				time.Sleep(time.Second)
				comment := qt.Commentf("%s in %s", name, key)
				qt.Check(t, la.submit(ow, 1, batch(1, 2)).Outcome, qt.Equals, Accepted, comment)
				time.Sleep(20 * time.Second)
				qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded, comment)
			})
		}
	}
}

// TestImpossibleLeasesCountAsUnknown guards against attempts that end early, and run twice, because a
// former owner's row states an impossible lease.
func TestImpossibleLeasesCountAsUnknown(t *testing.T) {
	ow := New(&Owner{Log: newLab(t, 0).log, Limits: Limits{MaxLease: maxLease}})
	ow.startedAt = time.Now()
	ow.Tenure.Former.LeaseLapseMS = map[string]int64{"a": -1, "b": 9223372036854775807, "c": 1500}
	ow.Tenure.FormerEnded = func() time.Time { return time.Time{} }
	ow.dropInvalidLeases()
	qt.Check(t, ow.Tenure.Former.LeaseLapseMS, qt.DeepEquals, map[string]int64{"c": 1500})
	for _, id := range []string{"a", "b"} {
		until := ow.formerLeasesUntil(worker.Incarnation{ID: id})
		qt.Check(t, until.Sub(ow.startedAt) >= maxLease, qt.IsTrue, qt.Commentf("%v", until.Sub(ow.startedAt)))
	}
}
