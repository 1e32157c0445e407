package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/admission"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/speed"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// submitUntilRefused starts an owner of one worker of 32 cores and submits jobs of 15 tasks of 2 cores that
// take 1 s, with a limit of 3 s, until one is refused. It returns that job and its verdict.
func submitUntilRefused(t *testing.T, la *lab) (ow *Owner, stop func(), refused int, ve Verdict) {
	t.Helper()
	la.stretch = 1
	la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return time.Second, "done" }
	ow, stop = la.startOwner()
	time.Sleep(admissionGrace)
	for n := 1; n < 50; n++ {
		if ve = la.submit(ow, n, batch(1, 15)); ve.Outcome == Refused {
			return ow, stop, n, ve
		}
	}
	t.Fatal("no job was refused")
	return nil, nil, 0, Verdict{}
}

// assertRan checks whether any task of a job was started.
func (la *lab) assertRan(n int, want bool) {
	la.t.Helper()
	ran := false
	for _, ru := range la.fleet.Runs() {
		id, _, _ := job.ParseTaskID(ru.Task)
		ran = ran || id == jobID(n)
	}
	qt.Assert(la.t, ran, qt.Equals, want, qt.Commentf("job %d", n))
}

// TestJobsBeyondCapacityAreRefused guards against jobs that are accepted though they cannot be
// done in time, callers that are refused when they return in their turn, and refused jobs that run.
func TestJobsBeyondCapacityAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		ow, stop, n, ve := submitUntilRefused(t, la)
		defer stop()
		qt.Assert(t, ve.Reason, qt.Equals, ReasonNoCapacity)
		qt.Assert(t, ve.RetryAfter >= 250*time.Millisecond && ve.RetryAfter <= 10*time.Second, qt.IsTrue, qt.Commentf("%v", ve.RetryAfter))
		qt.Assert(t, n > 3, qt.IsTrue, qt.Commentf("job %d was refused, of which 3 fit into the limit", n))
		early := la.submit(ow, n, batch(1, 15))
		qt.Assert(t, early.Outcome, qt.Equals, Refused)
		qt.Assert(t, early.RetryAfter <= ve.RetryAfter, qt.IsTrue)
		for range 4 {
			time.Sleep(ve.RetryAfter)
			if ve = la.submit(ow, n, batch(1, 15)); ve.Outcome == Accepted {
				break
			}
			la.assertRan(n, false)
		}
		time.Sleep(10 * time.Second)
		for accepted := 1; accepted < n; accepted++ {
			qt.Assert(t, la.state(ow, accepted), qt.Equals, job.Succeeded)
		}
		la.assertRan(n, ve.Outcome == Accepted)
		qt.Assert(t, la.submit(ow, n+1, batch(1, 15)).Outcome, qt.Equals, Accepted)
	})
}

// TestJobsWithoutRefusal guards against refusals of jobs that have no time limit, of long-running
// ones, and with the mechanism disabled.
func TestJobsWithoutRefusal(t *testing.T) {
	for _, tc := range []struct {
		name    string
		stretch float64
		without Mechanism
		sp      job.Spec
	}{
		{"no limit", 0, 0, batch(1, 15)},
		{"long-running", 1, 0, longRunning(15)},
		{"disabled", 1, MechAdmission, batch(1, 15)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				la := newLab(t, 1)
				ow, stop, n, _ := submitUntilRefused(t, la)
				defer stop()
				la.stretch = tc.stretch
				done := make(chan struct{})
				ow.post(func() { ow.Without = tc.without; close(done) })
				<-done
				qt.Assert(t, la.submit(ow, n+1, tc.sp).Outcome, qt.Equals, Accepted)
			})
		})
	}
}

// TestRefusedCallerMeetsNewOwner guards against a new owner that refuses a caller for a turn that
// it does not know, or before it knows its capacity.
func TestRefusedCallerMeetsNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		_, stop, n, _ := submitUntilRefused(t, la)
		stop()
		la.assertRan(n, false)
		ow, stop := la.startOwner()
		defer stop()
		qt.Assert(t, la.submit(ow, n, batch(1, 15)).Outcome, qt.Equals, Accepted)
		time.Sleep(15 * time.Second)
		qt.Assert(t, la.state(ow, n), qt.Equals, job.Succeeded)
	})
}

// TestOverloadedOwnerWithoutStore guards against an owner that refuses for capacity while its
// writes fail, so that no other host could write the job for it.
func TestOverloadedOwnerWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		ow, stop, n, _ := submitUntilRefused(t, la)
		defer stop()
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
		time.Sleep(5 * time.Second)
		qt.Assert(t, la.submit(ow, n+1, batch(1, 15)).Reason, qt.Equals, ReasonStoreUnavailable)
		la.table.Faults.Set(standin.Fault{})
		time.Sleep(10 * time.Second)
		qt.Assert(t, la.submit(ow, n+1, batch(1, 15)).Outcome, qt.Equals, Accepted)
	})
}

// TestSlowLoadBeforeFirstDecision guards against an owner that refuses jobs while it does not know
// its workers yet, because it had to wait for the store before it could begin.
func TestSlowLoadBeforeFirstDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.stretch = 1
		la.requests.failing = 30
		began := time.Now()
		ow, loaded, stop := la.startLoading()
		defer stop()
		qt.Assert(t, <-loaded, qt.IsNil)
		qt.Assert(t, time.Since(began) > admissionGrace, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(admissionGrace / 2)
		for n := 1; n < 20; n++ {
			qt.Assert(t, la.submit(ow, n, batch(1, 15)).Outcome, qt.Equals, Accepted)
		}
	})
}

// TestAdmissionRequest guards against jobs that are judged as if all of their tasks were as large
// as the largest, or as if all of their steps took as much longer than estimated as most of them.
func TestAdmissionRequest(t *testing.T) {
	ow := New(&Owner{Log: newLab(t, 0).log})
	te, now := job.Terms{Queue: "q", Service: testService, Stretch: 2}, time.UnixMilli(0)
	for n := range 100 {
		var wk speed.Worker
		var at speed.Attempt
		at.Begin(now)
		end := now.Add(400 * time.Millisecond)
		ow.durations.model.ObserveEnd(&wk, &at, speed.Observation{
			Kind: speed.Kind{Queue: "q", Image: "slow"}, Job: fmt.Sprint(n), Estimate: 100 * time.Millisecond, Share: 1, At: end,
		}, end)
	}
	small, large := worker.Resources{MilliCores: 1000}, worker.Resources{MilliCores: 16_000}
	re := ow.admissionRequest(job.New(jobID(1), te, job.Spec{Steps: []job.Step{
		{Tasks: 100, Each: small, EstimateMS: 1000, Image: "slow"}, {Tasks: 1, Each: large, EstimateMS: 2000, Image: "usual", After: []int{0}},
	}}))
	qt.Check(t, re.Each, qt.Equals, large)
	qt.Check(t, re.LargestWork, qt.Equals, int64(16_000*2000))
	qt.Check(t, re.Work > 3*100*1000*1000, qt.IsTrue, qt.Commentf("%d", re.Work))
	qt.Check(t, re.Chain > 5*time.Second && re.Chain < 7*time.Second, qt.IsTrue, qt.Commentf("%v", re.Chain))
}

// TestRemainingWork guards against work that is forecast to use capacity that it does not use, or
// is counted as done twice.
func TestRemainingWork(t *testing.T) {
	const task = 2000 * 1000
	now := time.UnixMilli(1_000_000)
	for _, tc := range []struct {
		name   string
		change func(wk *workerState, at, other *attempt)
		// want is the work that remains, running what the running task has done.
		want, running int64
	}{
		{"healthy worker", func(*workerState, *attempt, *attempt) {}, 4 * task, 0},
		{"half done", func(_ *workerState, at, _ *attempt) { at.progress = 50 }, 3.5 * task, 0.5 * task},
		{"draining worker", func(wk *workerState, _, _ *attempt) { wk.Draining = true }, 3 * task, 0},
		{"silent worker", func(wk *workerState, _, _ *attempt) { wk.failingSince = now }, 4 * task, 0},
		{"first attempt and copy", func(_ *workerState, at, other *attempt) { at.progress, other.progress = 80, 50 }, 3.2 * task, 0.8 * task},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ow := New(&Owner{Log: newLab(t, 0).log})
			sp := batch(1, 4)
			sp.Steps[0].Copies = true
			tj := ow.addJob(job.New(jobID(1), job.Terms{Service: testService, MaxFailures: 3}, sp))
			var list [2]*attempt
			for i := range list {
				wk := addEmptyWorker(ow, fmt.Sprint(i))
				list[i] = &attempt{wk: wk, tj: tj, number: i + 1, launchedAt: now}
			}
			tj.jo.Start(job.TaskRef{}, list[0].wk.incarnation)
			tj.attempts[list[0].key()] = list[0]
			if tc.name == "first attempt and copy" {
				qt.Assert(t, tj.jo.StartCopy(job.TaskRef{}, list[1].wk.incarnation), qt.Equals, 2)
				tj.attempts[list[1].key()] = list[1]
			}
			tc.change(list[0].wk, list[0], list[1])
			left, running := tj.remainingWork(now)
			qt.Check(t, left[admission.Reserving].Left, qt.Equals, tc.want)
			qt.Check(t, running[admission.Reserving], qt.Equals, tc.running)
		})
	}
}

// TestAgeCountsFromFirstTry guards against copies that come too late for a job whose caller was
// refused before.
func TestAgeCountsFromFirstTry(t *testing.T) {
	ow := New(&Owner{Log: newLab(t, 0).log})
	tj := ow.addJob(job.New(jobID(1), job.Terms{Service: testService}, batch(1, 1)))
	tj.waitedBefore = 3 * time.Second
	qt.Assert(t, tj.copyJob(tj.acceptedAt.Add(time.Second)).Age, qt.Equals, 4*time.Second)
}

// TestLoadIsTakenWhileShortWorkWaits guards against the cost of a load on each tick while only
// long-running tasks wait, which they may do for hours, and more often than it is needed.
func TestLoadIsTakenWhileShortWorkWaits(t *testing.T) {
	ow := New(&Owner{Log: newLab(t, 0).log})
	now := time.UnixMilli(1_000_000)
	observe := func() (taken int) {
		for range 20 {
			now = now.Add(tickInterval)
			ow.observeThroughput(now)
			if ow.admission.takenAt.Equal(now) {
				taken++
			}
		}
		return taken
	}
	ow.markDirty(ow.addJob(job.New(jobID(1), job.Terms{Service: testService}, longRunning(1))))
	qt.Assert(t, observe(), qt.Equals, 0)
	ow.markDirty(ow.addJob(job.New(jobID(2), job.Terms{Service: testService}, batch(1, 1))))
	qt.Assert(t, observe(), qt.Equals, int(20*tickInterval/observeInterval))
}

// BenchmarkDecide measures decisions with as many workers as jobs. A new load is taken each tick.
func BenchmarkDecide(b *testing.B) {
	const size = 1000
	for _, decisions := range []int{1, 100} {
		b.Run(fmt.Sprint(decisions, " per load"), func(b *testing.B) {
			ow := New(&Owner{Log: newLab(b, 0).log})
			for i := range size {
				wk := addEmptyWorker(ow, fmt.Sprint(i))
				tj := ow.addJob(job.New(jobID(i), job.Terms{Service: testService, Stretch: 2}, batch(3, 16)))
				for index := range 8 {
					ref := job.TaskRef{Index: index}
					wk.addAttempt(&attempt{wk: wk, tj: tj, ref: ref, number: tj.jo.Start(ref, wk.incarnation), launchedAt: time.Now()})
				}
			}
			jo := job.New(jobID(size), job.Terms{Service: testService, Stretch: 2}, batch(3, 16))
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				if n++; n%decisions == 0 {
					ow.takeLoad(time.Now())
				}
				ow.decide(jo, ow.admission.takenAt)
			}
		})
	}
}
