package job

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pepperhatch/pepperhatch/internal/worker"
)

// StatedOrder is what a row states of the orders to start ended attempts of a task that may still
// be carried out.
type StatedOrder struct {
	// Worker is the id of the worker that they were sent to, and HostPort its address. It is ""
	// if the task must not start on any worker.
	Worker   string `json:"w,omitempty"`
	HostPort string `json:"h,omitempty"`
	// RemainingMS is the time from the encoding of the row to the latest moment at which one of
	// them is carried out, in milliseconds. It is negative if that has passed and what the order
	// started may still run.
	RemainingMS int64 `json:"m"`
}

// MarkAcknowledged records that the worker of the last attempt is known to have it, and reports
// whether that was new.
func (jo *Job) MarkAcknowledged(ref TaskRef, attempt int) bool {
	ta := jo.Task(ref)
	jo.begun = jo.begun || ta.runs(attempt)
	if !ta.lastRuns() || ta.Attempt != attempt || ta.Acknowledged {
		return false
	}
	ta.Acknowledged = true
	return true
}

// acknowledgedChars has the characters for tasks in a row: one that is not known to be
// acknowledged, or whose phase shows it, and one that is.
const acknowledgedChars = "01"

// encodeAcknowledged returns for each started task in order whether its last attempt was
// acknowledged, as far as its phase does not show it. It returns a single character if all are
// equal, and nothing if none is.
func encodeAcknowledged(tasks []Task) string {
	if !slices.ContainsFunc(tasks, func(ta Task) bool { return ta.Acknowledged }) {
		return ""
	}
	var list strings.Builder
	for _, ta := range tasks {
		switch {
		case ta.State != Started:
		case ta.Acknowledged && ta.Phase == PhaseStarting:
			_ = list.WriteByte(acknowledgedChars[1])
		default:
			_ = list.WriteByte(acknowledgedChars[0])
		}
	}
	text := collapse(list.String())
	if text == acknowledgedChars[:1] {
		return ""
	}
	return text
}

// decodeAcknowledged sets the field from the result of encodeAcknowledged.
func decodeAcknowledged(list string, tasks []Task) error {
	if list == "" {
		return nil
	}
	n := 0
	for i := range tasks {
		if tasks[i].State != Started {
			continue
		}
		tasks[i].Acknowledged = list[min(n, len(list)-1)] == acknowledgedChars[1]
		n++
	}
	if len(list) > 1 && len(list) != n {
		return fmt.Errorf("%w: %d acknowledgements for %d started tasks", errRowMismatch, len(list), n)
	}
	return nil
}

// setOrders sets Orders from the values of a step.
func (sr *StepRow) setOrders(step int, list map[TaskRef]StatedOrder) {
	for ref, so := range list {
		if ref.Step == step {
			put(&sr.Orders, ref.Index, so)
		}
	}
}

// addOrders adds the values of Orders to those of the job.
func (sr *StepRow) addOrders(step int, jo *Job) error {
	for index, so := range sr.Orders {
		ref := TaskRef{Step: step, Index: index}
		if jo.Task(ref) == nil {
			return fmt.Errorf("%w: orders for an unknown task", errRowMismatch)
		}
		if jo.Orders == nil {
			jo.Orders = map[TaskRef]StatedOrder{}
		}
		jo.Orders[ref] = so
	}
	return nil
}

// setHostPorts sets HostPorts from values by incarnation.
func (sr *StepRow) setHostPorts(list map[worker.Incarnation]string) {
	for i, inc := range sr.Workers {
		if hostPort := list[inc]; hostPort != "" {
			sr.HostPorts = append(sr.HostPorts, make([]string, i+1-len(sr.HostPorts))...)
			sr.HostPorts[i] = hostPort
		}
	}
}

// addHostPorts adds the values of HostPorts to those of the job.
func (sr *StepRow) addHostPorts(jo *Job) error {
	if len(sr.HostPorts) > len(sr.Workers) {
		return fmt.Errorf("%w: address of an unknown worker", errRowMismatch)
	}
	for i, hostPort := range sr.HostPorts {
		if hostPort == "" {
			continue
		}
		if jo.HostPorts == nil {
			jo.HostPorts = map[worker.Incarnation]string{}
		}
		jo.HostPorts[sr.Workers[i]] = hostPort
	}
	return nil
}
