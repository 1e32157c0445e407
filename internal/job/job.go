package job

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// State is what a job's caller sees of it.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Succeeded State = "succeeded"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in the state never changes again.
func (st State) Final() bool { return st == Succeeded || st == Failed || st == Cancelled }

// TaskState is where a task is in its life.
type TaskState int8

// The states of a task.
const (
	// Waiting tasks have no attempt that could run.
	Waiting TaskState = iota
	// Started tasks have an attempt that runs, or may.
	Started
	// Done and Abandoned tasks are over; Abandoned ones failed too often.
	Done
	Abandoned
)

// End is how an attempt ended.
type End string

// The ends of an attempt.
const (
	EndDone End = "done"
	// EndFailed counts against the attempts that the queue allows.
	EndFailed End = "failed"
	// EndStopped: by an order.
	EndStopped End = "stopped"
	// EndLapsed: the lease ran out, or the worker left.
	EndLapsed End = "lapsed"
	// EndCrashed: the worker's process certainly ended without a word just after it began
	// the attempt. EndLost: it ended, and less is known. Both count against the task, see
	// blame.go.
	EndCrashed End = "crashed"
	EndLost    End = "lost"
	// EndNeverRan: the attempt never ran and never will.
	EndNeverRan End = "never-ran"
)

// Task is one task.
type Task struct {
	// State is where it is.
	State TaskState
	// Attempt is the last attempt's number, from 1; 0 before the first.
	Attempt int
	// Failures counts attempts that ended failed.
	Failures int
	// Crashes and Losses count the workers that ended under attempts of it, since one
	// was last seen to last: those that certainly crashed just after they began it, and
	// the others, see blame.go.
	Crashes int
	Losses  int
	// GivenUp are the last attempts that ended without the worker's word and may still
	// be told to have failed.
	GivenUp []int
	// EarlierDone is set while an attempt is under way if one before it, which was given
	// up, turned out to be done: the task is done once this one has ended.
	EarlierDone bool
	// Phase is how far the attempt under way was seen to come.
	Phase Phase
	// Worker is the incarnation of the last attempt's worker.
	Worker worker.Incarnation
	// Checkpoint is what the next attempt starts from, Base what the last one
	// started from.
	Checkpoint string
	Base       string
}

// TaskRef names a task within its job.
type TaskRef struct {
	// Step and Index are from 0.
	Step, Index int
}

// Terms are what the queue's configuration said when the job was accepted.
type Terms struct {
	// Queue and Service are names of the configuration.
	Queue   string `json:"queue"`
	Service string `json:"service"`
	// Priority 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxFailures is how often one task may fail.
	MaxFailures int `json:"max_failures"`
	// Stretch and AllowanceMS say how soon the job should be done: within
	// Stretch times its longest chain of work, and AllowanceMS milliseconds.
	Stretch     float64 `json:"stretch,omitempty"`
	AllowanceMS int64   `json:"allowance_ms,omitempty"`
}

// Job is a job that was accepted, and what became of its tasks.
type Job struct {
	// ID is the caller's, unique over all cells.
	ID string
	// Terms and Spec never change.
	Terms Terms
	Spec  Spec
	// Cancelled is set once the caller cancelled it.
	Cancelled bool
	// Tasks has the tasks of each step.
	Tasks [][]Task
	// Rev counts the states that were written.
	Rev int64

	// left counts the tasks of each step that are not done, failed those that
	// failed too often, begun those that ever had an attempt.
	left   []int
	failed int
	begun  int
	// ended is the final state of a job of which nothing else was kept.
	ended State
}

// New returns a job none of whose tasks has begun.
func New(id string, te Terms, sp Spec) *Job {
	jo := &Job{ID: id, Terms: te, Spec: sp, Tasks: make([][]Task, len(sp.Steps))}
	for i, st := range sp.Steps {
		jo.Tasks[i] = make([]Task, st.Tasks)
	}
	jo.count()
	return jo
}

// count makes the sums anew from the tasks.
func (jo *Job) count() {
	jo.left = make([]int, len(jo.Tasks))
	jo.failed, jo.begun = 0, 0
	for i, tasks := range jo.Tasks {
		for _, ta := range tasks {
			if ta.State != Done {
				jo.left[i]++
			}
			if ta.State == Abandoned {
				jo.failed++
			}
			if ta.Attempt > 0 {
				jo.begun++
			}
		}
	}
}

// State returns what the caller sees.
func (jo *Job) State() State {
	switch {
	case jo.ended != "":
		return jo.ended
	case jo.Cancelled:
		return Cancelled
	case jo.failed > 0:
		return Failed
	case jo.unfinished() == 0:
		return Succeeded
	case jo.begun > 0:
		return Running
	}
	return Queued
}

func (jo *Job) unfinished() int {
	n := 0
	for _, left := range jo.left {
		n += left
	}
	return n
}

// Endless reports whether the job has tasks that run until it is cancelled.
func (jo *Job) Endless() bool {
	return slices.ContainsFunc(jo.Spec.Steps, func(st Step) bool { return st.Endless })
}

// Ready reports whether the tasks of a step may start: the job goes on, and
// every step before it is done.
func (jo *Job) Ready(step int) bool {
	if jo.Cancelled || jo.failed > 0 {
		return false
	}
	for _, before := range jo.Spec.Steps[step].After {
		if jo.left[before] > 0 {
			return false
		}
	}
	return true
}

// Task returns a task, or nil if there is none of that name.
func (jo *Job) Task(ref TaskRef) *Task {
	if ref.Step < 0 || ref.Step >= len(jo.Tasks) || ref.Index < 0 || ref.Index >= len(jo.Tasks[ref.Step]) {
		return nil
	}
	return &jo.Tasks[ref.Step][ref.Index]
}

// Start begins the next attempt of a waiting task at a worker and returns its
// number, or 0 if the task may not start.
func (jo *Job) Start(ref TaskRef, incarnation worker.Incarnation) int {
	ta := jo.Task(ref)
	if ta == nil || ta.State != Waiting || !jo.Ready(ref.Step) {
		return 0
	}
	if ta.Attempt == 0 {
		jo.begun++
	}
	ta.State = Started
	ta.Attempt++
	ta.Worker = incarnation
	ta.Phase, ta.EarlierDone = PhaseStarting, false
	ta.Base = ta.Checkpoint
	return ta.Attempt
}

// End notes how an attempt ended and reports whether that was news: an end of
// any but the attempt under way is not.
func (jo *Job) End(ref TaskRef, attempt int, end End, checkpoint string) bool {
	ta := jo.Task(ref)
	if ta == nil || ta.State != Started || ta.Attempt != attempt {
		return false
	}
	if checkpoint != "" {
		ta.Checkpoint = checkpoint
	}
	ta.State = Waiting
	if ta.EarlierDone {
		end = EndDone
	}
	switch end {
	case EndDone:
		jo.endDone(ref, ta)
	case EndFailed:
		ta.Failures++
	case EndCrashed, EndLost, EndLapsed:
		jo.countLoss(ta, end)
	}
	// Also a failure may have been told of an attempt before this one.
	if ta.State == Waiting && jo.Exhausted(ref) {
		jo.giveUp(ta)
	}
	return true
}

// RecordLateCompletion notes that an attempt that had been given up, as its leases had lapsed
// for all that was known, was done all the same, and reports whether that was news.
// If another one is under way the task is done once that has ended.
func (jo *Job) RecordLateCompletion(ref TaskRef, attempt int) bool {
	ta := jo.Task(ref)
	if ta == nil || attempt < 1 || attempt > ta.Attempt || jo.State().Final() || jo.Spec.Steps[ref.Step].Endless {
		return false
	}
	switch {
	case ta.State == Waiting:
		jo.endDone(ref, ta)
	case ta.State == Started && attempt < ta.Attempt && !ta.EarlierDone:
		ta.EarlierDone = true
	default:
		return false
	}
	return true
}

func (jo *Job) endDone(ref TaskRef, ta *Task) {
	if jo.Spec.Steps[ref.Step].Endless {
		return
	}
	ta.State = Done
	ta.Worker, ta.Checkpoint, ta.Base, ta.GivenUp, ta.EarlierDone = worker.Incarnation{}, "", "", nil, false
	jo.left[ref.Step]--
}

// taskTimes is the part of a task's name that says which repetition of the job it is
// of; there is only the first.
const taskTimes = ".0."

// TaskID names a task towards workers: job, repetition, step and index.
func (jo *Job) TaskID(ref TaskRef) string {
	name := make([]byte, 0, idDigits+len(taskTimes)+len("00.0000"))
	name = append(name, jo.ID...)
	name = append(name, taskTimes...)
	name = strconv.AppendInt(name, int64(ref.Step), 10)
	name = append(name, '.')
	return string(strconv.AppendInt(name, int64(ref.Index), 10))
}

// ParseTaskID takes a task's name apart; ok is false if it is not one.
func ParseTaskID(id string) (jobID string, ref TaskRef, ok bool) {
	if len(id) <= idDigits+len(taskTimes) || !ValidID(id[:idDigits]) {
		return "", ref, false
	}
	rest, found := strings.CutPrefix(id[idDigits:], taskTimes)
	step, index, both := strings.Cut(rest, ".")
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
