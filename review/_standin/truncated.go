package main

import (
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case of ends beyond the first 500 of a list.
const (
	// rounds is how often the same is done, as few orders may be under way at a freeze.
	rounds = 3
	// manyTasks and lateTasks together fit on the one runner of kind b: 31.2 cores.
	manyTasks   = 880
	lateTasks   = 160
	taskCPU     = 30
	taskMem     = 100
	manyWork    = 1300 * time.Millisecond
	lateWork    = 900 * time.Millisecond
	betweenJobs = 700 * time.Millisecond
	freezeTime  = 1200 * time.Millisecond
	roundTime   = 15 * time.Second
)

// truncatedEnds freezes the owner while it gives orders for a job, on a runner where many tasks
// of another job end meanwhile.
func truncatedEnds(cl *cluster, trouble bool) ([]string, error) {
	var mu sync.Mutex
	late := map[string]bool{}
	frozen := map[string]bool{}
	cl.fleet.kindOf = func(task string) taskKind {
		mu.Lock()
		defer mu.Unlock()
		if id, _, _ := strings.Cut(task, "."); late[id] {
			return taskKind{cpu: taskCPU, mem: taskMem, work: lateWork}
		}
		return taskKind{cpu: taskCPU, mem: taskMem, work: manyWork}
	}
	cl.fleet.onStart = func(ru *run) {
		id, _, _ := strings.Cut(ru.task, ".")
		mu.Lock()
		due := trouble && late[id] && !frozen[id]
		frozen[id] = true
		mu.Unlock()
		if due {
			cl.freeze(cl.owner(), freezeTime)
		}
	}
	for range rounds {
		first, second := newID(), newID()
		mu.Lock()
		late[second] = true
		mu.Unlock()
		if !cl.submit(first, shortJob(manyTasks, manyWork)) {
			return nil, errors.New("the first job is not accepted")
		}
		time.Sleep(betweenJobs)
		if !cl.submit(second, shortJob(lateTasks, lateWork)) {
			return nil, errors.New("the second job is not accepted")
		}
		cl.await(first, "succeeded", roundTime)
		cl.await(second, "succeeded", roundTime)
		// Longer than contact-ms, so that each round begins in calm.
		time.Sleep(5 * time.Second)
	}
	return cl.fleet.ranTwice(), nil
}

// freeze stops the process of a host for a while.
func (cl *cluster) freeze(eh *entryHost, d time.Duration) {
	cl.signal(eh, syscall.SIGSTOP)
	time.Sleep(d)
	cl.signal(eh, syscall.SIGCONT)
}

// shortJob returns a job of equal tasks for the runner of kind b.
func shortJob(count int, work time.Duration) jobBody {
	return jobBody{Spec: "load the vans", Steps: []step{{Count: count, CPU: taskCPU, MemMB: taskMem, EstimateMS: work.Milliseconds(), Requirements: "b"}}}
}
