package place

import (
	"fmt"
	"testing"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// The target is 115,000 tasks on 9,200 workers, some 12 on each.
const (
	benchRunning = 12
	benchWaiting = 200
)

// benchSnapshot returns a cell of n nearly full workers, with tasks waiting.
func benchSnapshot(n int) Snapshot {
	sn := Snapshot{Policy: Policy{TailTargetMS: 100, WeightTail: 1, WeightEvictions: 1, WeightBatch: 1}, Model: &Model{}}
	each := worker.Resources{MilliCores: 2000, MemMB: 4000}
	for i := range n {
		wo := Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/8), Capacity: worker.Resources{MilliCores: 30_000, MemMB: 125_000}}
		for k := range benchRunning {
			wo.Used = wo.Used.Add(each)
			sn.Tasks = append(sn.Tasks, Task{
				ID: fmt.Sprintf("t%04d-%02d", i, k), Job: fmt.Sprintf("j%d", k), Kind: fmt.Sprintf("k%d", k%5),
				Service: k < 7, Each: each, Worker: wo.ID, Share: 1, TailMS: 60, Fresh: true,
			})
		}
		sn.Workers = append(sn.Workers, wo)
	}
	for k := range benchWaiting {
		sn.Tasks = append(sn.Tasks, Task{ID: fmt.Sprintf("wait%03d", k), Job: "b", Kind: "k1", Each: each, Order: int64(k), Share: 1})
	}
	return sn
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{50, 500, 1022} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				sn := benchSnapshot(n)
				b.StartTimer()
				Decide(sn)
			}
		})
	}
}
