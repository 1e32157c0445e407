package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and limits of the runners, as the settings and the pages give them.
const (
	maxLease     = 10 * time.Second
	stopTime     = 100 * time.Millisecond
	saveInterval = 500 * time.Millisecond
	restoreTime  = 250 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	maxFinished  = 500
	maxHoldWait  = 2 * time.Second
	// linkTime is the time of a message one way between two zones.
	linkTime = 900 * time.Microsecond
)

// taskKind is how the tasks of a step behave.
type taskKind struct {
	cpu, mem int64
	work     time.Duration
	// checkpoint is the length of the task's checkpoints in bytes, 0 for none.
	checkpoint int
	lasts      bool
}

// run is one run of a task, for the check of the rules.
type run struct {
	task    string
	attempt int
	runner  string
	// began and ended are when it began and ended, how is how.
	began, ended time.Time
	how          string
	// acked is when last-seen reached the end; lapsed is set if the lease had lapsed before.
	acked  time.Time
	lapsed bool

	kind       taskKind
	saved      string
	savedWork  time.Duration
	workBefore time.Duration
	number     int64
	stop       *time.Timer
}

// work returns the work that the run has done, that before its checkpoint included.
func (ru *run) work(now time.Time) time.Duration {
	since := now.Sub(ru.began)
	if ru.workBefore > 0 {
		since = max(since-restoreTime, 0)
	}
	return ru.workBefore + since
}

// fleet has the runners and all their runs.
type fleet struct {
	log   *slog.Logger
	store *metadataStore

	mu      sync.Mutex
	runners []*runner
	runs    []*run
	// kindOf returns how a task behaves, by its name.
	kindOf func(task string) taskKind
	// savedWork has the work that a checkpoint stands for.
	savedWork map[string]time.Duration
	saves     int
	// onStart, if set, is called when a task begins.
	onStart func(ru *run)
}

// runner is one machine that runs tasks: one process after the other at one address.
type runner struct {
	fl      *fleet
	index   int
	addr    string
	service string
	zone    string
	labels  []string
	cpu     int64
	mem     int64

	// mu guards the fields below, which belong to the present process.
	mu       sync.Mutex
	life     int
	id       string
	server   *http.Server
	began    time.Time
	until    time.Time
	fence    int64
	running  map[string]*run
	closed   map[string]int
	finished []*run
	ends     int64
	wake     chan struct{}
	lease    *time.Timer
}

// start begins a process of the runner, which lists itself in the store.
func (rn *runner) start() error {
	var li net.Listener
	var err error
	for range 20 {
		if li, err = net.Listen("tcp", rn.addr); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.addr = li.Addr().String()
	rn.life++
	rn.id = fmt.Sprintf("i-%02d%06x", rn.index, rn.life*0x3a91c+rn.index)
	rn.began, rn.until, rn.fence, rn.ends = time.Now(), time.Time{}, 0, 0
	rn.running, rn.closed, rn.finished, rn.wake = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	rn.server = &http.Server{Handler: rn.handler(rn.id), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = rn.server.Serve(li) }()
	rn.fl.log.Info("runner starts", "runner", rn.id, "addr", rn.addr)
	rn.fl.store.put("servers", rn.id, map[string]any{
		"service": rn.service, "address": rn.addr, "zone": rn.zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"capacity": map[string]int64{"cpu": rn.cpu, "mem-mb": rn.mem, "gpu": 0}, "labels": rn.labels, "sequence": 1,
	})
	return nil
}

// crash ends the process of the runner with all that runs there. Its entry goes after three
// heartbeats of silence.
func (rn *runner) crash() {
	rn.mu.Lock()
	id, server := rn.id, rn.server
	now := time.Now()
	for _, ru := range rn.running {
		ru.ended, ru.how = now, "crashed"
		if ru.stop != nil {
			ru.stop.Stop()
		}
	}
	rn.running, rn.id = map[string]*run{}, ""
	if rn.lease != nil {
		rn.lease.Stop()
	}
	rn.mu.Unlock()
	_ = server.Close()
	rn.fl.log.Info("runner crashes", "runner", id)
	time.AfterFunc(3*heartbeat, func() { rn.fl.store.remove("servers", id) })
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until-ms"`
	Fence      int64  `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

func (rn *runner) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Pepperhatch-Target-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var or order
		if err := json.NewDecoder(r.Body).Decode(&or); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(linkTime)
		an := rn.carryOut(r, id, or)
		time.Sleep(linkTime)
		reply(w, an.status, an.body)
	})
}

// answer is the answer to an order.
type answer struct {
	status int
	body   map[string]any
}

// carryOut carries out an order to the process with an id.
func (rn *runner) carryOut(r *http.Request, id string, or order) answer {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.id != id {
		panic(http.ErrAbortHandler)
	}
	if or.Fence < rn.fence {
		return rn.refuse("fence")
	}
	rn.fence = or.Fence
	rn.extend(or.UntilMS)
	switch strings.TrimPrefix(r.URL.Path, "/pepperhatch/") {
	case "run-start":
		return rn.serveStart(or)
	case "run-stop":
		return rn.serveStop(or)
	case "pace":
		return rn.acknowledge()
	case "hold":
		return rn.serveHold(r, id, or)
	}
	return answer{status: http.StatusNotFound}
}

// clock returns the runner's time in milliseconds.
func (rn *runner) clock() int64 { return time.Since(rn.began).Milliseconds() + 1000 }

func (rn *runner) refuse(reason string) answer {
	return answer{http.StatusConflict, map[string]any{"current-time-ms": rn.clock(), "reason": reason}}
}

func (rn *runner) acknowledge() answer {
	return answer{http.StatusOK, map[string]any{"current-time-ms": rn.clock()}}
}

// extend extends the lease of all that runs. It never shortens it.
func (rn *runner) extend(untilMS int64) {
	if untilMS == 0 {
		return
	}
	until := rn.began.Add(time.Duration(untilMS-1000) * time.Millisecond)
	if latest := time.Now().Add(maxLease); until.After(latest) {
		until = latest
	}
	if !until.After(rn.until) {
		return
	}
	rn.until = until
	if rn.lease != nil {
		rn.lease.Stop()
	}
	rn.lease = time.AfterFunc(time.Until(until), rn.lapse)
}

// lapse ends all that runs once the lease is over.
func (rn *runner) lapse() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if time.Now().Before(rn.until) {
		return
	}
	for _, ru := range rn.running {
		rn.end(ru, "lapsed")
	}
	for _, ru := range rn.finished {
		ru.lapsed = true
	}
}

func (rn *runner) serveStart(or order) answer {
	now := time.Now()
	ru := rn.running[or.Task]
	kind := rn.fl.kindOf(or.Task)
	switch {
	case !rn.until.After(now):
		return rn.refuse("late")
	case ru != nil && ru.attempt == or.Attempt:
		return rn.acknowledge()
	case ru != nil, or.Attempt <= rn.closed[or.Task]:
		return rn.refuse("old")
	case !rn.hasRoom(kind):
		return rn.refuse("room")
	}
	ru = rn.fl.begin(or, rn, kind, now)
	rn.running[or.Task] = ru
	if !kind.lasts {
		left := kind.work - ru.workBefore
		if ru.workBefore > 0 {
			left += restoreTime
		}
		ru.stop = time.AfterFunc(left, func() { rn.endLater(ru, "done") })
	}
	return rn.acknowledge()
}

func (rn *runner) hasRoom(kind taskKind) bool {
	cpu, mem := kind.cpu, kind.mem
	for _, ru := range rn.running {
		cpu, mem = cpu+ru.kind.cpu, mem+ru.kind.mem
	}
	return cpu <= rn.cpu && mem <= rn.mem
}

// begin records a run.
func (fl *fleet) begin(or order, rn *runner, kind taskKind, now time.Time) *run {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ru := &run{task: or.Task, attempt: or.Attempt, runner: rn.id, began: now, kind: kind}
	if or.Checkpoint != "" {
		ru.workBefore, ru.saved, ru.savedWork = fl.savedWork[or.Checkpoint], or.Checkpoint, fl.savedWork[or.Checkpoint]
	}
	fl.runs = append(fl.runs, ru)
	fl.log.Info("task starts", "task", or.Task, "attempt", or.Attempt, "runner", rn.id, "from", ru.workBefore)
	if fl.onStart != nil {
		go fl.onStart(ru)
	}
	return ru
}

func (rn *runner) endLater(ru *run, how string) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.end(ru, how)
}

// end ends a run that still runs and lists the end.
func (rn *runner) end(ru *run, how string) {
	if rn.running[ru.task] != ru {
		return
	}
	rn.save(ru, time.Now(), how == "stopped")
	delete(rn.running, ru.task)
	if ru.stop != nil {
		ru.stop.Stop()
	}
	rn.closed[ru.task] = max(rn.closed[ru.task], ru.attempt)
	rn.ends++
	ru.ended, ru.how, ru.number = time.Now(), how, rn.ends
	rn.finished = append(rn.finished, ru)
	rn.fl.log.Info("task ends", "task", ru.task, "attempt", ru.attempt, "runner", rn.id, "how", how, "number", ru.number)
	close(rn.wake)
	rn.wake = make(chan struct{})
}

// save takes a checkpoint of a run if one is due.
func (rn *runner) save(ru *run, now time.Time, stopped bool) {
	if ru.kind.checkpoint == 0 {
		return
	}
	work := ru.work(now)
	if !stopped {
		work = work.Truncate(saveInterval)
	}
	if work <= ru.savedWork {
		return
	}
	rn.fl.mu.Lock()
	defer rn.fl.mu.Unlock()
	rn.fl.saves++
	name := fmt.Sprintf("%08x.%s/", rn.fl.saves, ru.task)
	ru.saved = (name + strings.Repeat("0123456789abcdef", ru.kind.checkpoint/16+1))[:ru.kind.checkpoint]
	ru.savedWork = work
	rn.fl.savedWork[ru.saved] = work
}

func (rn *runner) serveStop(or order) answer {
	ru := rn.running[or.Task]
	if ru != nil && ru.attempt == or.Attempt {
		time.AfterFunc(stopTime, func() { rn.endLater(ru, "stopped") })
	} else {
		rn.closed[or.Task] = max(rn.closed[or.Task], or.Attempt)
	}
	rn.fl.log.Info("task is to stop", "task", or.Task, "attempt", or.Attempt, "runner", rn.id, "runs", ru != nil)
	return rn.acknowledge()
}

// serveHold answers with what runs and what has ended. The caller holds rn.mu.
func (rn *runner) serveHold(r *http.Request, id string, or order) answer {
	now := time.Now()
	for len(rn.finished) > 0 && rn.finished[0].number <= or.LastSeen {
		ru := rn.finished[0]
		ru.acked = now
		rn.finished = rn.finished[1:]
		rn.fl.log.Info("end taken note of", "task", ru.task, "attempt", ru.attempt, "runner", rn.id, "number", ru.number, "lapsed", ru.lapsed)
	}
	deadline := time.NewTimer(min(time.Duration(or.WaitMS)*time.Millisecond, maxHoldWait))
	defer deadline.Stop()
	for waiting := or.WaitMS > 0; waiting && len(rn.finished) == 0; {
		wake := rn.wake
		rn.mu.Unlock()
		select {
		case <-wake:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		rn.mu.Lock()
		if rn.id != id {
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	now = time.Now()
	for _, ru := range rn.running {
		rn.save(ru, now, false)
		percent := 100
		if !ru.kind.lasts {
			percent = int(100 * ru.work(now) / ru.kind.work)
		}
		running = append(running, []any{ru.task, ru.attempt, ru.saved, min(percent, 100), ru.kind.cpu})
	}
	for _, ru := range rn.finished[:min(len(rn.finished), maxFinished)] {
		finished = append(finished, []any{ru.number, ru.task, ru.attempt, ru.how, ru.saved})
	}
	return answer{http.StatusOK, map[string]any{"current-time-ms": rn.clock(), "running": running, "finished": finished}}
}

// ranTwice returns the breaks of the rule TWICE for tasks without copies: runs of a task at the
// same time, and a start after a run has ended done whose end is taken note of in its lease.
func (fl *fleet) ranTwice() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	byTask := map[string][]*run{}
	var broken []string
	for _, ru := range fl.runs {
		for _, before := range byTask[ru.task] {
			switch {
			case before.ended.IsZero() || before.ended.After(ru.began):
				broken = append(broken, fmt.Sprintf("TWICE: %s runs as attempt %d on %s and as attempt %d on %s at the same time", ru.task, before.attempt, before.runner, ru.attempt, ru.runner))
			case before.how == "done" && !before.acked.IsZero() && !before.lapsed:
				broken = append(broken, fmt.Sprintf("TWICE: %s attempt %d starts on %s %v after attempt %d had ended done on %s, an end that is taken note of", ru.task, ru.attempt, ru.runner, ru.began.Sub(before.ended).Round(time.Millisecond), before.attempt, before.runner))
			}
		}
		byTask[ru.task] = append(byTask[ru.task], ru)
	}
	return broken
}
