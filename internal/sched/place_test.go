package sched

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/interfere"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// ownerWithoutLoop returns an owner whose loop does not run, to test its decisions
// directly.
func ownerWithoutLoop(t *testing.T) *Owner {
	t.Helper()
	ow := New(&Owner{Log: slog.New(slog.DiscardHandler), Limits: Limits{HarmAfter: 4 * time.Second}})
	ow.ctx = t.Context()
	return ow
}

// addEmptyWorker adds a settled worker of 32 cores that runs nothing.
func addEmptyWorker(ow *Owner, name string) *workerState {
	wk := &workerState{
		WorkerEntry: WorkerEntry{Service: testService, Capacity: worker.Resources{MilliCores: 32_000, MemMB: 128_000}},
		ow:          ow, incarnation: worker.Incarnation{ID: name}, settled: true, attempts: map[*attempt]bool{},
	}
	ow.workers[wk.incarnation] = wk
	return wk
}

// serviceStep returns a step of services with a latency target.
func serviceStep(tasks int, image string) job.Step {
	return job.Step{Tasks: tasks, Each: worker.Resources{MilliCores: 6000}, LongRunning: true, TargetMS: testTargetMS, Image: image}
}

func addJob(ow *Owner, n int, st job.Step) *trackedJob {
	return ow.addJob(job.New(jobID(n), job.Terms{Service: testService, MaxFailures: 1}, job.Spec{Steps: []job.Step{st}}))
}

// TestReplicasOfOneStepShareWorker has two workers with one service of the same image each:
// the next replica of a job goes to the worker of its first, although the other worker has
// less capacity free.
func TestReplicasOfOneStepShareWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := ownerWithoutLoop(t)
		own, other := addEmptyWorker(ow, "own"), addEmptyWorker(ow, "other")
		tj, otherJob := addJob(ow, 1, serviceStep(2, "s")), addJob(ow, 2, serviceStep(1, "s"))
		own.addAttempt(&attempt{wk: own, tj: tj, number: 1})
		other.addAttempt(&attempt{wk: other, tj: otherJob, number: 1})
		other.reserved = other.reserved.Add(worker.Resources{MilliCores: 8000})
		pl := ow.newPlacer()
		ca := pl.rank(tj, 0, false).best()
		qt.Assert(t, ca.wk.incarnation.ID, qt.Equals, "own")
	})
}

// TestServicesOfDifferentImagesAreSeparated has two workers of 64 cores, one with a service
// of another image and one empty: the service goes to the empty one, although the other is
// fuller, since two images on one worker leave less capacity to fillers.
func TestServicesOfDifferentImagesAreSeparated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := ownerWithoutLoop(t)
		mixed, empty := addEmptyWorker(ow, "mixed"), addEmptyWorker(ow, "empty")
		for _, wk := range []*workerState{mixed, empty} {
			wk.Capacity = worker.Resources{MilliCores: 64_000, MemMB: 256_000}
		}
		otherJob := addJob(ow, 1, serviceStep(1, "other"))
		mixed.addAttempt(&attempt{wk: mixed, tj: otherJob, number: 1})
		mixed.reserved = mixed.reserved.Add(worker.Resources{MilliCores: 48_000})
		ca := ow.newPlacer().rank(addJob(ow, 2, serviceStep(1, "s")), 0, false).best()
		qt.Assert(t, ca.wk.incarnation.ID, qt.Equals, "empty")
	})
}

// modelWithDrops returns a model with known drops of headroom for two service images beside
// the fillers f0, f1 and so on.
func modelWithDrops(one, other []float64) interfere.Model {
	var list []interfere.PairEstimate
	for image, drops := range map[string][]float64{"one": one, "other": other} {
		for i, drop := range drops {
			list = append(list, interfere.PairEstimate{Pair: interfere.Pair{Service: image, Filler: fmt.Sprint("f", i)}, Drop: drop})
		}
	}
	return interfere.Restore(list)
}

// TestImagesWithSimilarInterferenceShareWorker has a worker with a service of another image
// and an empty one: the service joins the other only if the same fillers are known to
// affect both.
func TestImagesWithSimilarInterferenceShareWorker(t *testing.T) {
	for _, tc := range []struct {
		name  string
		model interfere.Model
		want  string
	}{
		{"alike", modelWithDrops([]float64{11, 0, 1, 10}, []float64{10, 1, 0, 12}), "other"},
		{"unlike", modelWithDrops([]float64{11, 0, 1, 10}, []float64{1, 10, 11, 0}), "empty"},
		{"too little known", modelWithDrops([]float64{11, 0}, []float64{11, 0}), "empty"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ow := ownerWithoutLoop(t)
				ow.model = tc.model
				addEmptyWorker(ow, "empty")
				other := addEmptyWorker(ow, "other")
				other.addAttempt(&attempt{wk: other, tj: addJob(ow, 1, serviceStep(1, "other")), number: 1})
				ca := ow.newPlacer().rank(addJob(ow, 2, serviceStep(1, "one")), 0, false).best()
				qt.Assert(t, ca.wk.incarnation.ID, qt.Equals, tc.want)
			})
		})
	}
}

// TestLongRunningJobTakesTurnByAgeOnly has a long-running job that is submitted after the first
// of several short ones: it gets a turn by age, but none by size.
func TestLongRunningJobTakesTurnByAgeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := ownerWithoutLoop(t)
		short := job.Step{Tasks: 2, Each: worker.Resources{MilliCores: 3000}, EstimateMS: 1000}
		ow.markDirty(addJob(ow, 1, short))
		ow.markDirty(addJob(ow, 2, serviceStep(9, "s")))
		for n := range 3 {
			ow.markDirty(addJob(ow, n+3, short))
		}
		ow.sortWaitingJobs(time.Now())
		var order []int
		for _, tj := range ow.waitingJobs {
			order = append(order, tj.jo.Spec.Steps[0].Tasks)
		}
		qt.Assert(t, order, qt.DeepEquals, []int{2, 2, 9, 2, 2})
	})
}

// TestSmallestFreeShareFirst has two workers of different sizes: a short task goes to the one
// with the smaller free share, although more of its cores are free.
func TestSmallestFreeShareFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := ownerWithoutLoop(t)
		addEmptyWorker(ow, "empty")
		fuller := addEmptyWorker(ow, "fuller")
		fuller.Capacity = worker.Resources{MilliCores: 96_000, MemMB: 384_000}
		fuller.reserved = worker.Resources{MilliCores: 56_000}
		ca := ow.newPlacer().rank(addJob(ow, 1, job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 3000}}), 0, false).best()
		qt.Assert(t, ca.wk.incarnation.ID, qt.Equals, "fuller")
	})
}

// TestTurnsOfLargestJobs has a queue that neglects its largest: two jobs by size, the smallest
// first, follow each of the largest.
func TestTurnsOfLargestJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := ownerWithoutLoop(t)
		neglectLargest(ow, "")
		for i, tasks := range []int{60, 50, 40, 30, 20, 10} {
			ow.markDirty(addJob(ow, i, job.Step{Tasks: tasks, Each: worker.Resources{MilliCores: 3000}, EstimateMS: 1000}))
		}
		ow.sortWaitingJobs(time.Now())
		var order []int
		for _, tj := range ow.waitingJobs {
			order = append(order, tj.jo.Spec.Steps[0].Tasks)
		}
		qt.Assert(t, order, qt.DeepEquals, []int{60, 10, 20, 50, 30, 40})
	})
}

// TestInfeasibleJobsTakeNoTurns has an old job that can no longer finish in time: it comes
// after those that can, which take turns among themselves.
func TestInfeasibleJobsTakeNoTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := ownerWithoutLoop(t)
		neglectLargest(ow, "")
		for i, tasks := range []int{99, 60, 10, 20} {
			tj := addJob(ow, i, job.Step{Tasks: tasks, Each: worker.Resources{MilliCores: 3000}, EstimateMS: 1000})
			tj.targetMS = 2000
			if tasks == 99 {
				tj.acceptedAt = time.Now().Add(-time.Minute)
			}
			ow.markDirty(tj)
		}
		ow.sortWaitingJobs(time.Now())
		var order []int
		for _, tj := range ow.waitingJobs {
			order = append(order, tj.jo.Spec.Steps[0].Tasks)
		}
		qt.Assert(t, order, qt.DeepEquals, []int{60, 10, 20, 99})
	})
}

// TestOnePlacementRoundPerWrite submits jobs one after the other while the store is slow:
// they are placed together, once a write can go out.
func TestOnePlacementRoundPerWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 4)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
		before, err := call(t.Context(), ow, func(answer func(int)) { answer(ow.placementRounds) })
		qt.Assert(t, err, qt.IsNil)
		for n := range 20 {
			go la.submit(ow, n, batch(1, 2))
			time.Sleep(10 * time.Millisecond)
		}
		after, err := call(t.Context(), ow, func(answer func(int)) { answer(ow.placementRounds) })
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, after-before <= 1, qt.IsTrue, qt.Commentf("%d rounds within one write", after-before))
	})
}

// TestLongRunningTaskIsNotStarvedByShortTasks submits short tasks all the time, which take any
// capacity as it becomes free: a large long-running task starts all the same.
func TestLongRunningTaskIsNotStarvedByShortTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
			id, _, _ := job.ParseTaskID(at.Task)
			if la.spec(id).Steps[0].LongRunning {
				return -1, ""
			}
			return 700 * time.Millisecond, "done"
		}
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		large := longRunning(1)
		large.Steps[0].Each = worker.Resources{MilliCores: 20_000, MemMB: 20_000}
		n := 0
		submitShort := func(seconds int) {
			for range seconds * 20 {
				n++
				short := batch(1, 3)
				short.Steps[0].Each = worker.Resources{MilliCores: 1500, MemMB: 1000}
				go la.submit(ow, n, short)
				time.Sleep(50 * time.Millisecond)
			}
		}
		submitShort(2)
		go la.submit(ow, 1_000_000, large)
		submitShort(4)
		started := false
		for _, ru := range la.fleet.Runs() {
			id, _, _ := job.ParseTaskID(ru.Task)
			started = started || id == jobID(1_000_000)
		}
		qt.Assert(t, started, qt.IsTrue)
	})
}

// TestUnansweredWorkerIsChosenLast guards against long-running tasks that go to a worker from which
// nothing is answered because it runs services of the same image.
func TestUnansweredWorkerIsChosenLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := ownerWithoutLoop(t)
		silent, other := addEmptyWorker(ow, "silent"), addEmptyWorker(ow, "other")
		silent.DataCentre, other.DataCentre = "a", "b"
		tj := addJob(ow, 1, serviceStep(2, "s"))
		silent.addAttempt(&attempt{wk: silent, tj: tj, number: 1})
		other.addAttempt(&attempt{wk: other, tj: addJob(ow, 2, serviceStep(1, "other")), number: 1})
		silent.recordAnswered(time.Now())
		time.Sleep(time.Second)
		silent.recordUnanswered(time.Now())
		qt.Assert(t, ow.newPlacer().rank(tj, 0, false).best().wk.incarnation.ID, qt.Equals, "other")
	})
}
