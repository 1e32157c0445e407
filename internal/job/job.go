package job

import (
	"strconv"
	"strings"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// State is the state of a job as its caller sees it.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state never changes its state again.
func (st State) Final() bool { return st == Succeeded || st == Failed || st == Cancelled }

// TaskState is the state of a task.
type TaskState int8

// The states of a task.
const (
	// Waiting tasks have no attempt that may run.
	Waiting TaskState = iota
	// Started tasks have one or two attempts that run or may run.
	Started
	// Done and Abandoned tasks are over. Abandoned ones failed too often, or too many
	// workers ended while they ran them. A second attempt of a done task may still run.
	Done
	Abandoned
)

// End is how an attempt ended.
type End string

// The ends of an attempt.
const (
	EndDone End = "done"
	// EndFailed counts against the failures that the queue allows.
	EndFailed End = "failed"
	// EndStopped: the owner ordered the stop.
	EndStopped End = "stopped"
	// EndLapsed: the lease expired, or the worker left.
	EndLapsed End = "lapsed"
	// EndCrashed: the worker's process certainly ended, without a report, just after it
	// began the attempt. EndLost: the process ended and no more is known. Both count
	// against the task, see giveup.go.
	EndCrashed End = "crashed"
	EndLost    End = "lost"
	// EndPresumedCrash: the process ended, and only the row of a former owner says that the
	// attempt was started. It may have ended the process, have ended before it, or never
	// have run.
	EndPresumedCrash End = "presumed-crash"
	// EndNeverRan: the attempt did not run and never will.
	EndNeverRan End = "never-ran"
)

// Task is the state of one task.
type Task struct {
	// State is the current state.
	State TaskState
	// Attempt is the number of the last attempt, from 1; 0 before the first.
	Attempt int
	// Failures counts attempts that ended with [EndFailed].
	Failures int
	// Crashes and Losses count the workers that ended while they ran an attempt of the
	// task, since an attempt was last seen to be stable. Crashes are those that certainly
	// ended just after they began it or are presumed to have, Losses the others, and
	// PresumedCrashes the part of Crashes that is presumed; see giveup.go.
	Crashes         int
	PresumedCrashes int
	Losses          int
	// GivenUp has the last attempts that ended without a report of the worker and may
	// still be reported as failed.
	GivenUp []int
	// EarlierDone is set while an attempt runs if an earlier one, which was given up,
	// turned out to be done. The task is then done once the running attempt has ended.
	EarlierDone bool
	// Phase is how far the last attempt was seen to get.
	Phase Phase
	// Acknowledged is set if the worker of the last attempt is known to have it.
	Acknowledged bool
	// Worker is the incarnation of the worker of the last attempt.
	Worker worker.Incarnation
	// Checkpoint is the checkpoint that the next attempt starts from, Base the one that
	// the last attempt started from.
	Checkpoint string
	Base       string
	// Other is an attempt that may run beside the last one, or without it; its number is 0
	// if there is none. LastEnded is set while it runs and the last attempt has ended. See
	// attempts.go.
	Other     Attempt
	LastEnded bool
}

// TaskRef identifies a task within its job.
type TaskRef struct {
	// Step is the index of the step, Index that of the task within it, both from 0.
	Step, Index int
}

// Terms are the settings of the queue at the time when the job was accepted. They stay in
// force for the job.
type Terms struct {
	// Queue and Service are the configured names of the queue and of the workers' service.
	Queue   string `json:"queue"`
	Service string `json:"service"`
	// Priority 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxFailures is the number of failures after which a task is given up.
	MaxFailures int `json:"max_failures"`
	// Stretch and AllowanceMS set the job's target duration: Stretch times its critical
	// path, plus AllowanceMS milliseconds.
	Stretch     float64 `json:"stretch,omitempty"`
	AllowanceMS int64   `json:"allowance_ms,omitempty"`
}

// Job is an accepted job and the state of its tasks.
type Job struct {
	// ID is chosen by the caller and unique across all cells.
	ID string
	// Terms and Spec never change.
	Terms Terms
	Spec  Spec
	// Cancelled is set once the caller has cancelled the job.
	Cancelled bool
	// Tasks holds the tasks by step and index.
	Tasks [][]Task
	// Rev counts the rows of the job that were encoded.
	Rev int64
	// RestartLeaseMS has the incarnations of workers on which tasks run and whose leases may
	// have been extended by calls to an earlier incarnation, with the longest time until such a
	// lease ends, in milliseconds from the encoding of the row. The caller keeps it up to date.
	RestartLeaseMS map[worker.Incarnation]int64
	// Orders has the tasks of which orders to start ended attempts may still be carried out. The
	// caller keeps it up to date.
	Orders map[TaskRef]StatedOrder
	// HostPorts has the addresses of workers whose attempts are not known to be acknowledged. The
	// caller keeps it up to date.
	HostPorts map[worker.Incarnation]string

	// remaining counts the tasks of each step that are not done, abandoned the tasks that
	// were given up, started the tasks that had at least one attempt.
	remaining []int
	abandoned int
	started   int
	// begun is set once a worker is known to have begun a task.
	begun bool
	// finalState is the state of a job that was restored without its tasks, as it is over.
	finalState State
}

// New returns a job without any started task.
func New(id string, te Terms, sp Spec) *Job {
	jo := &Job{ID: id, Terms: te, Spec: sp, Tasks: make([][]Task, len(sp.Steps))}
	for i, st := range sp.Steps {
		jo.Tasks[i] = make([]Task, st.Tasks)
	}
	jo.recount()
	return jo
}

// recount computes the sums from the tasks.
func (jo *Job) recount() {
	jo.remaining = make([]int, len(jo.Tasks))
	jo.abandoned, jo.started = 0, 0
	for i, tasks := range jo.Tasks {
		for _, ta := range tasks {
			if ta.State != Done {
				jo.remaining[i]++
			}
			if ta.State == Abandoned {
				jo.abandoned++
			}
			if ta.Attempt > 0 {
				jo.started++
			}
		}
	}
}

// State returns the state that the caller sees.
func (jo *Job) State() State {
	switch {
	case jo.finalState != "":
		return jo.finalState
	case jo.Cancelled:
		return Cancelled
	case jo.abandoned > 0:
		return Failed
	case jo.unfinishedTasks() == 0:
		return Succeeded
	case jo.started > 0:
		return Running
	}
	return Queued
}

func (jo *Job) unfinishedTasks() int {
	n := 0
	for _, left := range jo.remaining {
		n += left
	}
	return n
}

// MarkBegun records that a worker has begun a task.
func (jo *Job) MarkBegun() { jo.begun = true }

// Waits reports whether the job is not over and no worker is known to have begun any of its tasks.
func (jo *Job) Waits() bool { return !jo.begun && !jo.State().Final() }

// LongRunning reports whether the job has tasks that run until it is cancelled.
func (jo *Job) LongRunning() bool {
	for i := range jo.Spec.Steps {
		if jo.Spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Ready reports whether the tasks of a step may start: the job is neither cancelled nor
// failed, and every step that it waits for is done.
func (jo *Job) Ready(step int) bool {
	if jo.Cancelled || jo.abandoned > 0 {
		return false
	}
	for _, before := range jo.Spec.Steps[step].After {
		if jo.remaining[before] > 0 {
			return false
		}
	}
	return true
}

// Task returns the task, or nil if the job has no such task.
func (jo *Job) Task(ref TaskRef) *Task {
	if ref.Step < 0 || ref.Step >= len(jo.Tasks) || ref.Index < 0 || ref.Index >= len(jo.Tasks[ref.Step]) {
		return nil
	}
	return &jo.Tasks[ref.Step][ref.Index]
}

// Start begins the next attempt of a waiting task at a worker and returns its number, or 0
// if the task must not start.
func (jo *Job) Start(ref TaskRef, inc worker.Incarnation) int {
	ta := jo.Task(ref)
	if ta == nil || ta.State != Waiting || !jo.Ready(ref.Step) {
		return 0
	}
	if ta.Attempt == 0 {
		jo.started++
	}
	ta.State = Started
	ta.Attempt++
	ta.Worker = inc
	ta.Phase, ta.Acknowledged, ta.EarlierDone = PhaseStarting, false, false
	ta.Base = ta.Checkpoint
	return ta.Attempt
}

// End records how an attempt ended and reports whether that was new. Only a running attempt
// of a task can end. How it ended does not count once another attempt has completed the
// task.
func (jo *Job) End(ref TaskRef, attempt int, end End, checkpoint string) bool {
	ta := jo.Task(ref)
	if ta == nil || !ta.runs(attempt) {
		return false
	}
	ta.removeAttempt(attempt)
	if ta.State == Done {
		return true
	}
	if checkpoint != "" {
		ta.Checkpoint = checkpoint
	}
	if ta.State == Waiting && ta.EarlierDone {
		end = EndDone
	}
	switch end {
	case EndDone:
		jo.complete(ref, ta)
	case EndFailed:
		ta.Failures++
	case EndCrashed, EndPresumedCrash, EndLost, EndLapsed:
		ta.recordLoss(attempt, end)
	}
	// An earlier attempt may have been reported as failed while this one ran. While another
	// one runs, it may still complete the task.
	if ta.State == Waiting && (jo.Exhausted(ref) || ta.exceedsEndLimits()) {
		jo.giveUp(ta)
	}
	return true
}

// RecordLateCompletion records that an attempt was done which had been given up without a
// report of the worker, and reports whether that was new. If another attempt is running,
// the task is done once that one, or both of two, have ended.
func (jo *Job) RecordLateCompletion(ref TaskRef, attempt int) bool {
	ta := jo.Task(ref)
	if ta == nil || attempt < 1 || attempt > ta.Attempt || jo.State().Final() || jo.Spec.Steps[ref.Step].LongRunning {
		return false
	}
	switch {
	case ta.State == Waiting:
		jo.complete(ref, ta)
	case ta.State == Started && !ta.runs(attempt) && !ta.EarlierDone:
		ta.EarlierDone = true
	default:
		return false
	}
	return true
}

func (jo *Job) complete(ref TaskRef, ta *Task) {
	if jo.Spec.Steps[ref.Step].LongRunning {
		return
	}
	if ta.lastRuns() {
		ta.Other = ta.last()
	}
	ta.State, ta.LastEnded = Done, false
	ta.Worker, ta.Checkpoint, ta.Base, ta.GivenUp, ta.EarlierDone = worker.Incarnation{}, "", "", nil, false
	jo.remaining[ref.Step]--
}

// taskRepetition is the part of a task's id that numbers the repetition of the job. Jobs
// are not repeated, so there is only the first.
const taskRepetition = ".0."

// TaskID returns the id of a task in requests to workers: job, repetition, step and index.
func (jo *Job) TaskID(ref TaskRef) string {
	name := make([]byte, 0, idDigits+len(taskRepetition)+len("00.0000"))
	name = append(name, jo.ID...)
	name = append(name, taskRepetition...)
	name = strconv.AppendInt(name, int64(ref.Step), 10)
	name = append(name, '.')
	return string(strconv.AppendInt(name, int64(ref.Index), 10))
}

// ParseTaskID splits a task's id into the id of the job and the position of the task; ok
// is false if id is not valid.
func ParseTaskID(id string) (jobID string, ref TaskRef, ok bool) {
	if len(id) <= idDigits+len(taskRepetition) || !ValidID(id[:idDigits]) {
		return "", ref, false
	}
	remainder, found := strings.CutPrefix(id[idDigits:], taskRepetition)
	step, index, both := strings.Cut(remainder, ".")
	if !found || !both {
		return "", ref, false
	}
	var err1, err2 error
	ref.Step, err1 = strconv.Atoi(step)
	ref.Index, err2 = strconv.Atoi(index)
	if err1 != nil || err2 != nil {
		return "", TaskRef{}, false
	}
	return id[:idDigits], ref, true
}
