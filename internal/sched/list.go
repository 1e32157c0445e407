package sched

import (
	"cmp"
	"context"
	"slices"

	"github.com/pepperhatch/pepperhatch/internal/job"
)

// Summary is what a list says of a job.
type Summary struct {
	// ID and Queue name it.
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// State is as last written; the counts are as decided, which may be ahead
	// of it by the time of a write.
	State job.State `json:"state"`
	// Tasks counts its tasks, Done those that are done, Running those with an
	// attempt that runs, or may.
	Tasks   int `json:"tasks"`
	Done    int `json:"done"`
	Running int `json:"running"`
	// order is that of arrival.
	order int64
}

// listMost bounds a list, the newest jobs first to be kept.
const maxSummaries = 1000

// List returns the jobs that the owner remembers, in order of arrival.
func (ow *Owner) List(ctx context.Context) ([]Summary, error) {
	return call(ctx, ow, func(answer func([]Summary)) {
		list := make([]Summary, 0, len(ow.entries))
		for _, en := range ow.entries {
			list = append(list, en.summary())
		}
		slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(a.order, b.order) })
		answer(list[max(0, len(list)-maxSummaries):])
	})
}

func (en *entry) summary() Summary {
	su := Summary{ID: en.jo.ID, Queue: en.jo.Terms.Queue, State: en.reportedState(), Running: len(en.attempts), order: en.order}
	for _, tasks := range en.jo.Tasks {
		su.Tasks += len(tasks)
		for i := range tasks {
			if tasks[i].State == job.Done {
				su.Done++
			}
		}
	}
	return su
}
