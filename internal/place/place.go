// Package place decides where the tasks of a cell run, which are throttled, and which are
// evicted.
//
// [Decide] maps a snapshot to decisions without state, clock or randomness: equal snapshots
// always give the same decisions, so that tests can drive it freely. What is learnt over
// time is in a [Model], which is part of the snapshot.
//
// The goals, in order: no host over its capacity; services within their target; few
// evictions; batch work done. Users weigh the last three differently, so the weights are
// settings.
package place

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Worker is the state of a worker as the owner of its cell knows it.
type Worker struct {
	// ID is the id of the worker, Rack that of its rack.
	ID   string
	Rack string
	// Capacity is the worker's total resources.
	Capacity worker.Resources
	// Used is the resources of the tasks on it, including those that may still run.
	Used worker.Resources
	// Unschedulable workers get no new tasks: they are drained, leaving, unresponsive or
	// quarantined.
	Unschedulable bool
	// Draining workers must lose their tasks: they are drained or leaving.
	Draining bool
	// Probation limits a worker that was quarantined to one new task per decision.
	Probation bool
}

// Task is a waiting or running task.
type Task struct {
	// ID is the id of the task, Job and Team those of its job and team. Kind groups tasks
	// that behave alike.
	ID   string
	Job  string
	Team string
	Kind string
	// Service tasks run until they are stopped and have a latency target.
	Service bool
	// Urgent tasks are placed first and may preempt batch tasks.
	Urgent bool
	// Each is the resources that the task is given, or needs if it waits.
	Each worker.Resources
	// Worker is the id of the worker that runs it; empty if it waits.
	Worker string
	// Stopping is set once the task was ordered to stop.
	Stopping bool
	// Order sorts waiting tasks, the lowest first.
	Order int64
	// Avoid has the ids of workers on which the task failed.
	Avoid map[string]bool
	// Share is the share of its cores that the task may use, 0 to 1.
	Share float64
	// TailMS is the measured p99 latency of a service in milliseconds; 0 if not measured.
	// Fresh is set if the measurement is newer than the last decision for its worker.
	TailMS float64
	Fresh  bool
	// LostMS is the run time since the last checkpoint, which an eviction would lose, in
	// milliseconds.
	LostMS int64
	// Evictions counts the evictions of the task so far.
	Evictions int
}

// Policy holds the users' weights and limits.
type Policy struct {
	// TailTargetMS is the target of the p99 latency of services, in milliseconds.
	TailTargetMS float64
	// WeightTail, WeightEvictions and WeightBatch are the relative weights of the goals.
	WeightTail      float64
	WeightEvictions float64
	WeightBatch     float64
	// Evictions is the remaining budget of evictions that the system decides by itself.
	Evictions int
	// Quotas limit the resources of a team's running tasks, by team.
	Quotas map[string]worker.Resources
	// NoControl disables throttling and evictions for tail latencies, for comparison.
	NoControl bool
}

// Snapshot is the input of a decision.
type Snapshot struct {
	// Workers and Tasks are all workers and tasks of the cell.
	Workers []Worker
	Tasks   []Task
	// Policy holds weights and limits.
	Policy Policy
	// Model predicts the interference between tasks; nil for one that has learnt nothing.
	Model *Model
}

// Verb is the kind of a decision.
type Verb string

// Kinds of decisions.
const (
	// Start starts a waiting task at a worker.
	Start Verb = "start"
	// Throttle sets the share of a running task.
	Throttle Verb = "throttle"
	// Evict stops a batch task, which is started again later or elsewhere.
	Evict Verb = "evict"
	// Move stops a task on a worker that is being drained.
	Move Verb = "move"
)

// Decision is one action on a task.
type Decision struct {
	// Verb is the kind of the decision.
	Verb Verb
	// Task and Worker are the ids of the task and the worker.
	Task   string
	Worker string
	// Share is the new share, for [Throttle].
	Share float64
	// Reason is a text for logs.
	Reason string
}

// Decide returns the decisions for a snapshot, in the order in which they are to be
// carried out. It applies them to the tasks of the snapshot, which cannot be used again.
func Decide(sn Snapshot) []Decision {
	de := newDecider(sn)
	de.drain()
	if !sn.Policy.NoControl {
		de.controlTails()
	}
	de.start()
	return de.decisions
}

// decider holds a snapshot and what follows from it while decisions are made.
type decider struct {
	sn    Snapshot
	model *Model
	// workers has the workers by id, ordered has them in the order of the snapshot.
	workers map[string]*workerState
	ordered []*workerState
	// teams has the resources of running tasks by team, racks the number of running service
	// tasks by rackKey.
	teams map[string]worker.Resources
	racks map[string]int
	// evictionBudget is how many evictions for tail latencies are left.
	evictionBudget int
	// infeasible has shapes for which no worker was found, or whose team's quota is used
	// up. Further tasks of such a shape are skipped.
	infeasible map[shape]bool
	decisions  []Decision
}

// workerState is a worker with its running tasks.
type workerState struct {
	Worker

	free  worker.Resources
	tasks []*Task
	// started is set once a task was started here, for Probation.
	started bool
}

// shape has the properties of a waiting task that determine whether a worker is found for
// it.
type shape struct {
	each    worker.Resources
	kind    string
	service bool
	urgent  bool
	team    string
	job     string
}

func newDecider(sn Snapshot) *decider {
	de := &decider{
		sn: sn, model: sn.Model, workers: make(map[string]*workerState, len(sn.Workers)),
		teams: map[string]worker.Resources{}, racks: map[string]int{},
		evictionBudget: sn.Policy.Evictions, infeasible: map[shape]bool{},
	}
	if de.model == nil {
		de.model = &Model{}
	}
	for _, wo := range sn.Workers {
		ws := &workerState{Worker: wo, free: wo.Capacity.Sub(wo.Used)}
		de.workers[wo.ID] = ws
		de.ordered = append(de.ordered, ws)
	}
	for i := range sn.Tasks {
		ta := &sn.Tasks[i]
		ws := de.workers[ta.Worker]
		if ta.Worker != "" {
			de.teams[ta.Team] = de.teams[ta.Team].Add(ta.Each)
		}
		if ws == nil {
			continue
		}
		ws.tasks = append(ws.tasks, ta)
		if ta.Service {
			de.racks[rackKey(ta.Job, ws.Rack)]++
		}
	}
	return de
}

func rackKey(job, rack string) string { return job + "\x00" + rack }

// drain moves tasks off workers that are being drained: services one task of a job at a
// time, so that a service never loses several tasks at once.
func (de *decider) drain() {
	moving := map[string]bool{}
	for _, ta := range de.sn.Tasks {
		if ta.Service && ta.Stopping {
			moving[ta.Job] = true
		}
	}
	for _, ws := range de.ordered {
		if !ws.Draining {
			continue
		}
		for _, ta := range ws.tasks {
			if ta.Stopping || (ta.Service && (moving[ta.Job] || !de.fitsElsewhere(ta))) {
				continue
			}
			if ta.Service {
				moving[ta.Job] = true
			}
			de.add(Decision{Verb: Move, Task: ta.ID, Worker: ws.ID, Reason: "worker is being drained"})
			ta.Stopping = true
		}
	}
}

// fitsElsewhere reports whether another worker could take a service task. If none can, the
// task stays where it is.
func (de *decider) fitsElsewhere(ta *Task) bool {
	for _, ws := range de.ordered {
		if !ws.Unschedulable && ta.Each.Fits(ws.free) {
			return true
		}
	}
	return false
}

func (de *decider) add(dec Decision) {
	de.decisions = append(de.decisions, dec)
}

// start places waiting tasks: urgent before others, services before batch, then by Order.
func (de *decider) start() {
	var waiting []*Task
	for i := range de.sn.Tasks {
		if de.sn.Tasks[i].Worker == "" {
			waiting = append(waiting, &de.sn.Tasks[i])
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Task) int {
		return cmp.Or(compareTrueFirst(a.Urgent, b.Urgent), compareTrueFirst(a.Service, b.Service), cmp.Compare(a.Order, b.Order))
	})
	for _, ta := range waiting {
		de.place(ta)
	}
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (de *decider) place(ta *Task) {
	sh := shape{each: ta.Each, kind: ta.Kind, service: ta.Service, urgent: ta.Urgent, team: ta.Team}
	if ta.Service {
		sh.job = ta.Job
	}
	plain := len(ta.Avoid) == 0
	if plain && de.infeasible[sh] {
		return
	}
	if !de.withinQuota(ta) {
		de.infeasible[sh] = plain
		return
	}
	if ws := de.lowestCost(ta); ws != nil {
		de.assign(ws, ta)
		return
	}
	if ta.Urgent && de.preempt(ta) {
		return
	}
	if plain {
		de.infeasible[sh] = true
	}
}

func (de *decider) withinQuota(ta *Task) bool {
	quota, limited := de.sn.Policy.Quotas[ta.Team]
	return !limited || de.teams[ta.Team].Add(ta.Each).Fits(quota)
}

func (de *decider) assign(ws *workerState, ta *Task) {
	ta.Worker = ws.ID
	ws.free = ws.free.Sub(ta.Each)
	ws.tasks = append(ws.tasks, ta)
	ws.started = true
	de.teams[ta.Team] = de.teams[ta.Team].Add(ta.Each)
	if ta.Service {
		de.racks[rackKey(ta.Job, ws.Rack)]++
	}
	de.add(Decision{Verb: Start, Task: ta.ID, Worker: ws.ID, Reason: "fits"})
}

// lowestCost returns the worker with the lowest cost for a task, or nil.
func (de *decider) lowestCost(ta *Task) *workerState {
	var best *workerState
	lowest := 0.0
	for _, ws := range de.ordered {
		if !de.accepts(ws, ta) || !ta.Each.Fits(ws.free) {
			continue
		}
		if co := de.cost(ws, ta); best == nil || co < lowest {
			best, lowest = ws, co
		}
	}
	return best
}

func (de *decider) accepts(ws *workerState, ta *Task) bool {
	return !ws.Unschedulable && !ta.Avoid[ws.ID] && (!ws.Probation || !ws.started)
}

// Costs, in units of the cost of one service at its target.
const (
	// costSameRack applies to a service task per task of its job in the same rack, as a
	// failure of the rack would stop them together.
	costSameRack = 0.5
	// costAccel applies to a task without accelerators on a worker with unused ones.
	costAccel = 0.2
	// costFragmentation applies to the fraction of the worker's cores that the task leaves
	// free. Both kinds of work therefore fill up a worker before using the next one:
	// services then run beside services, which interfere least with each other, and free
	// resources are less fragmented.
	costFragmentation = 0.1
	// costSameWorker applies to a service task per task of its job on the same worker, as
	// a failure of the worker would stop them together.
	costSameWorker = 0.03
)

// cost returns the cost of a task at a worker: the interference that it causes to services
// there, or suffers itself, and how well it fits.
func (de *decider) cost(ws *workerState, ta *Task) float64 {
	pol := de.sn.Policy
	co := 0.0
	for _, other := range ws.tasks {
		switch {
		case ta.Service && other.Job == ta.Job:
			co += costSameWorker
		case ta.Service && !other.Service:
			co += pol.WeightTail * de.model.Interference(ta.Kind, other.Kind) * cores(other)
		case !ta.Service && other.Service:
			co += pol.WeightTail * de.model.Interference(other.Kind, ta.Kind) * cores(ta)
		}
	}
	left := float64(ws.free.MilliCores-ta.Each.MilliCores) / float64(max(1, ws.Capacity.MilliCores))
	co += costFragmentation * left
	if ta.Service {
		co += costSameRack * float64(de.racks[rackKey(ta.Job, ws.Rack)])
	}
	if ta.Each.Accels == 0 && ws.free.Accels > 0 {
		co += costAccel
	}
	return co
}

func cores(ta *Task) float64 { return float64(ta.Each.MilliCores) / 1000 }

// preempt evicts batch tasks for an urgent task, on the worker where that costs least. The
// urgent task starts only once they have stopped. It reports whether a worker was found.
func (de *decider) preempt(ta *Task) bool {
	var best []*Task
	var at *workerState
	lowest := 0.0
	for _, ws := range de.ordered {
		if !de.accepts(ws, ta) {
			continue
		}
		victims, co, ok := de.victims(ws, ta)
		if ok && (at == nil || co < lowest) {
			best, at, lowest = victims, ws, co
		}
	}
	if at == nil {
		return false
	}
	for _, vi := range best {
		vi.Stopping = true
		de.add(Decision{Verb: Evict, Task: vi.ID, Worker: at.ID, Reason: "preempted by urgent task " + ta.ID})
	}
	// The resources are reserved for this task, so that the next urgent task uses others.
	at.free = at.free.Sub(ta.Each)
	return true
}

// victims returns the batch tasks of a worker that must be evicted for the task to fit,
// the cheapest first, and their total cost; ok is false if it cannot fit. Tasks that are
// already stopping are free of cost.
func (de *decider) victims(ws *workerState, ta *Task) ([]*Task, float64, bool) {
	free := ws.free
	var batch []*Task
	for _, other := range ws.tasks {
		if other.Stopping {
			free = free.Add(other.Each)
		} else if !other.Service && !other.Urgent {
			batch = append(batch, other)
		}
	}
	slices.SortStableFunc(batch, func(a, b *Task) int { return cmp.Compare(de.evictionCost(a), de.evictionCost(b)) })
	var victims []*Task
	co := 0.0
	for _, other := range batch {
		if ta.Each.Fits(free) {
			break
		}
		free = free.Add(other.Each)
		victims = append(victims, other)
		co += de.evictionCost(other)
	}
	return victims, co, ta.Each.Fits(free)
}

// evictionCost returns the cost of evicting a task. Each earlier eviction of it counts as
// one more eviction, and the lost work is weighed as batch work: one minute of it costs as
// much as one eviction at equal weights.
func (de *decider) evictionCost(ta *Task) float64 {
	pol := de.sn.Policy
	return pol.WeightEvictions*float64(1+ta.Evictions) + pol.WeightBatch*float64(ta.LostMS)/60_000
}

// describe returns a service and its latency for the reason of a decision.
func describe(ta *Task) string { return fmt.Sprintf("%s at p99 %.0f ms", ta.ID, ta.TailMS) }
