package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Sizes and times of the case of rows that become too large for the store.
const (
	// savingTasks fit on the one runner of kind b: 30 cores and 100 GB.
	savingTasks = 1000
	// checkpointSize is the length of a checkpoint, that of a UUID.
	checkpointSize = 36
	savingWork     = 4 * time.Second
	crashAfter     = 2500 * time.Millisecond
	downTime       = 4 * time.Second
	otherJobs      = 6
	otherInterval  = 1500 * time.Millisecond
	otherWork      = time.Second
	// finishTime is finish_s: how long after the end of the traffic jobs are queried.
	finishTime = 14 * time.Second
	// idleTime is for how long a job may run nothing although it could.
	idleTime = 3 * time.Second
	// queryTime bounds the queries of all jobs.
	queryTime = 15 * time.Second
)

// largeRows crashes the runner on which the tasks of one job run, all of which then go on from
// checkpoints. The other jobs use other runners.
func largeRows(cl *cluster, trouble bool) ([]string, error) {
	saving := newID()
	cl.fleet.kindOf = func(task string) taskKind {
		if strings.HasPrefix(task, saving) {
			return taskKind{cpu: 30, mem: 100, work: savingWork, checkpoint: checkpointSize}
		}
		return taskKind{cpu: 2000, mem: 4000, work: otherWork}
	}
	many := step{Count: savingTasks, CPU: 30, MemMB: 100, EstimateMS: savingWork.Milliseconds(), Checkpointing: true, Requirements: "b"}
	if !cl.submit(saving, jobBody{Spec: "rebuild the depots", Steps: []step{many}}) {
		return nil, errors.New("the large job is not accepted")
	}
	accepted := []string{saving}
	time.Sleep(crashAfter)
	if trouble {
		rn := cl.fleet.runners[0]
		rn.crash()
		time.AfterFunc(downTime, func() { _ = rn.start() })
	}
	first := step{Count: 6, CPU: 2000, MemMB: 4000, EstimateMS: otherWork.Milliseconds()}
	second := first
	second.StartAfter = []int{0}
	for range otherJobs {
		if id := newID(); cl.submit(id, jobBody{Spec: "next turn", Steps: []step{first, second}}) {
			accepted = append(accepted, id)
		}
		time.Sleep(otherInterval)
	}
	time.Sleep(finishTime)
	count, largest := cl.store.refusedRows()
	cl.log.Info("writes refused for a row over row_bytes", "count", count, "largest", largest)
	return cl.lostJobs(accepted), nil
}

// lostJobs returns the breaks of the rule LOST: jobs that are unknown, that nobody answers for,
// or that have run nothing for idleTime although no runner has anything to do.
func (cl *cluster) lostJobs(accepted []string) []string {
	states := map[string]string{}
	for end := time.Now().Add(queryTime); time.Now().Before(end) && len(states) < len(accepted); {
		for _, id := range accepted {
			if state := cl.state(id); state == "succeeded" || state == "failed" {
				states[id] = state
			}
		}
		time.Sleep(idleTime / 2)
	}
	var broken []string
	for _, id := range accepted {
		state := states[id]
		if state == "succeeded" {
			continue
		}
		if state == "" {
			state = cl.state(id)
		}
		running, last := cl.fleet.lastWork(id)
		idle := time.Since(last)
		switch {
		case state == "410" || state == "":
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted and is unknown or not answered for (%q)", id, state))
		case running == 0 && idle > idleTime:
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, is %q, and has run nothing for %v while the runners have nothing to do", id, state, idle.Round(time.Second)))
		}
	}
	return broken
}

// lastWork returns how many tasks run at all, and when a task of the job last ran, or when the
// first task of any job began.
func (fl *fleet) lastWork(id string) (running int, last time.Time) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	last = fl.runs[0].began
	for _, ru := range fl.runs {
		if ru.ended.IsZero() {
			running++
		}
		if strings.HasPrefix(ru.task, id) && ru.ended.After(last) {
			last = ru.ended
		}
	}
	return running, last
}
