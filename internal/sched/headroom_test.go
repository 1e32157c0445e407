package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/headroom"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// mixedLoad is a load of long-running and short jobs, and what became of it.
type mixedLoad struct {
	*lab

	rng *rand.Rand
	// cores are those of the smaller workers, longCores those of a long-running task,
	// shortCores the mean of a short task. workers, stable and rates scale with size.
	cores, longCores, shortCores float64
	size                         float64
	// jobs counts the submitted jobs, submitted has the time of each short one.
	jobs      int
	submitted map[string]time.Time
	// durations has the duration of the tasks of each short job.
	durations map[string]time.Duration
	// atWork adds up the long-running tasks that run, sampled every 2 s.
	atWork int
}

func newMixedLoad(t *testing.T, cores, longCores, shortCores, size float64) *mixedLoad {
	t.Helper()
	ml := &mixedLoad{
		lab: newLab(t, int(350*size)), rng: rand.New(rand.NewPCG(1, 2)), cores: cores, longCores: longCores, shortCores: shortCores, size: size,
		submitted: map[string]time.Time{}, durations: map[string]time.Duration{},
	}
	for i, fw := range ml.fleetWorkers {
		fw.Capacity = coresOf(cores)
		if i%3 == 0 {
			fw.Capacity = coresOf(1.5 * cores)
		}
	}
	ml.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		id, _, _ := job.ParseTaskID(at.Task)
		ml.mu.Lock()
		defer ml.mu.Unlock()
		if d, ok := ml.durations[id]; ok {
			return d, "done"
		}
		return -1, ""
	}
	return ml
}

func coresOf(n float64) worker.Resources { return worker.Resources{MilliCores: int64(1000 * n)} }

// submitLong submits a long-running job, which is cancelled after the given time, or never if that
// is 0.
func (ml *mixedLoad) submitLong(ow *Owner, until time.Duration) {
	ml.jobs++
	n := ml.jobs
	sp := job.Spec{Steps: []job.Step{{Tasks: 14, Each: coresOf(ml.longCores), LongRunning: true}}}
	go func() {
		ml.submit(ow, n, sp)
		if until > 0 && clock.Sleep(ow.ctx, until) {
			_, _ = ow.Cancel(ow.ctx, jobID(n))
		}
	}()
}

// submitShort submits a short job of one to three steps.
func (ml *mixedLoad) submitShort(ow *Owner) {
	ml.jobs++
	n := ml.jobs
	var sp job.Spec
	for i := range []int{1, 1, 1, 2, 3}[ml.rng.IntN(5)] {
		tasks := min(1+int(9.5*ml.rng.ExpFloat64()), 57)
		st := job.Step{Tasks: tasks, Each: coresOf(min(1+(ml.shortCores-1)*ml.rng.ExpFloat64(), 3*ml.shortCores)), EstimateMS: 800}
		if i > 0 {
			st.After = []int{i - 1}
		}
		sp.Steps = append(sp.Steps, st)
	}
	ml.mu.Lock()
	ml.submitted[jobID(n)] = time.Now()
	ml.durations[jobID(n)] = time.Duration(400+ml.rng.IntN(800)) * time.Millisecond
	ml.mu.Unlock()
	go ml.submit(ow, n, sp)
}

// run submits jobs for the given time: short ones at random, with bursts of 3 s in every 15 s, and
// long-running ones that are cancelled after 70 s on average.
func (ml *mixedLoad) run(ow *Owner, d time.Duration) {
	began := time.Now()
	nextShort, nextLong, nextSample := began, began, began
	for now := began; now.Sub(began) < d; now = time.Now() {
		rate := 12.5 * ml.size
		if now.Sub(began)%(15*time.Second) > 12*time.Second {
			rate *= 1.8
		}
		switch {
		case !now.Before(nextShort):
			ml.submitShort(ow)
			nextShort = nextShort.Add(time.Duration(ml.rng.ExpFloat64() / rate * float64(time.Second)))
		case !now.Before(nextLong):
			ml.submitLong(ow, time.Duration(70*ml.rng.ExpFloat64()*float64(time.Second)))
			nextLong = nextLong.Add(time.Duration(ml.rng.ExpFloat64() / (0.62 * ml.size) * float64(time.Second)))
		case !now.Before(nextSample):
			ml.sample()
			nextSample = nextSample.Add(2 * time.Second)
		default:
			time.Sleep(min(nextShort.Sub(now), nextLong.Sub(now), nextSample.Sub(now)))
		}
	}
}

// sample counts the long-running tasks at work.
func (ml *mixedLoad) sample() {
	for _, ru := range ml.fleet.Runs() {
		id, _, _ := job.ParseTaskID(ru.Task)
		if _, short := ml.submitted[id]; !short && ru.Until.IsZero() {
			ml.atWork++
		}
	}
}

// waits returns how long the tasks of the first steps of short jobs that were submitted since a
// time waited for their start, sorted, and how many have not started.
func (ml *mixedLoad) waits(since time.Time) []time.Duration {
	started := map[string]time.Time{}
	for _, ru := range ml.fleet.Runs() {
		if _, ok := started[ru.Task]; !ok {
			started[ru.Task] = ru.From
		}
	}
	var list []time.Duration
	for id, at := range ml.submitted {
		if at.Before(since) {
			continue
		}
		for i := range ml.spec(id).Steps[0].Tasks {
			if from, ok := started[fmt.Sprintf("%s.0.0.%d", id, i)]; ok {
				list = append(list, from.Sub(at))
			} else {
				list = append(list, time.Since(at))
			}
		}
	}
	slices.Sort(list)
	return list
}

// mixedLoadResult is how long short tasks waited, and the mean number of long-running tasks at
// work.
type mixedLoadResult struct {
	p50, p95, p99 time.Duration
	// prompt is the share of the short tasks that waited for less than 0.25 s.
	prompt float64
	atWork int
}

// saturate starts an owner and submits long-running jobs until they wait for capacity.
func (ml *mixedLoad) saturate(without Mechanism) (*Owner, func()) {
	ow, end := ml.startOwner()
	ow.post(func() { ow.Without = without })
	time.Sleep(time.Second)
	for range int(117 * ml.size) {
		ml.submitLong(ow, 0)
	}
	time.Sleep(time.Second)
	ml.run(ow, time.Minute)
	return ow, end
}

// measure runs the load for the given time.
func (ml *mixedLoad) measure(ow *Owner, d time.Duration) mixedLoadResult {
	ml.atWork = 0
	began := time.Now()
	ml.run(ow, d)
	list := ml.waits(began)
	at := func(part float64) time.Duration { return list[int(part*float64(len(list)-1))] }
	prompt, _ := slices.BinarySearch(list, 250*time.Millisecond)
	return mixedLoadResult{p50: at(.5), p95: at(.95), p99: at(.99), prompt: float64(prompt) / float64(len(list)), atWork: ml.atWork / int(d/(2*time.Second))}
}

// TestHeadroomForShortWork guards against short tasks that wait for seconds because long-running
// tasks take all capacity that is freed, and against headroom that costs long-running work more
// than short work needs. The load has bursts, so fewer tasks find a worker at once than under the
// mean load that the margin is for.
func TestHeadroomForShortWork(t *testing.T) {
	for _, tc := range []struct{ cores, longCores, shortCores float64 }{{64, 13, 7.3}, {16, 3.2, 2}} {
		t.Run(fmt.Sprintf("%v cores", tc.cores), func(t *testing.T) {
			results := map[Mechanism]mixedLoadResult{}
			for _, without := range []Mechanism{0, MechHeadroom} {
				synctest.Test(t, func(t *testing.T) {
					ml := newMixedLoad(t, tc.cores, tc.longCores, tc.shortCores, 0.2)
					ow, end := ml.saturate(without)
					defer end()
					results[without] = ml.measure(ow, time.Minute)
					t.Logf("without %d: %+v", without, results[without])
				})
			}
			with, before := results[0], results[MechHeadroom]
			qt.Check(t, with.prompt > 0.9, qt.IsTrue)
			qt.Check(t, before.prompt < with.prompt-0.05, qt.IsTrue)
			qt.Check(t, 4*with.p95 < before.p95, qt.IsTrue)
			qt.Check(t, float64(with.atWork) > 0.9*float64(before.atWork), qt.IsTrue)
		})
	}
}

// TestHeadroomAfterTakeover guards against a new owner that gives the headroom to long-running
// tasks before it has measured the demand, or that takes the jobs it loads for a burst.
func TestHeadroomAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ml := newMixedLoad(t, 16, 3.2, 2, 0.2)
		old, end := ml.saturate(0)
		needed := old.shortNeed()
		end()
		ow, end := ml.startOwner()
		defer end()
		loaded := ow.shortNeed()
		qt.Check(t, loaded > needed/2 && loaded < 2*needed, qt.IsTrue, qt.Commentf("%d, was %d", loaded, needed))
		time.Sleep(time.Second)
		re := ml.measure(ow, 10*time.Second)
		qt.Check(t, re.prompt > 0.9, qt.IsTrue, qt.Commentf("%+v", re))
	})
}

// shortNeed returns the need of the short work of the lab's jobs.
func (ow *Owner) shortNeed() int64 {
	need := make(chan int64)
	ow.post(func() { need <- ow.demands.Load(headroom.Key{Service: testService}, time.Now()).Need() })
	return <-need
}

// nearlyFullOwner returns an owner of 4 workers, each with 4 of 32 cores not used by long-running
// tasks, and a demand of short work of priority 1 that keeps one of them free.
func nearlyFullOwner(t *testing.T) *Owner {
	t.Helper()
	ow := ownerWithoutLoop(t)
	full := addJob(ow, 1, job.Step{Tasks: 4, Each: coresOf(28), LongRunning: true})
	for i := range 4 {
		wk := addEmptyWorker(ow, fmt.Sprint("w", i))
		wk.addAttempt(&attempt{ref: job.TaskRef{Index: i}, wk: wk, tj: full, number: 1})
	}
	ow.demands.Of(headroom.Key{Service: testService, Priority: 1}).Seed(1, 1000, time.Now())
	return ow
}

// TestWaitForHeadroom guards against long-running tasks that use the headroom although they must
// not, that are kept from it although they may use it, and that earmark workers for themselves or
// are said to lack capacity while they wait for headroom.
func TestWaitForHeadroom(t *testing.T) {
	for _, tc := range []struct {
		name        string
		priority    int
		label       string
		without     Mechanism
		interrupted bool
		// want is how many of 4 tasks start.
		want int
	}{
		{name: "same priority", priority: 1, want: 3},
		{name: "higher priority", priority: 0, want: 4},
		{name: "mechanism off", priority: 1, without: MechHeadroom, want: 4},
		{name: "interrupted", priority: 1, interrupted: true, want: 4},
		{name: "only on a selected worker", priority: 1, label: "special", want: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ow := nearlyFullOwner(t)
				ow.Without = tc.without
				ow.sortedWorkers()[0].Labels = []string{"special"}
				tj := addJob(ow, 2, job.Step{Tasks: 4, Each: coresOf(4), LongRunning: true, Label: tc.label})
				tj.jo.Terms.Priority = tc.priority
				for i := range 4 {
					if ref := (job.TaskRef{Index: i}); tc.interrupted {
						tj.jo.End(ref, tj.jo.Start(ref, worker.Incarnation{ID: "lost"}), job.EndLapsed, "")
					}
				}
				ow.markDirty(tj)
				ow.place()
				qt.Check(t, 4-tj.waitingTasks, qt.Equals, tc.want)
				qt.Check(t, tj.waitCause == CauseHeadroom, qt.Equals, tc.want == 3, qt.Commentf("%v", tj.waitCause))
				for _, wk := range ow.workers {
					qt.Check(t, wk.isEarmarked(), qt.IsFalse)
				}
			})
		})
	}
}

// TestLackOfCapacityIsNotHeadroom guards against the cache of tasks that fit nowhere, through which
// a task too large for the headroom would wait for it instead of earmarking a worker.
func TestLackOfCapacityIsNotHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := nearlyFullOwner(t)
		var jobs []*trackedJob
		for i, cores := range []float64{4, 4, 8} {
			tj := addJob(ow, 2+i, job.Step{Tasks: 3, Each: coresOf(cores), LongRunning: true})
			tj.jo.Terms.Priority = 1
			ow.markDirty(tj)
			jobs = append(jobs, tj)
		}
		ow.place()
		qt.Check(t, []int{jobs[0].waitingTasks, jobs[1].waitingTasks, jobs[2].waitingTasks}, qt.DeepEquals, []int{0, 3, 3})
		qt.Check(t, []Cause{jobs[1].waitCause, jobs[2].waitCause}, qt.DeepEquals, []Cause{CauseHeadroom, CauseRoom})
	})
}

// TestHeadroomIsOnWarmWorkers guards against long-running tasks that take the headroom on warm
// workers because an evacuated data centre, whose workers are empty but cold, is used again.
func TestHeadroomIsOnWarmWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ow := nearlyFullOwner(t)
		for i := range 2 {
			addEmptyWorker(ow, fmt.Sprint("cold", i)).coldUntil = time.Now().Add(time.Minute)
		}
		ow.sortedWorkerCache = nil
		tj := addJob(ow, 2, job.Step{Tasks: 4, Each: coresOf(4), LongRunning: true})
		tj.jo.Terms.Priority = 1
		ow.markDirty(tj)
		ow.place()
		free := 0
		for _, wk := range ow.workers {
			if !wk.isCold() && wk.Capacity.MilliCores-wk.reserved.MilliCores >= 4000 {
				free++
			}
		}
		qt.Check(t, free, qt.Equals, 1)
		qt.Check(t, tj.waitingTasks, qt.Equals, 0)
	})
}
