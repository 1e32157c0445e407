package sched

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// fillWithServicesAndFillers fills a cell with the users' mix of jobs: long-running services on
// most of the CPUs, and fillers that wait for a suitable worker.
func fillWithServicesAndFillers(la *lab, ow *Owner, workers int) {
	n := 0
	for i := range workers {
		sp := job.Spec{Payload: "serve", Steps: []job.Step{{
			Tasks: 4, Each: worker.Resources{MilliCores: 6400, MemMB: 13000}, LongRunning: true, TargetMS: 24, Image: fmt.Sprint("s", i%5),
		}}}
		n++
		la.submit(ow, n, sp)
	}
	for i := range workers {
		sp := job.Spec{Payload: "fill", Steps: []job.Step{{
			Tasks: 8, Each: worker.Resources{MilliCores: 3500, MemMB: 6400}, EstimateMS: 2000, Filler: true, Checkpoints: true, Image: fmt.Sprint("f", i%9),
		}}}
		n++
		la.submit(ow, n, sp)
	}
}

// BenchmarkPlace measures one round of placement in which only fillers wait, and no worker
// takes them.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{48, 66, 350, 490, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			la := newLab(b, workers)
			la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
			ow, end := la.startOwner()
			defer end()
			time.Sleep(200 * time.Millisecond)
			fillWithServicesAndFillers(la, ow, workers)
			time.Sleep(time.Second)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				done := make(chan struct{})
				ow.post(func() { ow.place(); close(done) })
				<-done
			}
		})
	}
}

// BenchmarkAttempts measures the owner's work for attempts from start to end, with simulated
// workers in the same process.
func BenchmarkAttempts(b *testing.B) {
	la := newLab(b, 48)
	la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 5 * time.Millisecond, "done" }
	ow, end := la.startOwner()
	defer end()
	time.Sleep(200 * time.Millisecond)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		la.submit(ow, n, batch(1, 10))
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(10*n), "us/attempt")
}

// BenchmarkNextStart measures the time from the end of a step's last task at its worker to
// the first start of the next step, with a store that takes 12 ms for a write.
func BenchmarkNextStart(b *testing.B) {
	for _, workers := range []int{48, 350} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			la := newLab(b, workers)
			la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 50 * time.Millisecond, "done" }
			ow, end := la.startOwner()
			defer end()
			time.Sleep(200 * time.Millisecond)
			la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 12})
			n := 0
			for b.Loop() {
				n++
				la.submit(ow, n, batch(2, 8))
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(time.Second)
			gaps := la.stepGaps(n)
			b.ReportMetric(percentile(gaps, 0.5), "p50-ms")
			b.ReportMetric(percentile(gaps, 0.99), "p99-ms")
		})
	}
}

// stepGaps returns the times between the end of the first step and the start of the
// second of all jobs that have started it, sorted.
func (la *lab) stepGaps(jobs int) []time.Duration {
	last, first := make([]time.Time, jobs+1), make([]time.Time, jobs+1)
	for _, ru := range la.fleet.Runs() {
		id, ref, _ := job.ParseTaskID(ru.Task)
		n, err := strconv.ParseInt(id, 16, 64)
		if err != nil {
			continue
		}
		if ref.Step == 0 && ru.Until.After(last[n]) {
			last[n] = ru.Until
		}
		if ref.Step == 1 && (first[n].IsZero() || ru.From.Before(first[n])) {
			first[n] = ru.From
		}
	}
	var gaps []time.Duration
	for n := 1; n <= jobs; n++ {
		if !first[n].IsZero() {
			gaps = append(gaps, first[n].Sub(last[n]))
		}
	}
	slices.Sort(gaps)
	return gaps
}

// percentile returns a percentile, given as a fraction, in milliseconds.
func percentile(sorted []time.Duration, part float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(part*float64(len(sorted)-1))].Microseconds()) / 1000
}

// BenchmarkLoad measures how long a new owner takes to read its cell.
func BenchmarkLoad(b *testing.B) {
	for _, jobs := range []int{500, 5000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			la := newLab(b, 1)
			fillTable(b, la, jobs)
			ow := New(&Owner{Cell: "c0", Tenure: la.claim(), Table: la.table.Client(), Log: la.log})
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				if err := ow.loadOnce(context.Background(), ow.Table); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// fillTable writes jobs of 16 tasks, half of which are done.
func fillTable(b *testing.B, la *lab, jobs int) {
	b.Helper()
	for n := range jobs {
		jo := job.New(jobID(n), job.Terms{Queue: "q", Service: testService, MaxFailures: 2}, batch(2, 8))
		for i := range 8 {
			ref := job.TaskRef{Step: 0, Index: i}
			jo.End(ref, jo.Start(ref, worker.Incarnation{ID: "i-0"}), job.EndDone, "")
		}
		txn, err := store.NewTxn().WithPut("jobs/c0/"+jo.ID, 0, jo.SpecRow())
		if err == nil {
			txn, err = txn.WithPut("progress/c0/"+jo.ID, 0, jo.NextRow(1))
		}
		if err != nil {
			b.Fatal(err)
		}
		if _, err := la.table.Client().Commit(context.Background(), txn); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStartCopies measures one decision on copies, with 350 workers, 2,500 tasks without copies
// and 500 that are not late, which may have copies or not.
func BenchmarkStartCopies(b *testing.B) {
	for name, mayCopy := range map[string]bool{"copies": true, "none": false} {
		b.Run(name, func(b *testing.B) {
			ow := New(&Owner{Log: slog.New(slog.DiscardHandler)})
			for i := range 350 {
				addEmptyWorker(ow, fmt.Sprint("w", i))
			}
			workers, now := ow.sortedWorkers(), time.Now()
			for n := range 100 {
				st := job.Step{Tasks: 25, EstimateMS: 1000, LongRunning: n%2 == 0, Filler: n%2 == 1}
				if n < 20 {
					st = job.Step{Tasks: 25, EstimateMS: 1000, Copies: mayCopy}
				} else if n < 30 {
					st.Tasks = 50
				}
				tj := addJob(ow, n, st)
				tj.jo.Terms.MaxFailures = 3
				for i := range st.Tasks {
					wk, ref := workers[(30*n+i)%len(workers)], job.TaskRef{Index: i}
					wk.addAttempt(&attempt{ref: ref, number: tj.jo.Start(ref, wk.incarnation), wk: wk, tj: tj, launchedAt: now, lastSeenAt: now.Add(time.Second), progress: 90, beganClock: now, seenClock: now.Add(time.Second)})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				ow.startCopies(now)
			}
		})
	}
}
