// Package place decides where tasks of a cell run, which are throttled, and
// which have to make room.
//
// [Decide] is a function from a snapshot to decisions, without state, clock or
// chance, so that the same snapshot always gives the same decisions and tests
// can drive it freely. What is learnt over time is in a [Model], which is part
// of the snapshot.
//
// The aims, in order: no host over what it holds; services within their
// target; few evictions; batch work done. The users weigh the last three
// differently, so the weights are settings.
package place

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// Worker is a worker as the owner knows it.
type Worker struct {
	// ID and Rack say where it is.
	ID   string
	Rack string
	// Capacity is all it has.
	Capacity worker.Resources
	// Used is what tasks on it are given, those that may still run included.
	Used worker.Resources
	// Unschedulable workers get no new tasks: drained, leaving, silent or aside.
	Unschedulable bool
	// Draining workers are to lose their tasks: drained or leaving.
	Draining bool
	// Probation limits a worker that was aside to one new task.
	Probation bool
}

// Task is a task that waits or runs.
type Task struct {
	// ID, Job, Team and Kind say what it is.
	ID   string
	Job  string
	Team string
	Kind string
	// Service tasks have no end and a target.
	Service bool
	// Urgent tasks go first, and may have batch evicted.
	Urgent bool
	// Each is what it is given while it runs, or asks for.
	Each worker.Resources
	// Worker is where it runs; empty if it waits.
	Worker string
	// Stopping is set once a stop was ordered.
	Stopping bool
	// Order sorts waiting tasks: lower goes first.
	Order int64
	// Avoid are workers on which it failed.
	Avoid map[string]bool
	// Share is the share of its cores that it may use.
	Share float64
	// TailMS is a service's measured p99; 0 is not measured. Fresh is set if
	// the measurement is from after the last decision that touched its
	// worker.
	TailMS float64
	Fresh  bool
	// LostMS is the work that an eviction would throw away.
	LostMS int64
	// Evictions counts evictions so far.
	Evictions int
}

// Policy has the users' weights and bounds.
type Policy struct {
	// TailTargetMS is the p99 that services are to keep.
	TailTargetMS float64
	// WeightTail, WeightEvictions and WeightBatch weigh the aims.
	WeightTail      float64
	WeightEvictions float64
	WeightBatch     float64
	// Evictions is how many evictions of the system's own accord are left
	// in the budget.
	Evictions int
	// Quotas bound what a team's tasks may hold.
	Quotas map[string]worker.Resources
	// NoControl turns off throttling and evictions for tails, for
	// comparison.
	NoControl bool
}

// Snapshot is what a decision is made from.
type Snapshot struct {
	// Workers and Tasks are all there are.
	Workers []Worker
	Tasks   []Task
	// Policy has weights and bounds.
	Policy Policy
	// Model has what was learnt.
	Model *Model
}

// Verb is what a decision does.
type Verb string

// The verbs.
const (
	// Start starts a waiting task at a worker.
	Start Verb = "start"
	// Throttle sets a running task's share.
	Throttle Verb = "throttle"
	// Evict stops a batch task, to be started elsewhere or later.
	Evict Verb = "evict"
	// Move stops a task of a worker that is being emptied.
	Move Verb = "move"
)

// Decision is one thing to do.
type Decision struct {
	// Verb says what.
	Verb Verb
	// Task and Worker say with which and where.
	Task   string
	Worker string
	// Share is for Throttle.
	Share float64
	// Reason is for people.
	Reason string
}

// Decide returns what to do, in order.
func Decide(sn Snapshot) []Decision {
	de := newDecider(sn)
	de.empty()
	if !sn.Policy.NoControl {
		de.control()
	}
	de.start()
	return de.out
}

// decider holds the working copy of a snapshot.
type decider struct {
	sn      Snapshot
	model   *Model
	workers map[string]*seat
	order   []*seat
	teams   map[string]worker.Resources
	racks   map[string]int
	budget  int
	// hopeless are shapes for which no worker was found; tasks like them
	// need not be tried.
	hopeless map[shape]bool
	out      []Decision
}

// seat is a worker with its running tasks.
type seat struct {
	Worker

	free  worker.Resources
	tasks []*Task
	// started is set once a start was decided here, for probation.
	started bool
}

// shape is what of a waiting task matters for finding it a worker.
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
		sn: sn, model: sn.Model, workers: make(map[string]*seat, len(sn.Workers)),
		teams: map[string]worker.Resources{}, racks: map[string]int{},
		budget: sn.Policy.Evictions, hopeless: map[shape]bool{},
	}
	if de.model == nil {
		de.model = &Model{}
	}
	for _, wo := range sn.Workers {
		se := &seat{Worker: wo, free: wo.Capacity.Sub(wo.Used)}
		de.workers[wo.ID] = se
		de.order = append(de.order, se)
	}
	for i := range sn.Tasks {
		ta := &sn.Tasks[i]
		se := de.workers[ta.Worker]
		if ta.Worker != "" {
			de.teams[ta.Team] = de.teams[ta.Team].Add(ta.Each)
		}
		if se == nil {
			continue
		}
		se.tasks = append(se.tasks, ta)
		if ta.Service {
			de.racks[rackKey(ta.Job, se.Rack)]++
		}
	}
	return de
}

func rackKey(job, rack string) string { return job + "\x00" + rack }

// empty moves tasks off workers that are being emptied: services one of a job
// at a time, so that a service never loses several tasks at once.
func (de *decider) empty() {
	moving := map[string]bool{}
	for _, ta := range de.sn.Tasks {
		if ta.Service && ta.Stopping {
			moving[ta.Job] = true
		}
	}
	for _, se := range de.order {
		if !se.Draining {
			continue
		}
		for _, ta := range se.tasks {
			if ta.Stopping || (ta.Service && (moving[ta.Job] || !de.roomElsewhere(ta))) {
				continue
			}
			if ta.Service {
				moving[ta.Job] = true
			}
			de.add(Decision{Verb: Move, Task: ta.ID, Worker: se.ID, Reason: "worker is being emptied"})
			ta.Stopping = true
		}
	}
}

// roomElsewhere reports whether a service task would find another worker:
// better where it is than nowhere.
func (de *decider) roomElsewhere(ta *Task) bool {
	for _, se := range de.order {
		if !se.Unschedulable && ta.Each.Fits(se.free) {
			return true
		}
	}
	return false
}

func (de *decider) add(dec Decision) {
	de.out = append(de.out, dec)
}

// start places waiting tasks: urgent before others, services before batch,
// then in order.
func (de *decider) start() {
	var waiting []*Task
	for i := range de.sn.Tasks {
		if de.sn.Tasks[i].Worker == "" {
			waiting = append(waiting, &de.sn.Tasks[i])
		}
	}
	slices.SortStableFunc(waiting, func(a, b *Task) int {
		return cmp.Or(cmpTrue(a.Urgent, b.Urgent), cmpTrue(a.Service, b.Service), cmp.Compare(a.Order, b.Order))
	})
	for _, ta := range waiting {
		de.place(ta)
	}
}

// cmpTrue orders true before false.
func cmpTrue(a, b bool) int {
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
	if plain && de.hopeless[sh] {
		return
	}
	if !de.withinQuota(ta) {
		de.hopeless[sh] = plain
		return
	}
	if se := de.best(ta); se != nil {
		de.seatTask(se, ta)
		return
	}
	if ta.Urgent && de.makeRoom(ta) {
		return
	}
	if plain {
		de.hopeless[sh] = true
	}
}

func (de *decider) withinQuota(ta *Task) bool {
	quota, limited := de.sn.Policy.Quotas[ta.Team]
	return !limited || de.teams[ta.Team].Add(ta.Each).Fits(quota)
}

func (de *decider) seatTask(se *seat, ta *Task) {
	ta.Worker = se.ID
	se.free = se.free.Sub(ta.Each)
	se.tasks = append(se.tasks, ta)
	se.started = true
	de.teams[ta.Team] = de.teams[ta.Team].Add(ta.Each)
	if ta.Service {
		de.racks[rackKey(ta.Job, se.Rack)]++
	}
	de.add(Decision{Verb: Start, Task: ta.ID, Worker: se.ID, Reason: "fits"})
}

// best returns the worker with the lowest cost for a task, or nil.
func (de *decider) best(ta *Task) *seat {
	var best *seat
	lowest := 0.0
	for _, se := range de.order {
		if !de.open(se, ta) || !ta.Each.Fits(se.free) {
			continue
		}
		if co := de.cost(se, ta); best == nil || co < lowest {
			best, lowest = se, co
		}
	}
	return best
}

func (de *decider) open(se *seat, ta *Task) bool {
	return !se.Unschedulable && !ta.Avoid[se.ID] && (!se.Probation || !se.started)
}

// Costs in units of one service at its target.
const (
	// costSameRack is for a service task beside another of its job in the
	// rack, which a failed rack would take together.
	costSameRack = 0.5
	// costAccel is for taking room beside unused accelerators.
	costAccel = 0.2
	// costTight is for leaving room beside the task: both kinds of work
	// rather fill a worker up, so that services stand beside services, which
	// disturb each other least, and room stays in one piece.
	costTight = 0.1
	// costSameWorker is for a service task on a worker that has one of its
	// job: a failed worker would take both.
	costSameWorker = 0.03
)

// cost of a task at a worker: the disturbance it brings to services there, or
// suffers, and how well it fits.
func (de *decider) cost(se *seat, ta *Task) float64 {
	pol := de.sn.Policy
	co := 0.0
	for _, other := range se.tasks {
		switch {
		case ta.Service && other.Job == ta.Job:
			co += costSameWorker
		case ta.Service && !other.Service:
			co += pol.WeightTail * de.model.Disturbance(ta.Kind, other.Kind) * cores(other)
		case !ta.Service && other.Service:
			co += pol.WeightTail * de.model.Disturbance(other.Kind, ta.Kind) * cores(ta)
		}
	}
	left := float64(se.free.MilliCores-ta.Each.MilliCores) / float64(max(1, se.Capacity.MilliCores))
	co += costTight * left
	if ta.Service {
		co += costSameRack * float64(de.racks[rackKey(ta.Job, se.Rack)])
	}
	if ta.Each.Accels == 0 && se.free.Accels > 0 {
		co += costAccel
	}
	return co
}

func cores(ta *Task) float64 { return float64(ta.Each.MilliCores) / 1000 }

// makeRoom evicts batch for an urgent task, where it costs least. The task
// itself starts once the room is free. It reports whether room is on its way.
func (de *decider) makeRoom(ta *Task) bool {
	var best []*Task
	var at *seat
	lowest := 0.0
	for _, se := range de.order {
		if !de.open(se, ta) {
			continue
		}
		victims, co, ok := de.victims(se, ta)
		if ok && (at == nil || co < lowest) {
			best, at, lowest = victims, se, co
		}
	}
	if at == nil {
		return false
	}
	for _, vi := range best {
		vi.Stopping = true
		de.add(Decision{Verb: Evict, Task: vi.ID, Worker: at.ID, Reason: "room for urgent " + ta.ID})
	}
	// The room is spoken for, so that the next urgent task looks elsewhere.
	at.free = at.free.Sub(ta.Each)
	return true
}

// victims returns the batch tasks of a worker whose end would make room, the
// cheapest first, and what that costs. Room that stops already under way will
// free counts for nothing but time.
func (de *decider) victims(se *seat, ta *Task) ([]*Task, float64, bool) {
	free := se.free
	var batch []*Task
	for _, other := range se.tasks {
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

// evictionCost grows with evictions before, which weigh as evictions, and with
// the work lost, which weighs as batch work: a minute of it is worth one.
func (de *decider) evictionCost(ta *Task) float64 {
	pol := de.sn.Policy
	return pol.WeightEvictions*float64(1+ta.Evictions) + pol.WeightBatch*float64(ta.LostMS)/60_000
}

// describe is for messages.
func describe(ta *Task) string { return fmt.Sprintf("%s at p99 %.0f ms", ta.ID, ta.TailMS) }
