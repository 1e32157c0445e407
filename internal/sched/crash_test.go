package sched

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/clock"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/telemetry"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// maxStarts is how often a task that crashes its workers may be started: two times more after
// three workers have crashed under it, as users require.
const maxStarts = 5

// firstTask returns the name of the first task of job 1.
func firstTask() string {
	return job.New(jobID(1), job.Terms{}, batch(1, 1)).TaskID(job.TaskRef{})
}

// TestTaskThatCrashesItsWorkers guards against a task that crashes each worker which starts it
// and is started again without limit, 35 times in 110 s. The worker ends 10 ms after the
// start, its entry is removed 2.1 s later, and another process is listed at its address 3.2 s
// after the crash. If all attempts of the worker then end as lapsed, the crash counts against
// none of its tasks, neither in the owner's memory nor in a row that the next owner reads, and
// all of them start again 15 ms later on other workers. Eight such tasks crashed 281 workers,
// with 1,715 attempts of other tasks.
func TestTaskThatCrashesItsWorkers(t *testing.T) {
	for _, owners := range []string{"one owner", "an owner for each crash"} {
		t.Run(owners, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cr, ow := startCrashLab(t, newLab(t, 6), 1)
				cr.submit(ow, 2, longRunning(12))
				time.Sleep(time.Second)
				cr.submit(ow, 1, batch(1, 2))
				for range 6 {
					time.Sleep(1500 * time.Millisecond)
					if owners != "one owner" {
						ow = cr.replaceOwner()
					}
					// Long enough for attempts on a worker that was never seen to be given up.
					time.Sleep(16 * time.Second)
				}
				qt.Check(t, cr.starts(firstTask()) <= maxStarts, qt.IsTrue, qt.Commentf("%d starts", cr.starts(firstTask())))
				qt.Check(t, cr.state(ow, 1), qt.Equals, job.Failed)
				cr.assertRunning(12)
			})
		})
	}
}

// TestCrashedWorkersRestartAtOtherAddresses guards against crashes that are not counted when
// the workers come back at other addresses, so that only lapsed leases show that they ended.
func TestCrashedWorkersRestartAtOtherAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr := newCrashLab(t, newLab(t, 6))
		cr.newAddress = true
		cr.setCrashingJobs(1)
		ow := cr.replaceOwner()
		defer func() { cr.end() }()
		time.Sleep(time.Second)
		cr.submit(ow, 2, longRunning(12))
		time.Sleep(time.Second)
		cr.submit(ow, 1, batch(1, 2))
		time.Sleep(80 * time.Second)
		qt.Check(t, cr.starts(firstTask()), qt.Equals, 3)
		qt.Check(t, cr.state(ow, 1), qt.Equals, job.Failed)
		cr.assertRunning(12)
	})
}

// TestLongRunningTaskThatCrashesItsWorkers guards against a long-running job that is restarted
// forever because one of its six tasks crashes its workers. The job must fail.
func TestLongRunningTaskThatCrashesItsWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr, ow := startCrashLab(t, newLab(t, 6), 1)
		cr.submit(ow, 1, longRunning(6))
		time.Sleep(30 * time.Second)
		qt.Check(t, cr.starts(firstTask()), qt.Equals, 3)
		qt.Check(t, cr.state(ow, 1), qt.Equals, job.Failed)
		cr.assertRunning(0)
	})
}

// TestThirdAttemptIsIsolated guards against other tasks that start beside a task which is
// given up at the next crash, or that are still in their startup there: the crash would also
// count against them.
func TestThirdAttemptIsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr := newCrashLab(t, newLab(t, 2))
		cr.setCrashingJobs(1)
		runOthers := cr.fleet.RunFunc
		cr.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
			if at.Task == firstTask() {
				return 400 * time.Millisecond, standin.OutcomeCrash
			}
			return runOthers(at)
		}
		// The next process settles late, so the task is tried where other attempts run.
		cr.wrapAgentFunc = slowToSettle
		ow := cr.replaceOwner()
		defer func() { cr.end() }()
		time.Sleep(time.Second)
		cr.submit(ow, 1, batch(1, 1))
		for n := range 60 {
			cr.submit(ow, 100+n, batch(1, 1))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		tries := 0
		for _, third := range cr.fleet.Runs() {
			if third.Task != firstTask() || third.Number != 3 {
				continue
			}
			tries++
			for _, ru := range cr.fleet.Runs() {
				beside := ru.Worker == third.Worker && ru.Task != third.Task && ru.Until.After(third.From)
				qt.Check(t, beside && third.From.Sub(ru.From) < startupDuration, qt.IsFalse, qt.Commentf("%s began %v before", ru.Task, third.From.Sub(ru.From)))
			}
		}
		qt.Check(t, tries, qt.Equals, 1)
		for n := range 60 {
			qt.Check(t, cr.state(ow, 100+n), qt.Equals, job.Succeeded)
		}
	})
}

// slowToSettle makes restarted workers answer no poll until 400 ms after the first one.
func slowToSettle(ag worker.Agent) worker.Agent {
	poll := ag.PollFunc
	var mu sync.Mutex
	first := map[worker.Incarnation]time.Time{}
	ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
		mu.Lock()
		if first[ad.Incarnation].IsZero() {
			first[ad.Incarnation] = time.Now()
		}
		wait := 400*time.Millisecond - time.Since(first[ad.Incarnation])
		mu.Unlock()
		if strings.HasPrefix(ad.Incarnation.ID, "restarted-") && !clock.Sleep(ctx, max(wait, 0)) {
			return worker.PollResult{}, ctx.Err()
		}
		return poll(ctx, ad, po)
	}
	return ag
}

// TestSuspectsOfOneJobRestartInTime guards against long waits of suspect tasks of one job. Six
// long-running tasks lose their workers twice just after they started, by crashes that no task
// caused. They are tried isolated, and all must run again within the outage that users accept
// for long-running tasks.
func TestSuspectsOfOneJobRestartInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cr, ow := startCrashLab(t, newLab(t, 12))
		cr.submit(ow, 1, longRunning(6))
		for range 2 {
			time.Sleep(100 * time.Millisecond)
			for _, fw := range cr.workers() {
				if cr.running()[fw.Addr.Incarnation] > 0 {
					cr.crash(fw)
				}
			}
			time.Sleep(crashRestartAfter)
		}
		time.Sleep(3 * time.Second)
		cr.assertRunning(6)
		qt.Check(t, cr.state(ow, 1), qt.Equals, job.Running)
	})
}

// TestPlannedWorkerExitBlamesNoTask guards against a task that is blamed for the ends of four
// workers which left as planned just after it started there: they drained, or still answered
// after their entries were removed.
func TestPlannedWorkerExitBlamesNoTask(t *testing.T) {
	for _, drains := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			la, ll := newLoggedLab(t, 6)
			la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 5 * time.Second, "done" }
			ow, end := la.startOwner()
			defer end()
			time.Sleep(time.Second)
			la.submit(ow, 1, batch(1, 1))
			for range 4 {
				time.Sleep(50 * time.Millisecond)
				i := slices.IndexFunc(la.fleetWorkers, func(fw *standin.FleetWorker) bool { return la.running()[fw.Addr.Incarnation] > 0 })
				leaving := la.workerEntries()[i]
				leaving.Draining, leaving.Remaining = true, time.Minute
				if drains {
					ow.SetWorkers([]WorkerEntry{leaving}, nil, false)
				} else {
					ow.SetWorkers(nil, []string{leaving.Incarnation.ID}, false)
				}
				if drains {
					time.Sleep(300 * time.Millisecond)
				} else {
					// Long enough for a poll to be answered.
					time.Sleep(1100 * time.Millisecond)
				}
				_, next := la.replaceProcess(i)
				ow.SetWorkers([]WorkerEntry{next}, nil, false)
				time.Sleep(time.Second)
			}
			time.Sleep(6 * time.Second)
			qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
			qt.Check(t, ll.matching("end=lapsed"), qt.HasLen, 4)
			qt.Check(t, len(ll.matching("end=crashed"))+len(ll.matching("end=lost")), qt.Equals, 0)
			la.assertRunsConsistent()
		})
	}
}

// TestOrderRefusedByNextProcessBlamesNoTask guards against a task that is blamed for a crash
// although its order reached only the process that started after it.
func TestOrderRefusedByNextProcessBlamesNoTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 1)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 100})
		go la.submit(ow, 1, batch(1, 1))
		time.Sleep(99 * time.Millisecond)
		la.replaceProcess(0)
		time.Sleep(time.Second)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(3 * time.Second)
		qt.Check(t, ll.matching("end=never-ran", "refused by another process"), qt.HasLen, 1)
		qt.Check(t, len(ll.matching("end=crashed"))+len(ll.matching("end=lost")), qt.Equals, 0)
		qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
	})
}

// TestUnresponsiveWorkerIsNoProofOfACrash guards against a task that counts as having crashed
// its worker when the worker stopped answering just after the start and was replaced 4 s
// later: when it ended is not known.
func TestUnresponsiveWorkerIsNoProofOfACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 2)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 5 * time.Second, "done" }
		var unresponsive atomic.Pointer[worker.Incarnation]
		la.wrapAgentFunc = func(ag worker.Agent) worker.Agent {
			poll := ag.PollFunc
			ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
				res, err := poll(ctx, ad, po)
				if id := unresponsive.Load(); id != nil && *id == ad.Incarnation {
					<-ctx.Done()
					return worker.PollResult{}, ctx.Err()
				}
				return res, err
			}
			return ag
		}
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(10 * time.Millisecond)
		i := slices.IndexFunc(la.fleetWorkers, func(fw *standin.FleetWorker) bool { return la.running()[fw.Addr.Incarnation] > 0 })
		unresponsive.Store(&la.fleetWorkers[i].Addr.Incarnation)
		time.Sleep(4 * time.Second)
		unresponsive.Store(nil)
		_, next := la.replaceProcess(i)
		ow.SetWorkers([]WorkerEntry{next}, nil, false)
		time.Sleep(6 * time.Second)
		qt.Check(t, ll.matching("end=lost"), qt.HasLen, 1)
		qt.Check(t, ll.matching("end=crashed"), qt.HasLen, 0)
		qt.Check(t, la.state(ow, 1), qt.Equals, job.Succeeded)
	})
}

// TestTaskGivenUpIsLogged guards against log lines and counters from which an operator cannot
// tell why a job was given up. A search for the job's id must lead to the reason.
func TestTaskGivenUpIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 6)
		me, page, err := telemetry.New()
		qt.Assert(t, err, qt.IsNil)
		la.metrics = me
		cr, ow := startCrashLab(t, la, 1)
		cr.submit(ow, 1, batch(1, 1))
		time.Sleep(20 * time.Second)
		id := "job=" + jobID(1)
		qt.Check(t, ll.matching(`msg="attempt ended"`, id, "end=crashed"), qt.HasLen, 3)
		qt.Check(t, ll.matching(`msg="trying a task under which workers ended"`, id, "crashes=1", "how=apart"), qt.HasLen, 1)
		qt.Check(t, ll.matching(`msg="trying a task under which workers ended"`, id, "crashes=2", "how=alone"), qt.HasLen, 1)
		qt.Check(t, ll.matching(`msg="task given up"`, id, "why=crashes", "attempt=3", "crashes=3"), qt.HasLen, 1)
		re := httptest.NewRecorder()
		page.ServeHTTP(re, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, line := range []string{
			`pepperhatch_workers_crashed_total{attempts="some"} 3`, `pepperhatch_suspect_starts_total{how="alone"} 1`,
			`pepperhatch_suspect_starts_total{how="apart"} 1`, `pepperhatch_tasks_given_up_total{why="crashes"} 1`,
		} {
			qt.Check(t, re.Body.String(), qt.Contains, line+"\n")
		}
	})
}

// TestFailureOfAnUnresponsiveWorkersAttempt guards against one attempt more than the queue
// allows. A worker does not answer until its leases have lapsed and then lists the attempt,
// which was given up, as failed.
func TestFailureOfAnUnresponsiveWorkersAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 3)
		la.fleet.RunFunc = func(worker.Attempt) (time.Duration, string) { return 2500 * time.Millisecond, "failed" }
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		la.submit(ow, 1, batch(1, 1))
		time.Sleep(300 * time.Millisecond)
		unresponsive, _ := la.busiest()
		unresponsive.Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
		time.Sleep(10 * time.Second)
		unresponsive.Faults.Set(standin.Fault{})
		time.Sleep(20 * time.Second)
		qt.Check(t, la.state(ow, 1), qt.Equals, job.Failed)
		qt.Check(t, la.fleet.Runs(), qt.HasLen, 3)
	})
}
