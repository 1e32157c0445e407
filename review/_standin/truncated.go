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
	manyTasks   = 880
	lateTasks   = 160
	manyWork    = 1300 * time.Millisecond
	lateWork    = 900 * time.Millisecond
	betweenJobs = 700 * time.Millisecond
	freezeTime  = 1200 * time.Millisecond
)

// truncatedEnds freezes the owner while it gives orders for a job, on a runner where many tasks
// of another job end meanwhile.
func truncatedEnds(cl *cluster, trouble bool) ([]string, error) {
	many, late := newID(), newID()
	cl.fleet.kindOf = func(task string) taskKind {
		if strings.HasPrefix(task, late) {
			return taskKind{cpu: 30, mem: 100, work: lateWork}
		}
		return taskKind{cpu: 30, mem: 100, work: manyWork}
	}
	var once sync.Once
	cl.fleet.onStart = func(ru *run) {
		if !trouble || !strings.HasPrefix(ru.task, late) {
			return
		}
		once.Do(func() {
			eh := cl.owner()
			cl.signal(eh, syscall.SIGSTOP)
			time.Sleep(freezeTime)
			cl.signal(eh, syscall.SIGCONT)
		})
	}
	job := func(count int, work time.Duration) jobBody {
		return jobBody{Spec: "load the vans", Steps: []step{{Count: count, CPU: 30, MemMB: 100, EstimateMS: work.Milliseconds(), Requirements: "b"}}}
	}
	if !cl.submit(many, job(manyTasks, manyWork)) {
		return nil, errors.New("the first job is not accepted")
	}
	time.Sleep(betweenJobs)
	if !cl.submit(late, job(lateTasks, lateWork)) {
		return nil, errors.New("the second job is not accepted")
	}
	cl.await(many, "succeeded", 30*time.Second)
	cl.await(late, "succeeded", 30*time.Second)
	time.Sleep(2 * time.Second)
	return cl.fleet.ranTwice(), nil
}
