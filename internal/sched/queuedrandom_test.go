package sched

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/pepperhatch/pepperhatch/internal/evacuation"
	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/proptest"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// queuedRun is a full service whose workers accept whatever they are ordered to run, with
// random faults while interrupted tasks wait.
type queuedRun struct {
	*capacityLab

	rnd  *rand.Rand
	jobs int
	// evacuationRnd decides on evacuations. It is separate, so that a seed injects the same faults
	// as before there were evacuations.
	evacuationRnd *rand.Rand
	// cancelledAt has when the cancellations of jobs were accepted, by number.
	cancelledAt map[int]time.Time
	// draining has the workers that report that they drain, and lost those that were killed.
	draining map[int]bool
	lost     map[int]bool
}

// startAfterCancel is how long after the acknowledgement an order on its way may still start a
// task of a cancelled job: orderDelay for one that a worker carries out late.
const (
	startAfterCancel = orderDelay + 100*time.Millisecond
	orderDelay       = time.Second
)

// queuedCounter counts the attempts that the log says were queued.
type queuedCounter struct {
	slog.Handler
	count *atomic.Int64
}

// Enabled implements slog.Handler.
func (qc queuedCounter) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (qc queuedCounter) Handle(_ context.Context, re slog.Record) error {
	re.Attrs(func(at slog.Attr) bool {
		if re.Message == "attempt placed" && at.Key == "queued" && at.Value.Bool() {
			qc.count.Add(1)
		}
		return true
	})
	return nil
}

// overtakingDelay is so long that orders and answers overtake each other.
const overtakingDelay = 60 * time.Millisecond

// newQueuedRun starts a run. If delays is set, each order and each answer takes up to overtakingDelay.
func newQueuedRun(t *testing.T, seed int64, delays bool, count *atomic.Int64) *queuedRun {
	t.Helper()
	qr := &queuedRun{rnd: rand.New(rand.NewSource(seed)), evacuationRnd: rand.New(rand.NewSource(seed)), cancelledAt: map[int]time.Time{}, draining: map[int]bool{}, lost: map[int]bool{}}
	var wrapOwner func(worker.Agent) worker.Agent
	if delays {
		wrapOwner = delayOwner(randomDelay(seed, overtakingDelay))
	}
	qr.capacityLab = newWrappedCapacityLab(t, 8, qr.delayStops(time.Duration(100+qr.rnd.Intn(750))*time.Millisecond), wrapOwner)
	if delays {
		qr.pathDelay = overtakingDelay
	}
	qr.log = slog.New(queuedCounter{slog.DiscardHandler, count})
	qr.replaceOwner()
	qr.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		id, _, _ := job.ParseTaskID(at.Task)
		if qr.spec(id).Steps[0].LongRunning {
			return -1, ""
		}
		return 700 * time.Millisecond, "done"
	}
	time.Sleep(time.Second)
	for range 30 {
		qr.submitLongRunning()
	}
	time.Sleep(crashBlameLimit + time.Second)
	// The tasks of these wait for others to be stopped.
	for i := range 3 {
		qr.fleet.Kill(qr.fleetWorkers[i])
		qr.lost[i] = true
	}
	qr.sendLists()
	time.Sleep(8 * time.Second)
	return qr
}

// delayStops makes attempts that run end some time after the order to stop them. An order to
// stop another attempt takes effect before its answer.
func (qr *queuedRun) delayStops(d time.Duration) func(worker.Agent) worker.Agent {
	return func(ag worker.Agent) worker.Agent {
		halt := ag.HaltFunc
		ag.HaltFunc = func(ctx context.Context, ad worker.Addr, ha worker.Halt) (worker.Ack, error) {
			if !qr.isRunning(ha.Attempt) {
				return halt(ctx, ad, ha)
			}
			time.AfterFunc(d, func() {
				ctx, cancel := context.WithTimeout(context.Background(), haltTimeout)
				defer cancel()
				_, _ = halt(ctx, ad, ha)
			})
			return worker.Ack{}, nil
		}
		return ag
	}
}

func (qr *queuedRun) isRunning(wa worker.Attempt) bool {
	return slices.ContainsFunc(qr.fleet.Runs(), func(ru standin.FleetRun) bool { return ru.Attempt == wa && ru.Until.IsZero() })
}

func (qr *queuedRun) submitLongRunning() {
	qr.jobs++
	sp := longRunningOf(1+qr.rnd.Intn(3), int64(2+qr.rnd.Intn(15)))
	if qr.rnd.Intn(4) == 0 {
		sp.Steps[0].MaxPerWorker = 1
	}
	qr.submit(qr.ow, qr.jobs, sp)
}

// sendLists passes the list of workers to the owner.
func (qr *queuedRun) sendLists() {
	var list []WorkerEntry
	for i, we := range qr.workerEntries() {
		if qr.lost[i] {
			continue
		}
		reports := qr.reported[we.Incarnation]
		we.Capacity = reports[len(reports)-1].capacity
		if we.Draining = qr.draining[i]; we.Draining {
			we.Remaining = 10 * time.Second
		}
		list = append(list, we)
	}
	qr.ow.SetWorkers(list, nil, true)
}

func (qr *queuedRun) addFleetWorker() {
	qr.addWorker(len(qr.fleetWorkers))
	fw := qr.fleetWorkers[len(qr.fleetWorkers)-1]
	qr.record(fw, fw.Capacity)
	fw.Capacity = worker.Resources{MilliCores: 1 << 40, MemMB: 1 << 40}
}

func (qr *queuedRun) injectRandom() {
	i := qr.rnd.Intn(len(qr.fleetWorkers))
	actions := []string{
		"submit", "batch", "cancel", "cancel", "cancel", "cancel", "cancel", "cancel", "cancel", "cancel", "cancel", "cancel", "kill", "kill",
		"restart", "drain", "shrink", "grow", "new worker", "lose", "freeze", "late", "heal", "heal", "owner", "store slow", "store down",
		"store heal", "store heal", "unlist",
	}
	switch actions[qr.rnd.Intn(len(actions))] {
	case "submit":
		qr.submitLongRunning()
	case "batch":
		qr.jobs++
		qr.submit(qr.ow, qr.jobs, batch(1, 1+qr.rnd.Intn(8)))
	case "cancel":
		qr.cancelRunning()
	case "kill":
		qr.fleet.Kill(qr.fleetWorkers[i])
		qr.lost[i] = true
	case "restart":
		fw := qr.fleetWorkers[i]
		fw.Faults.Set(standin.Fault{})
		qr.fleetWorkers[i] = qr.fleet.Restart(fw, fw.Addr.HostPort, 0)
		qr.record(qr.fleetWorkers[i], worker.Resources{MilliCores: 32_000, MemMB: 128_000})
		delete(qr.lost, i)
	case "drain":
		qr.draining[i] = true
	case "shrink":
		qr.record(qr.fleetWorkers[i], worker.Resources{MilliCores: int64(1000 * qr.rnd.Intn(32)), MemMB: 128_000})
	case "grow":
		qr.record(qr.fleetWorkers[i], worker.Resources{MilliCores: 32_000, MemMB: 128_000})
		delete(qr.draining, i)
	case "new worker":
		qr.addFleetWorker()
	case "lose":
		qr.fleetWorkers[i].Faults.Set(standin.Fault{Mode: standin.ModeLost, Count: 3})
	case "freeze":
		qr.fleetWorkers[i].Faults.Set(standin.Fault{Mode: standin.ModeFreeze})
	case "late":
		qr.fleet.SetOrderDelay(qr.fleetWorkers[i], orderDelay)
	case "heal":
		qr.heal()
	case "owner":
		qr.table.Faults.Set(standin.Fault{})
		qr.end()
		qr.replaceOwner()
	case "store slow":
		qr.table.Faults.Set(standin.Fault{Mode: standin.ModeSlow, DelayMS: 400})
	case "store down":
		qr.table.Faults.Set(standin.Fault{Mode: standin.ModeDown})
	case "store heal":
		qr.table.Faults.Set(standin.Fault{})
	case "unlist":
		qr.ow.SetWorkers(nil, []string{qr.fleetWorkers[i].Addr.Incarnation.ID}, false)
		return
	}
	qr.sendLists()
}

// changeEvacuations requests an evacuation, or withdraws all requests, after one in six faults.
func (qr *queuedRun) changeEvacuations() {
	switch qr.evacuationRnd.Intn(12) {
	case 0:
		qr.evacuate(qr.ow, qr.requests.current().With(dataCentre(qr.evacuationRnd.Intn(2))))
	case 1:
		qr.evacuate(qr.ow, evacuation.Set{})
	}
}

func (qr *queuedRun) heal() {
	for _, fw := range qr.fleetWorkers {
		fw.Faults.Set(standin.Fault{})
		qr.fleet.SetOrderDelay(fw, 0)
	}
}

// cancelRunning cancels a job with a running task.
func (qr *queuedRun) cancelRunning() {
	var n int
	for _, k := range qr.rnd.Perm(qr.jobs) {
		if n = 1 + k; qr.runningOfJob(n) > 0 {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	ve, err := qr.ow.Cancel(ctx, jobID(n))
	if err == nil && ve.Outcome == Accepted && qr.cancelledAt[n].IsZero() {
		qr.cancelledAt[n] = time.Now()
	}
}

// checkBooks checks that what the owner sums up agrees with its attempts, and returns how many
// of these are queued.
func (qr *queuedRun) checkBooks() int {
	queued, problems := make(chan int, 1), make(chan []string, 1)
	qr.ow.post(func() {
		var list []string
		inFlight, count := 0, 0
		for _, wk := range qr.ow.workers {
			bo := booksOf(wk)
			inFlight, count = inFlight+bo.inFlight, count+bo.queued
			if bo.orphans > 0 || bo.reserved != wk.reserved || bo.queuedReserved != wk.queuedReserved || bo.queued != len(wk.queued) {
				list = append(list, wk.incarnation.String())
			}
		}
		if inFlight != qr.ow.window.InFlight() {
			list = append(list, "starts in flight")
		}
		queued <- count
		problems <- list
	})
	count := <-queued
	for _, problem := range <-problems {
		qr.t.Errorf("wrong sums: %s", problem)
	}
	return count
}

// books are the sums of a worker's attempts. Orphans are those that their jobs do not have.
type books struct {
	reserved, queuedReserved  worker.Resources
	queued, inFlight, orphans int
}

func booksOf(wk *workerState) books {
	var bo books
	for at := range wk.attempts {
		bo.reserved = bo.reserved.Add(at.step().Reserved())
		if at.inFlight {
			bo.inFlight++
		}
		if at.queued {
			bo.queued++
			bo.queuedReserved = bo.queuedReserved.Add(at.step().Reserved())
		}
		if !at.current() {
			bo.orphans++
		}
	}
	return bo
}

func (qr *queuedRun) checkRuns() {
	for _, over := range qr.overcommitted() {
		qr.t.Errorf("started over the capacity of its worker: %s", over)
	}
	for _, problem := range qr.runProblems() {
		qr.t.Error(problem)
	}
	for _, ru := range qr.fleet.Runs() {
		id, _, _ := job.ParseTaskID(ru.Task)
		if at := qr.cancelledAt[jobNumber(id)]; !at.IsZero() && ru.From.After(at.Add(startAfterCancel)) {
			qr.t.Errorf("task %s started %v after its job was cancelled", ru.Task, ru.From.Sub(at))
		}
	}
}

// TestRandomQueuedStarts injects random faults into a full service while interrupted tasks
// wait, and checks that no start exceeds the capacity of its worker, that none runs twice at
// once or after its job was cancelled, and that no attempt stays queued.
func TestRandomQueuedStarts(t *testing.T) { playQueuedScripts(t, false) }

// TestRandomQueuedStartsWithDelays does the same while orders and answers overtake each other.
func TestRandomQueuedStartsWithDelays(t *testing.T) { playQueuedScripts(t, true) }

func playQueuedScripts(t *testing.T, delays bool) {
	t.Helper()
	seed := int64(proptest.Seed(t)) * queuedScripts
	var count atomic.Int64
	for n := range queuedScripts {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qr := newQueuedRun(t, seed+int64(n), delays, &count)
				defer func() { qr.end() }()
				qr.play()
			})
		})
	}
	qt.Check(t, count.Load() > 3*queuedScripts, qt.IsTrue, qt.Commentf("%d attempts were queued", count.Load()))
	t.Logf("%d attempts were queued", count.Load())
}

// play injects random faults, ends them, and checks the outcome.
func (qr *queuedRun) play() {
	for range 5 + qr.rnd.Intn(36) {
		qr.injectRandom()
		qr.changeEvacuations()
		pauses := []int{1, 30, 300, 300, 1500}
		time.Sleep(time.Duration(pauses[qr.rnd.Intn(len(pauses))]) * time.Millisecond)
		qr.checkBooks()
	}
	qr.table.Faults.Set(standin.Fault{})
	qr.heal()
	qr.evacuate(qr.ow, evacuation.Set{})
	qr.sendLists()
	time.Sleep(30 * time.Second)
	qt.Check(qr.t, qr.checkBooks(), qt.Equals, 0)
	qr.checkRuns()
}

// randomDelay returns a function that returns random delays up to most.
func randomDelay(seed int64, most time.Duration) func() time.Duration {
	var mu sync.Mutex
	rnd := rand.New(rand.NewSource(seed))
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rnd.Int63n(int64(most)))
	}
}

// queuedScripts is the number of random sequences; PEPPERHATCH_SEED selects others.
const queuedScripts = 60
