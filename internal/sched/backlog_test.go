package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// fillWithBacklog fills a cell with long-running tasks of many sizes, kills 30% of its workers,
// and submits more short jobs than there is capacity for.
func fillWithBacklog(la *lab, ow *Owner, workers int) {
	n := 0
	for i := range 3 * workers / 10 {
		n++
		each := worker.Resources{MilliCores: 8000 + int64(i*137%7000), MemMB: 6000 + int64(i*311%9000)}
		la.submit(ow, n, job.Spec{Payload: "serve", Steps: []job.Step{{Tasks: 8, Each: each, LongRunning: true, TargetMS: 24, Image: fmt.Sprint("s", i%5)}}})
	}
	time.Sleep(time.Second)
	for _, fw := range la.fleetWorkers[:3*workers/10] {
		la.fleet.Kill(fw)
	}
	time.Sleep(9 * time.Second)
	for i := range 4 * workers {
		n++
		each := worker.Resources{MilliCores: 8000 + int64(i*171%9000), MemMB: 9000 + int64(i*411%9000)}
		la.submit(ow, n, job.Spec{Payload: "batch", Steps: []job.Step{{Tasks: 12, Each: each, EstimateMS: 1000, Filler: i%3 == 0, Image: fmt.Sprint("f", i%9)}}})
	}
	time.Sleep(time.Second)
}

// BenchmarkBacklog measures one tick and one round of placement while many tasks wait for
// capacity.
func BenchmarkBacklog(b *testing.B) {
	for _, workers := range []int{48, 350} {
		la := newLab(b, workers)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(200 * time.Millisecond)
		fillWithBacklog(la, ow, workers)
		for name, fn := range map[string]func(){"tick": ow.tick, "place": ow.place} {
			b.Run(fmt.Sprint(workers, "/", name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					done := make(chan struct{})
					ow.post(func() { fn(); close(done) })
					<-done
				}
			})
		}
	}
}

// BenchmarkBacklogServed measures the owner while it works through a backlog for 10 s.
func BenchmarkBacklogServed(b *testing.B) {
	la := newLab(b, 350)
	la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		if id, _, _ := job.ParseTaskID(at.Task); id <= jobID(105) {
			return -1, ""
		}
		return 700 * time.Millisecond, "done"
	}
	ow, end := la.startOwner()
	defer end()
	time.Sleep(200 * time.Millisecond)
	fillWithBacklog(la, ow, 350)
	for b.Loop() {
		time.Sleep(10 * time.Second)
	}
}
