package sched

import (
	"cmp"
	"context"
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/looplag"
)

// Summary is a job as it appears in a list.
type Summary struct {
	// ID and Queue are the job's id and queue.
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// State is the last one written. The counts include decisions not written yet, so they
	// can be ahead of State for the duration of a write.
	State job.State `json:"state"`
	// Tasks counts all tasks, Done those that have succeeded, and Running those with an
	// attempt that runs or may run.
	Tasks   int `json:"tasks"`
	Done    int `json:"done"`
	Running int `json:"running"`
	// order is the order of arrival.
	order int64
}

// maxSummaries bounds a list.
const maxSummaries = 1000

// List returns the jobs in the owner's memory in order of arrival, the newest maxSummaries of
// them.
func (ow *Owner) List(ctx context.Context) ([]Summary, error) {
	return callTo(ctx, ow, looplag.Submissions, func(answer func([]Summary)) {
		list := make([]Summary, 0, len(ow.jobs))
		for tj := range ow.allJobs() {
			list = append(list, tj.summary())
		}
		slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(a.order, b.order) })
		answer(list[max(0, len(list)-maxSummaries):])
	})
}

func (tj *trackedJob) summary() Summary {
	su := Summary{ID: tj.jo.ID, Queue: tj.jo.Terms.Queue, State: tj.reportedState(), Running: len(tj.attempts), order: tj.order}
	for _, tasks := range tj.jo.Tasks {
		su.Tasks += len(tasks)
		for i := range tasks {
			if tasks[i].State == job.Done {
				su.Done++
			}
		}
	}
	return su
}
