package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Figures of runners, as in the site's sheet and settings.
const (
	heartbeat   = 1500 * time.Millisecond
	maxLease    = 10 * time.Second
	stopTime    = 300 * time.Millisecond
	maxHoldWait = 2 * time.Second
	maxEnds     = 500
	// entryLapse is after how much silence the entry of a runner goes: three heartbeats.
	entryLapse = 3 * heartbeat
)

// run is one run of a task on a runner.
type run struct {
	Task      string
	Attempt   int
	Runner    string
	From      time.Time
	Until     time.Time
	How       string
	Spec      string
	stopping  bool
	resources capacity
}

type capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem-mb"`
	GPU   int64 `json:"gpu"`
}

// fleet is all runners and what they ran.
type fleet struct {
	st  *platformStore
	rec *recorder
	// work returns how long a task runs, 0 for until it is stopped, and what it takes.
	work func(task string) (time.Duration, capacity)
	// began is called, without locks, when a run begins.
	began func(ru *run, on *runner)
	// late returns how late a runner carries out an order to start, which it then leaves without an
	// answer; 0 or nil for at once.
	late func(on *runner, task string) time.Duration

	// mu guards the runs and the state of all runners.
	mu   sync.Mutex
	runs []*run
}

// runner is one life of a runner at an address.
type runner struct {
	fl      *fleet
	id      string
	zone    string
	labels  []string
	service string
	cap     capacity
	addr    string
	ln      net.Listener
	srv     *http.Server

	mu      *sync.Mutex
	started time.Time
	// born is the Unix millisecond of the start, 0 if the runner does not tell it; firstBorn is that of
	// its first process.
	born, firstBorn int64
	// silentFrom and silentUntil are from and until when nothing passes between the runner and everybody else.
	silentFrom, silentUntil time.Time
	dead                    bool
	dark                    chan struct{}
	fence                   int64
	until                   time.Time
	running                 map[string]*run
	last                    map[string]int
	ends                    []ended
	lastEnd                 int64
	wake                    chan struct{}
}

type ended struct {
	n  int64
	ru *run
}

// start makes a runner listen and lists it in the store.
func (fl *fleet) start(id, addr, zone string, labels []string, service string) (*runner, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	rn := &runner{
		fl: fl, id: id, zone: zone, labels: labels, service: service, cap: capacity{CPU: 32000, MemMB: 128000}, addr: ln.Addr().String(), ln: ln,
		mu: &fl.mu, started: time.Now(), running: map[string]*run{}, last: map[string]int{}, wake: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pepperhatch/run-start", rn.guard(rn.runStart))
	mux.HandleFunc("POST /pepperhatch/run-stop", rn.guard(rn.runStop))
	mux.HandleFunc("POST /pepperhatch/hold", rn.guard(rn.hold))
	mux.HandleFunc("POST /pepperhatch/pace", rn.guard(rn.pace))
	rn.srv = &http.Server{Handler: mux}
	go func() { _ = rn.srv.Serve(ln) }()
	fl.rec.logf("runner %s starts at %s in %s, labels %v", id, rn.addr, zone, labels)
	go rn.beat()
	return rn, nil
}

// beat writes the runner's entry about every heartbeat while it lives and reaches the store.
func (rn *runner) beat() {
	for seq := int64(1); ; seq++ {
		if rn.lost() {
			time.Sleep(entryLapse)
			rn.fl.st.remove("servers", rn.id)
			rn.fl.rec.logf("entry of runner %s lapses", rn.id)
			return
		}
		if rn.silentFor(entryLapse) {
			rn.fl.st.remove("servers", rn.id)
		} else if !rn.silentFor(0) {
			rn.fl.st.put("servers", rn.id, rn.entry(seq))
		}
		time.Sleep(heartbeat)
	}
}

// entry is what the runner says of itself in the store.
func (rn *runner) entry(seq int64) map[string]any {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	en := map[string]any{
		"service": rn.service, "address": rn.addr, "zone": rn.zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"sequence": seq, "capacity": rn.cap, "labels": rn.labels,
	}
	if rn.born != 0 {
		en["born"] = rn.born
	}
	return en
}

// silence lets nothing pass between the runner and everybody else until a time.
func (rn *runner) silence(until time.Time) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if !time.Now().Before(rn.silentUntil) {
		rn.silentFrom = time.Now()
	}
	rn.silentUntil = until
}

// silentFor reports whether the runner has been silent for a time.
func (rn *runner) silentFor(d time.Duration) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return time.Now().Before(rn.silentUntil) && time.Since(rn.silentFrom) >= d
}

// restart ends the runner's process and starts it again under the same id and at the same address.
// It holds and knows nothing of before, and its counts and its clock begin anew.
func (rn *runner) restart() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, ru := range rn.running {
		ru.Until, ru.How = time.Now(), "lost with its runner"
	}
	rn.running, rn.last, rn.ends, rn.lastEnd = map[string]*run{}, map[string]int{}, nil, 0
	rn.fence, rn.until, rn.started = 0, time.Time{}, time.Now()
	rn.born = rn.started.UnixMilli()
	rn.fl.rec.logf("runner %s ends and starts again under its id, born %d", rn.id, rn.born)
}

func (rn *runner) lost() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.dead || rn.dark != nil
}

// crash ends the process of the runner: its connections break, and what ran there is gone.
func (rn *runner) crash() {
	rn.mu.Lock()
	rn.dead = true
	for _, ru := range rn.running {
		ru.Until, ru.How = time.Now(), "lost with its runner"
		rn.fl.rec.logf("run of %s attempt %d on %s is lost with its runner, %v after its start", ru.Task, ru.Attempt, rn.id, ru.Until.Sub(ru.From).Round(time.Millisecond))
	}
	rn.running = map[string]*run{}
	rn.mu.Unlock()
	rn.fl.rec.logf("runner %s crashes", rn.id)
	_ = rn.srv.Close()
}

// goDark makes the runner's machine lose power for good: nothing at its address answers any more.
func (rn *runner) goDark() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.dark = make(chan struct{})
	for _, ru := range rn.running {
		ru.Until, ru.How = time.Now(), "lost with its runner"
	}
	rn.running = map[string]*run{}
	rn.fl.rec.logf("runner %s goes dark for good", rn.id)
}

// guard answers nothing once the runner is dark, and 421 to calls to another incarnation.
func (rn *runner) guard(fn func(w http.ResponseWriter, bo *order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		bo := &order{ctx: r}
		err := json.NewDecoder(r.Body).Decode(bo)
		rn.mu.Lock()
		dark, dead := rn.dark, rn.dead
		rn.mu.Unlock()
		switch {
		case dark != nil:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case dead:
			panic(http.ErrAbortHandler)
		case r.Header.Get("X-Pepperhatch-Target-Instance") != rn.id:
			writeJSON(w, http.StatusMisdirectedRequest, map[string]any{"current-time-ms": rn.clock(time.Now())})
		case err != nil:
			writeJSON(w, http.StatusBadRequest, map[string]any{"current-time-ms": rn.clock(time.Now())})
		case rn.silentFor(0):
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case bo.Spec != "" && rn.fl.late != nil && rn.fl.late(rn, bo.Task) > 0:
			rn.carryOutLater(fn, bo, rn.fl.late(rn, bo.Task))
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
			fn(w, bo)
			if rn.silentFor(0) {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// carryOutLater carries out an order some time later, without an answer. Whichever process has the
// id by then does it: the header that names the addressee has no more than the id.
func (rn *runner) carryOutLater(fn func(w http.ResponseWriter, bo *order), bo *order, after time.Duration) {
	rn.fl.rec.logf("order to start %s attempt %d at %s gets no answer and is carried out %v later", bo.Task, bo.Attempt, rn.id, after)
	time.AfterFunc(after, func() {
		rec := httptest.NewRecorder()
		fn(rec, bo)
		rn.fl.rec.logf("late order to start %s attempt %d at %s: %d %s", bo.Task, bo.Attempt, rn.id, rec.Code, rec.Body)
	})
}

// order is the body of any call to a runner.
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

	ctx *http.Request
}

// clock is the runner's steady clock; it began at a second.
func (rn *runner) clock(now time.Time) int64 { return now.Sub(rn.started).Milliseconds() + 1000 }

func (rn *runner) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"current-time-ms": rn.clock(time.Now()), "reason": reason})
}

func (rn *runner) ok(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"current-time-ms": rn.clock(time.Now())})
}

// fenced records a fencing token, and reports whether a higher one was seen; the caller holds the
// lock.
func (rn *runner) fenced(fence int64) bool {
	if fence < rn.fence {
		return true
	}
	rn.fence = fence
	return false
}

// extend extends the leases; the caller holds the lock.
func (rn *runner) extend(ms int64) {
	if ms == 0 {
		return
	}
	now := time.Now()
	until := rn.started.Add(time.Duration(ms-1000) * time.Millisecond)
	if latest := now.Add(maxLease); until.After(latest) {
		until = latest
	}
	if !until.After(rn.until) {
		return
	}
	rn.until = until
	time.AfterFunc(until.Sub(now)+time.Millisecond, rn.lapse)
}

func (rn *runner) lapse() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.dead || rn.dark != nil || time.Now().Before(rn.until) {
		return
	}
	for _, ru := range rn.running {
		rn.end(ru, "lapsed")
	}
}

// end ends a run; the caller holds the lock.
func (rn *runner) end(ru *run, how string) {
	if rn.running[ru.Task] != ru {
		return
	}
	delete(rn.running, ru.Task)
	ru.Until, ru.How = time.Now(), how
	rn.last[ru.Task] = max(rn.last[ru.Task], ru.Attempt)
	rn.lastEnd++
	rn.ends = append(rn.ends, ended{rn.lastEnd, ru})
	close(rn.wake)
	rn.wake = make(chan struct{})
	rn.fl.rec.logf("run of %s attempt %d on %s ends: %s", ru.Task, ru.Attempt, rn.id, how)
}

func (rn *runner) runStart(w http.ResponseWriter, bo *order) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.fenced(bo.Fence) {
		rn.refuse(w, "fence")
		return
	}
	rn.extend(bo.UntilMS)
	ru := rn.running[bo.Task]
	work, need := rn.fl.work(bo.Task)
	free := rn.cap
	for _, other := range rn.running {
		free.CPU -= other.resources.CPU
		free.MemMB -= other.resources.MemMB
	}
	switch {
	case ru != nil && ru.Attempt == bo.Attempt:
		rn.ok(w)
		return
	case ru != nil, bo.Attempt <= rn.last[bo.Task]:
		rn.refuse(w, "old")
		return
	case !time.Now().Before(rn.until):
		rn.refuse(w, "late")
		return
	case need.CPU > free.CPU, need.MemMB > free.MemMB:
		rn.refuse(w, "room")
		return
	}
	ru = &run{Task: bo.Task, Attempt: bo.Attempt, Runner: rn.id, From: time.Now(), Spec: bo.Spec, resources: need}
	rn.running[bo.Task] = ru
	rn.fl.runs = append(rn.fl.runs, ru)
	rn.fl.rec.logf("run of %s attempt %d begins on %s", bo.Task, bo.Attempt, rn.id)
	if work > 0 {
		time.AfterFunc(work, func() {
			rn.mu.Lock()
			defer rn.mu.Unlock()
			if !rn.dead && rn.dark == nil {
				rn.end(ru, "done")
			}
		})
	}
	if rn.fl.began != nil {
		go rn.fl.began(ru, rn)
	}
	rn.ok(w)
}

func (rn *runner) runStop(w http.ResponseWriter, bo *order) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.fenced(bo.Fence) {
		rn.refuse(w, "fence")
		return
	}
	rn.last[bo.Task] = max(rn.last[bo.Task], bo.Attempt)
	if ru := rn.running[bo.Task]; ru != nil && ru.Attempt == bo.Attempt && !ru.stopping {
		ru.stopping = true
		time.AfterFunc(stopTime, func() {
			rn.mu.Lock()
			defer rn.mu.Unlock()
			if !rn.dead && rn.dark == nil {
				rn.end(ru, "stopped")
			}
		})
	}
	rn.ok(w)
}

func (rn *runner) pace(w http.ResponseWriter, bo *order) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.fenced(bo.Fence) {
		rn.refuse(w, "fence")
		return
	}
	rn.ok(w)
}

func (rn *runner) hold(w http.ResponseWriter, bo *order) {
	rn.mu.Lock()
	if rn.fenced(bo.Fence) {
		rn.refuse(w, "fence")
		rn.mu.Unlock()
		return
	}
	rn.extend(bo.UntilMS)
	for len(rn.ends) > 0 && rn.ends[0].n <= bo.LastSeen {
		rn.ends = rn.ends[1:]
	}
	wake, waits := rn.wake, len(rn.ends) == 0 && bo.WaitMS > 0
	rn.mu.Unlock()
	if waits {
		ti := time.NewTimer(min(time.Duration(bo.WaitMS)*time.Millisecond, maxHoldWait))
		defer ti.Stop()
		select {
		case <-wake:
		case <-ti.C:
		case <-bo.ctx.Context().Done():
		}
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.dark != nil {
		// A machine without power says nothing, also on connections that are open.
		rn.mu.Unlock()
		<-bo.ctx.Context().Done()
		rn.mu.Lock()
	}
	if rn.dead || rn.dark != nil {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, ru := range rn.running {
		percent := 0
		if length, _ := rn.fl.work(ru.Task); length > 0 {
			percent = min(int(100*now.Sub(ru.From)/length), 99)
		} else if now.Sub(ru.From) > 300*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{ru.Task, ru.Attempt, "", percent, ru.resources.CPU})
	}
	for i, en := range rn.ends {
		if i == maxEnds {
			break
		}
		finished = append(finished, []any{en.n, en.ru.Task, en.ru.Attempt, en.ru.How, ""})
	}
	answer := map[string]any{"current-time-ms": rn.clock(now), "running": running, "finished": finished}
	if rn.born != 0 {
		answer["born"] = rn.born
	}
	writeJSON(w, http.StatusOK, answer)
}

// runsOf returns the runs of a job so far.
func (fl *fleet) runsOf(id string) []run {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var list []run
	for _, ru := range fl.runs {
		if len(ru.Task) > len(id) && ru.Task[:len(id)] == id {
			list = append(list, *ru)
		}
	}
	return list
}

func (ru run) String() string {
	return fmt.Sprintf("%s attempt %d on %s: %s", ru.Task, ru.Attempt, ru.Runner, ru.How)
}

// tellStart makes the runner tell its start from now on.
func (rn *runner) tellStart() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.born = rn.started.UnixMilli()
	rn.firstBorn = rn.born
}

// isFirst reports whether the runner has not started again.
func (rn *runner) isFirst() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.born <= rn.firstBorn
}
