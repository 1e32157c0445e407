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

// idleOwner is an owner without a loop, for decisions by themselves.
func idleOwner(t *testing.T) *Owner {
	t.Helper()
	ow := New(&Owner{Log: slog.New(slog.DiscardHandler), Limits: Limits{HarmAfter: 4 * time.Second}})
	ow.ctx = t.Context()
	return ow
}

// emptyHost is a worker of 32 cores with nothing on it.
func emptyHost(ow *Owner, name string) *workerState {
	ho := &workerState{
		WorkerEntry: WorkerEntry{Service: testService, Capacity: worker.Resources{MilliCores: 32_000, MemMB: 128_000}},
		ow:          ow, incarnation: worker.Incarnation{ID: name}, settled: true, attempts: map[*attempt]bool{},
	}
	ow.hosts[ho.incarnation] = ho
	return ho
}

// serviceStep is a step of tasks that serve within a target.
func serviceStep(tasks int, image string) job.Step {
	return job.Step{Tasks: tasks, Each: worker.Resources{MilliCores: 6000}, Endless: true, TargetMS: testTargetMS, Image: image}
}

func addJob(ow *Owner, n int, st job.Step) *entry {
	return ow.add(job.New(jobID(n), job.Terms{Service: testService, MaxFailures: 1}, job.Spec{Steps: []job.Step{st}}))
}

// TestReplicasOfOneStepSideBySide has two workers with one service of the same
// image each: a job's next task goes where its first is, although the other
// worker is fuller.
func TestReplicasOfOneStepSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := idleOwner(t)
		own, other := emptyHost(ow, "own"), emptyHost(ow, "other")
		en, stranger := addJob(ow, 1, serviceStep(2, "s")), addJob(ow, 2, serviceStep(1, "s"))
		own.addAttempt(&attempt{ho: own, en: en, number: 1})
		other.addAttempt(&attempt{ho: other, en: stranger, number: 1})
		other.reserved = other.reserved.With(worker.Resources{MilliCores: 8000})
		pl := ow.newPlacer()
		ca := pl.rank(en, 0, false).best()
		qt.Assert(t, ca.ho.incarnation.ID, qt.Equals, "own")
	})
}

// TestImagesKeepApart has two workers of 64 cores, one with a service of another
// image and one empty: the service goes to the empty one, although the other is
// fuller, since beside another image it would leave less room to fillers.
func TestImagesKeepApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := idleOwner(t)
		mixed, empty := emptyHost(ow, "mixed"), emptyHost(ow, "empty")
		for _, ho := range []*workerState{mixed, empty} {
			ho.Capacity = worker.Resources{MilliCores: 64_000, MemMB: 256_000}
		}
		stranger := addJob(ow, 1, serviceStep(1, "other"))
		mixed.addAttempt(&attempt{ho: mixed, en: stranger, number: 1})
		mixed.reserved = mixed.reserved.With(worker.Resources{MilliCores: 48_000})
		ca := ow.newPlacer().rank(addJob(ow, 2, serviceStep(1, "s")), 0, false).best()
		qt.Assert(t, ca.ho.incarnation.ID, qt.Equals, "empty")
	})
}

// learnt returns a model that knows the drops of two images of services beside
// the fillers f0, f1 and so on.
func learnt(one, other []float64) interfere.Model {
	var list []interfere.Learnt
	for image, drops := range map[string][]float64{"one": one, "other": other} {
		for i, drop := range drops {
			list = append(list, interfere.Learnt{Pair: interfere.Pair{Service: image, Filler: fmt.Sprint("f", i)}, Drop: drop})
		}
	}
	return interfere.FromLearnt(list)
}

// TestImagesThatSufferAlike has a worker with a service of another image and an
// empty one: the service joins the other if the same fillers are bad for both.
func TestImagesThatSufferAlike(t *testing.T) {
	for _, tc := range []struct {
		name  string
		model interfere.Model
		want  string
	}{
		{"alike", learnt([]float64{11, 0, 1, 10}, []float64{10, 1, 0, 12}), "other"},
		{"unlike", learnt([]float64{11, 0, 1, 10}, []float64{1, 10, 11, 0}), "empty"},
		{"too little known", learnt([]float64{11, 0}, []float64{11, 0}), "empty"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ow := idleOwner(t)
				ow.model = tc.model
				emptyHost(ow, "empty")
				other := emptyHost(ow, "other")
				other.addAttempt(&attempt{ho: other, en: addJob(ow, 1, serviceStep(1, "other")), number: 1})
				ca := ow.newPlacer().rank(addJob(ow, 2, serviceStep(1, "one")), 0, false).best()
				qt.Assert(t, ca.ho.incarnation.ID, qt.Equals, tc.want)
			})
		})
	}
}

// TestShortTasksBeforeEndless has an endless job and short ones, the endless one
// handed in after the first: it takes its turn by age alone.
func TestShortTasksBeforeEndless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := idleOwner(t)
		short := job.Step{Tasks: 2, Each: worker.Resources{MilliCores: 3000}, EstimateMS: 1000}
		ow.touch(addJob(ow, 1, short))
		ow.touch(addJob(ow, 2, serviceStep(9, "s")))
		for n := range 3 {
			ow.touch(addJob(ow, n+3, short))
		}
		ow.sortActive(time.Now())
		var order []int
		for _, en := range ow.active {
			order = append(order, en.jo.Spec.Steps[0].Tasks)
		}
		qt.Assert(t, order, qt.DeepEquals, []int{2, 2, 9, 2, 2})
	})
}

// TestFullerWorkerFirst has a short task for two workers of different sizes: it
// goes where the smaller share is free, although more is.
func TestFullerWorkerFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := idleOwner(t)
		emptyHost(ow, "empty")
		fuller := emptyHost(ow, "fuller")
		fuller.Capacity = worker.Resources{MilliCores: 96_000, MemMB: 384_000}
		fuller.reserved = worker.Resources{MilliCores: 56_000}
		ca := ow.newPlacer().rank(addJob(ow, 1, job.Step{Tasks: 1, Each: worker.Resources{MilliCores: 3000}}), 0, false).best()
		qt.Assert(t, ca.ho.incarnation.ID, qt.Equals, "fuller")
	})
}

// TestSmallJobsGoFirst has jobs that came in the order of their sizes, the
// largest first: two take their turn by size for one that does by age.
func TestSmallJobsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := idleOwner(t)
		for i, tasks := range []int{60, 50, 40, 30, 20, 10} {
			ow.touch(addJob(ow, i, job.Step{Tasks: tasks, Each: worker.Resources{MilliCores: 3000}, EstimateMS: 1000}))
		}
		ow.sortActive(time.Now())
		var order []int
		for _, en := range ow.active {
			order = append(order, en.jo.Spec.Steps[0].Tasks)
		}
		qt.Assert(t, order, qt.DeepEquals, []int{60, 10, 20, 50, 30, 40})
	})
}

// TestJobsWithoutHopeTakeNoTurns has an old job that is too late for its caller:
// those that can be in time take their turns among themselves.
func TestJobsWithoutHopeTakeNoTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := idleOwner(t)
		for i, tasks := range []int{99, 60, 10, 20} {
			en := addJob(ow, i, job.Step{Tasks: tasks, Each: worker.Resources{MilliCores: 3000}, EstimateMS: 1000})
			en.aimMS = 2000
			if tasks == 99 {
				en.acceptedAt = time.Now().Add(-time.Minute)
			}
			ow.touch(en)
		}
		ow.sortActive(time.Now())
		var order []int
		for _, en := range ow.active {
			order = append(order, en.jo.Spec.Steps[0].Tasks)
		}
		qt.Assert(t, order, qt.DeepEquals, []int{60, 10, 20, 99})
	})
}

// TestOneRoundOfPlacementAWrite has jobs come in one after the other while the
// store is slow: they are placed together when a write can go out.
func TestOneRoundOfPlacementAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 4)
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		la.table.Gate.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
		before, err := ask(t.Context(), ow, func(answer func(int)) { answer(ow.rounds) })
		qt.Assert(t, err, qt.IsNil)
		for n := range 20 {
			go la.submit(ow, n, batch(1, 2))
			time.Sleep(10 * time.Millisecond)
		}
		after, err := ask(t.Context(), ow, func(answer func(int)) { answer(ow.rounds) })
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, after-before <= 1, qt.IsTrue, qt.Commentf("%d rounds within one write", after-before))
	})
}

// TestEndlessTasksFindRoom has short tasks come all the time and take each part
// of a worker as it gets free: a large endless task starts all the same.
func TestEndlessTasksFindRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 2)
		la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
			id, _, _ := job.ParseTaskID(at.Task)
			if la.spec(id).Steps[0].Endless {
				return -1, ""
			}
			return 700 * time.Millisecond, "done"
		}
		ow, end := la.own()
		defer end()
		time.Sleep(time.Second)
		large := longRunning(1)
		large.Steps[0].Each = worker.Resources{MilliCores: 20_000, MemMB: 20_000}
		n := 0
		stream := func(seconds int) {
			for range seconds * 20 {
				n++
				short := batch(1, 3)
				short.Steps[0].Each = worker.Resources{MilliCores: 1500, MemMB: 1000}
				go la.submit(ow, n, short)
				time.Sleep(50 * time.Millisecond)
			}
		}
		stream(2)
		go la.submit(ow, 1_000_000, large)
		stream(4)
		started := false
		for _, ru := range la.fleet.Runs() {
			id, _, _ := job.ParseTaskID(ru.Task)
			started = started || id == jobID(1_000_000)
		}
		qt.Assert(t, started, qt.IsTrue)
	})
}
