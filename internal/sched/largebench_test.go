package sched

import (
	"testing"
	"time"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// largeCell is the number of workers of the benchmarks of large cells.
const largeCell = 1100

// startLargeCell starts an owner of a cell of largeCell workers that are full of services and
// fillers.
func startLargeCell(b *testing.B) (*Owner, func()) {
	b.Helper()
	la := newLab(b, largeCell)
	la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return -1, "" }
	ow, end := la.startOwner()
	time.Sleep(500 * time.Millisecond)
	fillWithServicesAndFillers(la, ow, largeCell)
	time.Sleep(2 * time.Second)
	return ow, end
}

// inLoop measures fn in the loop of an owner.
func inLoop(b *testing.B, ow *Owner, fn func()) {
	b.Helper()
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		done := make(chan struct{})
		ow.post(func() { fn(); close(done) })
		<-done
	}
}

// BenchmarkLargeTick measures what the owner of a large cell does every tickInterval.
func BenchmarkLargeTick(b *testing.B) {
	ow, end := startLargeCell(b)
	defer end()
	inLoop(b, ow, ow.tick)
}

// BenchmarkLargePolls measures the handling of one poll of each worker.
func BenchmarkLargePolls(b *testing.B) {
	ow, end := startLargeCell(b)
	defer end()
	clockMS := time.Now().UnixMilli()
	inLoop(b, ow, func() {
		clockMS += 10
		for _, wk := range ow.workers {
			res := worker.PollResult{ClockMS: clockMS}
			for at := range wk.attempts {
				res.Running = append(res.Running, worker.RunningAttempt{Attempt: at.name(), Percent: 100, Usage: 20})
			}
			now := time.Now()
			wk.handlePoll(now, now, wk.currentPath().fence, res, nil)
		}
	})
}
