package job

import (
	"encoding/json"
	"fmt"
)

// SpecRow is the row written once, when a job is accepted. It is removed once the job is
// over and none of its tasks can run any more, so that a new owner has fewer rows to read.
type SpecRow struct {
	// Terms and Spec never change.
	Terms Terms `json:"terms"`
	Spec  Spec  `json:"spec"`
}

// ProgressRow is the row written with every change of a job.
type ProgressRow struct {
	// Rev counts the rows encoded, Epoch is the writer's epoch. Together they make every
	// row distinct, so that a writer that got no answer recognises its own row.
	Rev   int64 `json:"rev"`
	Epoch int64 `json:"epoch"`
	// State follows from the other fields and is stored for readers of the row.
	State State `json:"state"`
	// Cancelled is set for a cancelled job, Steps holds the tasks.
	Cancelled bool      `json:"cancelled,omitempty"`
	Steps     []StepRow `json:"steps,omitempty"`
	// NotBegun is set if starts of tasks were ordered and no worker is known to have begun one.
	NotBegun bool `json:"not_begun,omitempty"`
	// Queue is the queue of a job that is over, whose SpecRow is removed.
	Queue string `json:"queue,omitempty"`
}

// SpecRow returns the row of the job's constant part.
func (jo *Job) SpecRow() SpecRow { return SpecRow{Terms: jo.Terms, Spec: jo.Spec} }

// NextRow increments the revision and returns the row of the current state. The tasks of a
// job in a final state are left out once none can run any more.
func (jo *Job) NextRow(epoch int64) ProgressRow {
	jo.Rev++
	row := ProgressRow{Rev: jo.Rev, Epoch: epoch, State: jo.State(), Cancelled: jo.Cancelled}
	if jo.Finished() {
		row.Queue = jo.Terms.Queue
	} else {
		row.NotBegun = jo.started > 0 && !jo.begun
		for step, tasks := range jo.Tasks {
			sr := newStepRow(tasks)
			sr.setRestartMS(jo.RestartLeaseMS)
			sr.setOrders(step, jo.Orders)
			sr.setHostPorts(jo.HostPorts)
			row.Steps = append(row.Steps, sr)
		}
	}
	return row
}

// Finished reports whether the job is in a final state and none of its tasks can run any
// more.
func (jo *Job) Finished() bool { return jo.State().Final() && !jo.HasActiveTasks() }

// HasActiveTasks reports whether any task may be running.
func (jo *Job) HasActiveTasks() bool {
	for _, tasks := range jo.Tasks {
		for i := range tasks {
			if tasks[i].State == Started || tasks[i].Other.Number > 0 {
				return true
			}
		}
	}
	return false
}

// Restore returns a job from its rows. The spec row may be missing for a job that is over.
func Restore(id string, spec, progress []byte) (*Job, error) {
	var pr ProgressRow
	if err := json.Unmarshal(progress, &pr); err != nil {
		return nil, fmt.Errorf("decode progress of job %s: %w", id, err)
	}
	if pr.State.Final() && pr.Steps == nil {
		jo := New(id, Terms{Queue: pr.Queue}, Spec{})
		jo.Rev, jo.Cancelled, jo.finalState = pr.Rev, pr.Cancelled, pr.State
		return jo, nil
	}
	var sr SpecRow
	if err := json.Unmarshal(spec, &sr); err != nil {
		return nil, fmt.Errorf("decode spec of job %s: %w", id, err)
	}
	if err := sr.Spec.Check(); err != nil {
		return nil, fmt.Errorf("decode spec of job %s: %w", id, err)
	}
	jo := New(id, sr.Terms, sr.Spec)
	jo.Rev, jo.Cancelled = pr.Rev, pr.Cancelled
	if err := jo.restoreTasks(pr.Steps); err != nil {
		return nil, fmt.Errorf("progress of job %s: %w", id, err)
	}
	jo.recount()
	jo.begun = jo.started > 0 && !pr.NotBegun
	return jo, nil
}

// restoreTasks sets the tasks from the rows of the steps.
func (jo *Job) restoreTasks(rows []StepRow) error {
	if len(rows) != len(jo.Tasks) {
		return fmt.Errorf("%w: %d steps, want %d", errRowMismatch, len(rows), len(jo.Tasks))
	}
	for i, sr := range rows {
		tasks, err := sr.tasks(len(jo.Tasks[i]))
		if err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		jo.Tasks[i] = tasks
		if err := sr.addRestartMS(&jo.RestartLeaseMS); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		if err := sr.addOrders(i, jo); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		if err := sr.addHostPorts(jo); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}
