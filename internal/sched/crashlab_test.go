package sched

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/standin"
	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Times of crashes, as in production.
const (
	// crashedEntryTTL is how long the entry of a crashed worker stays: three heartbeats.
	crashedEntryTTL = 2100 * time.Millisecond
	// crashRestartAfter is the time from a crash until another process listens and is listed.
	crashRestartAfter = 3200 * time.Millisecond
	// crashDelay is the time from the start of a task to the crash that it causes.
	crashDelay = 10 * time.Millisecond
)

// crashLab is a lab whose workers restart some seconds after a crash, as another incarnation
// at the same address.
type crashLab struct {
	*lab

	// newAddress makes workers restart at other addresses.
	newAddress bool
	// noRestart makes workers not restart.
	noRestart bool
	// entryTTL and restartAfter are crashedEntryTTL and crashRestartAfter unless a test
	// changes them.
	entryTTL, restartAfter time.Duration

	mu sync.Mutex
	ow *Owner
	// end stops the owner.
	end      context.CancelFunc
	restarts int
	// entries is the list of workers, with the entries of crashed ones that are not removed
	// yet.
	entries map[worker.Incarnation]WorkerEntry
	// crashed counts the workers that tasks crashed.
	crashed int
	// down has the workers that have not restarted yet.
	down map[*standin.FleetWorker]bool
}

func newCrashLab(t *testing.T, la *lab) *crashLab {
	t.Helper()
	cr := &crashLab{lab: la, entryTTL: crashedEntryTTL, restartAfter: crashRestartAfter, entries: map[worker.Incarnation]WorkerEntry{}, down: map[*standin.FleetWorker]bool{}}
	for _, we := range la.workerEntries() {
		cr.entries[we.Incarnation] = we
	}
	la.fleet.CrashedFunc = func(fw *standin.FleetWorker) {
		cr.mu.Lock()
		cr.crashed++
		cr.mu.Unlock()
		cr.scheduleRestart(fw)
	}
	return cr
}

// startCrashLab returns a lab whose workers are crashed by the first tasks of some jobs, and
// its owner, which has run for a second.
func startCrashLab(t *testing.T, la *lab, jobs ...int) (*crashLab, *Owner) {
	t.Helper()
	cr := newCrashLab(t, la)
	cr.setCrashingJobs(jobs...)
	ow := cr.replaceOwner()
	t.Cleanup(func() { cr.end() })
	time.Sleep(time.Second)
	return cr, ow
}

// replaceOwner starts an owner and stops the one before.
func (cr *crashLab) replaceOwner() *Owner {
	cr.t.Helper()
	if cr.end != nil {
		cr.end()
	}
	ow, loaded, end := cr.startLoading()
	if err := <-loaded; err != nil {
		cr.t.Fatal(err)
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.ow, cr.end = ow, end
	var list []WorkerEntry
	for _, we := range cr.entries {
		list = append(list, we)
	}
	ow.SetWorkers(list, nil, true)
	return ow
}

// setEntry adds an entry to the list of workers or removes it, and notifies the owner.
func (cr *crashLab) setEntry(we WorkerEntry, removed bool) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if removed {
		delete(cr.entries, we.Incarnation)
		cr.ow.SetWorkers(nil, []string{we.Incarnation.ID}, false)
		return
	}
	cr.entries[we.Incarnation] = we
	cr.ow.SetWorkers([]WorkerEntry{we}, nil, false)
}

// crash ends a worker by a crash that no task caused.
func (cr *crashLab) crash(fw *standin.FleetWorker) {
	cr.fleet.Kill(fw)
	cr.scheduleRestart(fw)
}

// scheduleRestart schedules the removal of a crashed worker's entry and its restart.
func (cr *crashLab) scheduleRestart(fw *standin.FleetWorker) {
	cr.mu.Lock()
	cr.down[fw] = true
	was := cr.entries[fw.Addr.Incarnation]
	cr.mu.Unlock()
	time.AfterFunc(cr.entryTTL, func() { cr.setEntry(was, true) })
	if cr.noRestart {
		return
	}
	time.AfterFunc(cr.restartAfter, func() { cr.restartProcess(fw, was) })
}

// restartProcess starts another process at a worker's address.
func (cr *crashLab) restartProcess(fw *standin.FleetWorker, was WorkerEntry) {
	cr.mu.Lock()
	cr.restarts++
	next := &standin.FleetWorker{Addr: worker.Addr{HostPort: fw.Addr.HostPort, Incarnation: worker.Incarnation{ID: fmt.Sprint("restarted-", cr.restarts)}}, Capacity: fw.Capacity}
	if cr.newAddress {
		next.Addr.HostPort = fmt.Sprintf("10.1.0.%d:80", cr.restarts)
	}
	cr.fleet.Add(next)
	for i := range cr.fleetWorkers {
		if cr.fleetWorkers[i] == fw {
			cr.fleetWorkers[i] = next
		}
	}
	cr.mu.Unlock()
	was.Addr = next.Addr
	cr.setEntry(was, false)
}

// busiest returns the worker with the most runs. Workers may restart meanwhile.
func (cr *crashLab) busiest() *standin.FleetWorker {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	fw, _ := cr.lab.busiest()
	return fw
}

// setCrashingJobs makes the first task of some jobs crash each worker that starts it. Other
// tasks take a second, or are long-running.
func (cr *crashLab) setCrashingJobs(jobs ...int) {
	cr.setCrashingTasks(func(id string, ref job.TaskRef) bool {
		for _, n := range jobs {
			if id == jobID(n) && ref.Index == 0 {
				return true
			}
		}
		return false
	})
}

// setCrashingTasks makes the tasks crash their workers for which crash returns true.
func (cr *crashLab) setCrashingTasks(crash func(id string, ref job.TaskRef) bool) {
	cr.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		id, ref, _ := job.ParseTaskID(at.Task)
		switch {
		case crash(id, ref):
			return crashDelay, standin.OutcomeCrash
		case cr.spec(id).Steps[ref.Step].LongRunning:
			return -1, ""
		}
		return time.Second, "done"
	}
}

// starts counts the runs of a task.
func (cr *crashLab) starts(task string) int {
	n := 0
	for _, ru := range cr.fleet.Runs() {
		if ru.Task == task {
			n++
		}
	}
	return n
}

// workers returns the current workers; some may not have restarted yet.
func (cr *crashLab) workers() []*standin.FleetWorker {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return slices.Clone(cr.fleetWorkers)
}

// crashAny crashes a random worker, if it is up.
func (cr *crashLab) crashAny(rt *rapid.T) {
	cr.mu.Lock()
	fw := cr.fleetWorkers[rapid.IntRange(0, len(cr.fleetWorkers)-1).Draw(rt, "worker")]
	up := !cr.down[fw]
	cr.mu.Unlock()
	if up {
		cr.crash(fw)
	}
}

// checkRandomCrashes checks the starts and states of the jobs after all workers have
// restarted.
func (cr *crashLab) checkRandomCrashes(rt *rapid.T, ow *Owner, jobs, owners int, crashing []int) {
	ends := map[string]int{}
	crashed := map[int]int{}
	for _, ru := range cr.fleet.Runs() {
		id, _, _ := job.ParseTaskID(ru.Task)
		if ru.Outcome == "killed" || ru.Outcome == standin.OutcomeCrash {
			ends[ru.Task]++
			crashed[jobNumber(id)] = max(crashed[jobNumber(id)], ends[ru.Task])
		}
	}
	for n := 1; n <= jobs; n++ {
		state := cr.state(ow, n)
		switch {
		case slices.Contains(crashing, n):
			if state != job.Failed || crashed[n] > maxStarts || (owners == 1 && crashed[n] > 3) {
				rt.Errorf("job %d crashed %d workers with one task under %d owners and is %s", n, crashed[n], owners, state)
			}
		case state == job.Failed && crashed[n] >= 2:
		case state != job.Succeeded:
			rt.Errorf("job %d is %s, after %d crashes under one task", n, state, crashed[n])
		}
	}
	for _, problem := range cr.runProblems() {
		rt.Error(problem)
	}
}
