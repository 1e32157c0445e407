package sched

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/copies"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// copyLab is a lab whose job 1 has a first step of one task that allows copies.
type copyLab struct {
	*lab

	ow  *Owner
	end func()
}

// withCopy runs test on a cell with three workers, on two of which both attempts of the task
// run. run says how long each attempt runs, by its number, and outcome how it ends.
func withCopy(t *testing.T, steps int, run map[int]time.Duration, outcome string, test func(cl *copyLab)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCopyLab(t, steps, run, outcome)
		defer func() { cl.end() }()
		cl.copyTask()
		time.Sleep(300 * time.Millisecond)
		cl.assertRunning(2)
		test(cl)
		cl.assertRunsConsistent()
	})
}

// newCopyLab starts the job on a cell with three workers.
func newCopyLab(t *testing.T, steps int, run map[int]time.Duration, outcome string) *copyLab {
	t.Helper()
	cl := &copyLab{lab: newLab(t, 3)}
	cl.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		if _, ref, _ := job.ParseTaskID(at.Task); ref.Step > 0 {
			return 3 * time.Second, "done"
		}
		return run[at.Number], outcome
	}
	cl.ow, cl.end = cl.startOwner()
	time.Sleep(time.Second)
	sp := batch(steps, 1)
	sp.Steps[0].Copies, sp.Steps[0].EstimateMS = true, 5000
	qt.Assert(t, cl.submit(cl.ow, 1, sp).Outcome, qt.Equals, Accepted)
	time.Sleep(300 * time.Millisecond)
	cl.assertRunning(1)
	return cl
}

// copyTask starts a copy of the job's running attempt, whatever the decision.
func (cl *copyLab) copyTask() {
	cl.ow.post(func() {
		for _, at := range cl.ow.jobs[jobID(1)].attempts {
			cl.ow.newPlacer().startCopy(at, &copies.Plan{}, copies.Choice{})
		}
	})
}

// workerOf returns the worker of an attempt of the first task.
func (cl *copyLab) workerOf(number int) *standin.FleetWorker {
	for _, ru := range cl.fleet.Runs() {
		for _, fw := range cl.fleetWorkers {
			if ru.Number == number && fw.Addr.Incarnation == ru.Worker {
				return fw
			}
		}
	}
	cl.t.Fatalf("attempt %d did not run", number)
	return nil
}

// assertOutcomes waits until the job is over and nothing runs, and checks its state, how the
// attempts of its first task ended, in order of their starts, and that no capacity is reserved.
func (cl *copyLab) assertOutcomes(state job.State, want ...string) {
	cl.t.Helper()
	time.Sleep(16 * time.Second)
	var got []string
	for _, ru := range cl.fleet.Runs() {
		if _, ref, _ := job.ParseTaskID(ru.Task); ref.Step == 0 {
			got = append(got, ru.Outcome)
		}
	}
	qt.Check(cl.t, got, qt.DeepEquals, want)
	qt.Check(cl.t, cl.state(cl.ow, 1), qt.Equals, state)
	cl.assertRunning(0)
	reserved := make(chan int64, 1)
	cl.ow.post(func() {
		var sum int64
		for _, wk := range cl.ow.workers {
			sum += wk.reserved.MilliCores
		}
		reserved <- sum
	})
	qt.Check(cl.t, <-reserved, qt.Equals, int64(0))
}

func TestFirstSuccessStopsOtherAttempt(t *testing.T) {
	for _, run := range []map[int]time.Duration{{1: 5 * time.Second, 2: time.Second}, {1: 2 * time.Second, 2: 5 * time.Second}} {
		withCopy(t, 2, run, "done", func(cl *copyLab) {
			want := []string{"stopped", "done"}
			if run[1] < run[2] {
				want = []string{"done", "stopped"}
			}
			time.Sleep(2300 * time.Millisecond)
			// Only the task of the next step runs.
			cl.assertRunning(1)
			cl.assertOutcomes(job.Succeeded, want...)
		})
	}
}

// TestTakeoverWithTwoAttempts has the next owner find both attempts, or the other one of a task
// that is done, whose worker did not answer the order to stop it.
func TestTakeoverWithTwoAttempts(t *testing.T) {
	t.Run("both run", func(t *testing.T) {
		withCopy(t, 2, map[int]time.Duration{1: 9 * time.Second, 2: 5 * time.Second}, "done", func(cl *copyLab) {
			cl.end()
			cl.ow, cl.end = cl.startOwner()
			time.Sleep(time.Second)
			cl.assertRunning(2)
			cl.assertOutcomes(job.Succeeded, "stopped", "done")
		})
	})
	t.Run("one is done", func(t *testing.T) {
		withCopy(t, 2, map[int]time.Duration{1: 9 * time.Second, 2: time.Second}, "done", func(cl *copyLab) {
			// The order to stop the first attempt is lost with its owner.
			cl.workerOf(1).Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
			time.Sleep(time.Second)
			cl.end()
			cl.workerOf(1).Faults.Set(standin.Fault{})
			cl.ow, cl.end = cl.startOwner()
			time.Sleep(time.Second)
			// Only the task of the next step runs.
			cl.assertRunning(1)
			cl.assertOutcomes(job.Succeeded, "stopped", "done")
		})
	})
}

// TestNoCopyAfterEnd has the first attempt end while the start of its copy is being written:
// the copy is not ordered.
func TestNoCopyAfterEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCopyLab(t, 2, map[int]time.Duration{1: time.Second, 2: time.Second}, "done")
		defer func() { cl.end() }()
		cl.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 1000})
		cl.copyTask()
		time.Sleep(1500 * time.Millisecond)
		cl.table.Faults.Set(standin.Fault{})
		cl.assertOutcomes(job.Succeeded, "done")
		cl.assertRunsConsistent()
	})
}

// TestOtherAttemptIsStoppedOnceEndIsDurable has the copy end while the store takes no writes. The
// next owner could not know of that end if the copy's worker were lost too, so the first attempt
// goes on until the end is written.
func TestOtherAttemptIsStoppedOnceEndIsDurable(t *testing.T) {
	// The end completes the job, or not.
	for steps := 1; steps <= 2; steps++ {
		withCopy(t, steps, map[int]time.Duration{1: 9 * time.Second, 2: time.Second}, "done", func(cl *copyLab) {
			cl.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
			time.Sleep(3 * time.Second)
			cl.assertRunning(1)
			cl.table.Faults.Set(standin.Fault{})
			cl.assertOutcomes(job.Succeeded, "stopped", "done")
		})
	}
}

// TestWorkerOfOneAttemptCrashes has the worker of either attempt end: the other one completes
// the task, which does not start again.
func TestWorkerOfOneAttemptCrashes(t *testing.T) {
	for number := 1; number <= 2; number++ {
		withCopy(t, 2, map[int]time.Duration{1: 5 * time.Second, 2: 5 * time.Second}, "done", func(cl *copyLab) {
			cl.fleet.Kill(cl.workerOf(number))
			want := []string{"done", "done"}
			want[number-1] = "killed"
			cl.assertOutcomes(job.Succeeded, want...)
		})
	}
}

// TestUnresponsiveWorkerOfOneAttempt has the leases of the first attempt lapse while its copy
// runs.
func TestUnresponsiveWorkerOfOneAttempt(t *testing.T) {
	withCopy(t, 2, map[int]time.Duration{1: 20 * time.Second, 2: 11 * time.Second}, "done", func(cl *copyLab) {
		cl.workerOf(1).Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		cl.assertOutcomes(job.Succeeded, "lapsed", "done")
	})
}

func TestBothAttemptsAreDone(t *testing.T) {
	withCopy(t, 2, map[int]time.Duration{1: 1300 * time.Millisecond, 2: time.Second}, "done", func(cl *copyLab) {
		cl.assertOutcomes(job.Succeeded, "done", "done")
		qt.Check(cl.t, cl.fleet.Runs(), qt.HasLen, 3)
	})
}

func TestCancellationStopsBothAttempts(t *testing.T) {
	withCopy(t, 2, map[int]time.Duration{1: 9 * time.Second, 2: 9 * time.Second}, "done", func(cl *copyLab) {
		_, err := cl.ow.Cancel(cl.t.Context(), jobID(1))
		qt.Assert(cl.t, err, qt.IsNil)
		cl.assertOutcomes(job.Cancelled, "stopped", "stopped")
	})
}

// TestFailuresOfBothAttemptsAreLimited has all attempts of a task fail, two at a time at first.
// Three may fail; a copy of the third could be the fourth.
func TestFailuresOfBothAttemptsAreLimited(t *testing.T) {
	withCopy(t, 2, map[int]time.Duration{1: time.Second, 2: time.Second, 3: 2 * time.Second}, "failed", func(cl *copyLab) {
		time.Sleep(2 * time.Second)
		cl.copyTask()
		cl.assertOutcomes(job.Failed, "failed", "failed", "failed")
	})
}

// TestTasksOfSlowWorkerGetCopies has one of four workers work at a sixth of its speed: its
// tasks get copies, so that the job ends earlier.
func TestTasksOfSlowWorkerGetCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 4)
		la.fleetWorkers[0].RunFunc = func(worker.Attempt) (time.Duration, string) { return slowdown * time.Second, "done" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		sp := batch(1, 32)
		sp.Steps[0].Copies = true
		la.submit(ow, 1, sp)
		time.Sleep(4500 * time.Millisecond)
		qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		la.assertRunsConsistent()
	})
}

// TestCopyLeavesCapacityToWaitingTasks guards against a copy that takes capacity which a waiting
// task of the same priority could use.
func TestCopyLeavesCapacityToWaitingTasks(t *testing.T) {
	for priority := range 2 {
		synctest.Test(t, func(t *testing.T) {
			cl := newCopyLab(t, 2, map[int]time.Duration{1: time.Second, 2: time.Second}, "done")
			defer func() { cl.end() }()
			running := make(chan int, 1)
			cl.ow.post(func() {
				tj := cl.ow.jobs[jobID(1)]
				cl.ow.recountWaiting(cl.ow.addJob(job.New(jobID(2), job.Terms{Service: testService, Priority: priority}, batch(1, 1))))
				cl.ow.newPlacer().startCopy(tj.attemptsOf(job.TaskRef{})[0], &copies.Plan{}, copies.Choice{})
				running <- len(tj.attempts)
				cl.ow.waitingJobs = nil
			})
			qt.Check(t, <-running, qt.Equals, 1+priority)
		})
	}
}
