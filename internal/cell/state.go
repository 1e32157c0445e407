// Package cell keeps the tasks and workers of one data centre: what is wanted,
// what was decided, and what is known of it.
//
// One entry host owns a cell at a time. Its [State] is the fold of a journal:
// batches of records, each one row of the platform's table, written by
// compare-and-set on the cell's head row, so that an owner that was replaced
// can write no more. A decision is journalled before any worker hears of it.
// Many decisions share a write; that is what lets a table of a few hundred
// writes a second carry thousands of task starts.
//
// What a task is given counts against its worker until the worker said that
// the task ended, or its lease has surely lapsed. Only then is it started
// again, as the next attempt, from the last checkpoint reported.
package cell

import (
	"slices"
	"strconv"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TaskState is where a task is in its life.
type TaskState string

// The states.
const (
	Waiting  TaskState = "waiting"
	Running  TaskState = "running"
	Stopping TaskState = "stopping"
	Done     TaskState = "done"
	Failed   TaskState = "failed"
)

// Spec is a batch job or a service.
type Spec struct {
	// Name is unique in the cell.
	Name string `json:"name"`
	// Team is whose quota it counts against.
	Team string `json:"team,omitempty"`
	// Kind groups jobs that behave alike.
	Kind string `json:"kind,omitempty"`
	// Service tasks have no end.
	Service bool `json:"service,omitempty"`
	// Urgent work goes first and may have batch evicted.
	Urgent bool `json:"urgent,omitempty"`
	// Tasks is the number of like tasks.
	Tasks int `json:"tasks"`
	// Each is what every task is given.
	Each worker.Resources `json:"each"`
	// RunMS is the declared run time of a batch task.
	RunMS int64 `json:"run_ms,omitempty"`
}

// WithTasks returns the spec with another number of tasks.
func (sp Spec) WithTasks(n int) Spec {
	sp.Tasks = n
	return sp
}

// Job is a spec in the cell.
type Job struct {
	// Spec is what is wanted.
	Spec Spec `json:"spec"`
	// Revision counts changes.
	Revision int `json:"revision"`
	// Cancelled jobs vanish once their tasks have stopped.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Task is one task.
type Task struct {
	// Job and Index name it.
	Job   string `json:"job"`
	Index int    `json:"index"`
	// State is where it is.
	State TaskState `json:"state"`
	// Worker and Incarnation are where it is, or last was.
	Worker      string `json:"worker,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	// Attempt counts starts.
	Attempt int `json:"attempt,omitempty"`
	// CheckpointMS is the progress that the next attempt starts from.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
	// Evictions counts stops that were not for a cancellation.
	Evictions int `json:"evictions,omitempty"`
	// FailedOn are the workers on which it failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// Result is what it left.
	Result string `json:"result,omitempty"`
	// Order sorts waiting tasks.
	Order int64 `json:"order"`
	// Dropped tasks are forgotten once stopped.
	Dropped bool `json:"dropped,omitempty"`
}

// Holding reports whether the task may be running, and so counts against its
// worker.
func (ta *Task) Active() bool {
	return ta.State == Running || ta.State == Stopping
}

// TaskID returns the id of a job's task.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// Worker is a worker of the cell.
type Worker struct {
	// ID, Rack and Addr say where it is.
	ID   string `json:"id"`
	Rack string `json:"rack"`
	Addr string `json:"addr"`
	// Holds is what it has.
	Capacity worker.Resources `json:"holds"`
	// Drained workers are emptied and get nothing new.
	Drained bool `json:"drained,omitempty"`
	// FailedJobs are jobs whose tasks failed there since the last success.
	FailedJobs []string `json:"failed_jobs,omitempty"`
}

// State is all that a cell remembers. It changes only by [State.Apply].
type State struct {
	// Seq is the last batch applied.
	Seq int64 `json:"seq"`
	// Order counts tasks made.
	Order int64 `json:"order"`
	// Jobs, Tasks and Workers are by name or id.
	Jobs    map[string]*Job    `json:"jobs"`
	Tasks   map[string]*Task   `json:"tasks"`
	Workers map[string]*Worker `json:"workers"`
	// Ended are ids of tasks that are done or failed, oldest first.
	Ended []string `json:"ended,omitempty"`
	// Plans are ids of plans carried out, oldest first.
	Plans []string `json:"plans,omitempty"`

	// held has the tasks that count against each worker, perJob the number
	// of tasks of each job; both follow from the rest.
	activeTasks map[string]map[string]*Task
	perJob      map[string]int
}

// Bounds on what is remembered of the past.
const (
	maxEnded = 10_000
	maxPlans = 4096
	// parkAfter is the number of different workers on which a task may fail,
	// and asideAfter that of different jobs that may fail at a worker.
	maxFailedWorkers = 3
	quarantineAfter  = 3
)

// NewState returns an empty state.
func NewState() *State {
	st := &State{Jobs: map[string]*Job{}, Tasks: map[string]*Task{}, Workers: map[string]*Worker{}}
	st.index()
	return st
}

// index makes what follows from the rest anew, after reading a snapshot.
func (st *State) index() {
	st.activeTasks = map[string]map[string]*Task{}
	st.perJob = map[string]int{}
	for id, ta := range st.Tasks {
		st.perJob[ta.Job]++
		if ta.Active() {
			st.addActive(id, ta)
		}
	}
}

func (st *State) addActive(id string, ta *Task) {
	if st.activeTasks[ta.Worker] == nil {
		st.activeTasks[ta.Worker] = map[string]*Task{}
	}
	st.activeTasks[ta.Worker][id] = ta
}

func (st *State) removeActive(id string, ta *Task) {
	delete(st.activeTasks[ta.Worker], id)
	if len(st.activeTasks[ta.Worker]) == 0 {
		delete(st.activeTasks, ta.Worker)
	}
}

// forget removes a task that runs nowhere, and with the last one its job.
func (st *State) deleteTask(id string) {
	ta := st.Tasks[id]
	if ta == nil {
		return
	}
	delete(st.Tasks, id)
	st.perJob[ta.Job]--
	st.deleteJobIfEmpty(ta.Job)
}

// forgetJob forgets a job without tasks, if it is cancelled or was batch work
// whose tasks all ended long ago.
func (st *State) deleteJobIfEmpty(name string) {
	jo := st.Jobs[name]
	if jo == nil || st.perJob[name] > 0 || (jo.Spec.Service && !jo.Cancelled) {
		return
	}
	delete(st.Jobs, name)
	delete(st.perJob, name)
}

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	// KindJob adds a job, or changes its number of tasks.
	KindJob Kind = "job"
	// KindCancel cancels a job.
	KindCancel Kind = "cancel"
	// KindWorker enters or changes a worker.
	KindWorker Kind = "worker"
	// KindGone removes a worker that runs nothing.
	KindRemove Kind = "gone"
	// KindDrain begins or ends a drain of a worker.
	KindDrain Kind = "drain"
	// KindStart starts a task.
	KindStart Kind = "start"
	// KindStop orders a task's stop.
	KindStop Kind = "stop"
	// KindEnd notes the end of an attempt.
	KindEnd Kind = "end"
	// KindPlan notes a plan carried out.
	KindPlan Kind = "plan"
)

// Record is one entry of the journal. What is used depends on the kind.
type Record struct {
	// Kind says what happened.
	Kind Kind `json:"k"`
	// Task, Worker, Job and Plan name what it happened to.
	Task   string `json:"t,omitempty"`
	Worker string `json:"w,omitempty"`
	Job    string `json:"j,omitempty"`
	Plan   string `json:"p,omitempty"`
	// Incarnation is the worker's process, for a start.
	Incarnation string `json:"i,omitempty"`
	// Attempt is the attempt that started, stops or ended.
	Attempt int `json:"a,omitempty"`
	// End is how an attempt ended, CheckpointMS how far it came.
	End          worker.State `json:"e,omitempty"`
	CheckpointMS int64        `json:"c,omitempty"`
	// Result is what a task that is done left.
	Result string `json:"r,omitempty"`
	// Undo ends a drain.
	Undo bool `json:"u,omitempty"`
	// Spec and Host are for jobs and workers.
	Spec *Spec   `json:"s,omitempty"`
	Host *Worker `json:"h,omitempty"`
}

// Batch is one row of the journal.
type Batch struct {
	// Seq numbers batches from 1.
	Seq int64 `json:"seq"`
	// Epoch and Owner are whose it is.
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
	// Records are applied in order.
	Records []Record `json:"records"`
}

// Apply applies a batch. The same batches always give the same state.
func (st *State) Apply(ba Batch) {
	st.Seq = ba.Seq
	for _, rec := range ba.Records {
		st.apply(rec)
	}
}

func (st *State) apply(rec Record) {
	switch rec.Kind {
	case KindJob:
		st.applyJob(*rec.Spec)
	case KindCancel:
		st.applyCancel(rec.Job)
	case KindWorker:
		st.applyWorker(*rec.Host)
	case KindRemove:
		delete(st.Workers, rec.Worker)
	case KindDrain:
		if wo := st.Workers[rec.Worker]; wo != nil {
			wo.Drained = !rec.Undo
		}
	case KindStart:
		st.applyStart(rec)
	case KindStop:
		if ta := st.Tasks[rec.Task]; ta != nil && ta.State == Running && ta.Attempt == rec.Attempt {
			ta.State = Stopping
		}
	case KindEnd:
		st.applyEnd(rec)
	case KindPlan:
		st.Plans = trimOldest(append(st.Plans, rec.Plan), maxPlans)
	}
}

func trimOldest(list []string, limit int) []string {
	return slices.Delete(list, 0, max(0, len(list)-limit))
}

func (st *State) applyJob(sp Spec) {
	jo := st.Jobs[sp.Name]
	if jo == nil {
		jo = &Job{}
		st.Jobs[sp.Name] = jo
	}
	before := jo.Spec.Tasks
	jo.Spec = sp
	jo.Revision++
	for i := before; i < sp.Tasks; i++ {
		st.ensureTask(sp.Name, i)
	}
	for i := sp.Tasks; i < before; i++ {
		st.dropTask(TaskID(sp.Name, i))
	}
}

// want makes a task of a job. One that was dropped and has not stopped yet is
// wanted again.
func (st *State) ensureTask(job string, index int) {
	id := TaskID(job, index)
	if ta := st.Tasks[id]; ta != nil {
		ta.Dropped = false
		return
	}
	st.Order++
	st.perJob[job]++
	st.Tasks[id] = &Task{Job: job, Index: index, State: Waiting, Order: st.Order}
}

// drop forgets a task, at once or once it has stopped.
func (st *State) dropTask(id string) {
	ta := st.Tasks[id]
	if ta == nil {
		return
	}
	if ta.Active() {
		ta.Dropped = true
		return
	}
	st.deleteTask(id)
}

func (st *State) applyCancel(name string) {
	jo := st.Jobs[name]
	if jo == nil {
		return
	}
	jo.Cancelled = true
	jo.Revision++
	for i := range jo.Spec.Tasks {
		st.dropTask(TaskID(name, i))
	}
	st.deleteJobIfEmpty(name)
}

func (st *State) applyWorker(ho Worker) {
	if old := st.Workers[ho.ID]; old != nil {
		ho.Drained, ho.FailedJobs = old.Drained, old.FailedJobs
	}
	st.Workers[ho.ID] = &ho
}

func (st *State) applyStart(rec Record) {
	ta := st.Tasks[rec.Task]
	if ta == nil || ta.State != Waiting {
		return
	}
	ta.State, ta.Worker, ta.Incarnation, ta.Attempt = Running, rec.Worker, rec.Incarnation, rec.Attempt
	st.addActive(rec.Task, ta)
}

func (st *State) applyEnd(rec Record) {
	ta := st.Tasks[rec.Task]
	if ta == nil || !ta.Active() || ta.Attempt != rec.Attempt {
		return
	}
	wo := st.Workers[ta.Worker]
	st.removeActive(rec.Task, ta)
	ta.CheckpointMS = max(ta.CheckpointMS, rec.CheckpointMS)
	switch rec.End {
	case worker.StateDone:
		ta.Result = rec.Result
		st.finish(rec.Task, ta, Done)
		if wo != nil {
			wo.FailedJobs = nil
		}
	case worker.StateFailed:
		ta.FailedOn = appendUnique(ta.FailedOn, ta.Worker)
		if wo != nil {
			wo.FailedJobs = appendUnique(wo.FailedJobs, ta.Job)
		}
		ta.State = Waiting
		if len(ta.FailedOn) >= maxFailedWorkers {
			st.finish(rec.Task, ta, Failed)
		}
	default:
		ta.State = Waiting
		ta.Evictions++
	}
	if ta.Dropped {
		st.deleteTask(rec.Task)
	}
}

func appendUnique(list []string, item string) []string {
	if slices.Contains(list, item) {
		return list
	}
	return append(list, item)
}

// end moves a task to its last state and forgets the oldest ended ones.
func (st *State) finish(id string, ta *Task, state TaskState) {
	ta.State = state
	st.Ended = append(st.Ended, id)
	for len(st.Ended) > maxEnded {
		old := st.Ended[0]
		st.Ended = st.Ended[1:]
		if ended := st.Tasks[old]; ended != nil && (ended.State == Done || ended.State == Failed) {
			st.deleteTask(old)
		}
	}
}

// Used returns what the tasks that may run on a worker are given.
func (st *State) ReservedByWorker() map[string]worker.Resources {
	used := map[string]worker.Resources{}
	for id, tasks := range st.activeTasks {
		for _, ta := range tasks {
			used[id] = used[id].Add(st.Jobs[ta.Job].Spec.Each)
		}
	}
	return used
}
