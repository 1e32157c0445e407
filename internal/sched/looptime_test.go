package sched

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
	"github.com/pepperhatch/pepperhatch/internal/store"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// processor has the host of an owner take virtual time, for one thing after the other: perEvent for
// each event of the loop and each job written, perVisit for each worker, attempt or job that the
// loop looks at, and perCall for each side of a call beside the loop.
type processor struct {
	perEvent, perVisit, perCall time.Duration
	// turn has a token while the processor is in use.
	turn    chan struct{}
	charged looplag.Workload
	// visits counts what the loop has looked at.
	visits atomic.Int64
}

// timeSlice is how long the processor is used by one before others get their turn.
const timeSlice = 10 * time.Millisecond

// use waits for the processor and uses it.
func (pr *processor) use(d time.Duration) {
	for ; d > 0; d -= timeSlice {
		pr.turn <- struct{}{}
		time.Sleep(min(d, timeSlice))
		<-pr.turn
	}
}

// charge uses the processor for what the loop has done since the last call.
func (pr *processor) charge(wl looplag.Workload) {
	if wl.Events < pr.charged.Events {
		pr.charged = looplag.Workload{}
	}
	events, visits := wl.Events-pr.charged.Events+wl.Written-pr.charged.Written, wl.Visits-pr.charged.Visits
	pr.charged = wl
	pr.visits.Add(visits)
	pr.use(time.Duration(events)*pr.perEvent + time.Duration(visits)*pr.perVisit)
}

// agent returns an agent whose calls use the processor.
func (pr *processor) agent(ag worker.Agent) worker.Agent {
	launch, poll := ag.LaunchFunc, ag.PollFunc
	ag.LaunchFunc = func(ctx context.Context, ad worker.Addr, la worker.Launch) (worker.Ack, error) {
		pr.use(pr.perCall)
		defer pr.use(pr.perCall)
		return launch(ctx, ad, la)
	}
	ag.PollFunc = func(ctx context.Context, ad worker.Addr, po worker.Poll) (worker.PollResult, error) {
		pr.use(pr.perCall)
		defer pr.use(pr.perCall)
		return poll(ctx, ad, po)
	}
	return ag
}

// table returns a store whose writes use the processor.
func (pr *processor) table(ta store.Table) store.Table {
	commit := ta.CommitFunc
	ta.CommitFunc = func(ctx context.Context, txn store.Txn) (store.CommitReply, error) {
		pr.use(pr.perCall)
		defer pr.use(pr.perCall)
		return commit(ctx, txn)
	}
	return ta
}

// The cell of these tests has a quarter of the workers and of the load of a large one, and a
// processor with a quarter of the speed.
const (
	quarterCell     = largeCell / 4
	quarterPerEvent = 200 * time.Microsecond
	quarterPerVisit = 2 * time.Microsecond
	quarterPerCall  = 200 * time.Microsecond
	quarterEnded    = 400
)

// slowCell is a cell with an owner on a slow processor.
type slowCell struct {
	*lab

	ow  *Owner
	pr  *processor
	end context.CancelFunc
}

// stop stops the owner, and waits for the goroutines that use the processor.
func (sc *slowCell) stop() {
	sc.end()
	time.Sleep(time.Minute)
}

// startOnSlowProcessor starts an owner that has the given share of the processor, with services on
// all workers, and with jobs that have ended.
func startOnSlowProcessor(t *testing.T, part float64) *slowCell {
	t.Helper()
	la := newLab(t, quarterCell)
	la.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		id, ref, _ := job.ParseTaskID(at.Task)
		if st := la.spec(id).Steps[ref.Step]; !st.LongRunning {
			return time.Duration(st.EstimateMS+40*int64(ref.Index%20)) * time.Millisecond, "done"
		}
		return -1, ""
	}
	slower := func(d time.Duration) time.Duration { return time.Duration(float64(d) / part) }
	pr := &processor{perEvent: slower(quarterPerEvent), perVisit: slower(quarterPerVisit), perCall: slower(quarterPerCall), turn: make(chan struct{}, 1)}
	la.chargeFunc, la.wrapAgentFunc, la.tableFunc = pr.charge, pr.agent, pr.table
	ow, end := la.startOwner()
	time.Sleep(time.Second)
	for n := range quarterCell {
		la.submitLater(ow, n, job.Terms{Queue: "lasting", Service: testService, AllowanceMS: 2500, Priority: 1}, job.Spec{Steps: []job.Step{{
			Tasks: 3, Each: worker.Resources{MilliCores: 6400, MemMB: 13000}, LongRunning: true, TargetMS: 24, Image: fmt.Sprint("s", n%5),
		}}})
	}
	for n := range quarterEnded {
		la.submitLater(ow, quarterCell+n, bulkTerms, batch(1, 1))
	}
	for waiting := 1; waiting > 0; {
		time.Sleep(5 * time.Second)
		var err error
		waiting, err = call(t.Context(), ow, func(answer func(int)) { answer(len(ow.waitingJobs)) })
		qt.Assert(t, err, qt.IsNil)
	}
	return &slowCell{lab: la, ow: ow, pr: pr, end: end}
}

// bulkJob has fillers, urgentJob short tasks that reserve their capacity.
var (
	bulkJob = job.Spec{Steps: []job.Step{
		{Tasks: 40, Each: worker.Resources{MilliCores: 3500, MemMB: 3000}, EstimateMS: 900, Filler: true, Image: "f1"},
		{Tasks: 40, Each: worker.Resources{MilliCores: 3500, MemMB: 3000}, EstimateMS: 900, Filler: true, Image: "f2", After: []int{0}},
	}}
	urgentJob = job.Spec{Steps: []job.Step{{Tasks: 10, Each: worker.Resources{MilliCores: 3200, MemMB: 6000}, EstimateMS: 400}}}
)

// arrivals are jobs that are submitted at an interval.
type arrivals struct {
	every time.Duration
	terms job.Terms
	spec  job.Spec
}

// submitFor submits jobs for a while, and returns when each was submitted, by its terms.
func (sc *slowCell) submitFor(d time.Duration, list ...arrivals) []map[int]time.Time {
	submitted, last := make([]map[int]time.Time, len(list)), make([]time.Time, len(list))
	n := quarterCell + quarterEnded
	for start := time.Now(); time.Since(start) < d; time.Sleep(10 * time.Millisecond) {
		for i, ar := range list {
			if time.Since(last[i]) < ar.every {
				continue
			}
			if submitted[i] == nil {
				submitted[i] = map[int]time.Time{}
			}
			n, last[i] = n+1, time.Now()
			submitted[i][n] = last[i]
			sc.submitLater(sc.ow, n, ar.terms, ar.spec)
		}
	}
	return submitted
}

// TestUrgentJobsStartInTimeOnSlowProcessor guards against an owner whose own work, or bulk jobs,
// delay urgent starts.
func TestUrgentJobsStartInTimeOnSlowProcessor(t *testing.T) {
	for _, tc := range []struct{ processor, inTime float64 }{{1, 0.95}, {0.85, 0.9}, {0.5, 0.8}} {
		t.Run(fmt.Sprint(tc.processor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sc := startOnSlowProcessor(t, tc.processor)
				defer sc.stop()
				submitted := sc.submitFor(6*time.Second, arrivals{150 * time.Millisecond, bulkTerms, bulkJob}, arrivals{110 * time.Millisecond, urgentTerms, urgentJob})[1]
				time.Sleep(2 * time.Second)
				starts, inTime := sc.firstStarts(), 0
				for n, at := range submitted {
					if start, ok := starts[jobID(n)]; ok && start.Sub(at) <= time.Duration(urgentTerms.AllowanceMS)*time.Millisecond {
						inTime++
					}
				}
				got := float64(inTime) / float64(len(submitted))
				qt.Check(t, got >= tc.inTime, qt.IsTrue, qt.Commentf("%.2f of %d urgent jobs started in time", got, len(submitted)))
			})
		})
	}
}

// TestAcceptedJobStartsBesideMoreUrgentOnes guards against accepted jobs that never start, as the
// owner has no time for others than more urgent ones.
func TestAcceptedJobStartsBesideMoreUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := startOnSlowProcessor(t, 0.25)
		defer sc.stop()
		sc.submitLater(sc.ow, waitingJob, bulkTerms, batch(1, 8))
		submitted := time.Now()
		time.Sleep(100 * time.Millisecond)
		sc.submitFor(20*time.Second, arrivals{20 * time.Millisecond, urgentTerms, urgentJob})
		start, ok := sc.firstStarts()[jobID(waitingJob)]
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, start.Sub(submitted) <= 10*time.Second, qt.IsTrue, qt.Commentf("started after %v", start.Sub(submitted)))
	})
}

// Numbers of jobs beside those of [slowCell.submitFor].
const (
	waitingJob       = 9999
	firstOverloadJob = 5000
)

// overload submits twice as many bulk jobs as the owner can start in time, and returns when those that
// were accepted were submitted, and the number of refused ones.
func (sc *slowCell) overload(te job.Terms) (accepted map[int]time.Time, refused int) {
	accepted = map[int]time.Time{}
	var mu sync.Mutex
	for n := firstOverloadJob; n < firstOverloadJob+100; n++ {
		sc.lab.mu.Lock()
		sc.specs[jobID(n)] = bulkJob
		sc.lab.mu.Unlock()
		go func() {
			submitted := time.Now()
			ve, err := sc.ow.Submit(context.Background(), jobID(n), te, bulkJob)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
			case ve.Outcome == Accepted:
				accepted[n] = submitted
			default:
				refused++
				qt.Check(sc.t, ve.RetryAfter > 0, qt.IsTrue)
				qt.Check(sc.t, time.Since(submitted) < time.Second, qt.IsTrue, qt.Commentf("refused after %v", time.Since(submitted)))
			}
		}()
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	return accepted, refused
}

// TestJobsThatCannotBeOrderedInTimeAreRefused guards against jobs that are accepted although the owner
// has no time to start their tasks.
func TestJobsThatCannotBeOrderedInTimeAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := startOnSlowProcessor(t, 0.25)
		defer sc.stop()
		_, refused := sc.overload(limitedTerms)
		qt.Check(t, refused > 20, qt.IsTrue, qt.Commentf("%d refused", refused))
	})
}

// TestAcceptedJobsEndInTimeOnSlowProcessor guards against an owner that accepts more than it can
// start in time.
func TestAcceptedJobsEndInTimeOnSlowProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := startOnSlowProcessor(t, 0.25)
		defer sc.stop()
		accepted, _ := sc.overload(limitedTerms)
		limit, inTime := maxLateFactor*time.Duration(job.New("", limitedTerms, bulkJob).TargetDurationMS())*time.Millisecond, 0
		for n, at := range accepted {
			if sc.state(sc.ow, n) == job.Succeeded && sc.endedBy(n).Sub(at) <= limit {
				inTime++
			}
		}
		qt.Check(t, inTime*10 >= len(accepted)*9, qt.IsTrue, qt.Commentf("%d of %d", inTime, len(accepted)))
	})
}

// limitedTerms is a queue of bulk jobs that are of no value after a while.
var limitedTerms = job.Terms{Queue: "bulk", Service: testService, MaxFailures: 3, AllowanceMS: 1000, Priority: 2, Stretch: 2}

// endedBy returns when the last run of a job ended.
func (la *lab) endedBy(n int) time.Time {
	var last time.Time
	for _, ru := range la.fleet.Runs() {
		if id, _, _ := job.ParseTaskID(ru.Task); id == jobID(n) && ru.Until.After(last) {
			last = ru.Until
		}
	}
	return last
}

// TestUnchangedCellCostsLittle guards against work of the loop that grows with the size of the cell.
func TestUnchangedCellCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := startOnSlowProcessor(t, 1)
		defer sc.stop()
		time.Sleep(5 * time.Second)
		const ticks = 50
		before := sc.pr.visits.Load()
		time.Sleep(ticks * tickInterval)
		perTick := (sc.pr.visits.Load() - before) / ticks
		qt.Check(t, perTick <= 2*quarterCell, qt.IsTrue, qt.Commentf("%d visits a tick at %d workers", perTick, quarterCell))
	})
}

// maxVisitsPerStart allows 760,000 visits a second at twice the required rate of 1,900 starts a second.
const maxVisitsPerStart = 200

// TestStartsCostLittle guards against work of the loop that grows with each start.
func TestStartsCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := startOnSlowProcessor(t, 2)
		defer sc.stop()
		visits, runs := sc.pr.visits.Load(), len(sc.fleet.Runs())
		sc.submitFor(6*time.Second, arrivals{150 * time.Millisecond, bulkTerms, bulkJob}, arrivals{110 * time.Millisecond, urgentTerms, urgentJob})
		starts := int64(len(sc.fleet.Runs()) - runs)
		qt.Assert(t, starts > 3000, qt.IsTrue, qt.Commentf("%d starts", starts))
		perStart := (sc.pr.visits.Load() - visits) / starts
		qt.Check(t, perStart <= maxVisitsPerStart, qt.IsTrue, qt.Commentf("%d visits a start", perStart))
	})
}

// TestTakeoverCostsLittle guards against a new owner that looks at all jobs for each worker.
func TestTakeoverCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, jobs = 100, 200
		la := newLab(t, workers)
		la.fleet.RunFunc = runUntilStopped
		ow, end := la.startOwner()
		time.Sleep(time.Second)
		for n := range jobs {
			la.submit(ow, n, longRunningOf(1, 4))
		}
		time.Sleep(2 * time.Second)
		end()
		pr := &processor{turn: make(chan struct{}, 1)}
		la.chargeFunc = pr.charge
		_, end = la.startOwner()
		defer end()
		time.Sleep(time.Second)
		visits := pr.visits.Load()
		qt.Check(t, visits <= 10*(workers+jobs), qt.IsTrue, qt.Commentf("%d visits", visits))
	})
}

// TestScansAreCounted guards against code of the loop that looks at all workers, jobs or attempts
// without being counted.
func TestScansAreCounted(t *testing.T) {
	files, err := filepath.Glob("*.go")
	qt.Assert(t, err, qt.IsNil)
	scan := regexp.MustCompile(`range (\w+\.)*(ow\.(workers|jobs|sortedWorkers\(\))|wk\.attempts) \{`)
	counted := "visits.go"
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") || file == counted {
			continue
		}
		data, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, scan.FindAllString(string(data), -1), qt.HasLen, 0, qt.Commentf(file))
	}
}
