package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// mixture fills a cell as the users do: endless services on most of the
// processors, and fillers that wait for a good place.
func mixture(la *lab, ow *Owner, workers int) {
	n := 0
	for i := range workers {
		sp := job.Spec{Payload: "serve", Steps: []job.Step{{
			Tasks: 4, Each: worker.Resources{MilliCores: 6400, MemMB: 13000}, Endless: true, TargetMS: 24, Image: fmt.Sprint("s", i%5),
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

// BenchmarkPlace measures one round of placement with nothing to be placed but
// fillers that no worker welcomes.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{48, 350, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			la := newLab(b, workers)
			la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
			ow, end := la.own()
			defer end()
			time.Sleep(200 * time.Millisecond)
			mixture(la, ow, workers)
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

// BenchmarkAttempts measures the owner's work for attempts from start to end,
// with stand-ins in the same process.
func BenchmarkAttempts(b *testing.B) {
	la := newLab(b, 48)
	la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 5 * time.Millisecond, "done" }
	ow, end := la.own()
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
