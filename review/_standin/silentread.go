package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes and times of the case of a takeover while the store is silent.
const (
	lastingTasks  = 4
	beforeKill    = 3 * time.Second
	hostDownTime  = 3 * time.Second
	silenceAfter  = 800 * time.Millisecond
	silenceTime   = 4500 * time.Millisecond
	calmTime      = 12 * time.Second
	laterJobs     = 4
	lastingIdle   = 6 * time.Second
	claimWaitTime = 10 * time.Second
)

// claimFault makes the store lose the answer to the next claim of the cell, and say nothing for a
// while soon after.
type claimFault struct {
	armed   atomic.Bool
	claimed chan struct{}
	// silentFrom and silentUntil are the times of the silence, in Unix nanoseconds.
	silentFrom, silentUntil atomic.Int64
}

// silent reports whether the store says nothing now.
func (cf *claimFault) silent() bool {
	now := time.Now().UnixNano()
	return now >= cf.silentFrom.Load() && now < cf.silentUntil.Load()
}

// losesAnswer reports whether a write that was done gets no answer.
func (cf *claimFault) losesAnswer(tx txRequest) bool {
	for _, ro := range tx.Puts {
		var held struct {
			Owner string `json:"owner"`
		}
		if ro.Table != "cells" || ro.Key != "owner" || json.Unmarshal(ro.Value, &held) != nil || held.Owner == "" {
			continue
		}
		if cf.armed.CompareAndSwap(true, false) {
			from := time.Now().Add(silenceAfter)
			cf.silentUntil.Store(from.Add(silenceTime).UnixNano())
			cf.silentFrom.Store(from.UnixNano())
			close(cf.claimed)
			return true
		}
	}
	return false
}

// neverAnswer holds a request until its client gives it up.
func neverAnswer(r *http.Request) { <-r.Context().Done() }

// silentRead kills the owner, loses the answer to the claim of the next one, and then makes the
// store silent for a while.
func silentRead(cl *cluster, trouble bool) ([]string, error) {
	lasting := newID()
	cl.fleet.kindOf = func(task string) taskKind {
		if strings.HasPrefix(task, lasting) {
			return taskKind{cpu: 2000, mem: 4000, lasts: true}
		}
		return taskKind{cpu: 2000, mem: 4000, work: otherWork}
	}
	if !cl.submit(lasting, jobBody{Spec: "watch the traffic", Steps: []step{{Count: lastingTasks, CPU: 2000, MemMB: 4000, LongRunning: true}}}) {
		return nil, errors.New("the lasting job is not accepted")
	}
	time.Sleep(beforeKill)
	if trouble {
		cl.store.fault.armed.Store(true)
		eh := cl.owner()
		cl.signal(eh, syscall.SIGKILL)
		go cl.restart(eh, hostDownTime)
		select {
		case <-cl.store.fault.claimed:
		case <-time.After(claimWaitTime):
			return nil, errors.New("no host claims the cell")
		}
		cl.log.Info("answer to the claim lost; the store will be silent", "in", silenceAfter, "for", silenceTime)
		time.Sleep(silenceAfter + silenceTime)
		cl.log.Info("the store answers again")
	}
	time.Sleep(calmTime)
	var accepted []string
	for range laterJobs {
		if id := newID(); cl.submit(id, jobBody{Spec: "next turn", Steps: []step{{Count: 6, CPU: 2000, MemMB: 4000, EstimateMS: otherWork.Milliseconds()}}}) {
			accepted = append(accepted, id)
		}
	}
	broken := cl.restingTasks(lasting)
	time.Sleep(finishTime)
	return append(broken, cl.lostJobs(accepted)...), nil
}

// restingTasks returns the breaks of the rule LOST for a lasting job: tasks that have not run for
// lastingIdle.
func (cl *cluster) restingTasks(id string) []string {
	var broken []string
	cl.fleet.mu.Lock()
	defer cl.fleet.mu.Unlock()
	for i := range lastingTasks {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		var last time.Time
		for _, ru := range cl.fleet.runs {
			switch {
			case ru.task != task:
			case ru.ended.IsZero():
				last = time.Now()
			case ru.ended.After(last):
				last = ru.ended
			}
		}
		if idle := time.Since(last); idle > lastingIdle {
			broken = append(broken, fmt.Sprintf("LOST: %s is to last and has not run for %v, with room for it", task, idle.Round(time.Second)))
		}
	}
	return broken
}
