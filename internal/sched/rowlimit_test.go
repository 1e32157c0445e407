package sched

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// padCheckpoints makes workers report checkpoints of the given size.
func padCheckpoints(size int) func(worker.Agent) worker.Agent {
	return func(ag worker.Agent) worker.Agent {
		poll := ag.PollFunc
		ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
			res, err := poll(ctx, ad, po)
			for i := range res.Running {
				res.Running[i].Checkpoint = strings.Repeat("c", size)
			}
			return res, err
		}
		return ag
	}
}

// smallTasks returns a job of one step with many tasks that fit on one worker together.
func smallTasks(tasks int) job.Spec {
	sp := batch(1, tasks)
	sp.Steps[0].Each = worker.Resources{MilliCores: 10, MemMB: 10}
	return sp
}

// crashWithCheckpoints crashes the worker of a job when its tasks have checkpoints of the given
// size, and checks that this job and another one end on the next worker.
func crashWithCheckpoints(t *testing.T, tasks, size int) {
	t.Helper()
	la := newLab(t, 1)
	la.wrapAgentFunc = padCheckpoints(size)
	la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 4 * time.Second, "done" }
	ow, end := la.startOwner()
	defer end()
	time.Sleep(time.Second)
	qt.Assert(t, la.submit(ow, 1, smallTasks(tasks)).Outcome, qt.Equals, Accepted)
	time.Sleep(2 * time.Second)
	la.fleet.Kill(la.fleetWorkers[0])
	la.fleetWorkers = nil
	la.addWorker(1)
	ow.SetWorkers(la.workerEntries(), nil, true)
	time.Sleep(time.Second)
	qt.Assert(t, la.submit(ow, 2, batch(1, 1)).Outcome, qt.Equals, Accepted)
	time.Sleep(30 * time.Second)
	qt.Check(t, la.state(ow, 2), qt.Equals, job.Succeeded)
	qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
	la.assertRunsConsistent()
}

// TestLargeCheckpointsBlockNoWrite guards against an owner that starts nothing any more, for any
// job, because the checkpoints of one job's waiting tasks make its row too large for the store.
func TestLargeCheckpointsBlockNoWrite(t *testing.T) {
	for _, tc := range []struct{ tasks, size int }{{1000, 36}, {300, 400}, {1, 70_000}, {50, 3000}} {
		t.Run(fmt.Sprintf("%d tasks with %d bytes", tc.tasks, tc.size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { crashWithCheckpoints(t, tc.tasks, tc.size) })
		})
	}
}

// largeSpec returns a job whose spec row takes the given number of bytes.
func largeSpec(t *testing.T, bytes int) job.Spec {
	t.Helper()
	sp := batch(20, 1)
	for i := range sp.Steps {
		sp.Steps[i].Image = strings.Repeat("i", 2000)
	}
	for te := (job.Terms{Queue: "q", Service: testService, MaxFailures: 3}); job.CheckSize(te, sp, bytes-1) == nil; {
		sp.Steps[0].Image += "i"
		if job.CheckSize(te, sp, bytes-1000) == nil {
			sp.Steps[0].Image += strings.Repeat("i", 900)
		}
	}
	return sp
}

// TestSpecOverRowLimitIsRefused guards against a job that the store can't take and that keeps the
// owner from starting anything else.
func TestSpecOverRowLimitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		qt.Check(t, la.submit(ow, 1, largeSpec(t, store.MaxRowBytes)).Outcome, qt.Equals, Accepted)
		ve := la.submit(ow, 2, largeSpec(t, store.MaxRowBytes+1))
		qt.Check(t, ve.Outcome, qt.Equals, Refused)
		qt.Check(t, ve.Reason, qt.Equals, ReasonTooLarge)
		qt.Check(t, la.submit(ow, 3, batch(1, 1)).Outcome, qt.Equals, Accepted)
		time.Sleep(30 * time.Second)
		qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		qt.Check(t, la.state(ow, 2), qt.Equals, job.State(""))
		qt.Check(t, la.state(ow, 3), qt.Equals, job.Succeeded)
	})
}

// refuseRows makes the store refuse writes with a row whose key contains text, for good.
func refuseRows(text string) func(store.Table) store.Table {
	return func(tbl store.Table) store.Table {
		commit := tbl.CommitFunc
		tbl.CommitFunc = func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
			for _, pu := range txn.Puts {
				if !pu.Delete && strings.Contains(pu.Key, text) {
					return store.CommitReply{}, store.ErrRefused
				}
			}
			return commit(ctx, txn)
		}
		return tbl
	}
}

// TestRefusedWriteConcernsOneJob guards against a definite refusal of the store that is repeated as
// if it were an outage, and that holds up the jobs in the same write.
func TestRefusedWriteConcernsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 1)
		la.tableFunc = refuseRows(jobID(3))
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		verdicts := make([]Verdict, 6)
		done := make(chan bool)
		for n := range verdicts {
			go func() {
				verdicts[n] = la.submit(ow, n, batch(1, 1))
				done <- true
			}()
		}
		for range verdicts {
			<-done
		}
		time.Sleep(5 * time.Second)
		for n, ve := range verdicts {
			want, state := Accepted, job.Succeeded
			if n == 3 {
				want, state = Refused, job.State("")
			}
			qt.Check(t, ve.Outcome, qt.Equals, want, qt.Commentf("job %d", n))
			qt.Check(t, la.state(ow, n), qt.Equals, state, qt.Commentf("job %d", n))
		}
	})
}

// TestFullRowDelaysStarts guards against starts whose workers don't fit into the row of their job.
func TestFullRowDelaysStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 40
		la := newLab(t, tasks)
		for i, fw := range la.fleetWorkers {
			la.fleet.Kill(fw)
			next := &standin.FleetWorker{Addr: worker.Addr{HostPort: fmt.Sprintf("10.3.0.%d:80", i), Incarnation: worker.Incarnation{ID: fmt.Sprintf("%0180d", i)}}, Capacity: fw.Capacity}
			la.fleet.Add(next)
			la.fleetWorkers[i] = next
		}
		la.maxRowBytes = 4096
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		sp := batch(1, tasks)
		sp.Steps[0].MaxPerWorker = 1
		qt.Assert(t, la.submit(ow, 1, sp).Outcome, qt.Equals, Accepted)
		qt.Assert(t, la.submit(ow, 2, batch(1, 1)).Outcome, qt.Equals, Accepted)
		time.Sleep(15 * time.Second)
		qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
		qt.Check(t, la.state(ow, 2), qt.Equals, job.Succeeded)
		la.assertRunsConsistent()
		var first, last time.Time
		for _, ru := range la.fleet.Runs() {
			if first.IsZero() || ru.From.Before(first) {
				first = ru.From
			}
			if ru.From.After(last) {
				last = ru.From
			}
		}
		qt.Check(t, last.Sub(first) >= time.Second, qt.IsTrue, qt.Commentf("all tasks were started within %v", last.Sub(first)))
	})
}

// TestRandomSizes guards against rows, entries and bodies over the limits of the store: jobs of
// random sizes up to the limits, with checkpoints of random sizes, all end.
func TestRandomSizes(t *testing.T) {
	proptest.Check(t, proptest.Size{Checks: 15}, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{0, 36, 400, 9000, 70_000}).Draw(rt, "checkpoint bytes")
		jobs := rapid.IntRange(1, 12).Draw(rt, "jobs")
		specs := make([]job.Spec, jobs)
		for n := range specs {
			specs[n] = smallTasks(rapid.SampledFrom([]int{1, 20, 300}).Draw(rt, "tasks"))
			specs[n].Payload = strings.Repeat("<", rapid.IntRange(0, job.MaxPayload).Draw(rt, "payload"))
			specs[n].Steps[0].Image = strings.Repeat("i", rapid.SampledFrom([]int{0, 30_000, 70_000}).Draw(rt, "image"))
		}
		proptest.InBubble(t, func() {
			la := newLab(t, 3)
			la.wrapAgentFunc = padCheckpoints(size)
			ow, end := la.startOwner()
			defer end()
			time.Sleep(time.Second)
			accepted := map[int]bool{}
			for n, sp := range specs {
				ve := la.submit(ow, n, sp)
				accepted[n] = ve.Outcome == Accepted
				tooLarge := job.CheckSize(job.Terms{Queue: "q", Service: testService, MaxFailures: 3}, sp, store.MaxRowBytes) != nil
				if accepted[n] == tooLarge {
					rt.Errorf("job %d, over the limit %v: %v", n, tooLarge, ve)
				}
			}
			la.fleet.Kill(la.fleetWorkers[0])
			la.fleetWorkers = la.fleetWorkers[1:]
			ow.SetWorkers(la.workerEntries(), nil, true)
			time.Sleep(40 * time.Second)
			for n := range specs {
				if accepted[n] && la.state(ow, n) != job.Succeeded {
					rt.Errorf("job %d is %s", n, la.state(ow, n))
				}
			}
			for _, problem := range la.runProblems() {
				rt.Error(problem)
			}
		})
	})
}
