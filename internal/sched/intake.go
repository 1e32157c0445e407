package sched

import (
	"encoding/json"

	"github.com/pepperhatch/pepperhatch/internal/job"
	"github.com/pepperhatch/pepperhatch/internal/store"
)

// IntakeRow is what an entry host writes that cannot reach the owner: a job
// handed in, or the cancellation of one.
type IntakeRow struct {
	// Terms and Spec are of a job that was handed in.
	Terms job.Terms `json:"terms,omitzero"`
	Spec  job.Spec  `json:"spec,omitzero"`
	// Cancel is set for a cancellation.
	Cancel bool `json:"cancel,omitempty"`
}

// IntakeKey names the row of a job that was handed in.
func IntakeKey(cell, id string) string { return IntakeTable + "/" + cell + "/" + id }

// cancelSuffix follows the id in the key of a cancellation.
const cancelSuffix = ".cancel"

// CancelKey names the row of a cancellation.
func CancelKey(cell, id string) string { return IntakeKey(cell, id) + cancelSuffix }

// Import takes over what entry hosts wrote.
func (ow *Owner) Import(rows []store.FeedRow) {
	ow.post(func() {
		for _, row := range rows {
			if !row.Gone {
				ow.importRow(row.Row)
			}
		}
	})
}

func (ow *Owner) importRow(row store.Row) {
	var in IntakeRow
	if err := json.Unmarshal(row.Value, &in); err != nil {
		ow.Log.Error("row of an entry host cannot be read", "key", row.Key, "version", row.Version, "err", err)
		return
	}
	id := lastPart(row.Key)
	if in.Cancel {
		ow.importCancel(id[:len(id)-len(cancelSuffix)])
		return
	}
	en := ow.entries[id]
	if en == nil {
		en = ow.add(job.New(id, in.Terms, in.Spec))
		ow.Log.Info("job taken over from an entry host", "job", id, "queue", in.Terms.Queue, "version", row.Version)
	}
	en.inIntake = true
	ow.touch(en)
}

// importCancel cancels a job. Entry hosts write a cancellation only after they
// saw the job's own row.
func (ow *Owner) importCancel(id string) {
	en := ow.entries[id]
	if en == nil {
		ow.Log.Warn("cancellation of an unknown job", "job", id)
		return
	}
	if !en.jo.State().Final() {
		ow.Log.Info("job cancelled through an entry host", "job", id)
		en.jo.Cancelled = true
		ow.finish(en)
	}
	en.cancelRow = true
	ow.touch(en)
}
