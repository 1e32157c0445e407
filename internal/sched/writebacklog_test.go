package sched

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// urgentTerms and bulkTerms are queues of interactive and of background jobs.
var (
	urgentTerms = job.Terms{Queue: "urgent", Service: testService, MaxFailures: 3, AllowanceMS: 250}
	bulkTerms   = job.Terms{Queue: "bulk", Service: testService, MaxFailures: 3, AllowanceMS: 1000, Priority: 2}
)

// submitLater submits a job in the background.
func (la *lab) submitLater(ow *Owner, n int, te job.Terms, sp job.Spec) {
	la.mu.Lock()
	la.specs[jobID(n)] = sp
	la.mu.Unlock()
	go func() { _, _ = ow.Submit(context.Background(), jobID(n), te, sp) }()
}

// firstStarts returns when the first task of each job began to run, by id.
func (la *lab) firstStarts() map[string]time.Time {
	starts := map[string]time.Time{}
	for _, ru := range la.fleet.Runs() {
		id, _, _ := job.ParseTaskID(ru.Task)
		if at, ok := starts[id]; !ok || ru.From.Before(at) {
			starts[id] = ru.From
		}
	}
	return starts
}

// slowWrites is the time of a write on a host that is short of processor time.
const slowWrites = 60 * time.Millisecond

// startWithSlowWrites starts an owner whose writes take slowWrites. The run times of its tasks
// differ, so that each end is a change of its own.
func startWithSlowWrites(t *testing.T, workers int) (*lab, *Owner, context.CancelFunc) {
	t.Helper()
	la := newLab(t, workers)
	la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		_, ref, _ := job.ParseTaskID(at.Task)
		return time.Duration(300+150*ref.Index) * time.Millisecond, "done"
	}
	ow, end := la.startOwner()
	time.Sleep(200 * time.Millisecond)
	la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: slowWrites.Milliseconds()})
	return la, ow, end
}

// checkStartDelays checks that the jobs started within the allowance of their queue.
func (la *lab) checkStartDelays(te job.Terms, submitted map[int]time.Time) {
	la.t.Helper()
	starts := la.firstStarts()
	var delays []time.Duration
	for n, at := range submitted {
		start, ok := starts[jobID(n)]
		qt.Assert(la.t, ok, qt.IsTrue, qt.Commentf("job %d has not started", n))
		delays = append(delays, start.Sub(at))
	}
	slices.Sort(delays)
	allowance := time.Duration(te.AllowanceMS) * time.Millisecond
	qt.Check(la.t, delays[len(delays)-1] <= allowance, qt.IsTrue, qt.Commentf("jobs started after %v, allowed are %v", delays, allowance))
}

// TestSteadyChangesDoNotDelayUrgentStarts guards against writes that carry less than changes.
func TestSteadyChangesDoNotDelayUrgentStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow, end := startWithSlowWrites(t, 60)
		defer end()
		submitted := map[int]time.Time{}
		for n := range 400 {
			la.submitLater(ow, 1000+n, bulkTerms, batch(1, 8))
			if n%10 == 0 {
				submitted[n] = time.Now()
				la.submitLater(ow, n, urgentTerms, batch(1, 2))
			}
			time.Sleep(14 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		la.checkStartDelays(urgentTerms, submitted)
	})
}

// TestBurstOfBulkJobsDoesNotDelayUrgentStarts guards against urgent changes that are written
// behind those of bulk jobs.
func TestBurstOfBulkJobsDoesNotDelayUrgentStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ow, end := startWithSlowWrites(t, 200)
		defer end()
		for n := range 300 {
			la.submitLater(ow, 1000+n, bulkTerms, batch(1, 8))
		}
		submitted := map[int]time.Time{}
		for n := range 5 {
			time.Sleep(30 * time.Millisecond)
			submitted[n] = time.Now()
			la.submitLater(ow, n, urgentTerms, batch(1, 2))
		}
		time.Sleep(5 * time.Second)
		la.checkStartDelays(urgentTerms, submitted)
	})
}

// TestBurstOfBulkJobsDoesNotDelayInterruptedTasks guards against restarts that are written last.
func TestBurstOfBulkJobsDoesNotDelayInterruptedTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la := newLab(t, 0)
		la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
			id, ref, _ := job.ParseTaskID(at.Task)
			if la.spec(id).Steps[0].LongRunning {
				return -1, ""
			}
			return time.Duration(300+150*ref.Index) * time.Millisecond, "done"
		}
		ow, end := la.startOwner()
		defer end()
		la.addWorker(0)
		ow.SetWorkers(la.workerEntries(), nil, true)
		time.Sleep(time.Second)
		la.submitLater(ow, 1, job.Terms{Queue: "lasting", Service: testService, AllowanceMS: 2500}, longRunningOf(4, 8))
		time.Sleep(crashBlameLimit + 3*time.Second)
		lost := la.fleetWorkers[0]
		la.fleet.Kill(lost)
		ow.SetWorkers(nil, []string{lost.Addr.Incarnation.ID}, false)
		time.Sleep(10 * time.Second)
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: slowWrites.Milliseconds()})
		for i := range 200 {
			la.addWorker(1 + i)
		}
		for n := range 300 {
			la.submitLater(ow, 1000+n, bulkTerms, batch(1, 8))
		}
		ow.SetWorkers(la.workerEntries()[1:], nil, true)
		added := time.Now()
		for la.runningOfJob(1) < 4 {
			time.Sleep(10 * time.Millisecond)
		}
		qt.Check(t, time.Since(added) <= 4*slowWrites, qt.IsTrue, qt.Commentf("all run after %v", time.Since(added)))
	})
}

// TestOwnerBehindIsLogged guards against changes that wait for writes without a trace.
func TestOwnerBehindIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		la, ll := newLoggedLab(t, 200)
		ow, end := la.startOwner()
		defer end()
		time.Sleep(time.Second)
		qt.Check(t, ll.matching(`msg="owner is behind"`), qt.HasLen, 0)
		la.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: slowWrites.Milliseconds()})
		for n := range 300 {
			la.submitLater(ow, n, bulkTerms, batch(1, 2))
		}
		time.Sleep(2 * time.Second)
		qt.Check(t, len(ll.matching(`msg="owner is behind"`, "change_wait=", "changed_jobs=", "store_down=false")) > 0, qt.IsTrue)
		time.Sleep(8 * time.Second)
		qt.Check(t, ll.matching(`msg="owner keeps up again"`), qt.Not(qt.HasLen), 0)
	})
}
