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

// Times of workers that crash, as the users' do.
const (
	// entryStays is how long the entry of a crashed worker stays: three heartbeats.
	entryStays = 2100 * time.Millisecond
	// backAfter is when another process listens and is listed.
	backAfter = 3200 * time.Millisecond
	// crashWork is how long a task lasts that crashes its worker.
	crashWork = 10 * time.Millisecond
)

// crashes is a lab whose workers come back some seconds after a crash, with another
// incarnation at the same address.
type crashes struct {
	*lab

	// elsewhere has workers come back at other addresses.
	elsewhere bool
	// forGood has workers not come back.
	forGood bool
	// stays and back replace entryStays and backAfter, if set.
	stays, back time.Duration

	mu sync.Mutex
	ow *Owner
	// end ends the owner.
	end   context.CancelFunc
	lives int
	// entries has the list of workers: those of dead ones stay for a while.
	entries map[worker.Incarnation]WorkerEntry
	// killed counts the workers that tasks crashed.
	killed int
	// down are workers that are not back yet.
	down map[*standin.FleetWorker]bool
}

func newCrashes(t *testing.T, la *lab) *crashes {
	t.Helper()
	cr := &crashes{lab: la, stays: entryStays, back: backAfter, entries: map[worker.Incarnation]WorkerEntry{}, down: map[*standin.FleetWorker]bool{}}
	for _, li := range la.listed() {
		cr.entries[li.Incarnation] = li
	}
	la.fleet.CrashedFunc = func(fw *standin.FleetWorker) {
		cr.mu.Lock()
		cr.killed++
		cr.mu.Unlock()
		cr.revive(fw)
	}
	return cr
}

// startCrashes returns a lab whose workers are crashed by the first tasks of some jobs, and
// its owner, a second old.
func startCrashes(t *testing.T, la *lab, jobs ...int) (*crashes, *Owner) {
	t.Helper()
	cr := newCrashes(t, la)
	cr.crashing(jobs...)
	ow := cr.own()
	t.Cleanup(func() { cr.end() })
	time.Sleep(time.Second)
	return cr, ow
}

// own starts an owner; the one before ends.
func (cr *crashes) own() *Owner {
	cr.t.Helper()
	if cr.end != nil {
		cr.end()
	}
	ow, loaded, end := cr.begin()
	if err := <-loaded; err != nil {
		cr.t.Fatal(err)
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.ow, cr.end = ow, end
	var list []WorkerEntry
	for _, li := range cr.entries {
		list = append(list, li)
	}
	ow.SetWorkers(list, nil, true)
	return ow
}

// list changes the list of workers and tells the owner.
func (cr *crashes) list(li WorkerEntry, gone bool) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if gone {
		delete(cr.entries, li.Incarnation)
		cr.ow.SetWorkers(nil, []string{li.Incarnation.ID}, false)
		return
	}
	cr.entries[li.Incarnation] = li
	cr.ow.SetWorkers([]WorkerEntry{li}, nil, false)
}

// crash ends a worker by nobody's doing.
func (cr *crashes) crash(fw *standin.FleetWorker) {
	cr.fleet.Kill(fw)
	cr.revive(fw)
}

// revive has a worker that has just crashed lose its entry and come back.
func (cr *crashes) revive(fw *standin.FleetWorker) {
	cr.mu.Lock()
	cr.down[fw] = true
	was := cr.entries[fw.Addr.Incarnation]
	cr.mu.Unlock()
	time.AfterFunc(cr.stays, func() { cr.list(was, true) })
	if cr.forGood {
		return
	}
	time.AfterFunc(cr.back, func() { cr.rise(fw, was) })
}

// rise has another process listen at a worker's address.
func (cr *crashes) rise(fw *standin.FleetWorker, was WorkerEntry) {
	cr.mu.Lock()
	cr.lives++
	next := &standin.FleetWorker{Addr: worker.Addr{HostPort: fw.Addr.HostPort, Incarnation: worker.Incarnation{ID: fmt.Sprint("life-", cr.lives)}}, Holds: fw.Holds}
	if cr.elsewhere {
		next.Addr.HostPort = fmt.Sprintf("10.1.0.%d:80", cr.lives)
	}
	cr.fleet.Add(next)
	for i := range cr.crew {
		if cr.crew[i] == fw {
			cr.crew[i] = next
		}
	}
	cr.mu.Unlock()
	was.Addr = next.Addr
	cr.list(was, false)
}

// crashing has the first task of some jobs crash each worker that starts it; tasks of other
// jobs take a while, or last.
func (cr *crashes) crashing(jobs ...int) {
	cr.crashingTasks(func(id string, ref job.TaskRef) bool {
		for _, n := range jobs {
			if id == jobID(n) && ref.Index == 0 {
				return true
			}
		}
		return false
	})
}

// crashingTasks has the tasks crash that crash says.
func (cr *crashes) crashingTasks(crash func(id string, ref job.TaskRef) bool) {
	cr.fleet.RunFunc = func(at worker.Attempt) (time.Duration, string) {
		id, ref, _ := job.ParseTaskID(at.Task)
		switch {
		case crash(id, ref):
			return crashWork, standin.Crashes
		case cr.spec(id).Steps[ref.Step].Endless:
			return -1, ""
		}
		return time.Second, "done"
	}
}

// starts counts the runs of a task.
func (cr *crashes) starts(task string) int {
	n := 0
	for _, ru := range cr.fleet.Runs() {
		if ru.Task == task {
			n++
		}
	}
	return n
}

// workers returns the workers as they are now; others may be about to come back.
func (cr *crashes) workers() []*standin.FleetWorker {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return slices.Clone(cr.crew)
}

// crashAny crashes one of the workers that are up.
func (cr *crashes) crashAny(rt *rapid.T) {
	cr.mu.Lock()
	fw := cr.crew[rapid.IntRange(0, len(cr.crew)-1).Draw(rt, "worker")]
	up := !cr.down[fw]
	cr.mu.Unlock()
	if up {
		cr.crash(fw)
	}
}

// checkAmongOthers checks starts and states of jobs once all workers are back.
func (cr *crashes) checkAmongOthers(rt *rapid.T, ow *Owner, jobs, owners int, crashing []int) {
	ends := map[string]int{}
	crashed := map[int]int{}
	for _, ru := range cr.fleet.Runs() {
		id, _, _ := job.ParseTaskID(ru.Task)
		if ru.How == "killed" || ru.How == standin.Crashes {
			ends[ru.Task]++
			crashed[jobNumber(id)] = max(crashed[jobNumber(id)], ends[ru.Task])
		}
	}
	for n := 1; n <= jobs; n++ {
		state := cr.state(ow, n)
		switch {
		case slices.Contains(crashing, n):
			if state != job.Failed || crashed[n] > startsMost || (owners == 1 && crashed[n] > 3) {
				rt.Errorf("job %d crashed %d workers with one task under %d owners and is %s", n, crashed[n], owners, state)
			}
		case state == job.Failed && crashed[n] >= 2:
		case state != job.Succeeded:
			rt.Errorf("job %d is %s, after %d crashes under one task", n, state, crashed[n])
		}
	}
	for _, problem := range cr.problems() {
		rt.Error(problem)
	}
}
