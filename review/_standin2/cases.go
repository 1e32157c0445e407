package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the rules, as in the site's sheet.
const (
	visible = 3 * time.Second
	// startRunners is how many runners a case has: one of them is 12.5%, less than the share of
	// runners (.15) that one crash takes.
	startRunners = 8
)

// startAll starts the runners, the configuration and the machines, and waits until they serve.
func (bd *bed) startAll(labelsOf func(i int) []string) ([]*runner, error) {
	bd.configure()
	var list []*runner
	for i := range startRunners {
		rn, err := bd.fl.start(fmt.Sprintf("i-%03d", i), fmt.Sprintf("%s.%d:0", bd.net, 101+i), zones[i%len(zones)], labelsOf(i), service)
		if err != nil {
			return nil, err
		}
		list = append(list, rn)
	}
	if err := bd.startHosts(); err != nil {
		return nil, err
	}
	if err := bd.ready(); err != nil {
		return nil, err
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(8 * time.Second)
	return list, nil
}

func kindA(i int) []string { return []string{"a", fmt.Sprintf("r%d", i/4)} }

// lastingStep is a step of one task that lasts until its job is cancelled.
var lastingStep = map[string]any{"count": 1, "cpu": 2000, "mem-mb": 1024, "estimate-ms": 320, "long-running": true, "image": "watch", "may_miss": 1}

// caseRestarts has a job with one lasting task. The runner on which it runs crashes ten times, two
// seconds after the task has begun, and is back after a second with a new id. Then nothing is
// disrupted any more, and the task has to run.
func caseRestarts(bd *bed, trouble bool) (verdict, error) {
	const (
		crashes    = 10
		crashAfter = 2 * time.Second
		downFor    = time.Second
		calm       = 20 * time.Second
		id         = "5c0e7a21d94b36f8"
	)
	bd.fl.work = func(string) (time.Duration, capacity) { return 0, capacity{CPU: 2000, MemMB: 1024} }
	began := make(chan *runner, 100)
	bd.fl.began = func(_ *run, on *runner) { began <- on }
	list, err := bd.startAll(kindA)
	if err != nil {
		return verdict{}, err
	}
	if !bd.submit(id, map[string]any{"spec": "watch", "steps": []any{lastingStep}}) {
		return verdict{}, fmt.Errorf("the job was not accepted")
	}
	crashed := 0
	for trouble && crashed < crashes {
		var on *runner
		select {
		case on = <-began:
		case <-time.After(8 * time.Second):
		}
		if on == nil {
			break
		}
		time.Sleep(crashAfter)
		on.crash()
		crashed++
		time.Sleep(downFor)
		if _, err := bd.fl.start(fmt.Sprintf("%s-%d", on.id, crashed), on.addr, on.zone, on.labels, service); err != nil {
			return verdict{}, err
		}
	}
	bd.rec.logf("no disruption from here on; %d runners are up, each with room for the task, and nothing else runs", len(list))
	last := time.Now()
	time.Sleep(calm)
	state := bd.state(bd.hosts[1], id)
	runs := bd.fl.runsOf(id)
	failed, running := 0, false
	for _, ru := range runs {
		bd.rec.logf("run: %s, from %.3f s", ru, ru.From.Sub(bd.rec.start).Seconds())
		if ru.How == "failed" {
			failed++
		}
		running = running || ru.Until.IsZero()
	}
	text := fmt.Sprintf("%d crashes of runners; %d runs, of which %d ended failed; %v later the job shows as %q and its task runs: %t", crashed, len(runs), failed, time.Since(last).Round(time.Second), state, running)
	return verdict{broken: !running || state == "failed" || state == "cancelled", text: text}, nil
}

// casePending has one runner of the kind that four jobs need. It loses power for good just before
// they are submitted, so none of their tasks begins.
func casePending(bd *bed, trouble bool) (verdict, error) {
	const jobs = 4
	bd.fl.work = func(string) (time.Duration, capacity) { return time.Second, capacity{CPU: 2000, MemMB: 1024} }
	list, err := bd.startAll(func(i int) []string {
		if i == 0 {
			return []string{"b", "r0"}
		}
		return kindA(i)
	})
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		list[0].goDark()
	}
	step := map[string]any{"count": 1, "cpu": 2000, "mem-mb": 1024, "estimate-ms": 900, "requirements": "b"}
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		if bd.submit(id, map[string]any{"spec": "plan", "steps": []any{step}}) {
			ids = append(ids, id)
		}
	}
	accepted := time.Now()
	if len(ids) < jobs {
		return verdict{}, fmt.Errorf("only %d jobs were accepted", len(ids))
	}
	ve := verdict{text: "each count was at least half of the jobs that had not started"}
	for _, after := range []time.Duration{8 * time.Second, 20 * time.Second, 30 * time.Second} {
		time.Sleep(time.Until(accepted.Add(after)))
		waiting := 0
		for _, id := range ids {
			if len(bd.fl.runsOf(id)) == 0 {
				waiting++
			}
			bd.state(bd.hosts[0], id)
		}
		for _, ho := range bd.hosts {
			n, ok := bd.pending(ho)
			bd.rec.logf("%v after the last of %d jobs was accepted, %d have not started; %s reports %d as pending (an answer: %t)", after, jobs, waiting, ho.name, n, ok)
			if ok && 2*n < waiting && after > visible+2*time.Second && !ve.broken {
				ve = verdict{broken: true, text: fmt.Sprintf("%v after they were accepted %d jobs have not started, and %s reports %d as pending", after, waiting, ho.name, n)}
			}
		}
	}
	return ve, nil
}

// caseLate has a job with one task. The runner leaves the order to start it without an answer and
// carries it out six seconds later. Meanwhile its process ends and starts again under its id, and is
// cut off: the order is carried out by the next process, which nobody has heard of.
func caseLate(bd *bed, trouble bool) (verdict, error) {
	const (
		work     = 30 * time.Second
		late     = 6 * time.Second
		crashAt  = 300 * time.Millisecond
		downFor  = 4500 * time.Millisecond
		cutFor   = 6500 * time.Millisecond
		observed = 30 * time.Second
		id       = "5c0e7a21d94b36f8"
	)
	bd.fl.work = func(string) (time.Duration, capacity) { return work, capacity{CPU: 2000, MemMB: 1024} }
	var once sync.Once
	hit := make(chan *runner, 1)
	var lateAt atomic.Pointer[runner]
	bd.fl.late = func(on *runner, _ string) time.Duration {
		once.Do(func() {
			lateAt.Store(on)
			hit <- on
		})
		if trouble && lateAt.Load() == on && on.isFirst() {
			return late
		}
		return 0
	}
	list, err := bd.startAll(kindA)
	if err != nil {
		return verdict{}, err
	}
	for _, rn := range list {
		rn.tellStart()
	}
	time.Sleep(2 * heartbeat)
	if !bd.submit(id, map[string]any{"spec": "plan", "steps": []any{map[string]any{"count": 1, "cpu": 2000, "mem-mb": 1024, "estimate-ms": 30000}}}) {
		return verdict{}, fmt.Errorf("the job was not accepted")
	}
	select {
	case on := <-hit:
		if trouble {
			time.Sleep(crashAt)
			bd.rec.logf("runner %s loses power for %v, and is cut off for %v once it is back", on.id, downFor, cutFor)
			on.silence(time.Now().Add(downFor + cutFor))
			time.Sleep(downFor)
			on.restart()
		}
	case <-time.After(5 * time.Second):
		return verdict{}, fmt.Errorf("no order within 5 s")
	}
	time.Sleep(observed)
	bd.state(bd.hosts[1], id)
	ve := verdict{text: "no two runs of the task at the same time"}
	runs := bd.fl.runsOf(id)
	for i, ru := range runs {
		bd.rec.logf("run: %s, from %.3f s to %.3f s (0: it goes on)", ru, ru.From.Sub(bd.rec.start).Seconds(), max(ru.Until.Sub(bd.rec.start).Seconds(), 0))
		for _, before := range runs[:i] {
			if before.Until.IsZero() || before.Until.After(ru.From) {
				ve = verdict{broken: true, text: fmt.Sprintf("attempt %d on %s begins while attempt %d runs on %s", ru.Attempt, ru.Runner, before.Attempt, before.Runner)}
			}
		}
	}
	return ve, nil
}
