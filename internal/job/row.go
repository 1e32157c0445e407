package job

import (
	"encoding/json"
	"fmt"
)

// SpecRow is what is written of a job once, when it is accepted. It is removed once
// the job is over and nothing of it can run any more: a new owner then has less to
// read, and nobody needs it.
type SpecRow struct {
	// Terms and Spec never change.
	Terms Terms `json:"terms"`
	Spec  Spec  `json:"spec"`
}

// ProgressRow is what is written of a job with every change.
type ProgressRow struct {
	// Rev counts the states written, and Epoch is the writer's; both make a
	// row distinct from every other, so that a writer whose answer was lost
	// can tell its own row.
	Rev   int64 `json:"rev"`
	Epoch int64 `json:"epoch"`
	// State repeats what follows from the rest, for readers.
	State State `json:"state"`
	// Cancelled is the job's, Steps has its tasks.
	Cancelled bool      `json:"cancelled,omitempty"`
	Steps     []StepRow `json:"steps,omitempty"`
	// Queue names the queue of a job that is over, which has no other row.
	Queue string `json:"queue,omitempty"`
}

// SpecRow returns the row of what never changes.
func (jo *Job) SpecRow() SpecRow { return SpecRow{Terms: jo.Terms, Spec: jo.Spec} }

// NextRow counts one more state written and returns its row. The tasks of a
// job in a final state are left out once none can run any more.
func (jo *Job) NextRow(epoch int64) ProgressRow {
	jo.Rev++
	row := ProgressRow{Rev: jo.Rev, Epoch: epoch, State: jo.State(), Cancelled: jo.Cancelled}
	if jo.Finished() {
		row.Queue = jo.Terms.Queue
	} else {
		for _, tasks := range jo.Tasks {
			row.Steps = append(row.Steps, newStepRow(tasks))
		}
	}
	return row
}

// Finished reports whether the job is in a final state and nothing of it can run any
// more.
func (jo *Job) Finished() bool { return jo.State().Final() && !jo.HasActiveTasks() }

// HasActiveTasks reports whether any task may be running.
func (jo *Job) HasActiveTasks() bool {
	for _, tasks := range jo.Tasks {
		for i := range tasks {
			if tasks[i].State == Started {
				return true
			}
		}
	}
	return false
}

// Restore makes a job from its rows. That of the spec may be missing for a job that
// is over.
func Restore(id string, spec, progress []byte) (*Job, error) {
	var pr ProgressRow
	if err := json.Unmarshal(progress, &pr); err != nil {
		return nil, fmt.Errorf("decode progress of job %s: %w", id, err)
	}
	if pr.State.Final() && pr.Steps == nil {
		jo := New(id, Terms{Queue: pr.Queue}, Spec{})
		jo.Rev, jo.Cancelled, jo.ended = pr.Rev, pr.Cancelled, pr.State
		return jo, nil
	}
	var sr SpecRow
	if err := json.Unmarshal(spec, &sr); err != nil {
		return nil, fmt.Errorf("decode spec of job %s: %w", id, err)
	}
	jo := New(id, sr.Terms, sr.Spec)
	jo.Rev, jo.Cancelled = pr.Rev, pr.Cancelled
	if err := jo.take(pr.Steps); err != nil {
		return nil, fmt.Errorf("progress of job %s: %w", id, err)
	}
	jo.count()
	return jo, nil
}

// take takes in the tasks of rows.
func (jo *Job) take(rows []StepRow) error {
	if len(rows) != len(jo.Tasks) {
		return fmt.Errorf("%w: %d steps, want %d", errRow, len(rows), len(jo.Tasks))
	}
	for i, sr := range rows {
		tasks, err := sr.tasks(len(jo.Tasks[i]))
		if err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		jo.Tasks[i] = tasks
	}
	return nil
}
