package cell

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TestWritesPerStart adds five jobs of 40 tasks per second for 20 seconds. The
// cell may take no more than 10 table writes per second for them.
func TestWritesPerStart(t *testing.T) {
	runCell(t, 20, func(c *qt.C, tc *testCell) {
		to := tc.startOwner(false)
		time.Sleep(3 * time.Second)
		before, started := tc.table.Counts().Writes, time.Now()
		const seconds = 20
		for i := range 5 * seconds {
			cmd := batchJob(fmt.Sprintf("j%d", i), 40, 500*time.Millisecond)
			cmd.Add.Each = worker.Resources{MilliCores: 100, MemMB: 10}
			added := time.Now()
			_, err := to.confirm(cmd.Add.Name, cmd)
			c.Assert(err, qt.IsNil)
			time.Sleep(200*time.Millisecond - time.Since(added))
		}
		writes := float64(tc.table.Counts().Writes-before) / time.Since(started).Seconds()
		starts := 0
		for _, tw := range tc.workers {
			starts += len(tw.proc.Log())
		}
		c.Logf("%d starts, %.1f table writes per second", starts, writes)
		c.Assert(starts >= 195*seconds, qt.IsTrue, qt.Commentf("%d starts", starts))
		c.Assert(writes <= 10, qt.IsTrue, qt.Commentf("%.1f table writes per second", writes))
	})
}

// populatedState returns a cell of n workers with about 12 running tasks each.
func populatedState(n int) *State {
	st := NewState()
	var recs []Record
	for i := range n {
		recs = append(recs, Record{Kind: KindWorker, Host: &Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Capacity: worker.Resources{MilliCores: 30_000, MemMB: 125_000}}})
	}
	const perJob = 50
	for j := range n * 12 / perJob {
		sp := Spec{Name: fmt.Sprintf("job%05d", j), Kind: "k", Tasks: perJob, RunMS: 1000, Each: worker.Resources{MilliCores: 2000, MemMB: 4000}}
		recs = append(recs, Record{Kind: KindJob, Spec: &sp})
		for i := range perJob {
			recs = append(recs, Record{Kind: KindStart, Task: TaskID(sp.Name, i), Worker: fmt.Sprintf("w%04d", (j*perJob+i)%n), Incarnation: "x", Attempt: 1})
		}
	}
	st.Apply(Batch{Seq: 1, Records: recs})
	return st
}

// BenchmarkRecover decodes a snapshot, most of the work of a new owner.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{50, 500, 1022} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			data, err := json.Marshal(populatedState(n))
			qt.Assert(b, err, qt.IsNil)
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportAllocs()
			for range b.N {
				st := NewState()
				qt.Assert(b, json.Unmarshal(data, st), qt.IsNil)
				st.index()
			}
		})
	}
}

// BenchmarkStep measures the parts of an owner's step in a cell without events.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{50, 500, 1022} {
		ow := &Owner{st: populatedState(n), statuses: map[string]*workerStatus{}, shares: map[string]float64{}, Timing: DefaultTiming}
		ow.Config = newTestCell(0).config
		now := time.Now()
		for id := range ow.st.Workers {
			ow.statuses[id] = &workerStatus{incarnation: "x", lastReport: now, leaseEnd: [2]time.Time{now.Add(time.Hour), now.Add(time.Hour)}}
		}
		b.Run(fmt.Sprintf("ends/workers=%d", n), func(b *testing.B) {
			for range b.N {
				ow.endRecords()
			}
		})
		b.Run(fmt.Sprintf("decide/workers=%d", n), func(b *testing.B) {
			for range b.N {
				ow.dirty = true
				ow.decide()
			}
		})
		b.Run(fmt.Sprintf("message/workers=%d", n), func(b *testing.B) {
			for range b.N {
				ow.buildExchange("w0001", ow.statuses["w0001"])
			}
		})
	}
}

// TestExchangeSize checks that an exchange without events with a worker of
// twelve tasks takes less than 4 KiB in both directions together.
func TestExchangeSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tc := newTestCell(1)
		defer tc.stop()
		var ex worker.Exchange
		re := worker.Report{Worker: "w0", Incarnation: "0190e8a1-0000-7000-8000-000000000000", Term: 12, ClockMS: 123456789, ServiceUntilMS: 1, BatchUntilMS: 1}
		for i := range 12 {
			re.Tasks = append(re.Tasks, worker.TaskReport{Task: fmt.Sprintf("job%05d/%d", i, i), Attempt: 1, State: worker.StateRunning, CheckpointMS: 60_000, UsedMilliCores: 2000, TailMS: 61.5})
		}
		ex = worker.Exchange{Owner: "e1-0190e8a1", Term: 12, Seq: 123456, Incarnation: re.Incarnation, ServiceUntilMS: 123456789, BatchUntilMS: 123456789}
		request, err := json.Marshal(ex)
		c.Assert(err, qt.IsNil)
		reply, err := json.Marshal(re)
		c.Assert(err, qt.IsNil)
		c.Logf("request of %d bytes, reply of %d", len(request), len(reply))
		c.Assert(len(request)+len(reply) < 4096, qt.IsTrue)
	})
}
