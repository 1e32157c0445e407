// Package cell schedules the jobs and services of one data centre, the cell,
// and keeps their state in a journal.
//
// One entry host owns a cell at a time. The [State] of the cell is the result
// of applying the journal's batches of records in order. Each batch is one row
// of the platform's table, written by compare-and-set on the cell's head row,
// so that a replaced owner can no longer write. A decision is journalled before
// it is sent to a worker. One write holds many decisions, so that a table of a
// few hundred writes per second is enough for thousands of task starts per
// second.
//
// A task's resources stay reserved on its worker until the worker reports that
// the attempt ended, or its lease has certainly expired. Only then is the next
// attempt started, from the last reported checkpoint.
//
// Limits: a journal append that fails ends the owner, and the next owner
// starts without throttles and usage measurements, which are not journalled.
package cell

import (
	"slices"
	"strconv"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// TaskState is the state of a task.
type TaskState string

// The task states. The start of a Running task is journalled, but its worker may
// not have received it yet. Done and Failed are final.
const (
	Waiting  TaskState = "waiting"
	Running  TaskState = "running"
	Stopping TaskState = "stopping"
	Done     TaskState = "done"
	Failed   TaskState = "failed"
)

// Spec describes a batch job or a service.
type Spec struct {
	// Name is unique in the cell.
	Name string `json:"name"`
	// Team is the team whose quota the tasks count against.
	Team string `json:"team,omitempty"`
	// Kind groups jobs of similar behaviour; measurements of interference are
	// kept per kind.
	Kind string `json:"kind,omitempty"`
	// Service marks a service, whose tasks run until they are stopped.
	Service bool `json:"service,omitempty"`
	// Urgent tasks are placed first, and may evict batch tasks.
	Urgent bool `json:"urgent,omitempty"`
	// Tasks is the number of tasks; all are identical.
	Tasks int `json:"tasks"`
	// Each is what every task reserves.
	Each worker.Resources `json:"each"`
	// RunMS is the declared run time of a batch task, in milliseconds.
	RunMS int64 `json:"run_ms,omitempty"`
}

// WithTasks returns a copy of the spec with n tasks.
func (sp Spec) WithTasks(n int) Spec {
	sp.Tasks = n
	return sp
}

// Job is a batch job or service that the cell has accepted.
type Job struct {
	// Spec is the job's current spec.
	Spec Spec `json:"spec"`
	// Revision counts the changes of the job, from 1.
	Revision int `json:"revision"`
	// Cancelled jobs are deleted once their tasks have stopped.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Task is the state of one task of a job.
type Task struct {
	// Job is the job's name, Index the task's number in it, from 0.
	Job   string `json:"job"`
	Index int    `json:"index"`
	// State is the task's state.
	State TaskState `json:"state"`
	// Worker is the id of the worker of the last attempt, Incarnation the
	// process of that worker to which the attempt was assigned.
	Worker      string `json:"worker,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	// Attempt is the number of the last attempt, from 1.
	Attempt int `json:"attempt,omitempty"`
	// CheckpointMS is the run time, in milliseconds, that the last checkpoint
	// covers; the next attempt resumes there.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
	// Evictions counts attempts that ended neither done nor failed: evicted,
	// moved or lost with their lease.
	Evictions int `json:"evictions,omitempty"`
	// FailedOn has the ids of the workers on which an attempt failed.
	FailedOn []string `json:"failed_on,omitempty"`
	// Result is the result of a task that is done.
	Result string `json:"result,omitempty"`
	// Order is the position of the task in the order of creation.
	Order int64 `json:"order"`
	// Dropped tasks are no longer wanted, and are deleted once stopped.
	Dropped bool `json:"dropped,omitempty"`
}

// Active reports whether the task may be running, so that its resources are
// reserved on its worker.
func (ta *Task) Active() bool {
	return ta.State == Running || ta.State == Stopping
}

// TaskID returns the id of a job's task, such as "job/0".
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// Worker is a worker of the cell, as journalled.
type Worker struct {
	// ID is the worker's id on the platform's list, Rack its rack, Addr the
	// address that takes exchanges.
	ID   string `json:"id"`
	Rack string `json:"rack"`
	Addr string `json:"addr"`
	// Capacity is the total of the worker's resources.
	Capacity worker.Resources `json:"holds"`
	// Drained workers get no new tasks, and their tasks are moved or evicted.
	Drained bool `json:"drained,omitempty"`
	// FailedJobs has the names of the jobs of which a task failed on the worker
	// since a task last succeeded there.
	FailedJobs []string `json:"failed_jobs,omitempty"`
}

// State is the journalled state of a cell. It changes only by [State.Apply].
type State struct {
	// Seq is the number of the last batch applied.
	Seq int64 `json:"seq"`
	// Order counts the tasks created; it is the [Task.Order] of the last one.
	Order int64 `json:"order"`
	// Jobs are keyed by name, Tasks and Workers by id.
	Jobs    map[string]*Job    `json:"jobs"`
	Tasks   map[string]*Task   `json:"tasks"`
	Workers map[string]*Worker `json:"workers"`
	// Ended has the ids of tasks that are done or failed, oldest first.
	Ended []string `json:"ended,omitempty"`
	// Plans has the ids of plans carried out, oldest first. Confirming one of
	// them again changes nothing.
	Plans []string `json:"plans,omitempty"`

	// activeTasks has the active tasks of each worker, by worker and task id.
	// perJob is the number of tasks of each job. Both are derived from Tasks.
	activeTasks map[string]map[string]*Task
	perJob      map[string]int
}

// Limits on the history that is kept, and on failures.
const (
	maxEnded = 10_000
	maxPlans = 4096
	// maxFailedWorkers is the number of different workers on which a task
	// fails before it is given up. quarantineAfter is the number of different
	// jobs whose tasks fail on a worker before the worker is quarantined.
	maxFailedWorkers = 3
	quarantineAfter  = 3
)

// NewState returns an empty state.
func NewState() *State {
	st := &State{Jobs: map[string]*Job{}, Tasks: map[string]*Task{}, Workers: map[string]*Worker{}}
	st.index()
	return st
}

// index rebuilds the fields that are derived from Tasks, after a snapshot was
// read.
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

// deleteTask deletes a task that is not active, and with its last task the
// job, if that is no longer needed.
func (st *State) deleteTask(id string) {
	ta := st.Tasks[id]
	if ta == nil {
		return
	}
	delete(st.Tasks, id)
	st.perJob[ta.Job]--
	st.deleteJobIfEmpty(ta.Job)
}

// deleteJobIfEmpty deletes a job without tasks. A service that is not cancelled
// stays.
func (st *State) deleteJobIfEmpty(name string) {
	jo := st.Jobs[name]
	if jo == nil || st.perJob[name] > 0 || (jo.Spec.Service && !jo.Cancelled) {
		return
	}
	delete(st.Jobs, name)
	delete(st.perJob, name)
}

// Kind is the kind of a journal record.
type Kind string

// The kinds of journal records.
const (
	// KindJob adds a job, or replaces its spec by one with another number of
	// tasks.
	KindJob Kind = "job"
	// KindCancel cancels a job.
	KindCancel Kind = "cancel"
	// KindWorker adds or changes a worker.
	KindWorker Kind = "worker"
	// KindRemove removes a worker without active tasks.
	KindRemove Kind = "gone"
	// KindDrain starts or ends a drain of a worker.
	KindDrain Kind = "drain"
	// KindStart starts the next attempt of a task.
	KindStart Kind = "start"
	// KindStop stops the current attempt of a task.
	KindStop Kind = "stop"
	// KindEnd records that an attempt has ended.
	KindEnd Kind = "end"
	// KindPlan records that a plan was carried out.
	KindPlan Kind = "plan"
)

// Record is one change of the state. Which fields are set depends on the kind.
type Record struct {
	// Kind is the kind of change.
	Kind Kind `json:"k"`
	// Task, Worker and Plan are the ids, and Job is the name, of what
	// changes.
	Task   string `json:"t,omitempty"`
	Worker string `json:"w,omitempty"`
	Job    string `json:"j,omitempty"`
	Plan   string `json:"p,omitempty"`
	// Incarnation is the worker process that a start is for.
	Incarnation string `json:"i,omitempty"`
	// Attempt is the number of the attempt that starts, stops or has ended.
	Attempt int `json:"a,omitempty"`
	// End is how an attempt ended, CheckpointMS its last reported
	// checkpoint, in milliseconds of run time.
	End          worker.State `json:"e,omitempty"`
	CheckpointMS int64        `json:"c,omitempty"`
	// Result is the result of a task that is done.
	Result string `json:"r,omitempty"`
	// Undo ends the drain instead of starting it.
	Undo bool `json:"u,omitempty"`
	// Spec is set for KindJob, Host for KindWorker.
	Spec *Spec   `json:"s,omitempty"`
	Host *Worker `json:"h,omitempty"`
}

// Batch is one row of the journal.
type Batch struct {
	// Seq numbers batches from 1.
	Seq int64 `json:"seq"`
	// Epoch and Owner are those of the owner that wrote the batch.
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
	// Records has the changes, in the order in which they are applied.
	Records []Record `json:"records"`
}

// Apply applies a batch. It is deterministic: the same batches always give the
// same state.
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

// trimOldest removes the first elements of a list that is longer than limit.
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

// ensureTask creates a task of a job. A dropped task that has not stopped yet
// is kept instead.
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

// dropTask deletes a task, or marks an active one to be deleted once it has
// stopped.
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

// finish moves a task to a final state, and deletes the oldest finished tasks
// beyond the limit.
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

// ReservedByWorker returns the resources that active tasks reserve, by worker
// id.
func (st *State) ReservedByWorker() map[string]worker.Resources {
	used := map[string]worker.Resources{}
	for id, tasks := range st.activeTasks {
		for _, ta := range tasks {
			used[id] = used[id].Add(st.Jobs[ta.Job].Spec.Each)
		}
	}
	return used
}
